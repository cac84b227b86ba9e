// One token bucket per organisation.
#include "dotterelbarrow/core/placement/submission_rate_limiter.h"

#include <algorithm>
#include <chrono>

namespace dotterelbarrow::core::placement {

bool SubmissionRateLimiter::TryAcquire(const base::OrganisationId& organisation,
                                       double weight, base::TimePoint now) {
  const double capacity = std::max(1.0, weight * kBurstSeconds);
  const auto [it, is_new] = buckets_.try_emplace(organisation);
  Bucket& bucket = it->second;
  if (is_new) {
    bucket = {capacity, now};
  }
  const double seconds =
      std::chrono::duration<double>(now - bucket.refilled_at).count();
  bucket.jobs = std::min(capacity, bucket.jobs + seconds * weight);
  bucket.refilled_at = now;
  if (bucket.jobs < 1) {
    return false;
  }
  bucket.jobs -= 1;
  return true;
}

}  // namespace dotterelbarrow::core::placement
