// Begins a transfer once the ones before it are over.
#include "dotterelbarrow/core/admission/transfer_budget.h"

#include <algorithm>
#include <chrono>

namespace dotterelbarrow::core::admission {

bool TransferBudget::TryAcquire(base::Bytes size, base::TimePoint now) {
  if (now < free_at_) {
    return false;
  }
  const std::chrono::duration<double> duration(
      static_cast<double>(size.value()) /
      (static_cast<double>(link_.value()) * kLinkShare));
  free_at_ = now + std::chrono::duration_cast<base::Duration>(duration);
  return true;
}

}  // namespace dotterelbarrow::core::admission
