// Simple placement policies.
#include "bench/baselines.h"

#include <limits>

#include "dotterelbarrow/core/placement_policy.h"

namespace dotterelbarrow::bench {
namespace {

constexpr int kMaxRandomDraws = 32;

struct Namer {
  const char* operator()(const FirstFit&) const { return "first_fit"; }
  const char* operator()(const RandomWorker&) const { return "random"; }
  const char* operator()(const FullScan&) const { return "full_scan"; }
};

}  // namespace

const char* NameOf(const Baseline& baseline) {
  return std::visit(Namer(), baseline);
}

std::optional<int> BaselineFleet::Place(const Baseline& baseline,
                                        const base::Resources& demand) {
  const auto chosen = std::visit(
      [&](const auto& policy) { return Choose(policy, demand); }, baseline);
  if (chosen) {
    free_[*chosen] -= demand;
  }
  return chosen;
}

std::optional<int> BaselineFleet::Choose(FirstFit,
                                         const base::Resources& demand) {
  for (std::size_t i = 0; i < free_.size(); ++i) {
    if (demand.FitsIn(free_[i])) {
      return static_cast<int>(i);
    }
  }
  return std::nullopt;
}

std::optional<int> BaselineFleet::Choose(RandomWorker,
                                         const base::Resources& demand) {
  for (int i = 0; i < kMaxRandomDraws; ++i) {
    const auto worker = static_cast<int>(random_() % free_.size());
    if (demand.FitsIn(free_[worker])) {
      return worker;
    }
  }
  return std::nullopt;
}

std::optional<int> BaselineFleet::Choose(FullScan,
                                         const base::Resources& demand) {
  std::optional<int> best;
  double lowest_cost = std::numeric_limits<double>::infinity();
  for (std::size_t i = 0; i < free_.size(); ++i) {
    if (!demand.FitsIn(free_[i])) {
      continue;
    }
    const double cost = core::LeftoverCost(free_[i] - demand, size_, 1.0);
    if (cost < lowest_cost) {
      lowest_cost = cost;
      best = static_cast<int>(i);
    }
  }
  return best;
}

}  // namespace dotterelbarrow::bench
