// Implements the limits as a budget of cores that is refilled over time.
#include "dotterelbarrow/core/placement/preemption_limits.h"

#include <algorithm>

namespace dotterelbarrow::core::placement {

void PreemptionLimits::Refill(double cores_in_use, base::TimePoint now) {
  const double per_second = cores_in_use * kMaxFractionPerSecond;
  const double seconds =
      refilled_at_ ? std::chrono::duration<double>(now - *refilled_at_).count()
                   : 1.0;
  refilled_at_ = now;
  budget_cores_ = std::min(per_second, budget_cores_ + per_second * seconds);
}

void PreemptionLimits::Record(const jobs::TaskRef& task, double cores,
                              base::TimePoint now) {
  budget_cores_ -= cores;
  Preemptions& preemptions = tasks_[task];
  ++preemptions.count;
  preemptions.last = now;
}

PreemptionLimits::Preemptions PreemptionLimits::Of(
    const jobs::TaskRef& task) const {
  const auto it = tasks_.find(task);
  return it == tasks_.end() ? Preemptions() : it->second;
}

void PreemptionLimits::RemoveJob(jobs::JobKey job) {
  const jobs::TaskRef first{{job, 0, 0}, 0};
  auto it = tasks_.lower_bound(first);
  while (it != tasks_.end() && it->first.step.job == job) {
    it = tasks_.erase(it);
  }
}

}  // namespace dotterelbarrow::core::placement
