// Implements the pool of slots for interactive requests.
#include "dotterelbarrow/core/slot_pool.h"

#include <algorithm>

namespace dotterelbarrow::core {

std::int64_t SlotPool::Runner::Used() const {
  const auto running = static_cast<std::int64_t>(running_at_claim.size());
  return calls + std::max(earlier_calls, running);
}

std::int64_t SlotPool::Runner::Free() const {
  return usable ? std::max<std::int64_t>(0, capacity - Used()) : 0;
}

void SlotPool::Detach(BackendIndex index) {
  const Runner& runner = runners_.at(index);
  Service& service = services_[runner.service];
  const std::int64_t free = runner.Free();
  service.by_free.erase({-free, index});
  service.free -= free;
  free_total_ -= free;
  if (runner.usable) {
    service.total -= runner.capacity;
    total_ -= runner.capacity;
  }
}

void SlotPool::Attach(BackendIndex index) {
  const Runner& runner = runners_.at(index);
  Service& service = services_[runner.service];
  const std::int64_t free = runner.Free();
  if (free > 0) {
    service.by_free.insert({-free, index});
  }
  service.free += free;
  free_total_ += free;
  if (runner.usable) {
    service.total += runner.capacity;
    total_ += runner.capacity;
  }
}

void SlotPool::Put(BackendIndex runner, const base::ServiceId& service,
                   base::Slots capacity, bool usable) {
  if (runners_.contains(runner)) {
    Detach(runner);
  }
  Runner& entry = runners_[runner];
  entry.service = service;
  entry.capacity = capacity.value();
  entry.usable = usable;
  Attach(runner);
}

void SlotPool::Remove(BackendIndex runner) {
  if (!runners_.contains(runner)) {
    return;
  }
  ++changes_;
  Detach(runner);
  runners_.erase(runner);
  std::erase_if(calls_, [runner](const auto& entry) {
    return entry.second.runner == runner;
  });
}

std::optional<BackendIndex> SlotPool::Take(const base::ServiceId& service,
                                           base::CallId call) {
  const auto it = services_.find(service);
  if (it == services_.end() || it->second.by_free.empty() ||
      calls_.contains(call)) {
    return std::nullopt;
  }
  const BackendIndex index = it->second.by_free.begin()->second;
  Detach(index);
  ++runners_.at(index).calls;
  Attach(index);
  calls_[call] = Call{index, false};
  return index;
}

std::optional<BackendIndex> SlotPool::Return(base::CallId call) {
  const auto it = calls_.find(call);
  if (it == calls_.end()) {
    return std::nullopt;
  }
  const Call taken = it->second;
  calls_.erase(it);
  Detach(taken.runner);
  Runner& runner = runners_.at(taken.runner);
  --(taken.earlier ? runner.earlier_calls : runner.calls);
  Attach(taken.runner);
  return taken.runner;
}

void SlotPool::OnClaimReport(BackendIndex index,
                             std::set<base::TaskId> running) {
  ++changes_;
  Detach(index);
  Runner& runner = runners_.at(index);
  runner.earlier_calls += std::exchange(runner.calls, 0);
  runner.running_at_claim = std::move(running);
  Attach(index);
  for (auto& [id, call] : calls_) {
    call.earlier |= call.runner == index;
  }
}

void SlotPool::OnReport(BackendIndex index,
                        const std::set<base::TaskId>& running) {
  Detach(index);
  Runner& runner = runners_.at(index);
  changes_ += std::erase_if(
      runner.running_at_claim,
      [&running](const base::TaskId& task) { return !running.contains(task); });
  Attach(index);
}

void SlotPool::OnLapsed(BackendIndex index) {
  ++changes_;
  Detach(index);
  runners_.at(index).running_at_claim.clear();
  Attach(index);
}

base::Slots SlotPool::Free(const base::ServiceId& service) const {
  const auto it = services_.find(service);
  return base::Slots(it == services_.end() ? 0 : it->second.free);
}

base::Slots SlotPool::Total(const base::ServiceId& service) const {
  const auto it = services_.find(service);
  return base::Slots(it == services_.end() ? 0 : it->second.total);
}

}  // namespace dotterelbarrow::core
