// Distinguishes a store that doesn't serve the owner from one that is slow.
#include "dotterelbarrow/core/leadership/store_patience.h"

#include <algorithm>

namespace dotterelbarrow::core::leadership {
namespace {

base::Duration TimeoutFor(const StoreSigns& signs) {
  if (signs.has_failed) {
    return StorePatience::kFailedWriteTimeout;
  }
  if (signs.oldest_read >= StorePatience::kUnansweredReadTimeout) {
    return StorePatience::kUnansweredReadTimeout;
  }
  const base::Duration reads = std::max(signs.read_latency, signs.oldest_read);
  return std::clamp(reads * StorePatience::kReadLatencyFactor,
                    StorePatience::kMinSlowWriteTimeout,
                    StorePatience::kMaxSlowWriteTimeout);
}

}  // namespace

bool StorePatience::ShouldOffer(const StoreSigns& signs) {
  return signs.write_age >= TimeoutFor(signs);
}

bool StorePatience::ShouldRefuse(const StoreSigns& signs) {
  return signs.write_age >= TimeoutFor(signs) + kRefusalDelay;
}

}  // namespace dotterelbarrow::core::leadership
