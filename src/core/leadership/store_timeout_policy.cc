// Distinguishes a store that doesn't serve the owner from one that is slow.
#include "dotterelbarrow/core/leadership/store_timeout_policy.h"

#include <algorithm>

namespace dotterelbarrow::core::leadership {
namespace {

base::Duration TimeoutFor(const StoreHealth& signs) {
  if (signs.has_failed) {
    return StoreTimeoutPolicy::kFailedWriteTimeout;
  }
  if (signs.oldest_read >= StoreTimeoutPolicy::kUnansweredReadTimeout) {
    return StoreTimeoutPolicy::kUnansweredReadTimeout;
  }
  const base::Duration reads = std::max(signs.read_latency, signs.oldest_read);
  return std::clamp(reads * StoreTimeoutPolicy::kReadLatencyFactor,
                    StoreTimeoutPolicy::kMinSlowWriteTimeout,
                    StoreTimeoutPolicy::kMaxSlowWriteTimeout);
}

}  // namespace

bool StoreTimeoutPolicy::ShouldOfferHandOver(const StoreHealth& signs) {
  return signs.write_age >= TimeoutFor(signs);
}

bool StoreTimeoutPolicy::ShouldRefuseNewWork(const StoreHealth& signs) {
  return signs.write_age >= TimeoutFor(signs) + kRefusalDelay;
}

}  // namespace dotterelbarrow::core::leadership
