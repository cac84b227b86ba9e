// The stand-in platform over HTTP: table service, object store and host list,
// with the protocol of docs/WIRE.md, and the control requests for tests:
//
//   PUT  /v1/hosts   {"hosts":[HostRecord...]}
//   POST /v1/fault   {"mode":"none|down|silent|slow|answer_lost",
//                     "delay_ms":N, "for_ms":N, "only_from":[port...]}
//   GET  /v1/stats   counts of requests, rows and bytes
//
// A fault affects the table service, the object store and reads of the host
// list, not the control requests.
#ifndef DOTTERELBARROW_STANDINS_PLATFORM_PLATFORM_SERVICE_H_
#define DOTTERELBARROW_STANDINS_PLATFORM_PLATFORM_SERVICE_H_

#include <json/value.h>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dotterelbarrow/base/failure.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/wire/event_loop.h"
#include "dotterelbarrow/wire/http_server.h"
#include "src/standins/platform/lagging_host_list.h"
#include "src/standins/platform/platform_fault.h"
#include "src/standins/platform/table_model.h"

namespace dotterelbarrow::standins {

// Counts since the start of the process.
struct PlatformStats {
  std::uint64_t transactions = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t rows_written = 0;
  std::uint64_t reads = 0;
  std::uint64_t rows_read = 0;
  std::uint64_t object_writes = 0;
  std::uint64_t object_reads = 0;
  std::uint64_t host_reads = 0;
  // Requests that were affected by a fault.
  std::uint64_t struck = 0;
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
};

class PlatformService {
 public:
  // `loop` must outlive this object.
  PlatformService(const wire::EventLoop* loop, base::Duration host_list_lag);

  // Replaces the host list at once.
  void SetHosts(std::vector<core::HostRecord> hosts) {
    hosts_.Reset(std::move(hosts));
  }
  // Serves on "ip:port"; may be called for several addresses. Returns false and
  // sets `reason` if it can't listen there.
  bool Listen(const std::string& address, base::Failure* reason);

 private:
  struct ListeningPort {
    std::uint16_t port = 0;
    std::unique_ptr<wire::HttpServer> server;
  };
  using RequestHandler =
      std::function<wire::HttpReply(const wire::HttpRequest&)>;

  void AddRoutes(ListeningPort* listener);
  // Adds a route whose requests are subject to faults.
  void RouteWithFaults(ListeningPort* listener, wire::HttpMethod method,
                       const std::string& path, RequestHandler handler);
  // Sends `reply` after the fault's delay.
  void ReplyLater(ListeningPort* listener, wire::ExchangeId exchange,
                  wire::HttpReply reply);

  wire::HttpReply Transact(const wire::HttpRequest& request);
  wire::HttpReply ReadRows(const wire::HttpRequest& request);
  wire::HttpReply PutObject(const wire::HttpRequest& request);
  wire::HttpReply DeleteObject(const wire::HttpRequest& request);
  wire::HttpReply ReadObject(const wire::HttpRequest& request);
  wire::HttpReply ReadHosts();
  wire::HttpReply PutHosts(const wire::HttpRequest& request);
  wire::HttpReply PostFault(const wire::HttpRequest& request);
  wire::HttpReply StatsPage() const;

  const wire::EventLoop* loop_;
  TableModel table_;
  LaggingHostList hosts_;
  PlatformFault fault_;
  PlatformStats stats_;
  // A list, because request handlers hold pointers to its elements.
  std::list<ListeningPort> listeners_;
  // Timers of the replies delayed by kSlow, by number.
  std::map<std::uint64_t, std::unique_ptr<wire::Timer>> delayed_replies_;
  std::uint64_t last_delayed_reply_ = 0;
};

}  // namespace dotterelbarrow::standins

#endif  // DOTTERELBARROW_STANDINS_PLATFORM_PLATFORM_SERVICE_H_
