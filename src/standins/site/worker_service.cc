// Orders and lists of one worker.
#include "src/standins/site/worker_service.h"

#include <algorithm>
#include <utility>

#include "dotterelbarrow/core/codec.h"

namespace dotterelbarrow::standins::site {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr std::int64_t kHeartbeatMs = 1500;
constexpr std::int64_t kLateLeastMs = 2000;
constexpr std::int64_t kLateMostMs = 8000;

const char* ReasonOf(CommandOutcome outcome) {
  switch (outcome) {
    case CommandOutcome::kFenced:
      return "fence";
    case CommandOutcome::kOutdated:
      return "old";
    case CommandOutcome::kDeadlinePassed:
      return "late";
    default:
      return "room";
  }
}

const char* NameOf(RunEnd end) {
  switch (end) {
    case RunEnd::kDone:
      return "done";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kStopped:
      return "stopped";
    case RunEnd::kGangBroken:
      return "broken";
    case RunEnd::kGangTimeout:
      return "alone";
    default:
      return "lapsed";
  }
}

std::uint64_t CountOf(const Json::Value& value, const char* name) {
  return value[name].isUInt64() ? value[name].asUInt64() : 0;
}

std::optional<core::jobs::TaskRef> TaskOf(const Json::Value& body) {
  return body["task"].isString()
             ? core::jobs::ParseTaskRef(body["task"].asString())
             : std::nullopt;
}

// The soak's jobs say in their payload how each step's tasks go:
// {"steps":[{"ms":300,"cpu":500,"gang":4,"fails":0}]}.
RunPlan PlanOf(const core::jobs::TaskRef& task, const std::string& payload) {
  RunPlan plan;
  base::Failure reason;
  const auto value = core::ReadJson(payload, &reason);
  if (!value || !value->isObject() ||
      !(*value)["steps"].isValidIndex(task.step.step)) {
    return plan;
  }
  const Json::Value& step = (*value)["steps"][task.step.step];
  plan.duration_ms = static_cast<std::int64_t>(CountOf(step, "ms"));
  plan.needs.cpu =
      base::Millicores(static_cast<std::int64_t>(CountOf(step, "cpu")));
  plan.gang_size = static_cast<std::uint32_t>(CountOf(step, "gang"));
  return plan;
}

}  // namespace

WorkerService::WorkerService(const wire::EventLoop& loop, Site site,
                             core::workers::Listing listing,
                             std::int64_t slowness_permille)
    : server_(loop, wire::HttpServerOptions()),
      site_(site),
      model_(std::move(listing), slowness_permille) {
  server_.Route(wire::HttpMethod::kPost, "/run-start",
                [this](const wire::HttpRequest& r) { OnStart(r); });
  server_.Route(wire::HttpMethod::kPost, "/run-stop",
                [this](const wire::HttpRequest& r) { OnStop(r); });
  server_.Route(wire::HttpMethod::kPost, "/hold",
                [this](const wire::HttpRequest& r) { OnLook(r); });
}

bool WorkerService::Listen(base::Failure* reason) {
  return server_.Listen(model_.listing().address, reason).has_value();
}

bool WorkerService::Chance() {
  return std::uniform_int_distribution<int>(0, 999)(*site_.random) < permille_;
}

void WorkerService::Carry(
    const wire::HttpRequest& request,
    const std::function<void(const Json::Value&, bool)>& order) {
  base::Failure reason;
  const auto body = core::ReadJson(request.body, &reason);
  if (!model_.is_up() || fault_ == WorkerFault::kSilent) {
    return;
  }
  if (!body || !body->isObject()) {
    server_.Reply(request.exchange, {.status = kBadRequest, .body = {}});
    return;
  }
  if (fault_ != WorkerFault::kLate || !Chance()) {
    order(*body, true);
    return;
  }
  const std::int64_t born_ms = model_.listing().born_ms;
  site_.later->After(
      std::uniform_int_distribution<std::int64_t>(kLateLeastMs,
                                                  kLateMostMs)(*site_.random),
      [this, order, body = *body, born_ms] {
        // What was received goes with the worker's life.
        if (model_.is_up() && model_.listing().born_ms == born_ms) {
          order(body, false);
        }
      });
}

void WorkerService::CarryRun(
    const wire::HttpRequest& request,
    const std::function<CommandOutcome(const core::jobs::TaskRef&,
                                       const Json::Value&)>& order) {
  Carry(request, [this, exchange = request.exchange, order](
                     const Json::Value& body, bool is_answered) {
    const auto task = TaskOf(body);
    if (!task) {
      server_.Reply(exchange, {.status = kBadRequest, .body = {}});
      return;
    }
    Advance();
    const CommandOutcome outcome = order(*task, body);
    if (is_answered) {
      Answer(exchange, outcome);
    }
  });
}

void WorkerService::Answer(wire::ExchangeId exchange, CommandOutcome outcome) {
  Json::Value answer(Json::objectValue);
  answer["clock_ms"] = static_cast<Json::Int64>(model_.clock_ms());
  answer["born"] = static_cast<Json::Int64>(model_.listing().born_ms);
  if (outcome != CommandOutcome::kDone) {
    answer["reason"] = ReasonOf(outcome);
  }
  server_.Reply(exchange,
                {.status = outcome == CommandOutcome::kDone ? kOk : kConflict,
                 .body = core::WriteJson(answer)});
}

void WorkerService::OnStart(const wire::HttpRequest& request) {
  if (fault_ == WorkerFault::kRefusing) {
    server_.Reply(request.exchange, {.status = kUnavailable, .body = {}});
    return;
  }
  CarryRun(request,
           [this](const core::jobs::TaskRef& task, const Json::Value& body) {
             core::scheduler::StartTask order;
             order.task = task;
             order.attempt = Attempt(CountOf(body, "attempt"));
             order.lease_until_ms =
                 static_cast<std::int64_t>(CountOf(body, "deadline_ms"));
             RunPlan plan = PlanOf(task, body["spec"].asString());
             plan.fails = fault_ == WorkerFault::kFailing;
             const bool was_there = model_.runs().contains(task);
             const CommandOutcome outcome = model_.Start(
                 order, FencingToken(CountOf(body, "fencing_token")), plan);
             if (outcome == CommandOutcome::kDone && !was_there) {
               site_.ledger->OnStarted(model_.listing().id.value(), task);
             }
             if (model_.was_overloaded() && !was_overloaded_) {
               was_overloaded_ = true;
               site_.ledger->OnOverloaded(model_.listing().id.value());
             }
             return outcome;
           });
}

void WorkerService::OnStop(const wire::HttpRequest& request) {
  CarryRun(request,
           [this](const core::jobs::TaskRef& task, const Json::Value& body) {
             return model_.Stop({.worker = {},
                                 .task = task,
                                 .attempt = Attempt(CountOf(body, "attempt"))},
                                FencingToken(CountOf(body, "fencing_token")));
           });
}

void WorkerService::OnLook(const wire::HttpRequest& request) {
  Carry(request, [this, exchange = request.exchange](const Json::Value& body,
                                                     bool is_answered) {
    Advance();
    core::scheduler::PollWorker order;
    order.ends_stored = CountOf(body, "acked_through");
    if (body["deadline_ms"].isInt64()) {
      order.lease_until_ms = body["deadline_ms"].asInt64();
    }
    const std::vector<ListedEnd> before = model_.ends();
    const PollResult result =
        model_.Look(order, FencingToken(CountOf(body, "fencing_token")));
    if (result.outcome != CommandOutcome::kDone) {
      if (is_answered) {
        Answer(exchange, result.outcome);
      }
      return;
    }
    for (const ListedEnd& end : before) {
      if (end.number <= order.ends_stored) {
        site_.ledger->OnAcknowledged(end.task, end.end);
      }
    }
    if (is_answered) {
      const auto wait = static_cast<std::int64_t>(CountOf(body, "wait_ms"));
      looks_.push_back({exchange, NowMillis() + wait});
      AnswerLooks();
    }
  });
}

void WorkerService::AnswerLooks() {
  NoteEnds();
  Json::Value answer;
  const std::int64_t now = NowMillis();
  const auto is_due = [&](const WaitingLook& look) {
    return !model_.ends().empty() || look.until_ms <= now;
  };
  if (std::none_of(looks_.begin(), looks_.end(), is_due)) {
    return;
  }
  answer["clock_ms"] = static_cast<Json::Int64>(model_.clock_ms());
  answer["born"] = static_cast<Json::Int64>(model_.listing().born_ms);
  answer["active"] = Json::Value(Json::arrayValue);
  answer["finished"] = Json::Value(Json::arrayValue);
  for (const auto& [task, run] : model_.runs()) {
    Json::Value row(Json::arrayValue);
    row.append(core::jobs::ToString(task));
    row.append(static_cast<Json::UInt64>(run.attempt.value()));
    row.append("");
    row.append(0);
    answer["active"].append(row);
  }
  for (const ListedEnd& end : model_.ends()) {
    Json::Value row(Json::arrayValue);
    row.append(static_cast<Json::UInt64>(end.number));
    row.append(core::jobs::ToString(end.task));
    row.append(static_cast<Json::UInt64>(end.attempt.value()));
    row.append(NameOf(end.end));
    row.append("");
    answer["finished"].append(row);
  }
  const std::string body = core::WriteJson(answer);
  std::erase_if(looks_, [&](const WaitingLook& look) {
    if (!is_due(look)) {
      return false;
    }
    server_.Reply(look.exchange, {.status = kOk, .body = body});
    return true;
  });
}

void WorkerService::NoteEnds() {
  for (const ListedEnd& end : model_.ends()) {
    if (end.number > ends_noted_) {
      ends_noted_ = end.number;
      site_.ledger->OnEnded(model_.listing().id.value(), end.task, end.end);
    }
  }
}

void WorkerService::Advance() {
  model_.AdvanceTo(NowMillis());
  // The ledger knows of an end before an owner does.
  NoteEnds();
}

void WorkerService::Tick() {
  Advance();
  if (!model_.is_up()) {
    return;
  }
  if (fault_ != WorkerFault::kSilent) {
    AnswerLooks();
  }
  if (NowMillis() >= next_heartbeat_ms_) {
    next_heartbeat_ms_ = NowMillis() + kHeartbeatMs;
    Register();
  }
}

void WorkerService::Register() {
  const core::workers::Listing& listing = model_.listing();
  Json::Value value(Json::objectValue);
  value["service"] = listing.service.value();
  value["address"] = listing.address;
  value["zone"] = listing.zone.value();
  value["state"] = is_draining_ ? "draining" : "ready";
  value["sequence"] = static_cast<Json::UInt64>(++heartbeats_);
  value["born"] = static_cast<Json::Int64>(listing.born_ms);
  value["labels"].append("rack-" + listing.rack);
  value["capacity"]["cpu"] =
      static_cast<Json::Int64>(listing.capacity.cpu.value());
  value["capacity"]["mem_mb"] =
      static_cast<Json::Int64>(listing.capacity.memory.value());
  value["capacity"]["gpu"] = 0;
  site_.store->PutText("servers", listing.id.value(), core::WriteJson(value));
}

void WorkerService::Crash() {
  NoteEnds();
  for (const auto& [task, run] : model_.runs()) {
    site_.ledger->OnEnded(model_.listing().id.value(), task,
                          RunEnd::kLeaseExpired);
  }
  model_.Crash();
  looks_.clear();
}

void WorkerService::Restart() {
  if (model_.is_up()) {
    return;
  }
  model_.Restart(model_.listing().born_ms + 1);
  is_draining_ = false;
  ends_noted_ = 0;
  next_heartbeat_ms_ = 0;
}

}  // namespace dotterelbarrow::standins::site
