// The order in which waiting work is placed when there is not enough free
// capacity for all of it.
#ifndef DOTTERELBARROW_CORE_PLACEMENT_URGENCY_H_
#define DOTTERELBARROW_CORE_PLACEMENT_URGENCY_H_

#include <compare>
#include <cstdint>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/desired/desired_state.h"
#include "dotterelbarrow/core/jobs/job.h"
#include "dotterelbarrow/core/placement/run_time_model.h"

namespace dotterelbarrow::core::placement {

// How long after its acceptance a job is due, and after how long its completion
// has no value any more.
struct CompletionObjective {
  base::Duration on_time{0};
  base::Duration late{0};
};

// Returns the objective, counted from its acceptance, of a job of `queue` whose
// longest chain of dependent steps takes `chain`.
CompletionObjective ObjectiveOf(const desired::Queue& queue,
                                base::Duration chain);

// Returns the time that the call to the placement advisor adds to each step of
// a job of `queue`; 0 for a queue without an advisor.
base::Duration AdviceTime(const desired::Queue& queue);

enum class DeadlineStatus {
  kOnTime,   // The job can still be completed on time.
  kLate,     // It can't be on time any more, but its completion has some value.
  kExpired,  // Its completion has no value left, but it must still be run.
};

// The sort key of waiting steps: the lesser one is placed first.
//
// Load pattern: a burst fills the fleet for seconds. Jobs that can still be on
// time come before jobs that can't; jobs beyond their organisation's weight
// come after the others; then the queue's priority decides, then the least time
// left.
struct Urgency {
  DeadlineStatus deadline_status = DeadlineStatus::kOnTime;
  bool over_share = false;
  int priority = 0;
  // The latest time at which the step can start so that the job, with the steps
  // that depend on this one, is still on time.
  base::TimePoint latest_start;

  friend bool operator==(const Urgency&, const Urgency&) = default;
  friend std::strong_ordering operator<=>(const Urgency& a, const Urgency& b);
};

// Returns the urgency of a step of `job` at `now`. The first call computes the
// job's objective, from the run times that are expected then, and stores it in
// `job`.
Urgency UrgencyOf(jobs::Job* job, std::uint32_t step,
                  const desired::Queue& queue, const RunTimeModel& run_times,
                  bool over_share, base::TimePoint now);

}  // namespace dotterelbarrow::core::placement

#endif  // DOTTERELBARROW_CORE_PLACEMENT_URGENCY_H_
