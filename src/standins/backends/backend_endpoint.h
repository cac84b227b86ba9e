// Serves one BackendModel over HTTP on its own port, with the protocol of
// docs/WIRE.md, and sends its reports to the owner. For tests it also serves
//
//   POST /v1/fault  {"mode":"none|frozen|silent|answer_lost|
//                    fails_everything|dead", "for_ms":N}
//   GET  /v1/stats  epoch, lease and use
#ifndef DOTTERELBARROW_STANDINS_BACKENDS_BACKEND_ENDPOINT_H_
#define DOTTERELBARROW_STANDINS_BACKENDS_BACKEND_ENDPOINT_H_

#include <json/value.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "dotterelbarrow/base/failure.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/wire/event_loop.h"
#include "dotterelbarrow/wire/http_client.h"
#include "dotterelbarrow/wire/http_server.h"
#include "src/standins/backends/backend_model.h"

namespace dotterelbarrow::standins {

class BackendEndpoint {
 public:
  // `loop`, `client` and `ledger` must outlive this object.
  BackendEndpoint(const wire::EventLoop* loop, wire::HttpClient* client,
                  RunLedger* ledger, const core::HostRecord& host,
                  std::size_t max_connections);
  BackendEndpoint(const BackendEndpoint&) = delete;
  BackendEndpoint& operator=(const BackendEndpoint&) = delete;

  // Starts to serve on the host record's address. Returns false and sets
  // `reason` on failure.
  bool Listen(base::Failure* reason);

  // Sets a fault. It is cleared after `lasts`; if that is zero, it stays until
  // the next call.
  void SetFault(BackendFault fault, base::Duration lasts);
  // Sets the fault given as {"mode":..., "for_ms":...}. Returns false if
  // `json` names no known mode.
  bool ApplyFault(const Json::Value& json);

  const base::BackendId& backend() const { return model_.traits().backend; }
  Json::Value Stats() const;

 private:
  void OnSync(const wire::HttpRequest& request);
  void OnRun(const wire::HttpRequest& request);
  void OnFault(const wire::HttpRequest& request);
  // Handles the requests that arrived while the backend server was frozen. A
  // real host that resumes finds such requests in its socket buffers.
  void HandleDelayed();
  // Replies to finished requests, sends a report if one is due, and sets the
  // timer for the model's next event.
  void Update();
  void SendReport(const core::BackendReport& report);
  void Reply(wire::ExchangeId exchange, std::string body);

  wire::HttpClient* client_;
  std::string address_;
  BackendModel model_;
  wire::HttpServer server_;
  wire::Timer event_timer_;
  wire::Timer fault_end_timer_;
  // HTTP exchanges of running requests, by the model's execution number.
  std::map<std::uint64_t, wire::ExchangeId> running_exchanges_;
  // Requests that arrived while the backend server was frozen.
  std::vector<std::function<void()>> delayed_requests_;
};

}  // namespace dotterelbarrow::standins

#endif  // DOTTERELBARROW_STANDINS_BACKENDS_BACKEND_ENDPOINT_H_
