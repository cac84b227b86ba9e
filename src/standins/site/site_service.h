// A simulated site: store, workers, advisor and the operator's desired state.
// Through the control address, the soak test injects faults and reads the
// ledger of what the workers saw.
#ifndef DOTTERELBARROW_STANDINS_SITE_SITE_SERVICE_H_
#define DOTTERELBARROW_STANDINS_SITE_SITE_SERVICE_H_

#include <json/json.h>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "dotterelbarrow/wire/event_loop.h"
#include "dotterelbarrow/wire/http_server.h"
#include "src/standins/site/advisor_service.h"
#include "src/standins/site/faults.h"
#include "src/standins/site/store_service.h"
#include "src/standins/site/worker_service.h"

namespace dotterelbarrow::standins::site {

struct SiteOptions {
  // Addresses to serve on, each "ip:port".
  std::string store;
  std::string advisor;
  std::string control;
  // IP address of the workers. Worker n listens on first_worker_port + n.
  std::string worker_ip;
  int first_worker_port = 0;
  int workers = 0;
  int cores = 0;
  std::uint32_t seed = 1;
};

class SiteService {
 public:
  SiteService(wire::EventLoop* loop, const SiteOptions& options);

  // Starts all services. Returns false and sets `reason` if one can't listen.
  bool Listen(base::Failure* reason);

 private:
  void Tick();
  void OnFault(const wire::HttpRequest& request);
  void OnTruth(const wire::HttpRequest& request);
  // Performs the control request {"worker", "do"}, where "do" is "crash",
  // "leave", "drain" or "restart".
  // `duration_ms` is for how long a restarted worker is down.
  void ControlWorker(const std::string& id, const std::string& operation,
                     std::int64_t duration_ms);
  // Performs the control request {"evacuate", "active", "bound_ms"}: writes or
  // removes the row that requests the evacuation of the zone. If there is a
  // bound, the ledger checks that nothing is started later than that.
  void Evacuate(const std::string& zone, const Json::Value& body);

  wire::EventLoop* loop_;
  SiteOptions options_;
  std::mt19937 random_;
  DelayedCalls delayed_calls_;
  TaskLedger ledger_;
  SilenceSeries silences_;
  StoreService store_;
  AdvisorService advisor_;
  wire::HttpServer control_;
  std::map<std::string, std::unique_ptr<WorkerService>> workers_;
  wire::PeriodicTimer tick_timer_;
};

}  // namespace dotterelbarrow::standins::site

#endif  // DOTTERELBARROW_STANDINS_SITE_SITE_SERVICE_H_
