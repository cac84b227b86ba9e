// Chooses which tasks to stop so that an urgent task can be placed.
#ifndef DOTTERELBARROW_CORE_PREEMPTION_H_
#define DOTTERELBARROW_CORE_PREEMPTION_H_

#include <optional>
#include <random>
#include <vector>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/backend_pool.h"

namespace dotterelbarrow::core {

struct Preemption {
  BackendIndex backend = kNoBackend;
  // The tasks to stop. Empty if the task fits once the tasks that are already
  // being stopped have ended.
  std::vector<TaskRecord*> victims;
};

// Returns the backend server, of a sample of bounded size, on which freeing
// `demand` costs least, with the tasks to stop there; or nullopt if it can be
// freed on none. The cost is the run time of the victims so far, weighted by
// their share of the backend server's capacity. Only idempotent batch tasks
// that are not urgent are stopped.
std::optional<Preemption> ChoosePreemption(BackendPool* pool,
                                           const base::Resources& demand,
                                           base::TimePoint now,
                                           std::mt19937_64* random);

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_PREEMPTION_H_
