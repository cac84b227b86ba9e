// The owner of all workers and jobs: takes jobs, places their tasks, follows
// them to their ends, and answers for their states. A pure state machine; the
// driver carries out its actions and stores its batches.
//
//   Scheduler scheduler(settings, telemetry);
//   scheduler.BeginTerm(token, now);
//   ... scheduler.RestorePage(...); scheduler.RestoreJobs(...);
//   ... scheduler.Inherit(...);
//   scheduler.Submit(...);
//   for (const Action& action : scheduler.TakeActions()) ...
//   StoredBatch batch = scheduler.TakeBatch(now);
//   ... scheduler.OnStored(batch, now);
//
// One value serves one term: an owner that was replaced throws it away.
#ifndef DOTTERELBARROW_CORE_SCHEDULER_SCHEDULER_H_
#define DOTTERELBARROW_CORE_SCHEDULER_SCHEDULER_H_

#include <sigc++/trackable.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "dotterelbarrow/core/desired/desired_state.h"
#include "dotterelbarrow/core/jobs/job.h"
#include "dotterelbarrow/core/placement/submission_rate.h"
#include "dotterelbarrow/core/scheduler/actions.h"
#include "dotterelbarrow/core/scheduler/decision_log.h"
#include "dotterelbarrow/core/scheduler/dispatcher.h"
#include "dotterelbarrow/core/scheduler/fleet.h"
#include "dotterelbarrow/core/scheduler/job_book.h"
#include "dotterelbarrow/core/scheduler/run_index.h"
#include "dotterelbarrow/core/scheduler/worker_records.h"

namespace dotterelbarrow::core::scheduler {

struct SchedulerSettings {
  FleetSettings fleet;
  DispatcherSettings dispatcher;
  JobBookSettings jobs;
  // Jobs that have not ended; beyond, new ones are refused. Bounds memory: a
  // job of the largest size takes about 20 kB.
  std::size_t max_jobs = 4000;
  // A gang that isn't whole this long after its first start is stopped.
  base::Duration gang_patience = std::chrono::milliseconds(2000);
};

// What a caller hands in, with what its entry host knows of it.
struct Submission {
  jobs::JobKey key;
  desired::QueueId queue;
  base::OrganisationId organisation;
  jobs::JobSpec spec;
};

enum class SubmitOutcome {
  kAccepted,  // Stored before.
  kStoring,   // The waiter hears once it is stored.
  kRefused,   // Surely never runs.
};

struct SubmitAnswer {
  SubmitOutcome outcome = SubmitOutcome::kRefused;
  // Only where refused.
  std::string reason{};
  base::Duration retry_after{0};
  // How long the host that asked turns the organisation's jobs away itself.
  base::Duration pause{0};
};

enum class CancelAnswer { kCancelled, kStoring, kUnknown };

class Scheduler : public sigc::trackable {
 public:
  Scheduler(const SchedulerSettings& settings, Telemetry telemetry);
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  // Begins as the owner under `token`. What former owners stored follows by
  // the Restore calls and Inherit.
  void BeginTerm(FencingToken token, base::TimePoint now);
  void RestorePage(RecordTable table, const std::string& key,
                   const std::string& text, base::TimePoint now);
  // After the last page. `store_now_ms`, here and below, is at most what the
  // store's clock shows.
  void RestoreJobs(base::TimePoint now, std::int64_t store_now_ms);
  // Takes the record of a worker that a former owner used.
  void Inherit(const base::BackendId& worker, const std::string& record,
               std::int64_t store_now_ms, base::TimePoint now);

  // The owner before this one surely commands no worker any more.
  void NoteFormerOwnerGone(base::TimePoint now) {
    fleet_.NoteFormerOwnerGone(now);
  }

  void SetDesired(std::shared_ptr<const desired::DesiredState> desired);
  void SetAskers(const std::vector<base::EntryId>& entries);
  // Takes the platform's list of workers, asked for at `asked_at`.
  void UpdateListings(std::vector<workers::Listing> listings,
                      base::TimePoint asked_at, base::TimePoint now);

  SubmitAnswer Submit(Submission submission, WaiterId waiter,
                      std::int64_t store_now_ms, base::TimePoint now);
  // Takes back the acceptance of jobs that aren't on their way to the store;
  // returns who is to hear that they never run.
  std::vector<WaiterId> WithdrawUnwritten();
  CancelAnswer Cancel(jobs::JobKey key, WaiterId waiter, base::TimePoint now);
  std::optional<jobs::JobState> StateOf(jobs::JobKey key) const {
    return jobs_.StoredState(key);
  }
  // Returns how many accepted jobs of each queue have not begun.
  std::map<desired::QueueId, std::uint64_t> PendingJobs() const;

  // `unix_now_ms` only tells which scheduled occurrences are due.
  void Tick(base::TimePoint now, std::int64_t unix_now_ms);
  // Whether the owner's processor is behind with its work.
  void set_saturated(bool saturated) { dispatcher_.set_saturated(saturated); }
  void Pass(base::TimePoint now) { dispatcher_.Pass(now, &actions_); }

  void OnStarted(const StartTask& order, OrderOutcome outcome,
                 std::int64_t clock_ms, base::TimePoint now);
  void OnStopped(const StopTask& order, OrderOutcome outcome,
                 std::int64_t clock_ms, base::TimePoint now);
  void OnLooked(const LookAtWorker& order, const LookResult& result,
                base::TimePoint now);
  void OnAdvice(const AskAdvice& order, const AdviceResult& result,
                base::TimePoint now);

  std::vector<Action> TakeActions() { return std::exchange(actions_, {}); }
  bool has_changes() const { return jobs_.has_changes(); }
  StoredBatch TakeBatch(base::TimePoint now) { return jobs_.TakeBatch(now); }
  void OnStored(const StoredBatch& batch, base::TimePoint now);
  // The store's clock shows at most `at_most_ms`. By it records of silent
  // workers name the end of their leases; before the first call none does.
  void NoteStoreClock(std::int64_t at_most_ms, base::TimePoint now) {
    worker_records_.NoteStoreClock(at_most_ms, now);
  }

  bool is_fenced() const { return fleet_.is_fenced(); }
  std::size_t live_jobs() const { return jobs_.jobs().size(); }
  std::size_t waiting_steps() const { return dispatcher_.waiting_steps(); }
  const Fleet& fleet() const { return fleet_; }

 private:
  void OnRunEnded(const workers::Worker& worker, const workers::Run& run,
                  jobs::RunEnd end, const std::string& checkpoint);
  void OnUnknownEnd(const workers::Worker& worker, const ListedEnd& end);
  void OnUnknownRun(workers::Worker* worker, const ListedRun& listed,
                    base::TimePoint now);
  void OnStartRefused(const workers::Worker& worker, const workers::Run& run,
                      OrderOutcome outcome);
  void OnSettled(const base::BackendId& worker);

  // Takes the end of a run into its job. One that never started at its worker
  // can be placed again without another attempt of its gang.
  void ApplyEnd(const jobs::TaskRef& task, jobs::Attempt attempt,
                jobs::RunEnd end, const std::string& checkpoint,
                const base::BackendId& worker, bool never_started);
  // Stops all runs of a step.
  void StopRuns(const jobs::StepRef& step);
  void StopRunsOfTask(const jobs::TaskRef& task);
  void StopRunsOfJob(const jobs::Job& job);
  void StopIncompleteGangs(base::TimePoint now);
  void ConsiderAll(const jobs::Job& job);
  void BeginDueOccurrences(jobs::Job* job, std::int64_t unix_now_ms);
  void EndJob(const jobs::Job& job);
  void LogUnreadable(const std::string& record, const base::Failure& reason);
  void LogLoad();
  void NoteRunsOfWorker(const workers::Worker& worker, const workers::Run& run,
                        jobs::RunEnd end);

  SchedulerSettings settings_;
  Telemetry telemetry_;
  std::shared_ptr<const desired::DesiredState> desired_;
  JobBook jobs_;
  Fleet fleet_;
  RunIndex runs_;
  WorkerRecords worker_records_;
  Dispatcher dispatcher_;
  placement::SubmissionRates rates_;
  std::vector<Action> actions_;
  base::TimePoint now_;
  // Entry hosts that hand jobs in.
  std::size_t asking_hosts_ = 1;
  base::TimePoint load_logged_at_;
  // Jobs with times.
  std::unordered_set<jobs::JobKey> scheduled_;
  // Gangs of which not all members are known to run, since their first start.
  std::map<jobs::StepRef, base::TimePoint> forming_gangs_;
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_SCHEDULER_H_
