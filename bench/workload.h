// The users' batch workloads as sequences of task arrivals. The seeds are
// fixed, so each call gives the same sequence.
#ifndef DOTTERELBARROW_BENCH_WORKLOAD_H_
#define DOTTERELBARROW_BENCH_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::bench {

// A task that arrives `when` after the start and runs for `run`.
struct Arrival {
  base::Duration when{0};
  base::Duration run{0};
  base::Resources demand;
  int team = 0;
};

// A workload and the fleet that it runs on.
struct Mix {
  std::string name;
  int workers = 0;
  base::Resources worker_size;
  std::vector<Arrival> arrivals;
};

// The number of teams of a mix. A few of them submit most of the work; the last
// one submits the least.
inline constexpr int kTeams = 6;

// Waiver reconciliation with many small tasks, and roster builds with large
// ones. `load` is the CPU demand as a fraction of the fleet's CPU capacity.
Mix AmmanMix(double load);
// Nightly stock reconciliation with medium-sized tasks, price runs that need
// much memory, many small tasks and some very large ones.
Mix HungaryMix(double load);

// Returns one of four task demands typical of the mixes, selected by `random`.
base::Resources SelectDemand(std::uint64_t random);

}  // namespace dotterelbarrow::bench

#endif  // DOTTERELBARROW_BENCH_WORKLOAD_H_
