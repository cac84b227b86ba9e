// The state of one accepted job. It changes only through reports about the runs
// of its tasks. The scheduler, not the job, tracks which worker runs each task.
#ifndef DOTTERELBARROW_CORE_JOBS_JOB_H_
#define DOTTERELBARROW_CORE_JOBS_JOB_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/desired/desired_state.h"
#include "dotterelbarrow/core/jobs/crash_history.h"
#include "dotterelbarrow/core/jobs/job_spec.h"

namespace dotterelbarrow::core::jobs {

enum class JobState { kQueued, kInProgress, kCompleted, kFailed, kCancelled };

// Returns whether `state` is final: no task of the job may run any more.
constexpr bool IsFinal(JobState state) {
  return state == JobState::kCompleted || state == JobState::kFailed ||
         state == JobState::kCancelled;
}

// Returns the name that records and logs use; it must not change.
const char* ToString(JobState state);

// Why a run ended.
enum class RunEnd {
  kDone,
  kFailed,
  kStopped,       // The owner sent a stop command.
  kLeaseExpired,  // Its lease expired.
  kGangBroken,    // Another member of its gang ended.
  kGangTimeout,   // The other members of its gang did not start in time.
  kWorkerGone,    // Its worker left, crashed or was declared lost.
};

const char* ToString(RunEnd end);

struct Task {
  bool done = false;
  // Whether a run of the task may be active on some worker. Invariant: at most
  // one run of a task is active at a time, or two if its step may have copies.
  bool may_be_running = false;
  Attempt last_attempt;
  // The attempts whose runs may be active. Used only if the step may have
  // copies; then `may_be_running` is true unless this is empty.
  std::vector<Attempt> active_attempts;
  // How many copies of the task this owner has started.
  std::uint32_t copies_started = 0;
  // Failed attempts, without duplicates: a run end may be reported more than
  // once, and several workers may report theirs in any order.
  std::vector<Attempt> failed_attempts;
  // The checkpoint that the next run resumes from; empty to start from the
  // beginning.
  std::string checkpoint;
  // The worker on which the last run failed. The next run is placed on another
  // worker if possible.
  base::BackendId failed_on;
  // When this owner learnt of that.
  base::TimePoint failed_at{};
  // The worker that stopped the last attempt before it started, and so won't
  // start the same attempt again.
  base::BackendId stopped_before_start_on;
  // The workers that crashed under the task. Not used for members of gangs.
  CrashHistory crashes;
};

struct Step {
  std::vector<Task> tasks;
  std::uint32_t done = 0;
  // The number of unfinished tasks of which a run may be active.
  std::uint32_t possibly_running = 0;
  // Attempts of the gang in which a member failed, without duplicates.
  std::vector<Attempt> failed_gang_attempts;
  // When this owner last concluded, without a report of the run's end, that a
  // task was lost with its worker. A later owner may know better, so tasks are
  // placed only once the ownership was confirmed after that.
  base::TimePoint lost_at{};
  // The workers that crashed under members of the gang.
  CrashHistory gang_crashes;
  // If the step may have copies: the run times of tasks that are done, as on a
  // worker of typical speed, in ascending order. Runs that resumed from a
  // checkpoint, or that a previous owner started, are not included.
  std::vector<base::Duration> run_times;

  bool is_done() const { return done == tasks.size(); }
  // Returns the number of tasks that are neither done nor possibly running.
  std::uint32_t waiting() const {
    return static_cast<std::uint32_t>(tasks.size()) - done - possibly_running;
  }
};

// One execution of all steps. A job that doesn't repeat has exactly one.
struct Occurrence {
  std::vector<Step> steps;
  bool is_done() const;
};

// A time on the store's steady clock. A type of its own, since its origin is
// not that of any other clock.
class StoreTime {
 public:
  StoreTime() = default;
  explicit StoreTime(base::Duration since_origin)
      : since_origin_(since_origin) {}
  // The time that has passed since `earlier`.
  base::Duration operator-(StoreTime earlier) const {
    return since_origin_ - earlier.since_origin_;
  }

 private:
  base::Duration since_origin_{0};
};

struct Job {
  JobKey key;
  desired::QueueId queue;
  base::OrganisationId organisation;
  // The settings of the queue when the job was accepted. They still apply to
  // the job after the queue is removed.
  desired::Queue rules;
  JobSpec spec;
  // When the job was accepted, by the store's clock.
  StoreTime accepted_on_store;
  // When the newest incarnation of any worker was born that was known when the
  // job was accepted, by that worker's wall clock; 0 if unknown.
  std::int64_t newest_born_ms = 0;
  // When the job was accepted, by the driver's clock.
  base::TimePoint accepted_at;
  // How long after acceptance the job is due, and how long after acceptance its
  // result is worthless. Zero until they are computed.
  base::Duration due_after{0};
  base::Duration expires_after{0};
  // For each step, the length of the critical path that begins with it. Empty
  // until computed.
  std::vector<base::Duration> critical_paths;
  JobState state = JobState::kQueued;
  // Whether some task has surely started: its worker confirmed or listed a run,
  // or reported the end of one. A run that is only recorded may never start.
  bool has_started = false;
  // The occurrences that have begun and are not done, by number. Invariant: an
  // occurrence below `occurrences_begun` that is missing here is done.
  std::map<std::uint32_t, Occurrence> occurrences;
  std::uint32_t occurrences_begun = 0;

  // Returns the state to show to callers.
  JobState ShownState() const {
    return state == JobState::kInProgress && !has_started ? JobState::kQueued
                                                          : state;
  }
  // Both return nullptr if the occurrence is done or has not begun, or if the
  // job has no such step or task.
  Step* FindStep(const StepRef& ref);
  Task* FindTask(const TaskRef& ref);
  const StepSpec& SpecOf(const StepRef& ref) const {
    return spec.steps[ref.step];
  }
  // The tasks of all unfinished occurrences, unless there is only one. Limits
  // the job's memory and the size of its progress record.
  static constexpr std::size_t kMaxUnfinishedTasks = 4000;
  // Returns whether there is a next occurrence, and it may begin beside the
  // unfinished ones.
  bool MayBeginOccurrence() const;
  // Returns an occurrence whose tasks are all waiting.
  Occurrence MakeOccurrence() const;
  // Adds the next occurrence; all its tasks are waiting.
  void BeginOccurrence();
  // Returns whether all steps that `step` depends on are done.
  bool IsUnblocked(const Occurrence& occurrence, std::uint32_t step) const;

  // Records that a run of `attempt` may be active. Does nothing for an unknown
  // task.
  void RecordRun(const TaskRef& ref, Attempt attempt);
  // Returns whether the task may have a run of this attempt beside those that
  // may be active: it has none or, if its step may have copies, one of another
  // attempt. Returns false for an unknown task.
  bool MayHaveRun(const TaskRef& ref, Attempt attempt);
  // Records that `attempt` ended on `worker`. The job fails at the
  // `max_attempts`th failure of a task or gang. Returns whether the job's
  // progress record changed; a run end that was recorded before changes
  // nothing, nor does the end of a copy after the task is done.
  bool RecordRunEnd(const TaskRef& ref, Attempt attempt, RunEnd end,
                    const std::string& checkpoint,
                    const base::BackendId& worker, std::uint32_t max_attempts);
  // Records that a worker crashed with this attempt. The job fails if the task
  // is guilty of crashing workers; `has_precedent` tells whether other jobs of
  // its queue were just now. Returns whether the job's progress record changed.
  bool RecordCrash(const TaskRef& ref, Attempt attempt, CrashBlame blame,
                   bool has_precedent = false);
  // Records that a worker was lost with the task, which may live on. Returns
  // whether the job's progress record changed; so do the functions below.
  bool RecordLoss(const TaskRef& ref, const CrashHistory::Loss& loss);
  // This incarnation has crashed. The losses of the task with it are crashes;
  // the job fails under the same conditions as in RecordCrash.
  bool ProveLosses(const TaskRef& ref, const WorkerIncarnation& worker,
                   bool has_precedent);
  // This incarnation lived on after it was lost with the task.
  bool DisproveLosses(const TaskRef& ref, const WorkerIncarnation& worker);
  // A worker lists this attempt, or its end, so that no crash has ended it. Has
  // no effect on gangs: an end of one member says nothing about the others.
  bool DisproveCrash(const TaskRef& ref, Attempt attempt);
  // Records that an announced start of the task, if there is one, was lost with
  // its worker, which has crashed, and its owner. The job fails under the same
  // conditions as in RecordCrash; returns whether it does.
  bool RecordMissingStart(const TaskRef& ref, bool has_precedent);
  // Records that a run of the task has lived for a while after a crash.
  void RecordSurvival(const TaskRef& ref);
  // Returns the crashes under the task or, for a member, under its gang; null
  // for an unknown task.
  CrashHistory* CrashesOf(const TaskRef& ref);

 private:
  // Removes the attempt from those that may be active. Returns whether it is
  // the task's current one, or one of them if its step may have copies.
  bool RemoveRun(const TaskRef& ref, Attempt attempt);
  // Fails the job if the task, or the gang of the member, is guilty of crashing
  // workers.
  void FailIfGuilty(const TaskRef& ref, bool has_precedent);
  bool RecordDone(const TaskRef& ref, Step* step);
  bool RecordFailure(const TaskRef& ref, Attempt attempt, Step* step,
                     const base::BackendId& worker, std::uint32_t max_attempts);
  // Removes the occurrences that are done, and completes the job after the last
  // one.
  void RemoveDoneOccurrences();
};

}  // namespace dotterelbarrow::core::jobs

#endif  // DOTTERELBARROW_CORE_JOBS_JOB_H_
