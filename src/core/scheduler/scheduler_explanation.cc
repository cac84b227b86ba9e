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
  // A copy, so that the question doesn't count as a submission.
  placement::SubmissionRateLimiter rates = submission_rates_;
  const AdmissionDecision decision = DecideAdmission(submission, &rates, now);
  Explanation explanation;
  explanation.refused = decision.refusal ? decision.refusal->reason : "";
  const desired::Queue* queue = dispatcher_.FindQueue(submission.queue);
  if (queue == nullptr) {
    return explanation;
  }
  jobs::Job job;
  job.key = submission.key;
  job.queue = submission.queue;
  job.organisation = submission.organisation;
  job.rules = *queue;
  job.spec = submission.spec;
  job.accepted_at = now;
  if (!decision.refusal &&
      jobs::AcceptanceRecord(job).size() > kMaxAcceptanceBytes) {
    explanation.refused = "job_too_large";
  }
  job.BeginOccurrence();
  explanation.steps = dispatcher_.Explain(std::move(job), false, now);
  return explanation;
}

}  // namespace dotterelbarrow::core::scheduler
