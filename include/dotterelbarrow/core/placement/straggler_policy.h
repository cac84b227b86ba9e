// Decides when a run that takes far longer than expected gets a copy.
//
// Load pattern: 3% of runs take 7 times as long as the others of their step,
// and some workers are slow for a while. One such run makes its whole step late
// while other workers have free capacity. A copy that is started once a run has
// taken twice as long as usual ends when the slow run is less than half done,
// so that it also saves capacity.
#ifndef DOTTERELBARROW_CORE_PLACEMENT_STRAGGLER_POLICY_H_
#define DOTTERELBARROW_CORE_PLACEMENT_STRAGGLER_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/placement/urgency.h"

namespace dotterelbarrow::core::placement {

// What is known about a run and its task.
struct RunInProgress {
  // How long the run has been active, or a lower bound of it.
  base::Duration active_for{0};
  // The expected run time of the task, and an upper bound for most such tasks,
  // on a worker of typical speed.
  base::Duration expected{0};
  base::Duration high{0};
  // The slowness of the run's worker.
  double slowness = 1;
  // The number of the step's tasks, of how many the run time was measured, and
  // the median of these run times, as on a worker of typical speed.
  std::uint32_t tasks = 1;
  std::uint32_t tasks_measured = 0;
  std::optional<base::Duration> median{};
  // The time from the decision to the start of a copy.
  base::Duration start_delay{0};
  // The remaining time in which the run must end for its job to be on time.
  base::Duration time_left{0};
  DeadlineStatus deadline_status = DeadlineStatus::kOnTime;
  // Whether another run of the task may be active.
  bool has_copy = false;
  std::uint32_t copies_started = 0;
  std::uint32_t failed_attempts = 0;
  std::uint32_t max_attempts = 0;
  // Whether workers crashed under the task, and whether tasks of its queue are
  // suspected of it.
  bool is_crash_suspect = false;
  bool is_on_alert = false;
};

// What is known about the fleet.
struct CopyRoom {
  // Whether work that can still be on time waits for free resources, or work of
  // the same organisation for its cap.
  bool has_waiting_work = false;
  // The fractions of the fleet that are in use, and that copies would use with
  // one more.
  double fleet_usage = 0;
  double copies_usage = 0;
  // The number of copies that may be active.
  std::size_t copies = 0;
};

enum class CopyReason {
  kStraggler,       // It takes far longer than expected.
  kWithinRunTime,   // It may be a usual run.
  kEndsSoon,        // A copy would not be expected to end before it.
  kHasCopy,         // Another run of the task may be active.
  kWaitingWork,     // Waiting work goes first.
  kFleetBusy,       // Too little of the fleet is free.
  kShareUsed,       // Copies use their share of the fleet.
  kOnAlert,         // Tasks of the queue may crash their workers.
  kCap,             // Its organisation has reached its cap.
  kNoWorker,        // No suitable worker has free resources.
  kCrashSuspect,    // Workers crashed under the task.
  kCopiesUsedUp,    // The task had as many copies as it may have.
  kAttemptsUsedUp,  // One more failure could exceed the allowed ones.
  kExpired,         // The completion of its job has no value any more.
};

// Returns the name that logs and counters use.
const char* ToString(CopyReason reason);

struct CopyDecision {
  enum class Verdict { kCopy, kNotYet, kNever };
  Verdict verdict = Verdict::kNever;
  CopyReason reason = CopyReason::kExpired;
  // When to look at the run again; set for kNotYet.
  base::Duration look_again_in{0};
};

class StragglerPolicy {
 public:
  // A task has at most this many copies.
  static constexpr std::uint32_t kMaxCopiesOfTask = 2;
  // Copies use at most this fraction of the fleet, or there is only one. Slow
  // runs are 3% of all runs and need one usual run time each for a copy, so
  // this suffices if all steps allow copies.
  static constexpr double kMaxShareOfCopies = 0.05;
  // The longest interval at which a run is looked at for which a copy is due.
  static constexpr base::Duration kRetryInterval =
      std::chrono::milliseconds(100);

  // Returns whether the run gets a copy.
  static CopyDecision Decide(const RunInProgress& run, const CopyRoom& room);
  // Returns after which time a run of this kind is first worth a look.
  static base::Duration FirstLookAfter(base::Duration expected);
  // Returns whether a copy on a worker of this slowness is expected to end
  // before the run.
  static bool EndsBefore(const RunInProgress& run, double slowness_of_copy);
};

}  // namespace dotterelbarrow::core::placement

#endif  // DOTTERELBARROW_CORE_PLACEMENT_STRAGGLER_POLICY_H_
