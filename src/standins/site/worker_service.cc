// Request handlers and registration of one worker.
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
constexpr std::int64_t kHeartbeatPeriodMs = 1500;
constexpr std::int64_t kMinLateDelayMs = 2000;
constexpr std::int64_t kMaxLateDelayMs = 8000;

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

// How long a worker is down that one of its runs has crashed.
constexpr std::int64_t kRestartAfterCrashMs = 3000;

std::uint64_t CountOf(const Json::Value& value, const char* name) {
  return value[name].isUInt64() ? value[name].asUInt64() : 0;
}

std::optional<core::jobs::TaskRef> TaskOf(const Json::Value& body) {
  return body["task"].isString()
             ? core::jobs::ParseTaskRef(body["task"].asString())
             : std::nullopt;
}

// Returns how the task's run goes. The soak test's jobs say so for each step in
// their payload: {"steps":[{"ms":300,"cpu":500,"gang":4,"deadly_ms":0}]}. The
// first task of a step with "deadly_ms" crashes its worker after that time.
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
  if (task.index == 0) {
    plan.crashes_after_ms =
        static_cast<std::int64_t>(CountOf(step, "deadly_ms"));
  }
  return plan;
}

}  // namespace

WorkerService::WorkerService(const wire::EventLoop& loop, Site site,
                             core::workers::Listing listing,
                             std::int64_t clock_loss_permille)
    : server_(loop, wire::HttpServerOptions()),
      site_(site),
      model_(std::move(listing), clock_loss_permille) {
  server_.Route(wire::HttpMethod::kPost, "/run-start",
                [this](const wire::HttpRequest& r) { OnStart(r); });
  server_.Route(wire::HttpMethod::kPost, "/run-stop",
                [this](const wire::HttpRequest& r) { OnStop(r); });
  server_.Route(wire::HttpMethod::kPost, "/hold",
                [this](const wire::HttpRequest& r) { OnPoll(r); });
}

bool WorkerService::Listen(base::Failure* reason) {
  return server_.Listen(model_.listing().address, reason).has_value();
}

bool WorkerService::DrawFault() {
  return std::uniform_int_distribution<int>(0, 999)(*site_.random) < permille_;
}

bool WorkerService::IsSilent() const {
  return fault_ == WorkerFault::kSilent || NowMillis() < silent_until_ms_;
}

bool WorkerService::Hears(FencingToken token) const {
  const bool is_of_term =
      token <= term_ &&
      token.value() + core::scheduler::kTokensPerTerm > term_.value();
  return term_ == FencingToken(0) || is_of_term == hears_term_;
}

void WorkerService::HandleCall(
    const wire::HttpRequest& request,
    const std::function<void(const Json::Value&, bool)>& command) {
  base::Failure reason;
  const auto body = core::ReadJson(request.body, &reason);
  if (is_restarting_unnoticed_) {
    waiting_calls_.push_back(
        [this, request, command] { HandleCall(request, command); });
    return;
  }
  if (!model_.is_up() || IsSilent()) {
    return;
  }
  if (!body || !body->isObject()) {
    server_.Reply(request.exchange, {.status = kBadRequest, .body = {}});
    return;
  }
  if (!Hears(FencingToken(CountOf(*body, "fencing_token")))) {
    return;
  }
  if (fault_ != WorkerFault::kLate || !DrawFault()) {
    command(*body, true);
    return;
  }
  const std::int64_t born_ms = model_.listing().born_ms;
  site_.delayed_calls->After(
      std::uniform_int_distribution<std::int64_t>(
          kMinLateDelayMs, kMaxLateDelayMs)(*site_.random),
      [this, command, body = *body, born_ms] {
        // A worker that crashed or restarted has lost the calls that it had
        // received, and one that is silent executes none.
        if (model_.is_up() && !IsSilent() &&
            model_.listing().born_ms == born_ms) {
          command(body, false);
        }
      });
}

void WorkerService::HandleRunCommand(
    const wire::HttpRequest& request,
    const std::function<CommandOutcome(const core::jobs::TaskRef&,
                                       const Json::Value&)>& command) {
  HandleCall(request, [this, exchange = request.exchange, command](
                          const Json::Value& body, bool is_answered) {
    const auto task = TaskOf(body);
    if (!task) {
      server_.Reply(exchange, {.status = kBadRequest, .body = {}});
      return;
    }
    Advance();
    const CommandOutcome outcome = command(*task, body);
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
  if (fault_ == WorkerFault::kRefusing && !IsSilent()) {
    server_.Reply(request.exchange, {.status = kUnavailable, .body = {}});
    return;
  }
  HandleRunCommand(
      request, [this, received_ms = NowMillis()](
                   const core::jobs::TaskRef& task, const Json::Value& body) {
        core::scheduler::StartTask command;
        command.task = task;
        command.attempt = Attempt(CountOf(body, "attempt"));
        command.lease_until_ms =
            static_cast<std::int64_t>(CountOf(body, "deadline_ms"));
        RunPlan plan = PlanOf(task, body["spec"].asString());
        plan.fails = fault_ == WorkerFault::kFailing;
        const bool was_running = model_.runs().contains(task);
        const CommandOutcome outcome = model_.Start(
            command, FencingToken(CountOf(body, "fencing_token")), plan);
        if (outcome == CommandOutcome::kDone && !was_running) {
          site_.ledger->OnStarted(model_.listing().id.value(), task);
          site_.ledger->OnStartedIn(model_.listing().zone.value(), task,
                                    received_ms);
          if (plan.crashes_after_ms > 0) {
            CrashUnder(task, command.attempt, plan.crashes_after_ms);
          }
          // This start is still answered.
          if (const auto duration_ms = site_.silences->Take(task)) {
            silent_until_ms_ = NowMillis() + *duration_ms;
            polls_.clear();
          }
        }
        if (model_.was_overloaded() && !was_overloaded_) {
          was_overloaded_ = true;
          site_.ledger->OnOverloaded(model_.listing().id.value());
        }
        return outcome;
      });
}

void WorkerService::OnStop(const wire::HttpRequest& request) {
  HandleRunCommand(request, [this](const core::jobs::TaskRef& task,
                                   const Json::Value& body) {
    return model_.Stop({.worker = {},
                        .task = task,
                        .attempt = Attempt(CountOf(body, "attempt"))},
                       FencingToken(CountOf(body, "fencing_token")));
  });
}

void WorkerService::OnPoll(const wire::HttpRequest& request) {
  HandleCall(request, [this, exchange = request.exchange](
                          const Json::Value& body, bool is_answered) {
    Advance();
    core::scheduler::PollWorker command;
    command.ends_stored = CountOf(body, "acked_through");
    if (body["deadline_ms"].isInt64()) {
      command.lease_until_ms = body["deadline_ms"].asInt64();
    }
    const std::vector<ListedEnd> before = model_.ends();
    const PollResult result =
        model_.Look(command, FencingToken(CountOf(body, "fencing_token")));
    if (result.outcome != CommandOutcome::kDone) {
      if (is_answered) {
        Answer(exchange, result.outcome);
      }
      return;
    }
    for (const ListedEnd& end : before) {
      if (end.number <= command.ends_stored) {
        site_.ledger->OnAcknowledged(end.task, end.attempt, end.end,
                                     end.number <= model_.lapsed_through());
      }
    }
    if (is_answered) {
      const auto wait = static_cast<std::int64_t>(CountOf(body, "wait_ms"));
      polls_.push_back({exchange, NowMillis() + wait,
                        FencingToken(CountOf(body, "fencing_token"))});
      AnswerPolls();
    }
  });
}

void WorkerService::AnswerPolls() {
  RecordRunEnds();
  Json::Value answer;
  const std::int64_t now = NowMillis();
  const auto is_due = [&](const WaitingPoll& poll) {
    return !model_.ends().empty() || poll.until_ms <= now;
  };
  if (std::none_of(polls_.begin(), polls_.end(), is_due)) {
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
  std::erase_if(polls_, [&](const WaitingPoll& poll) {
    if (!is_due(poll)) {
      return false;
    }
    if (Hears(poll.token)) {
      server_.Reply(poll.exchange, {.status = kOk, .body = body});
    }
    return true;
  });
}

void WorkerService::RecordRunEnds() {
  for (const ListedEnd& end : model_.ends()) {
    if (end.number > last_recorded_end_) {
      last_recorded_end_ = end.number;
      site_.ledger->OnEnded(model_.listing().id.value(), end.task, end.attempt,
                            end.end);
    }
  }
}

void WorkerService::Advance() {
  model_.AdvanceTo(NowMillis());
  // The ledger must hear of a run's end before an owner can: otherwise the
  // owner's next start of the task would look like a second concurrent run.
  RecordRunEnds();
}

void WorkerService::Tick() {
  Advance();
  if (!model_.is_up()) {
    return;
  }
  if (!IsSilent()) {
    AnswerPolls();
  }
  if (NowMillis() >= next_heartbeat_ms_) {
    next_heartbeat_ms_ = NowMillis() + kHeartbeatPeriodMs;
    WriteRegistration();
  }
}

void WorkerService::WriteRegistration() {
  const core::workers::Listing& listing = model_.listing();
  Json::Value value(Json::objectValue);
  value["service"] = listing.service.value();
  value["address"] = listing.address;
  value["zone"] = listing.zone.value();
  value["state"] = is_draining_ ? "draining" : "ready";
  value["sequence"] = static_cast<Json::UInt64>(++heartbeats_);
  value["born"] = static_cast<Json::Int64>(listing.born_ms);
  // The last label names the rack.
  value["labels"].append("general");
  value["labels"].append("rack-" + listing.rack);
  value["capacity"]["cpu"] =
      static_cast<Json::Int64>(listing.capacity.cpu.value());
  value["capacity"]["mem_mb"] =
      static_cast<Json::Int64>(listing.capacity.memory.value());
  value["capacity"]["gpu"] = 0;
  site_.store->PutText("servers", listing.id.value(), core::WriteJson(value));
}

void WorkerService::Crash() {
  RecordRunEnds();
  for (const auto& [task, run] : model_.runs()) {
    site_.ledger->OnEnded(model_.listing().id.value(), task, run.attempt,
                          RunEnd::kLeaseExpired);
  }
  model_.Crash();
  polls_.clear();
}

void WorkerService::CrashUnder(const core::jobs::TaskRef& task, Attempt attempt,
                               std::int64_t after_ms) {
  site_.delayed_calls->After(after_ms, [this, task, attempt] {
    const auto run = model_.runs().find(task);
    if (!model_.is_up() || run == model_.runs().end() ||
        run->second.attempt != attempt) {
      return;
    }
    site_.ledger->OnCrashedUnder(task);
    Crash();
    site_.delayed_calls->After(kRestartAfterCrashMs, [this] { Restart(); });
  });
}

void WorkerService::Resize(base::Millicores cpu) {
  base::Resources capacity = model_.listing().capacity;
  capacity.cpu = cpu;
  model_.SetCapacity(capacity);
  if (model_.is_up()) {
    WriteRegistration();
  }
}

void WorkerService::RestartUnnoticed(std::int64_t down_ms) {
  if (!model_.is_up()) {
    return;
  }
  Crash();
  is_restarting_unnoticed_ = true;
  site_.delayed_calls->After(down_ms, [this] {
    is_restarting_unnoticed_ = false;
    Restart();
    for (const auto& call : std::exchange(waiting_calls_, {})) {
      call();
    }
  });
}

void WorkerService::Restart() {
  if (model_.is_up()) {
    return;
  }
  model_.Restart(UnixMillis());
  is_draining_ = false;
  silent_until_ms_ = 0;
  last_recorded_end_ = 0;
  next_heartbeat_ms_ = 0;
}

}  // namespace dotterelbarrow::standins::site
