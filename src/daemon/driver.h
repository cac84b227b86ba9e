// Connects one core::Node to the network: delivers received messages and the
// current time to the node, and sends the messages that the node emits.
#ifndef DOTTERELBARROW_SRC_DAEMON_DRIVER_H_
#define DOTTERELBARROW_SRC_DAEMON_DRIVER_H_

#include <functional>
#include <optional>
#include <string>

#include "dotterelbarrow/base/failure.h"
#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/core/node.h"
#include "dotterelbarrow/settings/settings_file.h"
#include "dotterelbarrow/wire/backend_client.h"
#include "dotterelbarrow/wire/caller_api.h"
#include "dotterelbarrow/wire/event_loop.h"
#include "dotterelbarrow/wire/http_client.h"
#include "dotterelbarrow/wire/http_server.h"
#include "dotterelbarrow/wire/limit_watch.h"
#include "dotterelbarrow/wire/peer_link.h"
#include "dotterelbarrow/wire/peer_server.h"
#include "dotterelbarrow/wire/platform_client.h"
#include "dotterelbarrow/wire/status_pages.h"
#include "src/daemon/change_log.h"

namespace dotterelbarrow::daemon {

class Driver {
 public:
  // `loop` must outlive this. `seed` initializes the core's random number
  // generator.
  Driver(wire::EventLoop* loop, const settings::DaemonSettings& settings,
         std::uint64_t seed);
  Driver(const Driver&) = delete;
  Driver& operator=(const Driver&) = delete;

  // Starts to listen on all configured addresses. Returns false and sets
  // `reason` if an address can't be used.
  bool Listen(base::Failure* reason);

  // Begins a graceful shutdown. The event loop stops once the node has handed
  // over its work and every answer is sent, at the latest after the configured
  // `shutdown_bound` and a flush timeout. Further calls do nothing.
  void BeginShutdown();

 private:
  // A listening address that serves only callers, no peers or operators.
  struct CallerEndpoint {
    CallerEndpoint(Driver* driver, wire::EventLoop* loop);

    wire::HttpServer server;
    wire::CallerApi api;
  };

  bool Listen(wire::HttpServer* server, const std::string& address,
              base::Failure* reason);
  void Tick();
  void Handle(const core::Input& input);
  void SendOutputs();
  void Send(const core::Output& output);
  wire::CallerApi& ApiForToken(core::CallerToken token);
  void OnLimit(const wire::LimitReport& report);
  void OnShutdownComplete();
  // Stops the event loop if no request is open and nothing is left to send.
  void StopIfFlushed();

  wire::EventLoop* loop_;
  settings::DaemonSettings settings_;
  core::Counters counters_;
  core::Node node_;
  ChangeLog change_log_;
  wire::HttpServer server_;
  wire::LimitWatch limit_watch_;
  wire::HttpClient peer_http_;
  wire::HttpClient backend_http_;
  wire::HttpClient platform_http_;
  wire::PeerLink peer_link_;
  wire::PeerServer peer_server_;
  wire::BackendClient backend_client_;
  wire::PlatformClient platform_client_;
  wire::CallerApi caller_api_;
  wire::StatusPages status_pages_;
  // Present if the settings give callers a separate address.
  std::optional<CallerEndpoint> caller_endpoint_;
  bool shutting_down_ = false;
  // Whether the core has reported that its handover is complete.
  bool handover_complete_ = false;
  wire::Timer shutdown_timer_;
  wire::PeriodicTimer tick_timer_;
};

}  // namespace dotterelbarrow::daemon

#endif  // DOTTERELBARROW_SRC_DAEMON_DRIVER_H_
