// Replays a load pattern for a cell that is divided into shards.
//
// Shards share no workers, organisations or advice clients, so each owner
// replays its part of the pattern by itself.
#ifndef DOTTERELBARROW_BENCH_EXPERIMENT_SHARDS_H_
#define DOTTERELBARROW_BENCH_EXPERIMENT_SHARDS_H_

#include "bench/experiment/experiment.h"
#include "bench/experiment/pattern.h"

namespace dotterelbarrow::bench {

// Returns how many owners the pattern's fleet gets.
int OwnersOf(const Pattern& pattern);
// Returns the part of the load and of the fleet that each of `owners` equal
// owners has.
Pattern PartOf(const Pattern& pattern, int owners);
// Replays the pattern with that many owners, and returns the sums of their
// results; what is known of speeds is that of the first owner.
Outcome RunWithOwners(const Pattern& pattern, const ExperimentOptions& options,
                      int owners);

}  // namespace dotterelbarrow::bench

#endif  // DOTTERELBARROW_BENCH_EXPERIMENT_SHARDS_H_
