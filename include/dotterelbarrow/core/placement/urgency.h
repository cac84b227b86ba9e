// In which order waiting work is placed when there isn't room for all of it.
#ifndef DOTTERELBARROW_CORE_PLACEMENT_URGENCY_H_
#define DOTTERELBARROW_CORE_PLACEMENT_URGENCY_H_

#include <compare>
#include <cstdint>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/desired/desired_state.h"
#include "dotterelbarrow/core/jobs/job.h"

namespace dotterelbarrow::core::placement {

// When a job is due, and when its completion has lost its worth.
struct CompletionObjective {
  base::Duration on_time{0};
  base::Duration late{0};
};

// Returns the objective of a job of `queue` whose longest chain takes this
// long, counted from its acceptance.
CompletionObjective ObjectiveOf(const desired::Queue& queue,
                                base::Duration chain);

// Returns what a call for advice adds to each step of a job of `queue`.
base::Duration AdviceTime(const desired::Queue& queue);

enum class Standing {
  kOnTime,   // It can still be done in time.
  kLate,     // In time is over; some worth is left.
  kExpired,  // It only has to be done.
};

// Compares waiting steps: the lesser one is placed first.
//
// Load pattern: a burst fills the fleet for seconds. What can still be in time
// goes before what can't; an organisation that hands in more than its weight
// allows goes behind the others; then queues by their priority; then what has
// the least time left.
struct Urgency {
  Standing standing = Standing::kOnTime;
  bool over_share = false;
  int priority = 0;
  // The last moment at which the step can start for the job to be in time, with
  // the steps that depend on it.
  base::TimePoint latest_start;

  friend bool operator==(const Urgency&, const Urgency&) = default;
  friend std::strong_ordering operator<=>(const Urgency& a, const Urgency& b);
};

// Works the objective of `job` out the first time, and keeps it there.
Urgency UrgencyOf(jobs::Job* job, std::uint32_t step,
                  const desired::Queue& queue, bool over_share,
                  base::TimePoint now);

}  // namespace dotterelbarrow::core::placement

#endif  // DOTTERELBARROW_CORE_PLACEMENT_URGENCY_H_
