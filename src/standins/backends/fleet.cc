// The simulated backend servers and their control port.
#include "src/standins/backends/fleet.h"

#include <json/value.h>

#include <cstdint>
#include <utility>

#include "dotterelbarrow/core/codec.h"

namespace dotterelbarrow::standins {
namespace {

using wire::HttpMethod;
using wire::HttpReply;
using wire::HttpRequest;

constexpr int kBadRequest = 400;

Json::Value Number(std::uint64_t value) {
  return Json::Value(static_cast<Json::UInt64>(value));
}

void PutCounts(const RunCounts& counts, Json::Value* json) {
  (*json)["started"] = counts.started;
  (*json)["succeeded"] = counts.succeeded;
  (*json)["failed"] = counts.failed;
  (*json)["cut"] = counts.cut;
}

// Returns {team: {"requests": {"running", "peak"}, "tasks": {...}}}
Json::Value TeamUses(const RunLedger& ledger) {
  Json::Value teams(Json::objectValue);
  for (const auto& [of, use] : ledger.team_uses()) {
    Json::Value& kind =
        teams[of.team.value()][of.interactive ? "requests" : "tasks"];
    kind["running"] = use.running;
    kind["peak"] = use.peak;
  }
  return teams;
}

// Returns {team: {idempotency key: runs}}
Json::Value KeyRuns(const RunLedger& ledger) {
  Json::Value teams(Json::objectValue);
  for (const auto& [of, runs] : ledger.key_runs()) {
    teams[of.team.value()][of.key.value()] = runs;
  }
  return teams;
}

std::string QueryText(const HttpRequest& request, const char* name) {
  const auto it = request.query.find(name);
  return it == request.query.end() ? std::string() : it->second;
}

}  // namespace

Fleet::Fleet(const wire::EventLoop* loop)
    : loop_(loop),
      client_(*loop, wire::HttpClientOptions()),
      control_(*loop, wire::HttpServerOptions()) {
  AddRoutes();
}

bool Fleet::Add(const core::HostRecord& host, std::size_t max_connections,
                base::Failure* reason) {
  auto endpoint = std::make_unique<BackendEndpoint>(loop_, &client_, &ledger_,
                                                    host, max_connections);
  if (!endpoint->Listen(reason)) {
    return false;
  }
  backends_[host.backend] = std::move(endpoint);
  return true;
}

bool Fleet::ListenControl(const std::string& address, base::Failure* reason) {
  return control_.Listen(address, reason).has_value();
}

void Fleet::AddRoutes() {
  control_.Route(HttpMethod::kGet, "/v1/stats",
                 [this](const HttpRequest& request) {
                   control_.Reply(request.exchange, StatsPage());
                 });
  control_.Route(HttpMethod::kGet, "/v1/backends",
                 [this](const HttpRequest& request) {
                   control_.Reply(request.exchange, BackendsPage());
                 });
  control_.Route(HttpMethod::kGet, "/v1/runs",
                 [this](const HttpRequest& request) {
                   control_.Reply(request.exchange, RunsPage(request));
                 });
  control_.Route(HttpMethod::kPost, "/v1/fault",
                 [this](const HttpRequest& request) {
                   control_.Reply(request.exchange, PostFault(request));
                 });
}

HttpReply Fleet::StatsPage() const {
  const LedgerTotals& totals = ledger_.totals();
  Json::Value body;
  PutCounts(totals.runs, &body);
  body["running"] = Number(totals.running);
  body["double_start"] = Number(totals.double_start);
  body["over_capacity"] = Number(totals.over_capacity);
  body["repeated_non_idempotent"] = Number(totals.repeated_non_idempotent);
  body["repeated_key"] = Number(totals.repeated_key);
  body["repeated_success"] = Number(totals.repeated_success);
  body["double_starts"] = Json::Value(Json::arrayValue);
  for (const base::TaskId& task : ledger_.double_starts()) {
    body["double_starts"].append(base::ToString(task));
  }
  body["teams"] = TeamUses(ledger_);
  body["keys"] = KeyRuns(ledger_);
  return {.body = core::WriteJson(body)};
}

HttpReply Fleet::BackendsPage() const {
  Json::Value body(Json::arrayValue);
  for (const auto& [id, endpoint] : backends_) {
    body.append(endpoint->Stats());
  }
  return {.body = core::WriteJson(body)};
}

HttpReply Fleet::RunsPage(const HttpRequest& request) const {
  const base::JobId job{base::TeamId(QueryText(request, "team")),
                        base::RequestId(QueryText(request, "request"))};
  Json::Value body(Json::arrayValue);
  const auto is_selected = [&job](const base::JobId& other) {
    return other.team == job.team &&
           (job.request.empty() || other.request == job.request);
  };
  auto it = ledger_.counts().lower_bound(TaskKey{job, 0});
  for (; it != ledger_.counts().end() && is_selected(it->first.job); ++it) {
    Json::Value task;
    task["request"] = it->first.job.request.value();
    task["index"] = it->first.index;
    PutCounts(it->second, &task);
    body.append(task);
  }
  return {.body = core::WriteJson(body)};
}

HttpReply Fleet::PostFault(const HttpRequest& request) {
  base::Failure reason;
  const auto json = core::ReadJson(request.body, &reason);
  bool all_applied = json && json->isObject();
  if (all_applied && (*json)["backends"].isArray()) {
    for (const Json::Value& name : (*json)["backends"]) {
      const auto it = backends_.find(base::BackendId(name.asString()));
      all_applied &= it != backends_.end() && it->second->ApplyFault(*json);
    }
  } else if (all_applied) {
    for (const auto& [id, endpoint] : backends_) {
      all_applied &= endpoint->ApplyFault(*json);
    }
  }
  if (!all_applied) {
    return {.status = kBadRequest, .body = "unknown mode or backend server"};
  }
  return {.body = "{}"};
}

}  // namespace dotterelbarrow::standins
