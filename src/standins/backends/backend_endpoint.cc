// The HTTP front end of one BackendModel.
#include "src/standins/backends/backend_endpoint.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>
#include <variant>

#include "dotterelbarrow/core/codec.h"

namespace dotterelbarrow::standins {
namespace {

using wire::HttpMethod;
using wire::HttpRequest;

constexpr int kBadRequest = 400;
constexpr base::Duration kReportTimeout = std::chrono::seconds(2);

BackendTraits TraitsOf(const core::HostRecord& host) {
  BackendTraits traits;
  traits.backend = host.backend;
  traits.kind = host.kind;
  traits.capacity = host.capacity;
  return traits;
}

wire::HttpServerOptions ServerOptions(std::size_t max_connections) {
  wire::HttpServerOptions options;
  options.max_connections = max_connections;
  return options;
}

}  // namespace

BackendEndpoint::BackendEndpoint(const wire::EventLoop* loop,
                                 wire::HttpClient* client, RunLedger* ledger,
                                 const core::HostRecord& host,
                                 std::size_t max_connections)
    : client_(client),
      address_(host.address),
      model_(TraitsOf(host), ledger, wire::MonotonicNow()),
      server_(*loop, ServerOptions(max_connections)),
      event_timer_(*loop, [this] { Update(); }),
      fault_end_timer_(*loop, [this] { SetFault(BackendFault::kNone, {}); }) {
  server_.Route(HttpMethod::kPost, "/v1/sync",
                [this](const HttpRequest& request) { OnSync(request); });
  server_.Route(HttpMethod::kPost, "/v1/run",
                [this](const HttpRequest& request) { OnRun(request); });
  server_.Route(HttpMethod::kPost, "/v1/fault",
                [this](const HttpRequest& request) { OnFault(request); });
  server_.Route(HttpMethod::kGet, "/v1/stats",
                [this](const HttpRequest& request) {
                  Reply(request.exchange, core::WriteJson(Stats()));
                });
}

bool BackendEndpoint::Listen(base::Failure* reason) {
  return server_.Listen(address_, reason).has_value();
}

void BackendEndpoint::SetFault(BackendFault fault, base::Duration lasts) {
  fault_end_timer_.Cancel();
  if (fault != BackendFault::kNone && lasts.count() > 0) {
    fault_end_timer_.StartOnce(lasts);
  }
  if (fault == BackendFault::kDead) {
    delayed_requests_.clear();
    running_exchanges_.clear();
  }
  model_.SetFault(fault, wire::MonotonicNow());
  HandleDelayed();
  Update();
}

bool BackendEndpoint::ApplyFault(const Json::Value& json) {
  if (!json.isObject() || !json["mode"].isString()) {
    return false;
  }
  const auto fault = ParseBackendFault(json["mode"].asString());
  if (!fault) {
    return false;
  }
  const Json::Value& lasts = json["for_ms"];
  SetFault(*fault,
           std::chrono::milliseconds(lasts.isUInt() ? lasts.asUInt() : 0));
  return true;
}

Json::Value BackendEndpoint::Stats() const {
  Json::Value stats;
  stats["backend"] = backend().value();
  stats["fault"] = ToString(model_.fault());
  stats["epoch"] = base::ToString(model_.epoch());
  stats["report_to"] = model_.report_to();
  stats["lease_valid"] = model_.lease_valid();
  stats["in_use"] = core::ToJson(model_.in_use());
  return stats;
}

void BackendEndpoint::OnSync(const HttpRequest& request) {
  if (model_.fault() == BackendFault::kFrozen) {
    delayed_requests_.push_back([this, request] { OnSync(request); });
    return;
  }
  base::Failure reason;
  const auto sync = core::Decode<core::BackendSync>(
      request.body, core::Members::kAny, &reason);
  if (!sync || sync->backend != backend()) {
    server_.Reply(request.exchange,
                  {.status = kBadRequest, .body = reason.detail});
    return;
  }
  const auto report = model_.Sync(*sync, wire::MonotonicNow());
  if (report) {
    Reply(request.exchange, core::Encode(*report));
  }
  Update();
}

void BackendEndpoint::OnRun(const HttpRequest& request) {
  if (model_.fault() == BackendFault::kFrozen) {
    delayed_requests_.push_back([this, request] { OnRun(request); });
    return;
  }
  base::Failure reason;
  const auto command = core::Decode<core::RunCommand>(
      request.body, core::Members::kAny, &reason);
  if (!command || command->backend != backend()) {
    server_.Reply(request.exchange,
                  {.status = kBadRequest, .body = reason.detail});
    return;
  }
  const RunReply reply = model_.Run(*command, wire::MonotonicNow());
  if (const auto* refused = std::get_if<core::RunResult>(&reply)) {
    Reply(request.exchange, core::Encode(*refused));
  } else if (const auto* accepted = std::get_if<RunAccepted>(&reply)) {
    running_exchanges_.emplace(accepted->execution, request.exchange);
  }
  Update();
}

void BackendEndpoint::OnFault(const HttpRequest& request) {
  base::Failure reason;
  const auto json = core::ReadJson(request.body, &reason);
  if (!json || !ApplyFault(*json)) {
    server_.Reply(request.exchange,
                  {.status = kBadRequest, .body = "expected {\"mode\":...}"});
    return;
  }
  Reply(request.exchange, "{}");
}

void BackendEndpoint::HandleDelayed() {
  if (model_.fault() == BackendFault::kFrozen) {
    return;
  }
  for (const auto& handle : std::exchange(delayed_requests_, {})) {
    handle();
  }
}

void BackendEndpoint::Update() {
  const base::TimePoint now = wire::MonotonicNow();
  model_.Advance(now);
  for (const FinishedRun& finished : model_.TakeFinishedRuns()) {
    const auto it = running_exchanges_.find(finished.execution);
    if (it != running_exchanges_.end()) {
      Reply(it->second, core::Encode(finished.result));
      running_exchanges_.erase(it);
    }
  }
  if (const auto report = model_.TakeUnsolicitedReport(now)) {
    SendReport(*report);
  }
  event_timer_.Cancel();
  if (const auto next = model_.next_event()) {
    event_timer_.StartOnce(std::max(base::Duration(0), *next - now));
  }
}

void BackendEndpoint::SendReport(const core::BackendReport& report) {
  wire::HttpCall call;
  call.address = model_.report_to();
  call.uri = "/v1/backend-report";
  call.body = core::Encode(report);
  call.timeout = kReportTimeout;
  client_->Call(std::move(call), [](const wire::HttpResult&) {
    // A lost report needs no retry: the next sync returns the same tasks.
  });
}

void BackendEndpoint::Reply(wire::ExchangeId exchange, std::string body) {
  server_.Reply(exchange, {.body = std::move(body)});
}

}  // namespace dotterelbarrow::standins
