// Handles calls from other entry hosts and the platform's HTTP probes.
#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include "dotterelbarrow/core/codec.h"
#include "src/member/clock.h"
#include "src/member/explain_page.h"
#include "src/member/member_impl.h"

namespace dotterelbarrow::member {
namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

using core::scheduler::AdviceResult;

Json::Value ToJson(const AdviceResult& result) {
  Json::Value value(Json::objectValue);
  value["answered"] = result.outcome == AdviceResult::Outcome::kAnswered;
  value["busy"] = result.outcome == AdviceResult::Outcome::kBusy;
  value["valid_ms"] = static_cast<Json::Int64>(result.ticket_validity /
                                               std::chrono::milliseconds(1));
  value["allowed"] = Json::Value(Json::arrayValue);
  for (const core::scheduler::AllowedWorker& allowed : result.allowed) {
    Json::Value row(Json::arrayValue);
    row.append(allowed.worker.value());
    row.append(allowed.ticket);
    value["allowed"].append(std::move(row));
  }
  return value;
}

}  // namespace

void Member::Impl::BindRpc() {
  BindForShard("greet", [](ShardController* shard, const Json::Value& params,
                           const RpcServer::Reply& reply) {
    shard->HandleHeartbeat(params, reply);
  });
  BindForShard("take_over",
               [](ShardController* shard, const Json::Value& params,
                  const RpcServer::Reply& reply) {
                 shard->HandleTakeOverOffer(params, reply);
               });
  // For owners of the earlier version; see BindAdvice.
  rpc_server_.Bind("advise", [this](const Json::Value& params,
                                    const RpcServer::Reply& reply) {
    HandleAdviceRequest(params, reply);
  });
  BindForShard("owner_is", [](ShardController* shard, const Json::Value& params,
                              const RpcServer::Reply& reply) {
    if (params["owner"].isString()) {
      shard->OnOwnerHint(params["owner"].asString());
    }
    reply(Json::Value(Json::objectValue));
  });
  BindForShard("who_owns", [](ShardController* shard, const Json::Value&,
                              const RpcServer::Reply& reply) {
    Json::Value result(Json::objectValue);
    shard->AddOwnerHint(&result);
    reply(std::move(result));
  });
  rpc_server_.Bind("desired",
                   [this](const Json::Value&, const RpcServer::Reply& reply) {
                     HandleDesiredRequest(reply);
                   });
  for (const char* method : kOwnerMethods) {
    rpc_server_.Bind(method, [this, method](const Json::Value& params,
                                            const RpcServer::Reply& reply) {
      base::Failure reason;
      const auto call = OwnerCallFromJson(method, params, &reason);
      if (!call) {
        reply(member::ToJson(OwnerAnswer(Refused{"malformed_call", {}})));
        return;
      }
      ShardController* shard = shards_.Find(params);
      if (shard == nullptr) {
        reply(member::ToJson(OwnerAnswer(NoOwner{})));
        return;
      }
      shard->HandleOwnerCall(*call, params, reply);
    });
  }
}

void Member::Impl::BindForShard(
    const std::string& method,
    std::function<void(ShardController*, const Json::Value&,
                       const RpcServer::Reply&)>
        handle) {
  rpc_server_.Bind(
      method, [this, handle = std::move(handle)](
                  const Json::Value& params, const RpcServer::Reply& reply) {
        if (ShardController* shard = shards_.Find(params)) {
          handle(shard, params, reply);
        } else {
          reply(Json::Value(Json::objectValue));
        }
      });
}

void Member::Impl::BindAdvice() {
  peers_server_.Route(
      wire::HttpMethod::kPost, platform::kAdvicePath,
      [this](const wire::HttpRequest& request) {
        workers_.ForwardAdviceRequest(
            settings_.advisor_address, request.body,
            [this,
             exchange = request.exchange](const wire::HttpResult& answer) {
              const bool is_answered =
                  answer.outcome == wire::HttpOutcome::kAnswered;
              peers_server_.Reply(
                  exchange,
                  {.status = is_answered ? answer.status : kUnavailable,
                   .body = answer.body});
            });
      });
}

void Member::Impl::BindPages() {
  readiness_.Route(wire::HttpMethod::kGet, "/readyz",
                   [this](const wire::HttpRequest& request) {
                     const bool is_ready =
                         !is_stopping_ &&
                         FindReach() == core::admission::Reachability::kFull;
                     readiness_.Reply(
                         request.exchange,
                         {.status = is_ready ? kOk : kUnavailable, .body = {}});
                   });
  metrics_server_.Route(wire::HttpMethod::kGet, "/metrics",
                        [this](const wire::HttpRequest& request) {
                          metrics_server_.Reply(request.exchange,
                                                {.status = kOk,
                                                 .body = RenderMetrics(),
                                                 .content_type = "text/plain"});
                        });
  const auto explain = [this](const wire::HttpRequest& request) {
    metrics_server_.Reply(request.exchange, Explain(request));
  };
  metrics_server_.Route(wire::HttpMethod::kGet, "/explain/", explain);
  metrics_server_.Route(wire::HttpMethod::kPost, "/explain", explain);
}

wire::HttpReply Member::Impl::Explain(const wire::HttpRequest& request) const {
  std::optional<wire::HttpReply> reply;
  shards_.ForEachTerm([&](const OwnerTerm& term) {
    // Of several shards, the one that knows the job answers.
    if (term.is_ready() && (!reply || reply->status != kOk)) {
      reply = ExplainReply(term.scheduler(), request, Now());
    }
  });
  if (reply) {
    return *reply;
  }
  Json::Value body(Json::objectValue);
  body["error"] = "not_owner";
  if (const core::leadership::OwnershipRecord* owner = shards_.home_owner()) {
    body["owner"] = owner->holder.value();
  }
  return {.status = kUnavailable, .body = core::WriteJson(body)};
}

core::admission::Reachability Member::Impl::FindReach() const {
  const base::TimePoint now = Now();
  std::optional<base::Duration> store_contact_age = desired_.TimeSinceRead();
  if (const auto age = shards_.StoreContactAge(now)) {
    store_contact_age = std::min(store_contact_age.value_or(*age), *age);
  }
  return core::admission::ReachabilityPolicy::Decide(
      {.store_contact_age = store_contact_age,
       .owner_contact_age = shards_.OwnerContactAge(now),
       .confirmation_age = desired_.ConfirmationAge()});
}

std::string Member::Impl::RenderMetrics() {
  metrics_.Set(counters_);
  metrics_.SetProcessMetrics();
  metrics_.Set("log_lines_dropped", static_cast<double>(log_.dropped_lines()));
  for (const auto& [listener, server] : Listeners()) {
    metrics_.Set(listener + "_connections",
                 static_cast<double>(server->connections()));
    metrics_.Set(listener + "_held_bytes",
                 static_cast<double>(server->held_bytes()));
  }
  double terms = 0;
  double live_jobs = 0;
  double waiting_steps = 0;
  double evacuated_zones = 0;
  double runs_in_evacuated_zones = 0;
  shards_.ForEachTerm([&](const OwnerTerm& term) {
    const core::scheduler::Scheduler& scheduler = term.scheduler();
    ++terms;
    live_jobs += static_cast<double>(scheduler.live_jobs());
    waiting_steps += static_cast<double>(scheduler.waiting_steps());
    const auto zones = static_cast<double>(scheduler.evacuations().zones());
    evacuated_zones = std::max(evacuated_zones, zones);
    runs_in_evacuated_zones +=
        static_cast<double>(scheduler.evacuations().runs());
  });
  metrics_.Set("is_owner", terms > 0 ? 1 : 0);
  metrics_.Set("owned_shards", terms);
  if (terms > 0) {
    metrics_.Set("live_jobs", live_jobs);
    metrics_.Set("waiting_steps", waiting_steps);
  }
  // Zero once this host is no longer an owner, which counts them.
  metrics_.Set("evacuated_zones", evacuated_zones);
  metrics_.Set("runs_in_evacuated_zones", runs_in_evacuated_zones);
  return metrics_.Render();
}

void Member::Impl::HandleDesiredRequest(const RpcServer::Reply& reply) {
  Json::Value result(Json::objectValue);
  const auto age = desired_.ConfirmationAge();
  const base::Bytes size(static_cast<std::int64_t>(desired_.text().size()));
  if (age && desired_texts_.TryAcquire(size, Now())) {
    result["text"] = desired_.text();
    // Rounded up, because an age must not look smaller than it is.
    result["age_ms"] = static_cast<Json::Int64>(
        std::chrono::ceil<std::chrono::milliseconds>(*age).count());
    telemetry_.log->Write(
        "desired_sent",
        {{"version",
          static_cast<std::int64_t>(desired_.current()->version().value())},
         {"bytes", size.value()}});
  }
  reply(std::move(result));
}

void Member::Impl::HandleAdviceRequest(const Json::Value& params,
                                       const RpcServer::Reply& reply) {
  const Json::Value& step = params["step"];
  const auto task = step.isString() ? core::jobs::ParseTaskRef(step.asString())
                                    : std::nullopt;
  std::vector<base::BackendId> workers;
  for (const Json::Value& worker : params["workers"]) {
    if (worker.isString()) {
      workers.emplace_back(worker.asString());
    }
  }
  if (!task || workers.empty()) {
    reply(ToJson(AdviceResult{}));
    return;
  }
  workers_.Advise(
      settings_.advisor_address, task->step, workers,
      [reply](const AdviceResult& result) { reply(ToJson(result)); });
}

}  // namespace dotterelbarrow::member
