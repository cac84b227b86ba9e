// Choice of the tasks to stop for an urgent task.
#include "dotterelbarrow/core/preemption.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace dotterelbarrow::core {
namespace {

// The most backend servers that are evaluated for one urgent task.
constexpr std::size_t kMaxBackendsEvaluated = 64;

bool IsPreemptible(const TaskRecord& record) {
  const auto* active = record.As<ActivePhase>();
  return active != nullptr && active->listed && !active->stop_reason &&
         record.spec.kind == WorkKind::kBatch && record.spec.idempotent &&
         !record.spec.urgent;
}

bool IsBeingStopped(const TaskRecord& record) {
  const auto* active = record.As<ActivePhase>();
  return active != nullptr && active->stop_reason.has_value();
}

// Returns the work lost by stopping `record`: its run time so far in seconds,
// multiplied by its share of `capacity`.
double LostWork(const TaskRecord& record, const base::Resources& capacity,
                base::TimePoint now) {
  const std::chrono::duration<double> done =
      now - record.As<ActivePhase>()->since;
  return done.count() * DominantFraction(record.spec.demand, capacity);
}

struct Evaluation {
  double cost = std::numeric_limits<double>::infinity();
  std::vector<TaskRecord*> victims;
};

// Removes from `victims`, which must be sorted by rising cost, those without
// which `demand` still fits, most expensive first. `free` counts the resources
// of all victims as free.
void DropUnneededVictims(const base::Resources& demand, base::Resources free,
                         std::vector<TaskRecord*>* victims) {
  for (std::size_t i = victims->size(); i-- > 0;) {
    const base::Resources without = free - (*victims)[i]->spec.demand;
    if (demand.FitsIn(without)) {
      free = without;
      victims->erase(victims->begin() + static_cast<std::ptrdiff_t>(i));
    }
  }
}

Evaluation Evaluate(const Backend& backend, const base::Resources& demand,
                    base::TimePoint now) {
  base::Resources free = backend.free();
  std::vector<TaskRecord*> candidates;
  for (TaskRecord* record : backend.tasks) {
    if (IsBeingStopped(*record)) {
      free += record->spec.demand;
    } else if (IsPreemptible(*record)) {
      candidates.push_back(record);
    }
  }
  const auto cost = [&](const TaskRecord* record) {
    return LostWork(*record, backend.capacity, now);
  };
  std::sort(candidates.begin(), candidates.end(),
            [&](const TaskRecord* a, const TaskRecord* b) {
              return std::pair(cost(a), a->serial) <
                     std::pair(cost(b), b->serial);
            });
  Evaluation result;
  for (TaskRecord* record : candidates) {
    if (demand.FitsIn(free)) {
      break;
    }
    free += record->spec.demand;
    result.victims.push_back(record);
  }
  if (!demand.FitsIn(free)) {
    return result;
  }
  DropUnneededVictims(demand, free, &result.victims);
  result.cost = 0;
  for (const TaskRecord* record : result.victims) {
    result.cost += cost(record);
  }
  return result;
}

}  // namespace

std::optional<Preemption> ChoosePreemption(BackendPool* pool,
                                           const base::Resources& demand,
                                           base::TimePoint now,
                                           std::mt19937_64* random) {
  const std::size_t limit = pool->index_limit();
  if (limit == 0) {
    return std::nullopt;
  }
  const std::size_t first = (*random)() % limit;
  std::optional<Preemption> best;
  double lowest = std::numeric_limits<double>::infinity();
  std::size_t evaluated = 0;
  for (std::size_t i = 0; i < limit && evaluated < kMaxBackendsEvaluated; ++i) {
    Backend* backend =
        pool->Get(static_cast<BackendIndex>((first + i) % limit));
    if (backend == nullptr || backend->reservation ||
        !pool->IsUsable(*backend) || !demand.FitsIn(backend->capacity)) {
      continue;
    }
    ++evaluated;
    Evaluation result = Evaluate(*backend, demand, now);
    if (result.cost < lowest) {
      lowest = result.cost;
      best = Preemption{backend->index, std::move(result.victims)};
    }
  }
  return best;
}

}  // namespace dotterelbarrow::core
