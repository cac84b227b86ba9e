// Computes completion objectives and the urgency of waiting steps.
#include "dotterelbarrow/core/placement/urgency.h"

#include <algorithm>
#include <tuple>

namespace dotterelbarrow::core::placement {
namespace {

// A late job's completion keeps some value up to this many times its objective.
constexpr int kExpiryFactor = 3;
// Number of workers per call to the advisor that the objective allows for.
constexpr int kWorkersPerAdviceCall = 30;

}  // namespace

base::Duration AdviceTime(const desired::Queue& queue) {
  return queue.advice ? queue.advice->decision +
                            queue.advice->per_worker * kWorkersPerAdviceCall
                      : base::Duration(0);
}

CompletionObjective ObjectiveOf(const desired::Queue& queue,
                                base::Duration chain) {
  const auto on_time =
      base::Duration(static_cast<base::Duration::rep>(
          static_cast<double>(chain.count()) * queue.slack_factor)) +
      queue.completion_target;
  return {on_time, on_time * kExpiryFactor};
}

std::strong_ordering operator<=>(const Urgency& a, const Urgency& b) {
  return std::tie(a.deadline_status, a.over_share, a.priority,
                  a.latest_start) <=>
         std::tie(b.deadline_status, b.over_share, b.priority, b.latest_start);
}

Urgency UrgencyOf(jobs::Job* mutable_job, std::uint32_t step,
                  const desired::Queue& queue, const RunTimeModel& run_times,
                  bool over_share, base::TimePoint now) {
  if (mutable_job->critical_paths.empty()) {
    mutable_job->critical_paths =
        mutable_job->spec.CriticalPaths([&](const jobs::StepSpec& step) {
          return run_times.ExpectedRunTime(queue.id, step.estimate) +
                 AdviceTime(queue);
        });
    const CompletionObjective objective = ObjectiveOf(
        queue, *std::max_element(mutable_job->critical_paths.begin(),
                                 mutable_job->critical_paths.end()));
    mutable_job->due_after = objective.on_time;
    mutable_job->expires_after = objective.late;
  }
  const jobs::Job& job = *mutable_job;
  Urgency urgency;
  urgency.over_share = over_share;
  urgency.priority = queue.priority;
  urgency.latest_start =
      job.accepted_at + job.due_after - job.critical_paths[step];
  if (job.spec.is_scheduled() || job.spec.has_long_running_step()) {
    return urgency;
  }
  if (now > job.accepted_at + job.expires_after) {
    urgency.deadline_status = DeadlineStatus::kExpired;
  } else if (now > urgency.latest_start) {
    urgency.deadline_status = DeadlineStatus::kLate;
  }
  return urgency;
}

}  // namespace dotterelbarrow::core::placement
