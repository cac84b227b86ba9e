// Tells a host that is cut off from one whose cell changes its owner.
#include "dotterelbarrow/core/admission/reach.h"

namespace dotterelbarrow::core::admission {
namespace {

bool IsWithin(const std::optional<base::Duration>& age, base::Duration bound) {
  return age && *age <= bound;
}

}  // namespace

Reach ReachPolicy::Decide(const ReachInput& input) {
  const bool hears_store = IsWithin(input.store_heard, kSilent);
  const bool hears_owner = IsWithin(input.owner_heard, kSilent);
  if (!hears_store && !hears_owner) {
    return Reach::kCutOff;
  }
  return hears_owner && IsWithin(input.proof, kOldProof) ? Reach::kFull
                                                         : Reach::kWaiting;
}

}  // namespace dotterelbarrow::core::admission
