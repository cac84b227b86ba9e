// Serves a WorkerModel over HTTP in place of one worker: handles commands and
// polls, writes the worker's registration, and injects faults.
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

// Objects that the workers of one site share. All must outlive the workers.
struct Site {
  DelayedCalls* delayed_calls = nullptr;
  StoreService* store = nullptr;
  TaskLedger* ledger = nullptr;
  SilenceSeries* silences = nullptr;
  std::mt19937* random = nullptr;
};

class WorkerService {
 public:
  // `loop` must outlive this object. `clock_loss_permille` is how much slower
  // the worker's clock runs, in thousandths.
  WorkerService(const wire::EventLoop& loop, Site site,
                core::workers::Listing listing,
                std::int64_t clock_loss_permille);

  // Starts to serve on the address of the listing. Returns false and sets
  // `reason` on failure.
  bool Listen(base::Failure* reason);
  WorkerModel* model() { return &model_; }
  // Ends the runs that are due, answers the long polls that are due, and writes
  // the registration once per heartbeat period. Must be called regularly.
  void Tick();

  // `permille` is the share of the calls that kLate affects.
  void SetFault(WorkerFault fault, int permille) {
    fault_ = fault;
    permille_ = permille;
  }
  // While `hears` is true, the worker hears only calls under a token of the
  // term whose highest token is `term`, else all but those; the others have no
  // effect and get no answer. Term 0 ends this.
  void SetTerm(FencingToken term, bool hears) {
    term_ = term;
    hears_term_ = hears;
  }
  // Crash ends the worker's process. Restart brings it back as another
  // incarnation; it has no effect while the worker is up.
  void Crash();
  void Restart();
  // Crashes the worker, and restarts it after this time. Its machine takes
  // calls all the while: those that come meanwhile are executed by the next
  // incarnation.
  void RestartUnnoticed(std::int64_t down_ms);
  // Changes the processors that the worker has, and says so at once.
  void Resize(base::Millicores cpu);
  // Lets the registration say that the worker accepts no new work.
  void Drain() { is_draining_ = true; }

 private:
  struct WaitingPoll {
    wire::ExchangeId exchange;
    std::int64_t until_ms = 0;
    FencingToken token;
  };

  // Parses the request and calls `command` with its body: at once, late or
  // never, as the fault requires. A call made late must not be answered.
  void HandleCall(
      const wire::HttpRequest& request,
      const std::function<void(const Json::Value&, bool is_answered)>& command);
  // As above, for a command that names a task; replies with its outcome.
  void HandleRunCommand(
      const wire::HttpRequest& request,
      const std::function<CommandOutcome(const core::jobs::TaskRef&,
                                         const Json::Value&)>& command);
  // Returns whether calls have no effect and get no answer now.
  bool IsSilent() const;
  // Returns whether the caller that has this token is reached by the worker.
  bool Hears(FencingToken token) const;
  void OnStart(const wire::HttpRequest& request);
  void OnStop(const wire::HttpRequest& request);
  void OnPoll(const wire::HttpRequest& request);
  // Answers all waiting polls if there are run ends, else those whose wait is
  // over.
  void AnswerPolls();
  void Answer(wire::ExchangeId exchange, CommandOutcome outcome);
  void Advance();
  // Lets the task's run crash this worker after the time that its plan says.
  void CrashUnder(const core::jobs::TaskRef& task, Attempt attempt,
                  std::int64_t after_ms);
  // Reports new run ends to the ledger.
  void RecordRunEnds();
  // Writes the worker's registration, which is also its heartbeat.
  void WriteRegistration();
  // Returns true with a probability of permille_ / 1000.
  bool DrawFault();

  wire::HttpServer server_;
  Site site_;
  WorkerModel model_;
  WorkerFault fault_ = WorkerFault::kNone;
  int permille_ = 0;
  FencingToken term_;
  bool hears_term_ = false;
  // The end of a silence that began with a start.
  std::int64_t silent_until_ms_ = 0;
  bool is_draining_ = false;
  bool was_overloaded_ = false;
  std::uint64_t last_recorded_end_ = 0;
  std::vector<WaitingPoll> polls_;
  bool is_restarting_unnoticed_ = false;
  // Calls for the next incarnation.
  std::vector<std::function<void()>> waiting_calls_;
  std::int64_t next_heartbeat_ms_ = 0;
  std::uint64_t heartbeats_ = 0;
};

}  // namespace dotterelbarrow::standins::site

#endif  // DOTTERELBARROW_STANDINS_SITE_WORKER_SERVICE_H_
