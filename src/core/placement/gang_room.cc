// Keeps and claims workers for gangs that wait.
#include "dotterelbarrow/core/placement/gang_room.h"

#include <utility>

namespace dotterelbarrow::core::placement {

void GangRoom::BeginPass(std::size_t workers) {
  workers_ = workers;
  gangs_ = 0;
  std::swap(kept_before_, kept_);
  kept_.clear();
  wanted_.clear();
}

bool GangRoom::CanKeep() const {
  return gangs_ < kLeastGangs || static_cast<double>(kept_.size()) <
                                     kMostKept * static_cast<double>(workers_);
}

bool GangRoom::Yields(const Urgency& urgency, base::TimePoint accepted_at,
                      base::TimePoint now) {
  if (urgency.standing != Standing::kOnTime) {
    return true;
  }
  const base::Duration slack = urgency.latest_start - accepted_at;
  return slack >= kLeastSlack &&
         now < accepted_at + std::chrono::duration_cast<base::Duration>(
                                 slack * kYieldShare);
}

}  // namespace dotterelbarrow::core::placement
