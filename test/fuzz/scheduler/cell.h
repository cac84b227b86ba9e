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
  // Runs of steps that allow copies that take kSlowFactor times as long.
  int runs_slow = 150;
};

class PrintableLog : public core::scheduler::DecisionLog {
 public:
  void Write(std::string_view event,
             std::initializer_list<core::scheduler::LogField> fields) override;
  // Whether to print each decision, for debugging.
  bool is_printing = false;
  // The virtual time to print with each line; null for none.
  const std::int64_t* now_ms = nullptr;
  // Called for each decision to stop a run for a waiting step, with the task
  // and the step.
  std::function<void(const std::string& task, const std::string& for_step)>
      on_preempted;
};

class Cell {
 public:
  // Low enough for the cap to take effect: 3/8 of the cores of eight workers.
  static constexpr std::int64_t kCapCores = 48;
  // The organisation with the cap, and one without.
  static constexpr const char* kOrganisation = "organisation";
  static constexpr const char* kUncapped = "uncapped";
  // The label of the first worker.
  static constexpr const char* kRareLabel = "rare";
  static constexpr std::int64_t kWorkerCores = 16;
  static constexpr std::int64_t kWorkerMemory = 64;
  // How long a stop takes at most, and how much longer a resumed run takes.
  static constexpr core::placement::PreemptionSettings kPreemption{
      .stop_timeout = std::chrono::milliseconds(400),
      .restore_time = std::chrono::milliseconds(250)};

  Cell(std::uint32_t seed, int workers, std::int64_t cap_cores = kCapCores,
       core::placement::PreemptionSettings preemption = kPreemption);

  Faults faults;

  std::int64_t now_ms() const { return now_ms_; }
  // Advances virtual time by `duration_ms`.
  void Run(std::int64_t duration_ms);

  // Submits a job; accepted() lists it once the owner has accepted it.
  core::jobs::JobKey Submit(core::jobs::JobSpec spec);
  core::jobs::JobKey Submit(core::jobs::JobSpec spec, const std::string& queue,
                            const std::string& organisation = kOrganisation);
  core::jobs::JobKey SubmitAny();
  // Submit a batch job of the lowest priority, with checkpoints more often than
  // not, and a job of the highest one with little slack. They need little of
  // the processors and much of the memory, so that workers are full although
  // the cap isn't reached.
  core::jobs::JobKey SubmitBatch();
  core::jobs::JobKey SubmitLookup();
  void CancelAny();

  // Ends the owner's process; another one takes over some time later. The write
  // in progress may be stored or lost.
  void ChangeOwner();
  // The same, and the next owner knows that the previous one has stopped.
  void ReplaceStoppedOwner();
  // Starts the next owner at once, while the previous owner continues to run,
  // unaware of its successor.
  void ChangeOwnerKeepingPrevious();
  void CutWorker(std::size_t index, bool is_cut);
  // Cuts the worker for `duration_ms`. The list of workers names it all the
  // same if `is_listed`, like one that still reaches the store.
  void SilenceWorker(std::size_t index, std::int64_t duration_ms,
                     bool is_listed);
  // The next `starts` starts of tasks of this job are followed by such a cut of
  // the worker. Half of these workers are listed meanwhile.
  void SilenceStartsOf(core::jobs::JobKey job, int starts);
  // How long after a start its worker is cut at most, and for how long.
  std::int64_t max_silence_delay_ms = 40;
  std::int64_t min_silence_ms = 4000;
  std::int64_t max_silence_ms = 20'000;
  // Whether a cut also ends the calls under way, so that they are neither
  // executed nor answered, and polls are held until a run ends. Commands that
  // the worker has received and executes late are executed all the same.
  bool has_hard_cuts = false;
  // Partitions the newest owner together with these workers: it reaches neither
  // the store nor other workers, and later owners don't reach these.
  void IsolateOwner(const std::set<std::size_t>& with_workers);
  // Ends that partition.
  void EndIsolation();
  // While the store is down, no write ends.
  void SetStoreDown(bool is_down) { is_store_down_ = is_down; }
  // Crashes the worker. It is back after 0.5 to 4 s.
  void CrashWorker(std::size_t index);
  // Crashes the worker without a trace on the network. It is back after
  // `down_ms`, with a clock of its own; commands that were sent meanwhile, or
  // were under way, reach its next incarnation.
  void RestartWorkerUnnoticed(std::size_t index, std::int64_t down_ms);
  // From now on, each start of a task of this job crashes its worker
  // `deadly_after_ms` later. Only the first task of the first step does so if
  // `first_task_only`.
  void MakeDeadly(core::jobs::JobKey job, bool first_task_only);
  // Writes or removes the row that requests the evacuation of zone `number`. An
  // owner learns of it up to kMaxEvacuationDelayMs later, a new one at once.
  void SetEvacuation(int number, bool is_evacuated);
  // Removes the row if it exists, otherwise writes it.
  void ToggleEvacuation(int number);
  static constexpr int kZones = 3;
  static constexpr std::int64_t kMaxEvacuationDelayMs = 1500;
  // How many starts were sent to workers of the zone.
  std::uint64_t starts_in_zone(int number) const;
  // Sets the worker's processors; it has `kWorkerCores` at first.
  void ResizeWorker(std::size_t index, std::int64_t cores);
  std::int64_t deadly_after_ms = 10;
  // Whether a restarted worker has a new id. Its address remains the same.
  bool renames_workers = false;
  // Whether tasks run for as long as their callers estimate.
  bool runs_as_estimated = false;
  std::optional<core::jobs::JobState> StateOf(core::jobs::JobKey job) const {
    return owners_.back()->scheduler->StateOf(job);
  }
  // The number of workers that deadly tasks have crashed.
  std::size_t task_crashes() const { return task_crashes_; }
  // The number of runs of other tasks that ended with those workers.
  std::size_t victims() const { return victims_; }
  std::size_t workers() const { return workers_.size(); }

  // From now on, all runs of the job fail.
  void MakeHopeless(core::jobs::JobKey job) { hopeless_.insert(job); }
  // Whether any run of the job is active.
  bool IsRunning(core::jobs::JobKey job) const;
  // Returns the fraction of the workers' processors in use, and that of the cap
  // which its organisation uses.
  double FleetUse() const;
  double CapUse() const;

  // Ends all faults.
  void EndFaults();
  // Ends all faults and runs the cell until all accepted jobs have finished.
  // Returns whether they finished in time.
  bool Mend();
  // The number of starts whose workers were cut by SilenceStartsOf.
  std::size_t silences() const { return silences_; }
  // Lists the accepted jobs that have not finished, with their states.
  std::string Unfinished() const;

  // Prints the scheduler's decisions from now on, for debugging.
  void Loud() { log_.is_printing = true; }

  const std::vector<std::string>& broken() const { return broken_; }
  const std::set<core::jobs::JobKey>& accepted() const { return accepted_; }
  std::uint64_t starts() const { return starts_; }
  // The number of starts of tasks that had another run.
  std::uint64_t copies() const { return copies_; }
  // The number of runs that were stopped for waiting steps.
  std::size_t preemptions() const { return preemptions_; }
  const core::Counters& counters() const { return counters_; }

 private:
  // An owner during one term of ownership.
  struct Owner {
    std::unique_ptr<core::scheduler::Scheduler> scheduler;
    FencingToken token;
    bool is_alive = true;
    std::optional<core::scheduler::RecordBatch> writing;
    std::int64_t write_begun_ms = 0;
    std::int64_t write_ends_ms = 0;
    std::map<core::scheduler::WaiterId, core::jobs::JobKey> waiters;
    // The evacuated zones that it has read.
    std::set<base::AvailabilityZone> evacuated;
    // When the last write that is stored was begun.
    std::int64_t confirmed_ms = 0;
    // Whether it is on the side of the partition that has no store.
    bool is_isolated = false;
  };
  using Event = std::function<void()>;

  // The workers' own clocks, the store's, and the time of day have origins of
  // their own.
  std::int64_t StoreMillis() const { return now_ms_ + 7'000'000; }
  std::int64_t UnixMillis() const { return now_ms_ + 1'790'000'000'000; }
  // Checks that each job that the newest owner shows as failed has a task or
  // gang whose runs have failed max_attempts times, or have ended with the
  // crashes of at least two workers.
  void CheckFailedJobs();
  // Records that the worker crashes with its active runs.
  void RecordCrashedRuns(const WorkerModel& worker);
  base::TimePoint Now() const {
    return base::TimePoint(std::chrono::milliseconds(now_ms_));
  }
  bool Chance(int permille);
  // The same for the properties of steps that allow copies, so that the events
  // of a seed are those that it had without such steps.
  bool ChanceOfCopies(int permille);
  std::int64_t Between(std::int64_t least, std::int64_t most);
  void After(std::int64_t delay_ms, Event event);

  struct WaitingCommand {
    std::size_t worker = 0;
    std::int64_t sent_ms = 0;
    Event execute;
  };

  // Whether the owner and the worker are on the same side of the partition.
  bool IsOnSameSide(const Owner& owner, std::size_t worker) const {
    return owner.is_isolated == isolated_workers_.contains(worker);
  }
  // Confirms the ownership of an owner that has nothing to write.
  void RenewOwnership(Owner* owner);
  // Writes the ownership record when the owner's write is stored.
  void StoreOwnership(Owner* owner, std::int64_t begun_ms);
  // Ends the process of the newest owner.
  void EndOwner();
  void BeginTerm(bool has_previous_owner_stopped = false);
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
  // Whether a cut has ended a call to the worker that was sent after its first
  // `cuts` cuts.
  bool IsCutOff(std::size_t index, std::uint64_t cuts) const {
    return has_hard_cuts && cut_counts_[index] != cuts;
  }
  // Delivers a command to a worker that is being restarted unnoticed: its next
  // incarnation executes it. The answer is that of a lost command unless it
  // arrives before the command times out.
  void WaitForRestart(
      const std::shared_ptr<Owner>& owner, std::size_t index,
      const base::BackendId& id,
      const std::function<CommandOutcome(WorkerModel*)>& order,
      const std::function<void(CommandOutcome, std::int64_t)>& answer,
      std::int64_t timeout_ms);
  // Calls `answer` once the worker lists a run end, or at `until_ms`, or when
  // the worker has crashed or was cut off.
  void HoldPoll(std::size_t index, std::uint64_t cuts, std::int64_t until_ms,
                const Event& answer);
  // Cuts the worker soon if its starts of this job are to be silenced.
  void SilenceAfterStart(std::size_t index, core::jobs::JobKey job);
  void WriteBatch(const std::shared_ptr<Owner>& owner);
  void Store(const core::scheduler::RecordBatch& batch);
  // Hands the evacuations that the store holds to the owner.
  void ReadEvacuations(Owner* owner);
  // Checks that the owner holds its ownership lease when it grants a lease.
  void CheckLeaseGrant(const Owner& owner, const std::string& what);
  // Checks that the owner knows of no evacuation of the zone to which it sends
  // a start.
  void CheckZone(const Owner& owner, const core::scheduler::StartTask& start);
  void CheckStart(const WorkerModel& worker, const TaskRef& task,
                  Attempt attempt);
  // Checks what is known about the ends of the task's runs, for a start at this
  // time.
  void CheckEnds(const TaskRef& task, const std::string& name);
  // Records that the owner has acknowledged this end to its worker.
  void OnAcknowledged(const WorkerModel& worker, const ListedEnd& end);
  // Checks that a run may be stopped for the step.
  void CheckPreemption(const std::string& task, const std::string& for_step);
  // Whether the advisor allows the step on the worker.
  bool IsAllowed(const base::BackendId& worker,
                 const core::jobs::StepRef& step) const;
  bool IsDeadly(const TaskRef& task) const;
  // Returns the millicores that active runs use, of both organisations or only
  // of that with the cap.
  std::int64_t UsedMillicores(bool capped_only) const;
  // Returns the task by which the failures and crashes of this task are kept.
  TaskRef BlamedOf(const TaskRef& task) const;
  // Crashes the worker under the deadly task that it has just started.
  void CrashUnder(std::size_t index, const TaskRef& task, Attempt attempt);
  // Returns the index of the worker at this address.
  std::size_t IndexOf(const std::string& address) const;
  void Break(const std::string& what) { broken_.push_back(what); }
  RunPlan PlanOf(const TaskRef& task, std::size_t worker);

  PrintableLog log_;
  core::Counters counters_;
  std::mt19937 random_;
  std::mt19937 copies_random_;
  std::int64_t now_ms_ = 1000;
  std::uint64_t next_event_ = 0;
  std::map<std::pair<std::int64_t, std::uint64_t>, Event> events_;
  std::shared_ptr<core::desired::DesiredState> desired_;
  std::vector<std::unique_ptr<WorkerModel>> workers_;
  std::set<std::size_t> cut_;
  // How often each worker has been cut.
  std::vector<std::uint64_t> cut_counts_;
  // The cut workers that are listed all the same.
  std::set<std::size_t> listed_while_cut_;
  // The workers that only isolated owners reach.
  std::set<std::size_t> isolated_workers_;
  // Commands to workers that are being restarted unnoticed.
  std::vector<WaitingCommand> waiting_commands_;
  std::set<std::size_t> restarting_;
  // Crashed workers whose machine is gone too, so that nothing refuses
  // connections.
  std::set<std::size_t> dark_;
  std::vector<std::shared_ptr<Owner>> owners_;
  std::uint64_t last_token_ = 0;
  // As the ownership record names it; see core::leadership::OwnershipRecord.
  std::int64_t earlier_owners_until_ms_ = 0;
  std::uint64_t last_job_ = 0;
  std::uint64_t last_waiter_ = 0;
  std::uint64_t starts_ = 0;
  core::placement::PreemptionSettings preemption_;
  std::int64_t cap_cores_;
  std::size_t preemptions_ = 0;
  std::map<core::jobs::JobKey, core::jobs::JobSpec> specs_;
  std::map<core::jobs::JobKey, std::string> queues_;
  // The jobs of the organisation without a cap, and those whose runs fail.
  std::set<core::jobs::JobKey> uncapped_;
  std::set<core::jobs::JobKey> hopeless_;
  std::set<core::jobs::JobKey> accepted_;
  std::set<core::jobs::JobKey> cancelled_;
  // The tasks whose success the owner has acknowledged to a worker, and when it
  // did first.
  std::map<TaskRef, std::int64_t> acknowledged_done_;
  // The successful attempts that had ended when their task was started again.
  // Acknowledging such an end is a violation.
  std::map<std::pair<TaskRef, Attempt>, std::string> restarted_;
  // The failed attempts of each task that the owner has acknowledged.
  std::map<TaskRef, std::set<Attempt>> acknowledged_failures_;
  // What may have failed a job: the failed attempts that polls have listed, and
  // the attempts that were active when their worker crashed, of each task. The
  // attempts of a gang are kept under its first task.
  std::map<TaskRef, std::set<Attempt>> listed_failures_;
  std::map<TaskRef, std::set<Attempt>> crashed_runs_;
  // The jobs for which a failure without a cause was recorded.
  std::set<core::jobs::JobKey> failed_without_cause_;
  // How many more starts of a job are followed by a cut of their worker.
  std::map<core::jobs::JobKey, int> starts_to_silence_;
  std::size_t silences_ = 0;
  std::uint64_t copies_ = 0;
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
  // The zones that rows in the store evacuate, and the starts sent to each
  // zone.
  std::set<base::AvailabilityZone> evacuated_;
  std::map<base::AvailabilityZone, std::uint64_t> starts_by_zone_;
  // The contents of the store.
  std::map<core::scheduler::RecordTable, std::map<std::string, std::string>>
      rows_;
  bool is_store_down_ = false;
  std::vector<std::string> broken_;
};

}  // namespace dotterelbarrow::test

#endif  // DOTTERELBARROW_TEST_FUZZ_SCHEDULER_CELL_H_
