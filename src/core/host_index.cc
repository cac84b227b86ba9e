// Aggregates the capacities and shards of the host list.
#include "dotterelbarrow/core/host_index.h"

#include <algorithm>
#include <limits>

namespace dotterelbarrow::core {
namespace {

// Returns how many times `demand` fits into `capacity`.
std::uint64_t CountFitting(std::int64_t demand, std::int64_t capacity) {
  if (demand <= 0) {
    return std::numeric_limits<std::uint64_t>::max();
  }
  return static_cast<std::uint64_t>(std::max<std::int64_t>(capacity, 0) /
                                    demand);
}

std::uint64_t CountFitting(const base::Resources& demand,
                           const base::Resources& capacity) {
  return std::min(
      {CountFitting(demand.cpu.value(), capacity.cpu.value()),
       CountFitting(demand.memory.value(), capacity.memory.value()),
       CountFitting(demand.accelerators.value(), capacity.accelerators.value()),
       CountFitting(demand.slots.value(), capacity.slots.value())});
}

}  // namespace

void HostIndex::OnHostList(const HostList& list, base::TimePoint now) {
  if (!list.available) {
    return;
  }
  known_ = true;
  if (list.hosts == hosts_) {
    return;
  }
  std::unordered_map<base::BackendId, std::size_t> places;
  shards_.clear();
  classes_.clear();
  capacity_ = {};
  for (const HostRecord& host : list.hosts) {
    places.emplace(host.backend,
                   static_cast<std::size_t>(&host - list.hosts.data()));
    shards_.insert(host.shard);
    capacity_ += host.capacity;
    if (host.kind != BackendKind::kWorker) {
      continue;
    }
    const auto same = std::find_if(
        classes_.begin(), classes_.end(),
        [&](const CapacityClass& c) { return c.capacity == host.capacity; });
    if (same == classes_.end()) {
      classes_.push_back({host.capacity, 1});
    } else {
      ++same->workers;
    }
  }
  for (const HostRecord& host : hosts_) {
    if (!places.contains(host.backend)) {
      last_vanished_ = now;
    }
  }
  hosts_ = list.hosts;
  places_ = std::move(places);
}

std::uint64_t HostIndex::TasksHeld(const base::Resources& demand,
                                   std::uint64_t enough) const {
  std::uint64_t held = 0;
  for (const CapacityClass& each : classes_) {
    const std::uint64_t times =
        std::min(CountFitting(demand, each.capacity), enough);
    held += times * each.workers;
    if (held >= enough) {
      return enough;
    }
  }
  return held;
}

const HostRecord* HostIndex::Find(const base::BackendId& backend) const {
  const auto it = places_.find(backend);
  return it == places_.end() ? nullptr : &hosts_[it->second];
}

}  // namespace dotterelbarrow::core
