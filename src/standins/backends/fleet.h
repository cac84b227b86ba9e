// All simulated backend servers of one stand-in process, the run ledger that
// they share, and the control port, which serves
//
//   GET  /v1/stats             the ledger's totals, each team's use by kind,
//                              and the runs under each idempotency key
//   GET  /v1/backends          each backend server's stats
//   GET  /v1/runs?team=&request=  run counts of each task of one job or
//                              request; without "request", of all jobs and
//                              requests of the team
//   POST /v1/fault             {"mode":..., "for_ms":N, "backends":[id...]};
//                              without "backends", sets it on all
#ifndef DOTTERELBARROW_STANDINS_BACKENDS_FLEET_H_
#define DOTTERELBARROW_STANDINS_BACKENDS_FLEET_H_

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dotterelbarrow/base/failure.h"
#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/wire/event_loop.h"
#include "dotterelbarrow/wire/http_client.h"
#include "dotterelbarrow/wire/http_server.h"
#include "src/standins/backends/backend_endpoint.h"
#include "src/standins/backends/run_ledger.h"

namespace dotterelbarrow::standins {

class Fleet {
 public:
  // `loop` must outlive this object.
  explicit Fleet(const wire::EventLoop* loop);

  // Starts a simulated backend server on the address of `host`. Returns false
  // and sets `reason` if it can't listen there.
  bool Add(const core::HostRecord& host, std::size_t max_connections,
           base::Failure* reason);
  // Serves the control port on "ip:port". Returns false and sets `reason` on
  // failure.
  bool ListenControl(const std::string& address, base::Failure* reason);

 private:
  void AddRoutes();
  wire::HttpReply StatsPage() const;
  wire::HttpReply BackendsPage() const;
  wire::HttpReply RunsPage(const wire::HttpRequest& request) const;
  wire::HttpReply PostFault(const wire::HttpRequest& request);

  const wire::EventLoop* loop_;
  RunLedger ledger_;
  wire::HttpClient client_;
  wire::HttpServer control_;
  std::map<base::BackendId, std::unique_ptr<BackendEndpoint>> backends_;
};

}  // namespace dotterelbarrow::standins

#endif  // DOTTERELBARROW_STANDINS_BACKENDS_FLEET_H_
