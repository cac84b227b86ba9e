// Chooses the backend server for a task, by a policy for each kind of work.
//
// For batch tasks and services, a configured weight decides between packing and
// spreading. The tasks of an all-at-once job go to as few shards (racks) as
// possible. Urgent tasks go to the backend server with most free resources.
#ifndef DOTTERELBARROW_CORE_PLACEMENT_POLICY_H_
#define DOTTERELBARROW_CORE_PLACEMENT_POLICY_H_

#include <optional>
#include <variant>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/backend_pool.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/settings.h"

namespace dotterelbarrow::core {

struct BatchPolicy {
  // From 0 (spreading only) to 1 (packing only).
  double packing_weight = 1.0;
};
struct AllAtOncePolicy {
  // The shard of the job's previous task; empty for its first task.
  base::ShardId shard;
};
struct UrgentPolicy {};

using PlacementPolicy =
    std::variant<BatchPolicy, AllAtOncePolicy, UrgentPolicy>;

// Returns the cost of a placement that leaves `after` of the `capacity` of a
// backend server free; lower is better. With `packing_weight` 1 the cost grows
// with the resources left free, with 0 it grows with the load. Either way it
// grows with the difference between the free fractions of processors and
// memory, so that neither is left over without the other.
double LeftoverCost(const base::Resources& after,
                    const base::Resources& capacity, double packing_weight);

// Returns the worker on which `policy` places a task that needs `demand`, or
// nullopt if no unreserved worker has enough free resources now.
std::optional<BackendIndex> ChooseBackend(const PlacementPolicy& policy,
                                          BackendPool* pool,
                                          const base::Resources& demand);

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_PLACEMENT_POLICY_H_
