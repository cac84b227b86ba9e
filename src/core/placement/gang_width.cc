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

double GangWidth::MostUsable(const desired::QueueId& queue,
                             double workers) const {
  const auto it = answers_.find(queue);
  const double part = it == answers_.end() || it->second.asked == 0
                          ? 1
                          : it->second.allowed / it->second.asked;
  const double mean = workers * part;
  const double least = mean - kDeviations * std::sqrt(mean * (1 - part));
  return std::clamp(least, 0.0, kMaxPart * mean);
}

}  // namespace dotterelbarrow::core::placement
