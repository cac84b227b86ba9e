// Generates the users' batch workloads.
#include "bench/workload.h"

#include <array>
#include <random>

namespace dotterelbarrow::bench {
namespace {

constexpr int kWorkers = 50;
constexpr base::Duration kArrivalPeriod = std::chrono::minutes(10);

// A class of similar tasks. The fractions of a mix's classes sum to 1.
struct TaskClass {
  double fraction;
  std::int64_t cores;
  std::int64_t gib;
  int min_run_seconds;
  int max_run_seconds;
};

base::Resources MakeResources(std::int64_t cores, std::int64_t gib) {
  return {base::Millicores(cores * 1000), base::Mebibytes(gib * 1024), {}, {}};
}

int PickTeam(std::mt19937_64* random) {
  std::discrete_distribution<int> team({40, 30, 10, 8, 7, 5});
  return team(*random);
}

// Generates arrivals for kArrivalPeriod with exponentially distributed gaps, so
// that their mean CPU demand is `load` times the fleet's CPU capacity.
Mix MakeMix(const std::string& name, const base::Resources& worker,
            const std::vector<TaskClass>& classes, double load,
            std::uint64_t seed) {
  Mix mix{name, kWorkers, worker, {}};
  std::mt19937_64 random(seed);
  std::vector<double> fractions;
  double mean_work = 0;
  for (const TaskClass& c : classes) {
    fractions.push_back(c.fraction);
    mean_work += c.fraction * static_cast<double>(c.cores) *
                 (c.min_run_seconds + c.max_run_seconds) / 2.0;
  }
  std::discrete_distribution<int> pick(fractions.begin(), fractions.end());
  const double cores =
      static_cast<double>(worker.cpu.value()) / 1000 * kWorkers;
  std::exponential_distribution<double> gap(load * cores / mean_work);
  double seconds = 0;
  while (true) {
    seconds += gap(random);
    const base::Duration when(static_cast<std::int64_t>(seconds * 1e6));
    if (when >= kArrivalPeriod) {
      return mix;
    }
    const TaskClass& c = classes[pick(random)];
    std::uniform_int_distribution<int> run(c.min_run_seconds,
                                           c.max_run_seconds);
    mix.arrivals.push_back({when, std::chrono::seconds(run(random)),
                            MakeResources(c.cores, c.gib), PickTeam(&random)});
  }
}

}  // namespace

Mix AmmanMix(double load) {
  return MakeMix("amman", MakeResources(16, 64),
                 {{0.60, 1, 2, 10, 60},
                  {0.20, 2, 12, 20, 90},
                  {0.15, 4, 8, 30, 120},
                  {0.05, 12, 40, 30, 120}},
                 load, 11);
}

Mix HungaryMix(double load) {
  return MakeMix("hungary", MakeResources(32, 64),
                 {{0.40, 4, 4, 20, 90},
                  {0.20, 2, 14, 20, 90},
                  {0.30, 1, 2, 5, 30},
                  {0.10, 24, 24, 60, 180}},
                 load, 12);
}

base::Resources SelectDemand(std::uint64_t random) {
  const std::array<base::Resources, 4> demands = {
      MakeResources(1, 2), MakeResources(2, 12), MakeResources(4, 8),
      MakeResources(1, 8)};
  return demands[random % demands.size()];
}

}  // namespace dotterelbarrow::bench
