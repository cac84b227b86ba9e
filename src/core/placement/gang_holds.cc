// Decides how many workers to hold for gangs and which work yields to them.
#include "dotterelbarrow/core/placement/gang_holds.h"

#include <utility>

namespace dotterelbarrow::core::placement {

void GangHolds::BeginPass(std::size_t workers) {
  worker_count_ = workers;
  gang_count_ = 0;
  std::swap(previously_held_, held_);
  held_.clear();
  wanted_.clear();
}

bool GangHolds::CanHold() const {
  return gang_count_ < kMinGangs ||
         static_cast<double>(held_.size()) <
             kMaxHeldFraction * static_cast<double>(worker_count_);
}

bool GangHolds::MustYield(const Urgency& urgency, base::TimePoint accepted_at,
                          base::TimePoint now) {
  if (urgency.deadline_status != DeadlineStatus::kOnTime) {
    return true;
  }
  const base::Duration slack = urgency.latest_start - accepted_at;
  return slack >= kMinYieldingSlack &&
         now < accepted_at + std::chrono::duration_cast<base::Duration>(
                                 slack * kYieldSlackFraction);
}

}  // namespace dotterelbarrow::core::placement
