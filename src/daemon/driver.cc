// Connects the core to the network.
#include "src/daemon/driver.h"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "dotterelbarrow/base/overloaded.h"
#include "dotterelbarrow/wire/health_pages.h"

namespace dotterelbarrow::daemon {
namespace {

constexpr base::Duration kTickPeriod = std::chrono::milliseconds(10);
constexpr base::Duration kSyncTimeout = std::chrono::seconds(1);
// Time limit for sending the remaining answers once the core's handover is
// complete.
constexpr base::Duration kFlushTimeout = std::chrono::seconds(1);
// Connections to the platform: enough for all calls that the core has in
// progress there at a time.
constexpr std::size_t kPlatformConnections = 32;
constexpr std::size_t kPlatformBodyBytes = std::size_t{256} * 1024 * 1024;

// Without a setting, each of the two addresses may use this part of the
// process's descriptors.
constexpr std::size_t kConnectionsDivisor = 4;
// Messages of peers and tickets are larger than the requests of callers.
constexpr std::size_t kMaxPeerBodyBytes = std::size_t{16} * 1024 * 1024;
// So that a body which is too large is still answered with a reason.
constexpr std::size_t kBodyMargin = std::size_t{64} * 1024;

wire::HttpServerOptions ServerOptions(const settings::DaemonSettings& settings,
                                      wire::Audience audience) {
  const bool is_for_callers = audience == wire::Audience::kCallersOnly;
  wire::HttpServerOptions options;
  options.max_connections = settings.max_connections > 0
                                ? settings.max_connections
                                : wire::DescriptorLimit() / kConnectionsDivisor;
  options.max_buffered_bytes =
      settings.max_connection_bytes / (is_for_callers ? 2 : 1);
  options.max_body_bytes =
      is_for_callers ? settings.max_request_body_bytes + kBodyMargin
                     : std::max<std::size_t>(kMaxPeerBodyBytes,
                                             settings.max_request_body_bytes);
  return options;
}

wire::HttpClientOptions PlatformOptions() {
  wire::HttpClientOptions options;
  options.max_connections = kPlatformConnections;
  options.max_body_bytes = kPlatformBodyBytes;
  return options;
}

}  // namespace

Driver::Driver(wire::EventLoop* loop, const settings::DaemonSettings& settings,
               std::uint64_t seed)
    : loop_(loop),
      settings_(settings),
      node_(settings.node, seed, wire::MonotonicNow()),
      change_log_(&node_),
      server_(*loop,
              ServerOptions(settings, wire::Audience::kCallersAndOperators)),
      limit_watch_(
          *loop, [this](const wire::LimitReport& report) { OnLimit(report); }),
      peer_http_(*loop, wire::HttpClientOptions()),
      backend_http_(*loop, wire::HttpClientOptions()),
      platform_http_(*loop, PlatformOptions()),
      peer_link_(*loop, &peer_http_, settings_.node, wire::PeerLinkOptions(),
                 &counters_),
      peer_server_(
          &server_, settings_.node,
          [this](const core::FromPeer& message) { Handle(message); },
          &counters_),
      backend_client_(
          &backend_http_, kSyncTimeout,
          [this](const core::Input& input) { Handle(input); }, &counters_),
      platform_client_(
          &platform_http_, settings.platform_address,
          settings.node.call_timeout,
          [this](const core::Input& input) { Handle(input); }, &counters_),
      caller_api_(
          &server_, wire::Audience::kCallersAndOperators,
          settings.max_request_body_bytes,
          [this](const core::Input& input) { Handle(input); }, &counters_),
      status_pages_(&server_, &settings_.node, &node_, &counters_),
      shutdown_timer_(*loop, [this] { loop_->Stop(); }),
      tick_timer_(*loop, kTickPeriod, [this] { Tick(); }) {
  limit_watch_.Add("all", &server_);
  backend_client_.AddReportRoute(&server_);
  if (!settings_.callers_address.empty()) {
    caller_endpoint_.emplace(this, loop);
    limit_watch_.Add("callers", &caller_endpoint_->server);
  }
}

Driver::CallerEndpoint::CallerEndpoint(Driver* driver, wire::EventLoop* loop)
    : server(*loop,
             ServerOptions(driver->settings_, wire::Audience::kCallersOnly)),
      api(
          &server, wire::Audience::kCallersOnly,
          driver->settings_.max_request_body_bytes,
          [driver](const core::Input& input) { driver->Handle(input); },
          &driver->counters_) {
  wire::AddHealthPages(&server, &driver->node_);
}

bool Driver::Listen(base::Failure* reason) {
  return Listen(&server_, settings_.listen_address, reason) &&
         (!caller_endpoint_ ||
          Listen(&caller_endpoint_->server, settings_.callers_address, reason));
}

bool Driver::Listen(wire::HttpServer* server, const std::string& address,
                    base::Failure* reason) {
  if (!server->Listen(address, reason)) {
    return false;
  }
  LOG(INFO) << "event=listening entry=" << settings_.node.self.value()
            << " address=" << address
            << " incarnation=" << settings_.node.incarnation.value();
  return true;
}

void Driver::BeginShutdown() {
  if (shutting_down_) {
    return;
  }
  shutting_down_ = true;
  LOG(INFO) << "event=shutdown_begun bound_us="
            << settings_.node.shutdown_bound.count();
  shutdown_timer_.StartOnce(settings_.node.shutdown_bound);
  Handle(core::BeginShutdown());
}

void Driver::Tick() {
  node_.Tick(wire::MonotonicNow());
  SendOutputs();
  change_log_.Update();
  if (handover_complete_) {
    StopIfFlushed();
  }
}

void Driver::Handle(const core::Input& input) {
  node_.Handle(input, wire::MonotonicNow());
  SendOutputs();
}

void Driver::SendOutputs() {
  for (const core::Output& output : node_.TakeOutputs()) {
    Send(output);
  }
}

void Driver::Send(const core::Output& output) {
  std::visit(
      base::Overloaded{
          [this](const core::ToPeer& message) { peer_link_.Send(message); },
          [this](const core::ToBackend& message) {
            backend_client_.Send(message);
          },
          [this](const core::CallerAnswer& answer) {
            ApiForToken(answer.token).Send(answer);
          },
          [this](const core::TicketAnswer& answer) {
            ApiForToken(answer.token).Send(answer);
          },
          [this](const core::ShutdownComplete&) { OnShutdownComplete(); },
          [this](const auto& call) { platform_client_.Send(call); }},
      output);
}

wire::CallerApi& Driver::ApiForToken(core::CallerToken token) {
  return caller_endpoint_ && caller_endpoint_->api.Owns(token)
             ? caller_endpoint_->api
             : caller_api_;
}

void Driver::OnLimit(const wire::LimitReport& report) {
  counters_.Increment("client_limits", report.Label().c_str(), report.times);
  LOG(WARNING) << "event=client_limit_reached listener=" << report.listener
               << " reason=" << ToString(report.reason)
               << " times=" << report.times
               << " connections=" << report.connections
               << " held_bytes=" << report.held_bytes;
}

void Driver::OnShutdownComplete() {
  if (handover_complete_) {
    return;
  }
  handover_complete_ = true;
  LOG(INFO) << "event=shutdown_complete";
  server_.StopAccepting();
  if (caller_endpoint_) {
    caller_endpoint_->server.StopAccepting();
  }
  shutdown_timer_.StartOnce(kFlushTimeout);
}

void Driver::StopIfFlushed() {
  const bool callers_served =
      !caller_endpoint_ || (caller_endpoint_->server.open_exchanges() == 0 &&
                            caller_endpoint_->server.unsent_replies() == 0);
  if (callers_served && server_.open_exchanges() == 0 &&
      server_.unsent_replies() == 0 && peer_link_.is_idle()) {
    loop_->Stop();
  }
}

}  // namespace dotterelbarrow::daemon
