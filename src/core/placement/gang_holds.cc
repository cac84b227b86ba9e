// Decides how many workers to hold for gangs and which work yields to them.
#include "dotterelbarrow/core/placement/gang_holds.h"

#include <algorithm>
#include <utility>

namespace dotterelbarrow::core::placement {

void GangHolds::BeginPass(std::size_t workers) {
  worker_count_ = workers;
  gang_count_ = 0;
  std::swap(previously_held_, held_);
  held_.clear();
  remainders_.clear();
  wanted_.clear();
}

void GangHolds::Hold(workers::WorkerNumber worker, const Remainder& remainder) {
  held_.insert(worker);
  remainders_.insert_or_assign(worker, remainder);
}

base::Resources GangHolds::RoomBesideGang(workers::WorkerNumber worker,
                                          const base::Resources& free,
                                          base::TimePoint end) const {
  const auto it = remainders_.find(worker);
  if (it == remainders_.end() || end <= it->second.starts_at) {
    return free;
  }
  return filled_.contains(worker) ? base::Resources()
                                  : base::LesserOf(free, it->second.unneeded);
}

void GangHolds::RecordBackfill(workers::WorkerNumber worker,
                               base::TimePoint end) {
  if (const auto it = remainders_.find(worker);
      it != remainders_.end() && end > it->second.starts_at) {
    filled_.insert(worker);
  }
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
