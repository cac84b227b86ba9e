// The order of waiting work.
#include "dotterelbarrow/core/placement/urgency.h"

#include <algorithm>
#include <tuple>

namespace dotterelbarrow::core::placement {
namespace {

// A job has some worth up to this many times its objective.
constexpr int kLateFactor = 3;
// Workers that the objective counts for one call for advice.
constexpr int kAdvisedWorkers = 30;

}  // namespace

base::Duration AdviceTime(const desired::Queue& queue) {
  return queue.advice ? queue.advice->decision +
                            queue.advice->per_worker * kAdvisedWorkers
                      : base::Duration(0);
}

CompletionObjective ObjectiveOf(const desired::Queue& queue,
                                base::Duration chain) {
  const auto on_time =
      base::Duration(static_cast<base::Duration::rep>(
          static_cast<double>(chain.count()) * queue.slack_factor)) +
      queue.completion_target;
  return {on_time, on_time * kLateFactor};
}

std::strong_ordering operator<=>(const Urgency& a, const Urgency& b) {
  return std::tie(a.standing, a.over_share, a.priority, a.latest_start) <=>
         std::tie(b.standing, b.over_share, b.priority, b.latest_start);
}

Urgency UrgencyOf(jobs::Job* due, std::uint32_t step,
                  const desired::Queue& queue, bool over_share,
                  base::TimePoint now) {
  if (due->chains.empty()) {
    due->chains = due->spec.ChainsFrom(AdviceTime(queue));
    const CompletionObjective objective = ObjectiveOf(
        queue, *std::max_element(due->chains.begin(), due->chains.end()));
    due->due_after = objective.on_time;
    due->worthless_after = objective.late;
  }
  const jobs::Job& job = *due;
  Urgency urgency;
  urgency.over_share = over_share;
  urgency.priority = queue.priority;
  urgency.latest_start = job.accepted_at + job.due_after - job.chains[step];
  if (job.spec.is_scheduled() || job.spec.has_long_running_step()) {
    return urgency;
  }
  if (now > job.accepted_at + job.worthless_after) {
    urgency.standing = Standing::kExpired;
  } else if (now > urgency.latest_start) {
    urgency.standing = Standing::kLate;
  }
  return urgency;
}

}  // namespace dotterelbarrow::core::placement
