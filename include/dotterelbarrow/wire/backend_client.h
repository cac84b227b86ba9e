// Sends the core's commands to backend servers over HTTP and receives the
// unsolicited reports that backend servers post.
#ifndef DOTTERELBARROW_WIRE_BACKEND_CLIENT_H_
#define DOTTERELBARROW_WIRE_BACKEND_CLIENT_H_

#include <functional>
#include <string>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/wire/http_client.h"
#include "dotterelbarrow/wire/http_server.h"

namespace dotterelbarrow::wire {

class BackendClient {
 public:
  using Deliver = std::function<void(core::Input)>;

  // Calls `deliver` exactly once for each command, with the command's result,
  // and once for each valid report. If no valid answer to a sync arrives within
  // `sync_timeout`, the result is core::BackendUnreachable. All pointers must
  // outlive this object.
  BackendClient(HttpClient* client, base::Duration sync_timeout,
                Deliver deliver, core::Counters* counters);
  BackendClient(const BackendClient&) = delete;
  BackendClient& operator=(const BackendClient&) = delete;

  // Adds the route on which backend servers post reports to `server`.
  void AddReportRoute(HttpServer* server);

  void Send(const core::ToBackend& message);

 private:
  void SendSync(const std::string& address, const core::BackendSync& sync);
  void SendRun(const std::string& address, const core::RunCommand& command);
  void OnSynced(const base::BackendId& backend, const HttpResult& result);
  void OnRun(const core::RunCommand& command, const HttpResult& result);

  HttpClient* client_;
  base::Duration sync_timeout_;
  Deliver deliver_;
  core::Counters* counters_;
};

}  // namespace dotterelbarrow::wire

#endif  // DOTTERELBARROW_WIRE_BACKEND_CLIENT_H_
