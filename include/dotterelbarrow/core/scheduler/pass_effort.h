// Counts what scheduling passes do, to tell passes that judge steps again
// although nothing changed from passes with much to place.
#ifndef DOTTERELBARROW_CORE_SCHEDULER_PASS_EFFORT_H_
#define DOTTERELBARROW_CORE_SCHEDULER_PASS_EFFORT_H_

#include <cstdint>

namespace dotterelbarrow::core::scheduler {

struct PassEffort {
  // Waiting steps that were put into their order, once for each pass.
  std::uint64_t steps_ranked = 0;
  // Waiting steps that a pass tried to place.
  std::uint64_t steps_tried = 0;
  // Those for which it looked through the workers.
  std::uint64_t steps_searched = 0;
  // Those of which tasks were placed.
  std::uint64_t steps_placed = 0;
  // Workers that were compared to choose those that the advisor is asked about.
  std::uint64_t workers_compared = 0;
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_PASS_EFFORT_H_
