// Reservations of backend servers for single tasks.
#include "dotterelbarrow/core/backend_reservations.h"

#include <algorithm>
#include <limits>

namespace dotterelbarrow::core {
namespace {

// How long a task must have waited before a backend server is reserved for it.
constexpr base::Duration kMinWait = std::chrono::milliseconds(50);

// How long a reservation stays for the next attempt of its task. It is longer
// for urgent tasks, because other tasks are being stopped for them.
constexpr base::Duration kRetention = std::chrono::milliseconds(100);
constexpr base::Duration kUrgentRetention = std::chrono::seconds(2);

// At most one in this many backend servers may be reserved.
constexpr std::size_t kBackendsPerReservation = 16;

// The most queued tasks that are considered for one reservation.
constexpr std::size_t kMaxTasksConsidered = 512;

bool IsSameTask(const base::TaskId& a, const base::TaskId& b) {
  return a.job == b.job && a.index == b.index;
}

// Returns the part of `demand` that exceeds `free`, as a fraction of `capacity`
// in the resource where that is largest.
double Shortfall(const base::Resources& demand, const base::Resources& free,
                 const base::Resources& capacity) {
  return DominantFraction(demand - free, capacity);
}

}  // namespace

void BackendReservations::Set(Backend* backend, TaskRecord* record) {
  backend->reservation =
      BackendReservation{record, record->spec.id, base::TimePoint::max()};
  reserved_.insert(backend->index);
  context_->pool.Refresh(backend);
}

void BackendReservations::Clear(Backend* backend) {
  if (!backend->reservation) {
    return;
  }
  backend->reservation.reset();
  reserved_.erase(backend->index);
  context_->pool.Refresh(backend);
  context_->freed.insert(backend->index);
}

Backend* BackendReservations::ReservedFor(const TaskRecord* record) {
  for (const BackendIndex index : reserved_) {
    Backend& backend = context_->pool.at(index);
    if (backend.reservation->holder == record) {
      return &backend;
    }
  }
  return nullptr;
}

void BackendReservations::OnLeftQueue(const TaskRecord* record, bool unplaced,
                                      base::TimePoint now) {
  Backend* backend = ReservedFor(record);
  if (backend == nullptr) {
    return;
  }
  if (unplaced) {
    backend->reservation->holder = nullptr;
    backend->reservation->expires =
        now + (record->spec.urgent ? kUrgentRetention : kRetention);
    return;
  }
  Clear(backend);
}

bool BackendReservations::Inherit(TaskRecord* record) {
  for (const BackendIndex index : reserved_) {
    BackendReservation& reservation = *context_->pool.at(index).reservation;
    if (reservation.holder == nullptr &&
        IsSameTask(reservation.task, record->spec.id)) {
      reservation.holder = record;
      reservation.expires = base::TimePoint::max();
      context_->freed.insert(index);
      return true;
    }
  }
  return false;
}

bool BackendReservations::Allows(const Backend& backend,
                                 const TaskRecord& record) const {
  if (!backend.reservation || backend.reservation->holder == &record) {
    return true;
  }
  const TaskRecord* holder = backend.reservation->holder;
  if (holder == nullptr) {
    return false;
  }
  return context_->pending.GoesBefore(record, *holder);
}

Backend* BackendReservations::FindFor(const TaskRecord& record) {
  for (const BackendIndex index : reserved_) {
    Backend& backend = context_->pool.at(index);
    if (context_->pool.IsUsable(backend) && Allows(backend, record) &&
        record.spec.demand.FitsIn(backend.free())) {
      return &backend;
    }
  }
  return nullptr;
}

Backend* BackendReservations::BestFor(const TaskRecord& record) {
  const base::Resources& demand = record.spec.demand;
  Backend* best = nullptr;
  double lowest = std::numeric_limits<double>::infinity();
  for (BackendIndex i = 0; i < context_->pool.index_limit(); ++i) {
    Backend* backend = context_->pool.Get(i);
    if (backend == nullptr || backend->host.kind != BackendKind::kWorker ||
        backend->reservation || !context_->pool.IsUsable(*backend) ||
        !demand.FitsIn(backend->capacity)) {
      continue;
    }
    const double missing =
        Shortfall(demand, backend->free(), backend->capacity);
    if (missing < lowest) {
      lowest = missing;
      best = backend;
    }
  }
  return best;
}

std::size_t BackendReservations::MaxReservations() const {
  return std::max<std::size_t>(
      1, context_->pool.index_limit() / kBackendsPerReservation);
}

TaskRecord* BackendReservations::LongestWaiting(base::TimePoint now) {
  TaskRecord* longest = nullptr;
  base::TimePoint since = now - kMinWait;
  for (TaskRecord* record : context_->pending.First(kMaxTasksConsidered)) {
    const base::TimePoint requested = record->As<QueuedPhase>()->since;
    if (requested < since && ReservedFor(record) == nullptr) {
      longest = record;
      since = requested;
    }
  }
  return longest;
}

void BackendReservations::Tick(base::TimePoint now) {
  const std::set<BackendIndex> reserved = reserved_;
  for (const BackendIndex index : reserved) {
    Backend& backend = context_->pool.at(index);
    if (backend.reservation->expires <= now) {
      Clear(&backend);
    }
  }
  if (reserved_.size() >= MaxReservations()) {
    return;
  }
  TaskRecord* waiting = LongestWaiting(now);
  Backend* backend = waiting == nullptr ? nullptr : BestFor(*waiting);
  if (backend != nullptr) {
    Set(backend, waiting);
  }
}

}  // namespace dotterelbarrow::core
