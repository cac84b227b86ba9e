// Simulates a whole cell in virtual time: the real scheduler with models of the
// workers and the store, and a network that loses and delays messages. Records
// each violation of the scheduler's guarantees.
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

// The rates of the faults, in thousandths.
struct Faults {
  int commands_lost = 0;
  int answers_lost = 0;
  // Commands that are not answered, and executed 2 to 8 s later.
  int commands_late = 0;
  int runs_failing = 50;
};

class PrintableLog : public core::scheduler::DecisionLog {
 public:
  void Write(std::string_view event,
             std::initializer_list<core::scheduler::LogField> fields) override;
  // Whether to print each decision, for debugging.
  bool is_printing = false;
};

class Cell {
 public:
  Cell(std::uint32_t seed, int workers);

  Faults faults;

  std::int64_t now_ms() const { return now_ms_; }
  // Advances virtual time by `duration_ms`.
  void Run(std::int64_t duration_ms);

  // Submits a job; accepted() lists it once the owner has accepted it.
  core::jobs::JobKey Submit(core::jobs::JobSpec spec);
  core::jobs::JobKey SubmitAny();
  void CancelAny();

  // Ends the owner's process; another one takes over some time later. The write
  // in progress may be stored or lost.
  void ChangeOwner();
  // Starts the next owner at once, while the previous owner continues to run,
  // unaware of its successor.
  void ChangeOwnerKeepingPrevious();
  void CutWorker(std::size_t index, bool is_cut);
  // Crashes the worker. It is back after 0.5 to 4 s.
  void CrashWorker(std::size_t index);
  // From now on, each start of a task of this job crashes its worker
  // `deadly_after_ms` later. Only the first task of the first step does so if
  // `first_task_only`.
  void MakeDeadly(core::jobs::JobKey job, bool first_task_only);
  // Sets the worker's processors; it has `kWorkerCores` at first.
  void ResizeWorker(std::size_t index, std::int64_t cores);
  std::int64_t deadly_after_ms = 10;
  // Whether a restarted worker has a new id. Its address remains the same.
  bool renames_workers = false;
  std::optional<core::jobs::JobState> StateOf(core::jobs::JobKey job) const {
    return owners_.back()->scheduler->StateOf(job);
  }
  // The number of workers that deadly tasks have crashed.
  std::size_t task_crashes() const { return task_crashes_; }
  // The number of runs of other tasks that ended with those workers.
  std::size_t victims() const { return victims_; }
  std::size_t workers() const { return workers_.size(); }

  // Ends all faults and runs the cell until all accepted jobs have finished.
  // Returns whether they finished in time.
  bool Mend();
  // Lists the accepted jobs that have not finished, with their states.
  std::string Unfinished() const;

  // Prints the scheduler's decisions from now on, for debugging.
  void Loud() { log_.is_printing = true; }

  const std::vector<std::string>& broken() const { return broken_; }
  const std::set<core::jobs::JobKey>& accepted() const { return accepted_; }
  std::uint64_t starts() const { return starts_; }
  const core::Counters& counters() const { return counters_; }

 private:
  // An owner during one term of ownership.
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
  // Delivers a command to its worker and the answer to the owner, subject to
  // the faults of the network. The worker may hold the answer for `wait_ms`.
  void Deliver(const std::shared_ptr<Owner>& owner,
               const core::scheduler::WorkerAddress& worker,
               const std::function<CommandOutcome(WorkerModel*)>& order,
               const std::function<void(CommandOutcome, std::int64_t)>& answer,
               std::int64_t wait_ms = 0);
  void WriteBatch(const std::shared_ptr<Owner>& owner);
  void Store(const core::scheduler::RecordBatch& batch);
  void CheckStart(const WorkerModel& worker, const TaskRef& task,
                  Attempt attempt);
  // Whether the advisor allows the step on the worker.
  bool IsAllowed(const base::BackendId& worker,
                 const core::jobs::StepRef& step) const;
  bool IsDeadly(const TaskRef& task) const;
  // Crashes the worker under the deadly task that it has just started.
  void CrashUnder(std::size_t index, const TaskRef& task, Attempt attempt);
  // Returns the index of the worker at this address.
  std::size_t IndexOf(const std::string& address) const;
  void Break(const std::string& what) { broken_.push_back(what); }
  RunPlan PlanOf(const TaskRef& task);

  PrintableLog log_;
  core::Counters counters_;
  std::mt19937 random_;
  std::int64_t now_ms_ = 1000;
  std::uint64_t next_event_ = 0;
  std::map<std::pair<std::int64_t, std::uint64_t>, Event> events_;
  std::shared_ptr<core::desired::DesiredState> desired_;
  std::vector<std::unique_ptr<WorkerModel>> workers_;
  std::set<std::size_t> cut_;
  // Crashed workers whose machine is gone too, so that nothing refuses
  // connections.
  std::set<std::size_t> dark_;
  std::vector<std::shared_ptr<Owner>> owners_;
  std::uint64_t last_token_ = 0;
  std::uint64_t last_job_ = 0;
  std::uint64_t last_waiter_ = 0;
  std::uint64_t starts_ = 0;
  std::map<core::jobs::JobKey, core::jobs::JobSpec> specs_;
  std::set<core::jobs::JobKey> accepted_;
  std::set<core::jobs::JobKey> cancelled_;
  // Tasks whose success the owner has acknowledged to a worker.
  std::set<TaskRef> acknowledged_done_;
  // Deadly jobs, and whether only their first task is deadly.
  std::map<core::jobs::JobKey, bool> deadly_;
  // For each deadly task, how often it was started, and the number of the start
  // that was its third crash.
  struct CrashCount {
    std::uint64_t starts = 0;
    std::uint64_t crashes = 0;
    std::uint64_t starts_at_third_crash = 0;
  };
  std::map<TaskRef, CrashCount> crash_counts_;
  std::size_t task_crashes_ = 0;
  std::size_t victims_ = 0;
  std::uint64_t last_rename_ = 0;
  // The contents of the store.
  std::map<core::scheduler::RecordTable, std::map<std::string, std::string>>
      rows_;
  std::vector<std::string> broken_;
};

}  // namespace dotterelbarrow::test

#endif  // DOTTERELBARROW_TEST_FUZZ_SCHEDULER_CELL_H_
