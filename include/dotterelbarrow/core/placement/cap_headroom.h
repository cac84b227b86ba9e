// Keeps a part of an organisation's cap free for its urgent work.
//
// Load pattern: an organisation's batch jobs, with many seconds of slack, fill
// its cap, while its interactive jobs arrive all the time, each due within a
// second. Without headroom each of these waits until a batch task ends, which
// takes longer than its slack. Work with much slack therefore leaves free what
// the urgent work of the last seconds needed; it may use the whole cap once a
// large part of its slack is used up. Late work leaves the same until it is
// started, but only as far as it fits beside it: a step that needs more than
// the rest of the cap uses the headroom too.
#ifndef DOTTERELBARROW_CORE_PLACEMENT_CAP_HEADROOM_H_
#define DOTTERELBARROW_CORE_PLACEMENT_CAP_HEADROOM_H_

#include <unordered_map>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core::placement {

class CapHeadroom {
 public:
  // Time constant of the mean demand. It covers some tens of interactive jobs
  // of an organisation.
  static constexpr base::Duration kTimeConstant = std::chrono::seconds(5);
  // Headroom in units of the mean demand, since jobs arrive unevenly.
  static constexpr double kPeakFactor = 1.5;
  // Upper bound of the headroom as a fraction of the cap, so that small tasks
  // with much slack always make progress.
  static constexpr double kMaxFraction = 0.5;

  // Records that urgent work of the organisation has arrived, which needs
  // `needs` for about `duration`.
  void RecordUrgent(const base::OrganisationId& organisation,
                    const base::Resources& needs, base::Duration duration,
                    base::TimePoint now);
  // Returns the part of `cap` that work with much slack must leave free. A
  // resource without a cap (0) gets no headroom.
  base::Resources HeadroomOf(const base::OrganisationId& organisation,
                             const base::Resources& cap,
                             base::TimePoint now) const;

 private:
  // The mean of what urgent work uses at one time, in the resources' own units,
  // as of `at`.
  struct Demand {
    double cpu = 0;
    double memory = 0;
    double accelerators = 0;
    base::TimePoint at;
  };

  std::unordered_map<base::OrganisationId, Demand> demands_;
};

}  // namespace dotterelbarrow::core::placement

#endif  // DOTTERELBARROW_CORE_PLACEMENT_CAP_HEADROOM_H_
