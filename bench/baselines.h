// Simple placement policies, as baselines for the shard owner's decisions.
#ifndef DOTTERELBARROW_BENCH_BASELINES_H_
#define DOTTERELBARROW_BENCH_BASELINES_H_

#include <cstdint>
#include <optional>
#include <random>
#include <variant>
#include <vector>

#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::bench {

// Chooses the lowest-numbered worker with enough free resources.
struct FirstFit {};
// Draws workers at random until one has enough free resources. Gives up after a
// fixed number of draws.
struct RandomWorker {};
// Chooses the worker of lowest cost among all workers, by the cost function
// that the shard owner uses.
struct FullScan {};

using Baseline = std::variant<FirstFit, RandomWorker, FullScan>;

const char* NameOf(const Baseline& baseline);

// A fleet of equal workers that tracks only their free resources, without the
// owner's leases, reports and retries.
class BaselineFleet {
 public:
  BaselineFleet(int workers, const base::Resources& size, std::uint64_t seed)
      : size_(size), free_(workers, size), random_(seed) {}

  // Chooses a worker for `demand`, subtracts `demand` from its free resources
  // and returns it. Returns nullopt if the policy finds no worker.
  std::optional<int> Place(const Baseline& baseline,
                           const base::Resources& demand);
  // Returns the resources of a finished task to `worker`.
  void Release(int worker, const base::Resources& demand) {
    free_[worker] += demand;
  }

 private:
  std::optional<int> Choose(FirstFit, const base::Resources& demand);
  std::optional<int> Choose(RandomWorker, const base::Resources& demand);
  std::optional<int> Choose(FullScan, const base::Resources& demand);

  base::Resources size_;
  std::vector<base::Resources> free_;
  std::mt19937_64 random_;
};

}  // namespace dotterelbarrow::bench

#endif  // DOTTERELBARROW_BENCH_BASELINES_H_
