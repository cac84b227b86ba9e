// Measures delays that users notice, in virtual time: until a configuration
// ticket is applied on all entries, until urgent work starts in a fully loaded
// cell, and until placements resume after an entry fails. The results are
// deterministic for a seed, on any machine.
#ifndef DOTTERELBARROW_BENCH_CELL_TIMINGS_H_
#define DOTTERELBARROW_BENCH_CELL_TIMINGS_H_

#include <string>

#include "test/fuzz/cell.h"

namespace dotterelbarrow::bench {

// Measures cells of `size` and prints the results, each name prefixed with
// `name`.
void MeasureTimings(const std::string& name, const fuzz::CellSize& size);

}  // namespace dotterelbarrow::bench

#endif  // DOTTERELBARROW_BENCH_CELL_TIMINGS_H_
