// Distinguishes a disconnected host from one whose cell changes its owner.
#include "dotterelbarrow/core/admission/reach.h"

namespace dotterelbarrow::core::admission {
namespace {

bool IsWithin(const std::optional<base::Duration>& age, base::Duration bound) {
  return age && *age <= bound;
}

}  // namespace

Reach ReachPolicy::Decide(const ReachInput& input) {
  const bool has_store_contact = IsWithin(input.store_heard, kSilent);
  const bool has_owner_contact = IsWithin(input.owner_heard, kSilent);
  if (!has_store_contact && !has_owner_contact) {
    return Reach::kCutOff;
  }
  return has_owner_contact && IsWithin(input.proof, kMaxConfirmationAge)
             ? Reach::kFull
             : Reach::kWaiting;
}

}  // namespace dotterelbarrow::core::admission
