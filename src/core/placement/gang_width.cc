// The advisor's answers for each queue, as parts of the workers asked about.
#include "dotterelbarrow/core/placement/gang_width.h"

#include <algorithm>
#include <cmath>

namespace dotterelbarrow::core::placement {

void GangWidth::RecordAdvice(const desired::QueueId& queue, std::size_t asked,
                             std::size_t allowed) {
  Answers& answers = answers_[queue];
  answers.asked += static_cast<double>(asked);
  answers.allowed += static_cast<double>(std::min(asked, allowed));
}

double GangWidth::LeastAllowed(const desired::QueueId& queue,
                               double workers) const {
  const auto it = answers_.find(queue);
  if (it == answers_.end() || it->second.asked == 0) {
    return workers;
  }
  const double part = it->second.allowed / it->second.asked;
  const double mean = workers * part;
  return std::max(0.0, mean - kDeviations * std::sqrt(mean * (1 - part)));
}

}  // namespace dotterelbarrow::core::placement
