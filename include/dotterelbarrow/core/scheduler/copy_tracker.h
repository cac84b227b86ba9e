// Keeps the runs of steps that allow copies in the order in which they are to
// be looked at, and accounts for the copies that may be active.
#ifndef DOTTERELBARROW_CORE_SCHEDULER_COPY_TRACKER_H_
#define DOTTERELBARROW_CORE_SCHEDULER_COPY_TRACKER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/jobs/job.h"
#include "dotterelbarrow/core/placement/straggler_policy.h"
#include "dotterelbarrow/core/scheduler/run_index.h"

namespace dotterelbarrow::core::scheduler {

// What the end of a run means for the copy of its task.
enum class CopyOutcome {
  kNone,      // The task had no copy, or it goes on.
  kWon,       // The copy ended `done` first.
  kLost,      // The copy ended otherwise, or after the first run.
  kTookOver,  // The first run ended, not `done`; the copy is the only run.
};

class CopyTracker {
 public:
  // What is known about a run beside its state on the worker.
  struct WatchedRun {
    PlacedRun run;
    // Whether this owner started the run from the beginning, so that its run
    // time is that of the whole task.
    bool is_full_run = false;
    // The reason for having no copy of it that was last logged.
    std::optional<placement::CopyReason> withheld_by{};
  };

  // Watches the run until it ends; it is next due at `next_look`.
  void Watch(WatchedRun run, base::TimePoint next_look);
  // Removes and returns the run that is due first; nullopt if none is due at
  // `now`.
  std::optional<WatchedRun> TakeDue(base::TimePoint now);
  std::size_t watched() const { return watched_.size(); }

  // The run of this attempt is a copy that uses `needs`. Each task has at most
  // one at a time.
  void AddCopy(const jobs::TaskRef& task, jobs::Attempt attempt,
               const base::Resources& needs);
  bool HasCopy(const jobs::TaskRef& task) const {
    return copies_.contains(task);
  }
  std::size_t copies() const { return copies_.size(); }
  // The resources of all copies.
  const base::Resources& usage() const { return usage_; }

  // A run has ended. Stops watching it. Returns whether it was a full run, and
  // what its end means for the copy of its task.
  std::pair<bool, CopyOutcome> OnRunEnded(const PlacedRun& run,
                                          jobs::RunEnd end);

 private:
  struct Copy {
    jobs::Attempt attempt;
    base::Resources needs;
    // Whether the task is done by its first run, so that the copy is being
    // stopped.
    bool is_beaten = false;
  };
  struct Watched {
    WatchedRun run;
    base::TimePoint next_look;
  };

  void RemoveCopy(const jobs::TaskRef& task);

  std::map<PlacedRun, Watched> watched_;
  // Invariant: the runs in `watched_`, by the time of their next look. A run
  // that was taken out by TakeDue is in neither until it is watched again.
  std::set<std::pair<base::TimePoint, PlacedRun>> by_next_look_;
  std::map<jobs::TaskRef, Copy> copies_;
  // Invariant: the sum of the needs of `copies_`.
  base::Resources usage_;
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_COPY_TRACKER_H_
