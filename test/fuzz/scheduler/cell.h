// A whole cell in virtual time: the real scheduler, model workers, a model of
// the store, and a network that loses and delays. Notes each broken promise.
#ifndef DOTTERELBARROW_TEST_FUZZ_SCHEDULER_CELL_H_
#define DOTTERELBARROW_TEST_FUZZ_SCHEDULER_CELL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dotterelbarrow/core/scheduler/scheduler.h"
#include "src/standins/site/worker_model.h"

namespace dotterelbarrow::test {

using standins::site::Attempt;
using standins::site::CommandOutcome;
using standins::site::FencingToken;
using standins::site::ListedEnd;
using standins::site::PollResult;
using standins::site::RunEnd;
using standins::site::RunPlan;
using standins::site::TaskRef;
using standins::site::WorkerModel;

// How much goes wrong, in thousandths.
struct Faults {
  int orders_lost = 0;
  int answers_lost = 0;
  // Unanswered, and carried out 2 to 8 s later.
  int orders_late = 0;
  int runs_failing = 50;
};

class SilentLog : public core::scheduler::DecisionLog {
 public:
  void Write(std::string_view event,
             std::initializer_list<core::scheduler::LogField> fields) override;
  // Prints what is written, to follow a run by hand.
  bool is_loud = false;
};

class Cell {
 public:
  Cell(std::uint32_t seed, int workers);

  Faults faults;

  std::int64_t now_ms() const { return now_ms_; }
  // Lets time pass.
  void Run(std::int64_t duration_ms);

  // Hands a job in; it counts as accepted once the owner says so.
  core::jobs::JobKey Submit(core::jobs::JobSpec spec);
  core::jobs::JobKey SubmitAny();
  void CancelAny();

  // The owner's process ends; another one takes over some time later. What it
  // was writing may be stored or not.
  void ChangeOwner();
  // A former owner that doesn't know goes on beside the next one, which begins
  // at once.
  void ChangeOwnerBesideFormer();
  void CutWorker(std::size_t index, bool is_cut);
  void CrashWorker(std::size_t index);
  std::size_t workers() const { return workers_.size(); }

  // Stops all faults, and lets the cell come to rest; returns whether every
  // job that was accepted came to its end.
  bool Mend();
  // What the jobs that aren't ended are waiting for.
  std::string Unfinished() const;

  // Prints what the scheduler decides.
  void Loud() { log_.is_loud = true; }

  const std::vector<std::string>& broken() const { return broken_; }
  const std::set<core::jobs::JobKey>& accepted() const { return accepted_; }
  std::uint64_t starts() const { return starts_; }

 private:
  // One term of an owner.
  struct Owner {
    std::unique_ptr<core::scheduler::Scheduler> scheduler;
    FencingToken token;
    bool is_alive = true;
    std::optional<core::scheduler::RecordBatch> writing;
    std::int64_t write_ends_ms = 0;
    std::map<core::scheduler::WaiterId, core::jobs::JobKey> waiters;
  };
  using Event = std::function<void()>;

  base::TimePoint Now() const {
    return base::TimePoint(std::chrono::milliseconds(now_ms_));
  }
  bool Chance(int permille);
  std::int64_t Between(std::int64_t least, std::int64_t most);
  void After(std::int64_t delay_ms, Event event);

  void BeginTerm();
  void Step();
  void StepOwner(const std::shared_ptr<Owner>& owner);
  void CarryOut(const std::shared_ptr<Owner>& owner,
                const core::scheduler::Action& action);
  // Brings an order to its worker and its answer back, as the network does.
  void Deliver(const std::shared_ptr<Owner>& owner, const std::string& worker,
               const std::function<CommandOutcome(WorkerModel*)>& order,
               const std::function<void(CommandOutcome, std::int64_t)>& answer);
  void WriteBatch(const std::shared_ptr<Owner>& owner);
  void Store(const core::scheduler::RecordBatch& batch);
  void CheckStart(const WorkerModel& worker, const TaskRef& task,
                  Attempt attempt);
  void Break(const std::string& what) { broken_.push_back(what); }
  RunPlan PlanOf(const TaskRef& task);

  SilentLog log_;
  core::Counters counters_;
  std::mt19937 random_;
  std::int64_t now_ms_ = 1000;
  std::uint64_t next_event_ = 0;
  std::map<std::pair<std::int64_t, std::uint64_t>, Event> events_;
  std::shared_ptr<core::desired::DesiredState> desired_;
  std::vector<std::unique_ptr<WorkerModel>> workers_;
  std::set<std::size_t> cut_;
  std::vector<std::shared_ptr<Owner>> owners_;
  std::uint64_t last_token_ = 0;
  std::uint64_t last_job_ = 0;
  std::uint64_t last_waiter_ = 0;
  std::uint64_t starts_ = 0;
  std::map<core::jobs::JobKey, core::jobs::JobSpec> specs_;
  std::set<core::jobs::JobKey> accepted_;
  std::set<core::jobs::JobKey> cancelled_;
  // Tasks whose success was acknowledged to a worker.
  std::set<TaskRef> acknowledged_done_;
  // What the store holds.
  std::map<core::scheduler::RecordTable, std::map<std::string, std::string>>
      rows_;
  std::vector<std::string> broken_;
};

}  // namespace dotterelbarrow::test

#endif  // DOTTERELBARROW_TEST_FUZZ_SCHEDULER_CELL_H_
