// Implements the rooms that are kept for steps.
#include "dotterelbarrow/core/placement/kept_rooms.h"

#include <algorithm>
#include <utility>

namespace dotterelbarrow::core::placement {

void KeptRooms::Keep(const jobs::StepRef& step,
                     const std::vector<workers::WorkerNumber>& workers,
                     const base::Resources& room_per_task,
                     base::TimePoint until) {
  if (const auto previous = by_step_.find(step); previous != by_step_.end()) {
    Release(previous->second);
    by_step_.erase(previous);
  }
  if (workers.empty()) {
    return;
  }
  for (const workers::WorkerNumber worker : workers) {
    by_worker_[worker] += room_per_task;
  }
  by_step_.emplace(step, Rooms{workers, room_per_task, until});
}

void KeptRooms::OnPlaced(const jobs::StepRef& step,
                         workers::WorkerNumber worker) {
  const auto it = by_step_.find(step);
  if (it == by_step_.end()) {
    return;
  }
  Rooms& rooms = it->second;
  auto room = std::find(rooms.workers.begin(), rooms.workers.end(), worker);
  if (room == rooms.workers.end()) {
    room = std::prev(rooms.workers.end());
  }
  Release({{*room}, rooms.room_per_task, rooms.until});
  rooms.workers.erase(room);
  if (rooms.workers.empty()) {
    by_step_.erase(it);
  }
}

void KeptRooms::ReleaseIf(
    const std::function<bool(const jobs::StepRef&)>& is_obsolete,
    base::TimePoint now) {
  std::erase_if(by_step_, [&](const auto& entry) {
    const bool is_released =
        now >= entry.second.until || is_obsolete(entry.first);
    if (is_released) {
      Release(entry.second);
    }
    return is_released;
  });
}

bool KeptRooms::IsKeptFor(const jobs::StepRef& step,
                          workers::WorkerNumber worker) const {
  const auto it = by_step_.find(step);
  return it != by_step_.end() &&
         std::find(it->second.workers.begin(), it->second.workers.end(),
                   worker) != it->second.workers.end();
}

base::Resources KeptRooms::KeptForOthers(const jobs::StepRef& step,
                                         workers::WorkerNumber worker) const {
  const auto kept = by_worker_.find(worker);
  if (kept == by_worker_.end()) {
    return {};
  }
  base::Resources others = kept->second;
  if (const auto own = by_step_.find(step); own != by_step_.end()) {
    const auto rooms = std::count(own->second.workers.begin(),
                                  own->second.workers.end(), worker);
    others -= own->second.room_per_task * rooms;
  }
  return others;
}

void KeptRooms::Release(const Rooms& rooms) {
  for (const workers::WorkerNumber worker : rooms.workers) {
    const auto it = by_worker_.find(worker);
    if (it == by_worker_.end()) {
      continue;
    }
    it->second -= rooms.room_per_task;
    if (it->second == base::Resources()) {
      by_worker_.erase(it);
    }
  }
}

}  // namespace dotterelbarrow::core::placement
