// Explains submitted jobs, and submissions that are not made.
#include <utility>

#include "dotterelbarrow/core/jobs/job_records.h"
#include "dotterelbarrow/core/scheduler/scheduler.h"

namespace dotterelbarrow::core::scheduler {

std::optional<Explanation> Scheduler::Explain(jobs::JobKey key,
                                              base::TimePoint now) const {
  const auto it = jobs_.jobs().find(key);
  if (it == jobs_.jobs().end()) {
    // Nothing but the state is known of a job that has ended.
    const std::optional<jobs::JobState> state = jobs_.StoredState(key);
    return state ? std::optional(Explanation{.state = jobs::ToString(*state),
                                             .refused = {},
                                             .steps = {}})
                 : std::nullopt;
  }
  return Explanation{.state = jobs::ToString(it->second.state),
                     .refused = {},
                     .steps = dispatcher_.Explain(it->second, true, now)};
}

Explanation Scheduler::ExplainSubmission(const Submission& submission,
                                         base::TimePoint now) const {
  const desired::Queue* queue = dispatcher_.FindQueue(submission.queue);
  if (queue == nullptr) {
    return {.state = {}, .refused = "unknown_queue", .steps = {}};
  }
  Explanation explanation;
  const desired::Organisation* organisation =
      desired_->FindOrganisation(submission.organisation);
  // A copy, so that the question doesn't count as a submission.
  placement::SubmissionRateLimiter rates = submission_rates_;
  const bool over_share =
      organisation != nullptr &&
      !rates.TryAcquire(organisation->id, organisation->weight, now);
  switch (dispatcher_.ShouldRefuseNewWork(
      submission.queue, submission.organisation, over_share)) {
    case placement::Refusal::kOverShare:
      explanation.refused = "over_share";
      break;
    case placement::Refusal::kOverloaded:
      explanation.refused = "overloaded";
      break;
    case placement::Refusal::kAtCap:
      explanation.refused = "at_cap";
      break;
    case placement::Refusal::kNone:
      break;
  }
  if (jobs_.jobs().size() >= settings_.max_jobs) {
    explanation.refused = "too_many_jobs";
  }
  jobs::Job job;
  job.key = submission.key;
  job.queue = submission.queue;
  job.organisation = submission.organisation;
  job.rules = *queue;
  job.spec = submission.spec;
  job.accepted_at = now;
  if (jobs::AcceptanceRecord(job).size() > JobPages::kMaxRecordBytes) {
    explanation.refused = "job_too_large";
  }
  job.BeginOccurrence();
  explanation.steps = dispatcher_.Explain(std::move(job), false, now);
  return explanation;
}

}  // namespace dotterelbarrow::core::scheduler
