// Handles calls from other entry hosts and the platform's HTTP probes, and
// requests placement advice.
#include <algorithm>
#include <utility>
#include <vector>

#include "dotterelbarrow/core/codec.h"
#include "src/member/clock.h"
#include "src/member/explain_page.h"
#include "src/member/member_impl.h"

namespace dotterelbarrow::member {
namespace {

constexpr base::Duration kAdviseTimeout = std::chrono::milliseconds(3000);
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
  rpc_server_.Bind("greet", [this](const Json::Value& params,
                                   const RpcServer::Reply& reply) {
    HandleHeartbeat(params, reply);
  });
  rpc_server_.Bind("take_over", [this](const Json::Value& params,
                                       const RpcServer::Reply& reply) {
    HandleTakeOverOffer(params, reply);
  });
  // For owners of the earlier version; see BindAdvice.
  rpc_server_.Bind("advise", [this](const Json::Value& params,
                                    const RpcServer::Reply& reply) {
    HandleAdviceRequest(params, reply);
  });
  rpc_server_.Bind("owner_is", [this](const Json::Value& params,
                                      const RpcServer::Reply& reply) {
    if (params["owner"].isString()) {
      OnOwnerHint(params["owner"].asString());
    }
    reply(Json::Value(Json::objectValue));
  });
  rpc_server_.Bind("who_owns",
                   [this](const Json::Value&, const RpcServer::Reply& reply) {
                     Json::Value result(Json::objectValue);
                     AddOwnerHint(&result);
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
      const auto send_answer = [this, reply](const OwnerAnswer& answer) {
        Json::Value result = member::ToJson(answer);
        if (std::holds_alternative<NoOwner>(answer)) {
          AddOwnerHint(&result);
        }
        reply(std::move(result));
      };
      if (term_ == nullptr) {
        send_answer(NoOwner{});
      } else {
        term_->Handle(*call, send_answer);
      }
    });
  }
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
  if (term_ != nullptr && term_->is_ready()) {
    return ExplainReply(term_->scheduler(), request, Now());
  }
  Json::Value body(Json::objectValue);
  body["error"] = "not_owner";
  if (const core::leadership::OwnershipRecord* owner = leadership_.owner()) {
    body["owner"] = owner->holder.value();
  }
  return {.status = kUnavailable, .body = core::WriteJson(body)};
}

core::admission::Reachability Member::Impl::FindReach() const {
  const base::TimePoint now = Now();
  std::optional<base::Duration> store_contact_age = desired_.TimeSinceRead();
  if (last_answered_poll_at_) {
    const base::Duration since = now - *last_answered_poll_at_;
    store_contact_age = std::min(store_contact_age.value_or(since), since);
  }
  core::admission::ReachabilityInput input{
      .store_contact_age = store_contact_age,
      .owner_contact_age = std::nullopt,
      .confirmation_age = desired_.ConfirmationAge()};
  if (term_ != nullptr && term_->is_ready()) {
    input.owner_contact_age = base::Duration(0);
  } else if (last_answered_heartbeat_at_) {
    input.owner_contact_age = now - *last_answered_heartbeat_at_;
  }
  return core::admission::ReachabilityPolicy::Decide(input);
}

std::string Member::Impl::RenderMetrics() {
  metrics_.Set(counters_);
  metrics_.SetProcessMetrics();
  metrics_.Set("is_owner", term_ == nullptr ? 0 : 1);
  metrics_.Set("log_lines_dropped", static_cast<double>(log_.dropped_lines()));
  if (term_ != nullptr) {
    metrics_.Set("live_jobs",
                 static_cast<double>(term_->scheduler().live_jobs()));
    metrics_.Set("waiting_steps",
                 static_cast<double>(term_->scheduler().waiting_steps()));
  }
  // Zero once this host is no longer the owner, which counts them.
  const auto* evacuations =
      term_ == nullptr ? nullptr : &term_->scheduler().evacuations();
  metrics_.Set(
      "evacuated_zones",
      evacuations == nullptr ? 0 : static_cast<double>(evacuations->zones()));
  metrics_.Set(
      "runs_in_evacuated_zones",
      evacuations == nullptr ? 0 : static_cast<double>(evacuations->runs()));
  return metrics_.Render();
}

void Member::Impl::Advise(const core::scheduler::RequestAdvice& request,
                          const platform::WorkerClient::AdviceDone& done) {
  if (request.client == settings_.host) {
    workers_.Advise(settings_.advisor_address, request.step, request.workers,
                    done);
    return;
  }
  const LivePeers::Peer* peer = peers_.Find(request.client);
  if (peer == nullptr) {
    done(AdviceResult{});
    return;
  }
  peer_client_.Call(platform::AdviceCall(peer->address, request.step,
                                         request.workers, kAdviseTimeout),
                    [done](const wire::HttpResult& answer) {
                      done(platform::DecodeAdvice(answer));
                    });
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
