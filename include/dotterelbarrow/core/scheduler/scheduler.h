// Accepts jobs, places their tasks on workers, follows them until they end, and
// answers queries about their states. A pure state machine: the driver executes
// its actions and writes its batches to the store.
//
//   Scheduler scheduler(settings, telemetry);
//   scheduler.BeginTerm(token, now);
//   ... scheduler.RestorePage(...); scheduler.RestoreJobs(...);
//   ... scheduler.Inherit(...);
//   scheduler.Submit(...);
//   for (const Action& action : scheduler.TakeActions()) ...
//   const auto batch = scheduler.TakeBatch(now);
//   ... scheduler.OnStored(batch, now);
//
// An instance serves one term of ownership: an owner that is replaced discards
// it.
#ifndef DOTTERELBARROW_CORE_SCHEDULER_SCHEDULER_H_
#define DOTTERELBARROW_CORE_SCHEDULER_SCHEDULER_H_

#include <sigc++/trackable.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "dotterelbarrow/core/desired/desired_state.h"
#include "dotterelbarrow/core/jobs/job.h"
#include "dotterelbarrow/core/placement/submission_rate_limiter.h"
#include "dotterelbarrow/core/scheduler/actions.h"
#include "dotterelbarrow/core/scheduler/decision_log.h"
#include "dotterelbarrow/core/scheduler/dispatcher.h"
#include "dotterelbarrow/core/scheduler/evacuation_monitor.h"
#include "dotterelbarrow/core/scheduler/fleet.h"
#include "dotterelbarrow/core/scheduler/held_ends.h"
#include "dotterelbarrow/core/scheduler/job_registry.h"
#include "dotterelbarrow/core/scheduler/pending_losses.h"
#include "dotterelbarrow/core/scheduler/run_index.h"
#include "dotterelbarrow/core/scheduler/run_time_recorder.h"
#include "dotterelbarrow/core/scheduler/worker_records.h"

namespace dotterelbarrow::core::scheduler {

struct SchedulerSettings {
  FleetSettings fleet;
  DispatcherSettings dispatcher;
  JobRegistrySettings jobs;
  // Maximum number of jobs that have not ended; when it is reached, new ones
  // are refused.
  std::size_t max_jobs = 4000;
  // How much memory such jobs may take. An organisation's may take half of it,
  // so that no organisation can keep out the others.
  std::size_t max_job_bytes = std::size_t{64} * 1024 * 1024;
  // A gang of which not all members run this long after its first start is
  // stopped.
  base::Duration gang_start_timeout = std::chrono::milliseconds(2000);
  // Whether to refuse jobs with gangs that probably never fit on this owner's
  // workers, because it has only a part of the fleet.
  bool refuses_wide_gangs = false;
};

// A job as the caller submitted it, with what the entry host knows about the
// caller.
struct Submission {
  jobs::JobKey key;
  desired::QueueId queue;
  base::OrganisationId organisation;
  jobs::JobSpec spec;
};

enum class SubmitOutcome {
  kAccepted,  // The job was accepted and stored before.
  kStoring,   // The waiter is notified once the job is stored.
  kRefused,   // The job will never run.
};

struct SubmitResult {
  SubmitOutcome outcome = SubmitOutcome::kRefused;
  // Set only if the job was refused.
  std::string reason{};
  base::Duration retry_after{0};
  // How long the entry host that submitted the job should refuse the
  // organisation's jobs itself, without asking the owner.
  base::Duration pause{0};
};

enum class CancelResult {
  kCancelled,  // Nothing about the job remains to be stored.
  kStoring,    // The waiter is notified once the cancellation is stored.
  // No job is known. The waiter is notified once it is stored that the key is
  // barred, so that no later copy of its submission is accepted.
  kUnknown,
  kBarred,   // No job is known, and the bar of its key is stored.
  kRefused,  // No job is known, and too many keys are barred.
};

// The size of the largest acceptance record; it must fit into one batch. A job
// whose record is larger is refused.
inline constexpr std::size_t kMaxAcceptanceBytes = std::size_t{400} * 1024;

class Scheduler : public sigc::trackable {
 public:
  Scheduler(const SchedulerSettings& settings, Telemetry telemetry);
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  // Starts the term of ownership under `token`. Call first; then restore what
  // previous owners stored by RestorePage, RestoreJobs and Inherit.
  void BeginTerm(FencingToken token, base::TimePoint now);
  // Restores a page of job records. Logs and skips records that cannot be read.
  void RestorePage(RecordTable table, const std::string& key,
                   const std::string& text, base::TimePoint now);
  // Adds the restored jobs; call after the last page. `store_now_ms`, here and
  // below, is a lower bound of the time on the store's clock.
  void RestoreJobs(base::TimePoint now, std::int64_t store_now_ms);
  // Limits this owner to the workers for which the function returns true; the
  // others belong to owners of other shards. Call before AddInheritedWorker.
  void SetWorkerFilter(
      std::function<bool(const workers::Listing&)> is_own_worker) {
    is_own_worker_ = std::move(is_own_worker);
  }
  // Restores the record of a worker that a previous owner used. Logs a record
  // that cannot be read. Removes the record of a worker of another shard.
  void AddInheritedWorker(const base::BackendId& worker,
                          const std::string& record, std::int64_t store_now_ms,
                          base::TimePoint now);

  // Restores the summary of run times that a previous owner stored. Logs and
  // skips one that cannot be read.
  void RestoreRunTimes(const std::string& key, const std::string& text,
                       base::TimePoint now);

  // Owners before the previous one may grant leases until the store's clock
  // shows `until_ms`. Call before AddInheritedWorker.
  void SetEarlierOwnersUntil(std::int64_t until_ms, std::int64_t store_now_ms,
                             base::TimePoint now) {
    fleet_.SetEarlierOwnersUntil(
        now + std::chrono::milliseconds(until_ms - store_now_ms));
  }
  // Whether an inherited worker may still have runs that this owner doesn't
  // know.
  bool has_unreconciled_workers() const {
    return !fleet_.unreconciled().empty();
  }
  // The previous owner is certain not to command workers any more.
  void OnPreviousOwnerStopped(base::TimePoint now) {
    fleet_.OnPreviousOwnerStopped(now);
  }

  // Replaces the configuration in use.
  void SetDesired(std::shared_ptr<const desired::DesiredState> desired);
  const desired::DesiredState& desired() const { return *desired_; }
  // Sets the entry hosts through which the advisor is called, and through how
  // many jobs come in.
  void SetAdviceClients(const std::vector<base::EntryId>& entries,
                        std::size_t entry_host_count);
  // Replaces the evacuated availability zones. Nothing new is started on their
  // workers, and what is reserved there is placed elsewhere; runs continue.
  void SetEvacuatedZones(const std::set<base::AvailabilityZone>& zones,
                         base::TimePoint now);
  // The progress of the evacuations.
  const EvacuationMonitor& evacuations() const { return evacuations_; }
  // Applies the platform's list of workers, which was requested at `asked_at`.
  // Starts nothing on workers of services that the configuration doesn't name,
  // nor on those of other shards; runs there continue. `unreadable` are the
  // workers whose entries can't be read.
  void UpdateListings(std::vector<workers::Listing> listings,
                      base::TimePoint asked_at, base::TimePoint now,
                      std::vector<base::BackendId> unreadable = {});

  // Applies what has changed in that list.
  void ApplyListingChanges(ListingChanges changes, base::TimePoint asked_at,
                           base::TimePoint now);

  // Accepts or refuses a job. A key that is known already is not accepted
  // again, whatever the submission holds.
  SubmitResult Submit(Submission submission, WaiterId waiter,
                      std::int64_t store_now_ms, base::TimePoint now);
  // Returns whether no job is known, of those that have ended too.
  bool has_no_jobs() const { return jobs_.is_empty(); }
  // Returns whether the job was accepted, in this term or before. False for a
  // key that was only barred.
  bool IsKnown(jobs::JobKey key) const { return jobs_.IsKnown(key); }
  // Withdraws the accepted jobs that no batch contains yet; returns the waiters
  // that must be told that these jobs will never run.
  std::vector<WaiterId> RemoveUnwritten();
  // Cancels the job if it has not ended, and stops its runs. A key that is not
  // known is barred: its submission may still be on its way.
  CancelResult Cancel(jobs::JobKey key, WaiterId waiter, base::TimePoint now);
  // Returns the stored state of a job, nullopt if it is not known or not
  // stored.
  std::optional<jobs::JobState> StateOf(jobs::JobKey key) const {
    return jobs_.StoredState(key);
  }
  // Returns where the steps of a job would be placed now and why; nullopt if
  // the job is not known. Of a job that has ended only the state is known.
  std::optional<Explanation> Explain(jobs::JobKey key,
                                     base::TimePoint now) const;
  // Returns the same for a job as if it were submitted now, and whether it
  // would be refused. Submits nothing.
  Explanation ExplainSubmission(const Submission& submission,
                                base::TimePoint now) const;
  // Returns, for each queue, how many accepted and stored jobs have not begun.
  std::map<desired::QueueId, std::uint64_t> PendingJobs() const;

  // Does the periodic work other than placement. `confirmed_at` is the latest
  // time at which this owner was certain to be the owner (see Fleet::Tick).
  // `unix_now_ms` is used only to decide which occurrences of scheduled jobs
  // are due.
  void Tick(base::TimePoint now, base::TimePoint confirmed_at,
            std::int64_t unix_now_ms);
  // Tells whether the owner's processor can't keep up with its work.
  void set_saturated(bool saturated) { dispatcher_.set_saturated(saturated); }
  // Returns how many jobs have had their first task started since the last
  // call.
  std::uint64_t TakeJobsBegun() { return dispatcher_.TakeJobsBegun(); }
  // Returns how many jobs that can be on time the last pass found waiting for
  // the owner, not for the fleet, before their first task can be placed.
  std::uint64_t jobs_in_preparation() const {
    return dispatcher_.jobs_in_preparation();
  }
  // Returns what the passes since the last call have done.
  PassEffort TakePassEffort() { return dispatcher_.TakeEffort(); }
  // Sets by which factor workers are polled less often than usual.
  void set_poll_stretch(double factor) { fleet_.set_poll_stretch(factor); }
  // Runs one scheduling pass.
  void RunPass(base::TimePoint now);
  // Returns whether a pass is due even if nothing has happened, because a wait
  // for a local worker may end now.
  bool IsPassDue(base::TimePoint now) const {
    return dispatcher_.IsPassDue(now);
  }

  // These report the result of an action. `clock_ms` is the worker's clock when
  // it answered.
  void OnStarted(const StartTask& command, CommandOutcome outcome,
                 std::int64_t clock_ms, base::TimePoint now);
  void OnStopped(const StopTask& command, CommandOutcome outcome,
                 std::int64_t clock_ms, base::TimePoint now);
  void OnPolled(const PollWorker& command, const PollResult& result,
                base::TimePoint now);
  void OnAdvice(const RequestAdvice& request, const AdviceResult& result,
                base::TimePoint now);

  // Returns the actions that were added since the last call.
  std::vector<Action> TakeActions() { return std::exchange(actions_, {}); }
  bool has_changes() const { return jobs_.has_changes(); }
  // Returns the next batch to write to the store.
  RecordBatch TakeBatch(base::TimePoint now);
  // The store has confirmed `batch`. Returns the callers that must be notified
  // besides those in the batch.
  LateWaiters OnStored(const RecordBatch& batch, base::TimePoint now);
  // Sets an upper bound of the time on the store's clock. The records of
  // unresponsive workers state on that clock when their leases end; before the
  // first call none states it.
  void UpdateStoreClock(std::int64_t at_most_ms, base::TimePoint now) {
    worker_records_.UpdateStoreClock(at_most_ms, now);
  }

  // Whether a worker has seen an owner with a higher token.
  bool is_fenced() const { return fleet_.is_fenced(); }
  std::size_t live_jobs() const { return jobs_.jobs().size(); }
  std::size_t waiting_steps() const { return dispatcher_.waiting_steps(); }
  const Fleet& fleet() const { return fleet_; }
  const placement::RunTimeModel& run_times() const {
    return dispatcher_.run_times();
  }

 private:
  // Whether a new job is refused before it is encoded, and whether it is beyond
  // its organisation's share.
  struct AdmissionDecision {
    std::optional<SubmitResult> refusal;
    bool is_over_share = false;
  };
  // Counts the job in `rates` unless it is refused for another reason first.
  AdmissionDecision DecideAdmission(const Submission& submission,
                                    placement::SubmissionRateLimiter* rates,
                                    base::TimePoint now) const;
  void OnRunEnded(const workers::Worker& worker, const workers::Run& run,
                  jobs::RunEnd end, const std::string& checkpoint);
  // A worker reports the end of a run that this owner does not track.
  void OnUntrackedRunEnded(const workers::Worker& worker, const ListedEnd& end);
  // A worker reports an active run that this owner does not track. Adopts it if
  // its task is not done, has no other run and no later attempt; if its step
  // may have copies, the task may have one other run, of any attempt. Otherwise
  // the fleet stops it.
  void OnUntrackedRunListed(workers::Worker* worker, const ListedRun& listed,
                            base::TimePoint now);
  void OnStartRefused(const workers::Worker& worker, const workers::Run& run,
                      CommandOutcome outcome);
  // A worker fell silent. Its loss is certain only later, but until then more
  // of the same work would be started.
  void OnWorkerUnresponsive(const workers::Worker& worker,
                            base::TimePoint leases_end);
  // Records the loss in the jobs of the runs that may have caused it. If the
  // worker has crashed, fails those that are proved to crash workers; otherwise
  // waits for news of the worker.
  void OnWorkerLost(const workers::WorkerLoss& loss);
  // Whether workers crashed under the run's task before, or under tasks of
  // other jobs of its queue just now.
  bool IsKnownCause(const workers::Run& run);
  void RecordCrash(const workers::WorkerLoss& loss, const workers::Run& run,
                   jobs::CrashBlame blame);
  // A worker was lost with the run and may live on.
  void RecordLoss(const workers::WorkerLoss& loss, const workers::Run& run,
                  jobs::CrashBlame blame);
  // An owner before this one recorded the losses of the job.
  void AwaitNewsOfLosses(const jobs::Job& job);
  // These are the news of a worker that tell what its losses were: its process
  // has ended, or lives, or leaves as planned.
  void OnIncarnationSeen(const workers::Worker& worker);
  void OnWorkerClaimed(const workers::Worker& worker);
  void OnWorkerReported(const workers::Worker& worker);
  void DisproveLoss(const PendingLosses::Loss& loss, const char* reason);
  // Stops to wait for news of losses that their tasks don't remember any more.
  void ForgetObsoleteLosses();
  // A worker lists the attempt, or its end: its incarnation has not crashed
  // under it.
  void DisproveCrash(const workers::Worker& worker, const jobs::TaskRef& task,
                     jobs::Attempt attempt);
  // Logs and counts a change of what is known about losses.
  void ReportEvidence(const char* event, const char* evidence, jobs::Job& job,
                      const jobs::TaskRef& task);
  // Ends a job that has failed because its task crashes workers. `lived` is how
  // long the task's last run had lived; not positive if that is not known.
  void GiveUp(const jobs::Job& job, base::Duration lived);
  void OnSuspectSurvived(const workers::Run& run);
  void OnInheritedWorkerLost(const base::BackendId& worker,
                             workers::LossKind kind);
  // Whether all members of the gang run and their workers have lived for a
  // while since they started them.
  bool HasGangSurvived(const jobs::Job& job, const jobs::StepRef& step);
  // The worker is reconciled: it can't have untracked runs any more.
  void OnWorkerReconciled(const base::BackendId& worker);

  // Applies the end of a run to its job. With `never_started` the run did not
  // start on its worker, so that a gang member can be placed again without a
  // new attempt of its whole gang.
  void ApplyRunEnd(const jobs::TaskRef& task, jobs::Attempt attempt,
                   jobs::RunEnd end, const std::string& checkpoint,
                   const base::BackendId& worker, bool never_started);
  // Tells how an end that belongs to no run in the books relates to its task.
  const char* FindWhyUntracked(const jobs::TaskRef& task,
                               jobs::Attempt attempt);
  // Logs and counts such an end. A success of a task that has a newer run,
  // `newer_run`, means that the task was started again after its success.
  void ReportUntrackedEnd(const workers::Worker& worker,
                          const jobs::TaskRef& task, jobs::Attempt attempt,
                          jobs::RunEnd end);
  // The worker has reported that the task is done. If another run of the task
  // may still start, holds back the acknowledgement of that end: what starts
  // before it is acknowledged is the copy's known risk, later it is a fault.
  void HoldEnd(const workers::Worker& worker, const jobs::TaskRef& task);
  // Returns whether no other run of the task can start any more.
  bool CanRelease(const HeldEnds::End& end);
  // Acknowledges the run ends that don't need to be held any longer.
  void ReleaseEnds();
  // Stops all runs of a step.
  void StopRuns(const jobs::StepRef& step);
  void StopRunsOfTask(const jobs::TaskRef& task);
  // Stops the runs of a gang that are of this attempt or an earlier one.
  void StopRunsUpTo(const jobs::StepRef& step, jobs::Attempt attempt);
  // The gang is done by this attempt, whose members end by themselves. Stops
  // its runs of other attempts, and releases those that are only reserved.
  void StopOtherAttempts(const jobs::StepRef& step, jobs::Attempt attempt);
  void StopRunsOfJob(const jobs::Job& job);
  void StopIncompleteGangs(base::TimePoint now);
  // Once all inherited workers are reconciled: stops inherited gangs of which a
  // member is missing, if a worker may have crashed under it. Placing it again
  // beside the others would leave no trace of that crash.
  void StopInheritedIncompleteGangs();
  // A worker has started the attempt, so that its job has begun. If the start
  // was announced, the next owner takes its absence for a crash of the worker
  // only after that is stored.
  void ConfirmStart(const jobs::TaskRef& task, jobs::Attempt attempt);
  // Returns the workers of the gang's runs.
  std::vector<jobs::WorkerIncarnation> WorkersOfGang(const jobs::StepRef& step);
  // Withdraws the announcements of starts whose runs have lived for long, so
  // that the next owner doesn't take a later loss of their workers for crashes
  // that they caused.
  void WithdrawSurvivedAnnouncements();
  // Ends the job of a task that was found guilty because an announced start is
  // missing.
  void GiveUpForMissingStart(const jobs::TaskRef& task);
  // Hands all steps of the job that are not done, and whose dependencies are,
  // to the dispatcher.
  void EnqueueReadySteps(const jobs::Job& job);
  void BeginDueOccurrences(jobs::Job* job, std::int64_t unix_now_ms);
  // A worker has listed a run, or the end of one, of the task. Begins its
  // occurrence and those before it if they have not begun: a previous owner
  // began them, by a wall clock that is ahead of this host's, and its record of
  // them was lost. Does nothing if no host's wall clock can be that far ahead.
  void BeginListedOccurrence(const jobs::TaskRef& task);
  // Records the end of a job, and stops its runs unless it completed.
  void EndJob(const jobs::Job& job);
  // Removes the start commands to evacuated workers that TakeActions has not
  // returned yet. Their runs are reserved again.
  void WithdrawEvacuatedStarts();
  // Releases the reserved runs on evacuated workers, whose starts were not
  // sent, and of a gang that has no other runs the rest of its reserved ones.
  void ReleaseEvacuatedRuns();
  // Moves the entries of workers that this owner doesn't use to `unusable`.
  void RemoveUnused(std::vector<workers::Listing>* listings,
                    std::vector<base::BackendId>* unusable) const;
  // Whether this owner uses the worker.
  bool IsUsed(const workers::Listing& listing) const;
  // Returns null if the job has ended or the task doesn't exist.
  jobs::Task* FindTask(const jobs::TaskRef& task);
  void LogUnreadable(const std::string& record, const base::Failure& reason);
  void LogLoad();
  // Whether the task has failed before, on a worker that has completed other
  // work since. Its failures then say nothing about workers.
  bool IsAtFault(const jobs::Task& task);
  // Counts consecutive failures on a worker; quarantines it after too many.
  void UpdateQuarantine(const workers::Worker& worker, const workers::Run& run,
                        jobs::RunEnd end);

  SchedulerSettings settings_;
  Telemetry telemetry_;
  std::shared_ptr<const desired::DesiredState> desired_;
  // Not set if all workers are this owner's.
  std::function<bool(const workers::Listing&)> is_own_worker_;
  JobRegistry jobs_;
  Fleet fleet_;
  RunIndex runs_;
  WorkerRecords worker_records_;
  Dispatcher dispatcher_;
  EvacuationMonitor evacuations_;
  RunTimeRecorder run_time_recorder_;
  PendingLosses pending_losses_;
  placement::SubmissionRateLimiter submission_rates_;
  std::vector<Action> actions_;
  base::TimePoint now_;
  // This host's wall clock at the last Tick.
  std::int64_t unix_now_ms_ = 0;
  // Number of entry hosts that submit jobs.
  std::size_t entry_host_count_ = 1;
  base::TimePoint load_logged_at_;
  HeldEnds held_ends_;
  // Whether a job was restored of which some step may have copies.
  bool has_inherited_copies_ = false;
  // Jobs whose occurrences begin at given times.
  std::unordered_set<jobs::JobKey> scheduled_jobs_;
  // Gangs of which not all members are known to run, with the time of their
  // first start.
  std::map<jobs::StepRef, base::TimePoint> starting_gangs_;
  bool has_checked_inherited_gangs_ = false;
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_SCHEDULER_H_
