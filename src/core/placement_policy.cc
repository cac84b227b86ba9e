// Choice of the backend server for a task.
#include "dotterelbarrow/core/placement_policy.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace dotterelbarrow::core {
namespace {

// The weight of an imbalance between free processors and free memory, next to
// the weights of packing and spreading, which add up to 1.
constexpr double kBalanceWeight = 0.25;

// At or above this packing weight, the cost is always lowest on the fullest
// worker.
constexpr double kFullPackingWeight = 2.0 / 3.0;

// The most workers that are compared for one decision.
constexpr std::size_t kMaxCandidates = 64;

double Fraction(std::int64_t part, std::int64_t whole) {
  return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole)
                   : 0.0;
}

// Returns the fraction to leave free at which LeftoverCost is lowest.
double PreferredFree(double packing_weight) {
  if (packing_weight >= kFullPackingWeight) {
    return 0.0;
  }
  return 1.0 - packing_weight / (2.0 * (1.0 - packing_weight));
}

// Finds the worker of lowest cost among those passed to Add().
class LowestCost {
 public:
  LowestCost(const BackendPool& pool, const base::Resources& demand,
             double packing_weight)
      : pool_(pool), demand_(demand), packing_weight_(packing_weight) {}

  void Add(BackendIndex index) {
    const Backend& backend = pool_.at(index);
    const base::Resources after = backend.free() - demand_;
    const double cost = LeftoverCost(after, backend.capacity, packing_weight_);
    if (cost < cost_) {
      cost_ = cost;
      best_ = index;
    }
  }
  const std::optional<BackendIndex>& best() const { return best_; }

 private:
  const BackendPool& pool_;
  const base::Resources& demand_;
  double packing_weight_;
  double cost_ = std::numeric_limits<double>::infinity();
  std::optional<BackendIndex> best_;
};

std::optional<BackendIndex> ChooseFrom(FreeResourcesIndex* index,
                                       const BackendPool& pool,
                                       const base::Resources& demand,
                                       double packing_weight) {
  LowestCost lowest_cost(pool, demand, packing_weight);
  const FreeResourcesIndex::Query query{demand, PreferredFree(packing_weight),
                                        kMaxCandidates};
  for (const BackendIndex candidate : index->Search(query)) {
    lowest_cost.Add(candidate);
  }
  return lowest_cost.best();
}

std::optional<BackendIndex> ChooseAnywhere(BackendPool* pool,
                                           const base::Resources& demand,
                                           double packing_weight) {
  // Workers with accelerators stay free for tasks that need accelerators, as
  // long as other workers have enough free resources.
  if (demand.accelerators.value() == 0) {
    const auto without_accelerators =
        ChooseFrom(&pool->plain_index(), *pool, demand, packing_weight);
    if (without_accelerators) {
      return without_accelerators;
    }
  }
  return ChooseFrom(&pool->accelerator_index(), *pool, demand, packing_weight);
}

std::optional<BackendIndex> ChooseInShard(const BackendPool& pool,
                                          const ShardMembers& shard,
                                          const base::Resources& demand) {
  LowestCost lowest_cost(pool, demand, 1.0);
  for (const BackendIndex member : shard.members) {
    // `counted` is zero for workers that can't be used now.
    if (demand.FitsIn(pool.at(member).counted)) {
      lowest_cost.Add(member);
    }
  }
  return lowest_cost.best();
}

// Returns the shard whose free resources, added up over its workers, hold most
// tasks of this demand, or null if none holds one.
const ShardMembers* ShardWithMostFree(const BackendPool& pool,
                                      const base::Resources& demand) {
  const ShardMembers* best = nullptr;
  double lowest = std::numeric_limits<double>::infinity();
  for (const auto& [id, shard] : pool.shards()) {
    const double part = DominantFraction(demand, shard.free);
    if (demand.FitsIn(shard.free) && part < lowest) {
      lowest = part;
      best = &shard;
    }
  }
  return best;
}

struct Chooser {
  BackendPool* pool;
  const base::Resources& demand;

  std::optional<BackendIndex> operator()(const BatchPolicy& policy) const {
    return ChooseAnywhere(pool, demand, policy.packing_weight);
  }

  std::optional<BackendIndex> operator()(const AllAtOncePolicy& policy) const {
    const auto& shards = pool->shards();
    const auto same = shards.find(policy.shard);
    std::optional<BackendIndex> chosen;
    if (same != shards.end()) {
      chosen = ChooseInShard(*pool, same->second, demand);
    }
    if (chosen) {
      return chosen;
    }
    const ShardMembers* shard = ShardWithMostFree(*pool, demand);
    if (shard != nullptr) {
      chosen = ChooseInShard(*pool, *shard, demand);
    }
    return chosen ? chosen : ChooseAnywhere(pool, demand, 1.0);
  }

  std::optional<BackendIndex> operator()(const UrgentPolicy&) const {
    return ChooseAnywhere(pool, demand, 0.0);
  }
};

}  // namespace

double LeftoverCost(const base::Resources& after,
                    const base::Resources& capacity, double packing_weight) {
  const double cpu = Fraction(after.cpu.value(), capacity.cpu.value());
  const double memory = Fraction(after.memory.value(), capacity.memory.value());
  const double left = (cpu + memory) / 2;
  const double load = 1.0 - std::min(cpu, memory);
  return packing_weight * left + (1.0 - packing_weight) * load * load +
         kBalanceWeight * std::abs(cpu - memory);
}

std::optional<BackendIndex> ChooseBackend(const PlacementPolicy& policy,
                                          BackendPool* pool,
                                          const base::Resources& demand) {
  return std::visit(Chooser{pool, demand}, policy);
}

}  // namespace dotterelbarrow::core
