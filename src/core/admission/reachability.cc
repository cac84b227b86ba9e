// Distinguishes a disconnected host from one whose cell changes its owner.
#include "dotterelbarrow/core/admission/reachability.h"

namespace dotterelbarrow::core::admission {
namespace {

bool IsWithin(const std::optional<base::Duration>& age, base::Duration bound) {
  return age && *age <= bound;
}

}  // namespace

Reachability ReachabilityPolicy::Decide(const ReachabilityInput& input) {
  const bool has_store_contact =
      IsWithin(input.store_contact_age, kContactTimeout);
  const bool has_owner_contact =
      IsWithin(input.owner_contact_age, kContactTimeout);
  if (!has_store_contact && !has_owner_contact) {
    return Reachability::kIsolated;
  }
  return has_owner_contact &&
                 IsWithin(input.confirmation_age, kMaxConfirmationAge)
             ? Reachability::kFull
             : Reachability::kUnavailable;
}

}  // namespace dotterelbarrow::core::admission
