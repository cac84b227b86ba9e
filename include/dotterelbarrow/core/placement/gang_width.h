// Estimates how wide a gang may be that fits on the workers of a shard.
//
// Load pattern: now and then a gang is so wide that it needs most of the
// workers that the placement advisor allows it. A cell of one shard has room
// for it. A shard has none until most of its other work has ended, however long
// the gang waits, so that it must be refused before it is accepted.
#ifndef DOTTERELBARROW_CORE_PLACEMENT_GANG_WIDTH_H_
#define DOTTERELBARROW_CORE_PLACEMENT_GANG_WIDTH_H_

#include <cstddef>
#include <unordered_map>

#include "dotterelbarrow/core/desired/desired_state.h"

namespace dotterelbarrow::core::placement {

class GangWidth {
 public:
  // How many standard deviations fewer workers than the mean a step may be
  // allowed: one step in a thousand is allowed still fewer.
  static constexpr double kDeviations = 3;
  // The part of the allowed workers that a gang may need. A fleet that is half
  // empty then has room for it.
  static constexpr double kMaxPart = 0.5;

  // Records that the advisor allowed `allowed` of `asked` workers for a step of
  // the queue.
  void RecordAdvice(const desired::QueueId& queue, std::size_t asked,
                    std::size_t allowed);
  // Returns how many of `workers` a gang of the queue may need at most.
  double MostUsable(const desired::QueueId& queue, double workers) const;

 private:
  struct Answers {
    double asked = 0;
    double allowed = 0;
  };

  std::unordered_map<desired::QueueId, Answers> answers_;
};

}  // namespace dotterelbarrow::core::placement

#endif  // DOTTERELBARROW_CORE_PLACEMENT_GANG_WIDTH_H_
