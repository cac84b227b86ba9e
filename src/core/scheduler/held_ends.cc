// Implements the numbers up to which run ends may be acknowledged.
#include "dotterelbarrow/core/scheduler/held_ends.h"

#include <algorithm>
#include <iterator>

namespace dotterelbarrow::core::scheduler {

void HeldEnds::Hold(const base::BackendId& worker, std::int64_t born_ms,
                    std::uint64_t number, const End& end) {
  Held& held = workers_[worker];
  if (held.born_ms != born_ms) {
    // The numbers of the previous incarnation mean nothing any more.
    held = Held{.born_ms = born_ms, .stored = 0, .ends = {}};
  }
  held.ends.emplace(number, end);
}

std::uint64_t HeldEnds::OnStored(const base::BackendId& worker,
                                 std::int64_t born_ms, std::uint64_t number) {
  const auto it = workers_.find(worker);
  if (it == workers_.end() || it->second.born_ms != born_ms) {
    return number;
  }
  Held& held = it->second;
  held.stored = std::max(held.stored, number);
  return std::min(number, held.ends.begin()->first - 1);
}

void HeldEnds::Release(
    const std::function<bool(const base::BackendId&, std::int64_t, const End&)>&
        can_release,
    const std::function<void(const base::BackendId&, std::int64_t,
                             std::uint64_t)>& acknowledge) {
  for (auto it = workers_.begin(); it != workers_.end();) {
    const base::BackendId worker = it->first;
    Held& held = it->second;
    std::erase_if(held.ends, [&](const auto& entry) {
      return can_release(worker, held.born_ms, entry.second);
    });
    const std::uint64_t number =
        held.ends.empty() ? held.stored
                          : std::min(held.stored, held.ends.begin()->first - 1);
    const std::int64_t born_ms = held.born_ms;
    it = held.ends.empty() ? workers_.erase(it) : std::next(it);
    acknowledge(worker, born_ms, number);
  }
}

}  // namespace dotterelbarrow::core::scheduler
