// A whole site: store, workers, advisor, the operator's desired state, and an
// address by which the soak causes faults and asks for the truth.
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
#include "src/standins/site/store_service.h"
#include "src/standins/site/worker_service.h"

namespace dotterelbarrow::standins::site {

struct SiteOptions {
  std::string store;
  std::string advisor;
  std::string control;
  // "ip" and the first worker's port; the others follow.
  std::string worker_ip;
  int first_worker_port = 0;
  int workers = 0;
  int cores = 0;
  std::uint32_t seed = 1;
};

class SiteService {
 public:
  SiteService(wire::EventLoop* loop, const SiteOptions& options);

  bool Listen(base::Failure* reason);

 private:
  void Tick();
  void OnFault(const wire::HttpRequest& request);
  void OnTruth(const wire::HttpRequest& request);
  // Carries out {"worker","do"}: "crash", "leave", "drain" or "restart".
  void DoToWorker(const std::string& id, const std::string& what);

  wire::EventLoop* loop_;
  SiteOptions options_;
  std::mt19937 random_;
  DelayedCalls later_;
  TaskLedger ledger_;
  StoreService store_;
  AdvisorService advisor_;
  wire::HttpServer control_;
  std::map<std::string, std::unique_ptr<WorkerService>> workers_;
  wire::PeriodicTimer tick_timer_;
};

}  // namespace dotterelbarrow::standins::site

#endif  // DOTTERELBARROW_STANDINS_SITE_SITE_SERVICE_H_
