// Implements the pool of owned backend servers and the sums of their free
// resources.
#include "dotterelbarrow/core/backend_pool.h"

#include <algorithm>

namespace dotterelbarrow::core {
namespace {

base::Resources ComponentwiseMax(const base::Resources& a,
                                 const base::Resources& b) {
  return base::Resources{std::max(a.cpu, b.cpu), std::max(a.memory, b.memory),
                         std::max(a.accelerators, b.accelerators),
                         std::max(a.slots, b.slots)};
}

bool IsWorker(const Backend& backend) {
  return backend.host.kind == BackendKind::kWorker;
}

// Whether the host list contains the backend server and it is not leaving.
bool IsOffered(const Backend& backend) {
  return backend.listed && !backend.host.leaving;
}

}  // namespace

Backend* BackendPool::Add(const HostRecord& host) {
  BackendIndex index = static_cast<BackendIndex>(backends_.size());
  if (vacant_.empty()) {
    backends_.emplace_back();
  } else {
    index = vacant_.back();
    vacant_.pop_back();
  }
  backends_[index] = std::make_unique<Backend>(self_);
  Backend* backend = backends_[index].get();
  backend->index = index;
  backend->host = host;
  backend->capacity = host.capacity;
  by_id_[host.backend] = index;
  shards_[host.shard].members.insert(index);
  Refresh(backend);
  return backend;
}

void BackendPool::Remove(Backend* backend) {
  const BackendIndex index = backend->index;
  plain_index_.Remove(index);
  accelerator_index_.Remove(index);
  slots_.Remove(index);
  const auto shard = shards_.find(backend->host.shard);
  shard->second.free -= backend->counted;
  shard->second.members.erase(index);
  if (shard->second.members.empty()) {
    shards_.erase(shard);
  }
  by_id_.erase(backend->host.backend);
  vacant_.push_back(index);
  backends_[index] = nullptr;
  capacity_summary_outdated_ = true;
}

Backend* BackendPool::Find(const base::BackendId& id) {
  const auto it = by_id_.find(id);
  return it == by_id_.end() ? nullptr : backends_[it->second].get();
}

std::vector<Backend*> BackendPool::All() {
  std::vector<Backend*> all;
  for (const auto& backend : backends_) {
    if (backend != nullptr) {
      all.push_back(backend.get());
    }
  }
  std::sort(all.begin(), all.end(), [](const Backend* a, const Backend* b) {
    return a->host.backend < b->host.backend;
  });
  return all;
}

void BackendPool::Attach(Backend* backend, TaskRecord* record) {
  record->backend = backend->index;
  record->backend_id = backend->host.backend;
  record->position = backend->tasks.size();
  backend->tasks.push_back(record);
  backend->used += record->spec.demand;
  Refresh(backend);
}

void BackendPool::Detach(TaskRecord* record) {
  Backend* backend = &at(record->backend);
  TaskRecord* last = backend->tasks.back();
  backend->tasks[record->position] = last;
  last->position = record->position;
  backend->tasks.pop_back();
  backend->used -= record->spec.demand;
  record->backend = kNoBackend;
  Refresh(backend);
}

bool BackendPool::IsUsable(const Backend& backend) const {
  return IsOffered(backend) && backend.claim.is_claimed() &&
         backend.responsive && backend.quarantine.Admits();
}

void BackendPool::Refresh(Backend* backend) {
  capacity_summary_outdated_ = true;
  const bool usable = IsUsable(*backend);
  if (!IsWorker(*backend)) {
    // A runner refuses requests until its lease has been renewed under this
    // owner's epoch.
    slots_.Put(backend->index, backend->host.service, backend->capacity.slots,
               usable && backend->lease_valid);
    return;
  }
  const base::Resources free = backend->free();
  const bool accepts_work =
      usable && !backend->reservation.has_value() && !free.AnyNegative();
  const bool has_accelerators = backend->capacity.accelerators.value() > 0;
  FreeResourcesIndex& index =
      has_accelerators ? accelerator_index_ : plain_index_;
  FreeResourcesIndex& other =
      has_accelerators ? plain_index_ : accelerator_index_;
  other.Remove(backend->index);
  if (accepts_work) {
    index.Put(backend->index, free);
  } else {
    index.Remove(backend->index);
  }
  const base::Resources counted = accepts_work ? free : base::Resources{};
  base::Resources& shard = shards_.at(backend->host.shard).free;
  shard += counted - backend->counted;
  backend->counted = counted;
}

bool BackendPool::CouldEverHold(const base::Resources& demand) const {
  return std::any_of(
      backends_.begin(), backends_.end(), [&demand](const auto& backend) {
        return backend != nullptr && IsWorker(*backend) &&
               IsOffered(*backend) &&
               demand.FitsIn(
                   ComponentwiseMax(backend->capacity, backend->host.capacity));
      });
}

bool BackendPool::takes_work() const {
  return std::any_of(
      backends_.begin(), backends_.end(), [](const auto& backend) {
        return backend != nullptr && IsWorker(*backend) && IsOffered(*backend);
      });
}

const CapacitySummary& BackendPool::room() const {
  if (!capacity_summary_outdated_) {
    return room_;
  }
  capacity_summary_outdated_ = false;
  room_ = CapacitySummary{};
  for (const auto& backend : backends_) {
    if (backend == nullptr || !IsOffered(*backend)) {
      continue;
    }
    room_.capacity += backend->capacity;
    if (!IsWorker(*backend)) {
      continue;
    }
    room_.capacity_largest =
        ComponentwiseMax(room_.capacity_largest, backend->capacity);
    room_.free_total += backend->counted;
    room_.free_largest = ComponentwiseMax(room_.free_largest, backend->counted);
  }
  room_.free_slots = slots_.free_total();
  room_.total_slots = slots_.total();
  return room_;
}

}  // namespace dotterelbarrow::core
