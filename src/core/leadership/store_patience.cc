// Tells a store that is lost to its writer from one that is slow.
#include "dotterelbarrow/core/leadership/store_patience.h"

#include <algorithm>

namespace dotterelbarrow::core::leadership {
namespace {

base::Duration PatienceFor(const StoreSigns& signs) {
  if (signs.has_failed) {
    return StorePatience::kFailing;
  }
  if (signs.oldest_read >= StorePatience::kSilentRead) {
    return StorePatience::kSilentRead;
  }
  const base::Duration reads = std::max(signs.read_latency, signs.oldest_read);
  return std::clamp(reads * StorePatience::kReadsPerWrite,
                    StorePatience::kSlowLeast, StorePatience::kSlowMost);
}

}  // namespace

bool StorePatience::ShouldOffer(const StoreSigns& signs) {
  return signs.write_age >= PatienceFor(signs);
}

bool StorePatience::ShouldRefuse(const StoreSigns& signs) {
  return signs.write_age >= PatienceFor(signs) + kBeforeRefusal;
}

}  // namespace dotterelbarrow::core::leadership
