// One accepted job and how far it is. A job changes only by what is reported
// of its tasks; where its tasks run is the scheduler's business.
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
#include "dotterelbarrow/core/jobs/job_spec.h"

namespace dotterelbarrow::core::jobs {

enum class JobState { kQueued, kInProgress, kCompleted, kFailed, kCancelled };

// Returns whether nothing of a job in `state` may run any more.
constexpr bool IsFinal(JobState state) {
  return state == JobState::kCompleted || state == JobState::kFailed ||
         state == JobState::kCancelled;
}

// Returns the stable name that records and logs use.
const char* ToString(JobState state);

// How a run came to its end.
enum class RunEnd {
  kDone,
  kFailed,
  kStopped,      // By an order.
  kLapsed,       // Its lease ran out.
  kGangBroken,   // Another member of its gang ended.
  kGangTimeout,  // The other members of its gang didn't come.
  kWorkerGone,   // Its worker left, crashed or was given up.
};

const char* ToString(RunEnd end);

struct Task {
  bool done = false;
  // Invariant: at most one run of the task may be anywhere; true while one
  // may be.
  bool has_run = false;
  Attempt last_attempt;
  // Runs that failed, each once: ends may be reported again, and by several
  // workers in any order.
  std::vector<Attempt> failed_attempts;
  // Where the next run resumes; empty for the beginning.
  std::string checkpoint;
  // Where the last run failed; the next one is placed elsewhere if possible.
  base::BackendId failed_on;
  // Where the last attempt was closed before it began.
  base::BackendId closed_on;
};

struct Step {
  std::vector<Task> tasks;
  std::uint32_t done = 0;
  // Tasks that may be running.
  std::uint32_t with_run = 0;
  // Runs of the whole gang in which a member failed.
  std::vector<Attempt> failed_gangs;

  bool is_done() const { return done == tasks.size(); }
  // Tasks that neither run nor are done.
  std::uint32_t waiting() const {
    return static_cast<std::uint32_t>(tasks.size()) - done - with_run;
  }
};

struct Occurrence {
  std::vector<Step> steps;
  bool is_done() const;
};

struct Job {
  JobKey key;
  desired::QueueId queue;
  base::OrganisationId organisation;
  // The queue as it was when the job was accepted: its rules go on to hold for
  // the job if the queue is dropped.
  desired::Queue rules;
  JobSpec spec;
  // When it was accepted, by the store's clock, in milliseconds.
  std::int64_t accepted_ms = 0;
  // The same by the driver's clock.
  base::TimePoint accepted_at;
  // When it is due and when it has lost its worth, counted from its
  // acceptance; zero until they were worked out.
  base::Duration due_after{0};
  base::Duration worthless_after{0};
  // For each step, how long the longest chain takes that begins with it.
  std::vector<base::Duration> chains;
  JobState state = JobState::kQueued;
  // Invariant: holds the occurrences that were due and are not done. Those
  // below `occurrences_begun` that are missing are done.
  std::map<std::uint32_t, Occurrence> occurrences;
  std::uint32_t occurrences_begun = 0;

  Step* FindStep(const StepRef& ref);
  Task* FindTask(const TaskRef& ref);
  const StepSpec& SpecOf(const StepRef& ref) const {
    return spec.steps[ref.step];
  }
  // Adds the next occurrence with all its tasks waiting.
  void BeginOccurrence();
  // Returns whether all steps that `step` depends on are done.
  bool IsUnblocked(const Occurrence& occurrence, std::uint32_t step) const;

  // Counts `attempt` as a run that may be anywhere.
  void NoteRun(const TaskRef& ref, Attempt attempt);
  // Takes the end of `attempt`; returns whether the job's record changed. An
  // end that was taken before changes nothing.
  bool NoteEnd(const TaskRef& ref, Attempt attempt, RunEnd end,
               const std::string& checkpoint, const base::BackendId& worker,
               std::uint32_t max_attempts);

 private:
  bool NoteDone(const TaskRef& ref, Step* step);
  bool NoteFailed(const TaskRef& ref, Attempt attempt, Step* step,
                  const base::BackendId& worker, std::uint32_t max_attempts);
  // Drops occurrences that are done, and ends the job after the last.
  void CloseDoneOccurrences();
};

}  // namespace dotterelbarrow::core::jobs

#endif  // DOTTERELBARROW_CORE_JOBS_JOB_H_
