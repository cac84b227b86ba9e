// Tells which submitted jobs are beyond their organisation's weight.
//
// Load pattern: one organisation submits jobs at several times its usual rate.
// Its weight is also the number of jobs per second to which it is entitled.
// Jobs beyond that rate are ordered behind the work of other organisations, so
// that those are not affected.
#ifndef DOTTERELBARROW_CORE_PLACEMENT_SUBMISSION_RATE_LIMITER_H_
#define DOTTERELBARROW_CORE_PLACEMENT_SUBMISSION_RATE_LIMITER_H_

#include <unordered_map>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core::placement {

class SubmissionRateLimiter {
 public:
  // Burst size: an organisation may submit the jobs of this many seconds at
  // once.
  static constexpr double kBurstSeconds = 2.0;

  // Counts one submitted job. Returns whether it is within `weight` jobs per
  // second, including the burst.
  bool TryAcquire(const base::OrganisationId& organisation, double weight,
                  base::TimePoint now);

 private:
  struct Bucket {
    double jobs = 0;
    base::TimePoint refilled_at;
  };
  std::unordered_map<base::OrganisationId, Bucket> buckets_;
};

}  // namespace dotterelbarrow::core::placement

#endif  // DOTTERELBARROW_CORE_PLACEMENT_SUBMISSION_RATE_LIMITER_H_
