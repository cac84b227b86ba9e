// One worker over HTTP: its orders, its registration, its faults.
#ifndef DOTTERELBARROW_STANDINS_SITE_WORKER_SERVICE_H_
#define DOTTERELBARROW_STANDINS_SITE_WORKER_SERVICE_H_

#include <json/json.h>

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dotterelbarrow/wire/event_loop.h"
#include "dotterelbarrow/wire/http_server.h"
#include "src/standins/site/delayed_calls.h"
#include "src/standins/site/faults.h"
#include "src/standins/site/store_service.h"
#include "src/standins/site/task_ledger.h"
#include "src/standins/site/worker_model.h"

namespace dotterelbarrow::standins::site {

// What the workers of one site share.
struct Site {
  DelayedCalls* later = nullptr;
  StoreService* store = nullptr;
  TaskLedger* ledger = nullptr;
  std::mt19937* random = nullptr;
};

class WorkerService {
 public:
  // `slowness_permille` is what its clock loses.
  WorkerService(const wire::EventLoop& loop, Site site,
                core::workers::Listing listing, std::int64_t slowness_permille);

  bool Listen(base::Failure* reason);
  WorkerModel* model() { return &model_; }
  // Lets time pass: runs end, looks that waited are answered, the registration
  // is written.
  void Tick();

  void SetFault(WorkerFault fault, int permille) {
    fault_ = fault;
    permille_ = permille;
  }
  // Its process ends and comes back as another life.
  void Crash();
  void Restart();
  // It takes no more work by its registration, and leaves some time later.
  void Drain() { is_draining_ = true; }

 private:
  struct WaitingLook {
    wire::ExchangeId exchange;
    std::int64_t until_ms = 0;
  };

  // Calls `order`, at once, late or never, as the fault has it.
  void Carry(
      const wire::HttpRequest& request,
      const std::function<void(const Json::Value&, bool is_answered)>& order);
  // The same for an order that names a task; answers with its outcome.
  void CarryRun(const wire::HttpRequest& request,
                const std::function<CommandOutcome(const core::jobs::TaskRef&,
                                                   const Json::Value&)>& order);
  void OnStart(const wire::HttpRequest& request);
  void OnStop(const wire::HttpRequest& request);
  void OnLook(const wire::HttpRequest& request);
  void AnswerLooks();
  void Answer(wire::ExchangeId exchange, CommandOutcome outcome);
  void Advance();
  void NoteEnds();
  void Register();
  bool Chance();

  wire::HttpServer server_;
  Site site_;
  WorkerModel model_;
  WorkerFault fault_ = WorkerFault::kNone;
  int permille_ = 0;
  bool is_draining_ = false;
  bool was_overloaded_ = false;
  std::uint64_t ends_noted_ = 0;
  std::vector<WaitingLook> looks_;
  std::int64_t next_heartbeat_ms_ = 0;
  std::uint64_t heartbeats_ = 0;
};

}  // namespace dotterelbarrow::standins::site

#endif  // DOTTERELBARROW_STANDINS_SITE_WORKER_SERVICE_H_
