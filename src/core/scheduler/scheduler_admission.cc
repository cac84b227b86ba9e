// Decides whether a new job is refused, for submissions and for explanations.
#include <string>

#include "dotterelbarrow/core/admission/refusal_pauses.h"
#include "dotterelbarrow/core/scheduler/scheduler.h"

namespace dotterelbarrow::core::scheduler {
namespace {

// When a caller may retry that was refused to limit the memory for jobs, or
// because its queue is not known.
constexpr base::Duration kFullRetryAfter = std::chrono::seconds(2);
// When a caller may retry that was refused for its organisation's share: the
// share is counted over two seconds.
constexpr base::Duration kOverShareRetryAfter = std::chrono::seconds(2);
// A burst that the spare capacity of the fleet can take is over in one second.
constexpr base::Duration kOverloadedRetryAfter = std::chrono::seconds(1);
// When a caller may retry whose job was refused because all workers of its
// service are evacuated. An evacuation lasts longer than a burst.
constexpr base::Duration kEvacuatedRetryAfter = std::chrono::seconds(2);

}  // namespace

Scheduler::AdmissionDecision Scheduler::DecideAdmission(
    const Submission& submission, placement::SubmissionRateLimiter* rates,
    base::TimePoint now) const {
  AdmissionDecision decision;
  const auto refuse = [&decision](const char* reason,
                                  base::Duration retry_after,
                                  base::Duration pause = base::Duration(0)) {
    decision.refusal =
        SubmitResult{SubmitOutcome::kRefused, reason, retry_after, pause};
    return decision;
  };
  if (const auto remaining = jobs_.BarredFor(submission.key, now)) {
    return refuse("cancelled", *remaining);
  }
  const desired::Queue* queue = dispatcher_.FindQueue(submission.queue);
  if (queue == nullptr) {
    return refuse("unknown_queue", kFullRetryAfter);
  }
  if (jobs_.jobs().size() >= settings_.max_jobs) {
    return refuse("too_many_jobs", kFullRetryAfter);
  }
  const std::size_t bytes = JobRegistry::ApproximateBytes(submission.spec);
  if (jobs_.bytes() + bytes > settings_.max_job_bytes) {
    return refuse("jobs_too_large", kFullRetryAfter);
  }
  if (jobs_.BytesOf(submission.organisation) + bytes >
      settings_.max_job_bytes / 2) {
    return refuse("organisation_too_large", kFullRetryAfter);
  }
  if (fleet_.IsServiceEvacuated(queue->service)) {
    return refuse("evacuated", kEvacuatedRetryAfter);
  }
  if (settings_.refuses_wide_gangs &&
      dispatcher_.IsGangTooWide(*queue, submission.spec)) {
    return refuse("gang_too_wide", kFullRetryAfter);
  }
  const desired::Organisation* organisation =
      desired_->FindOrganisation(submission.organisation);
  decision.is_over_share =
      organisation != nullptr &&
      !rates->TryAcquire(organisation->id, organisation->weight, now);
  switch (dispatcher_.ShouldRefuseNewWork(*queue, submission.organisation,
                                          decision.is_over_share)) {
    case placement::Refusal::kOverShare:
      return refuse("over_share", kOverShareRetryAfter,
                    admission::PauseAfterRefusal(entry_host_count_,
                                                 organisation->weight));
    case placement::Refusal::kOverloaded:
      return refuse("overloaded", kOverloadedRetryAfter);
    case placement::Refusal::kAtCap:
      return refuse("at_cap", kOverloadedRetryAfter);
    case placement::Refusal::kNone:
      break;
  }
  return decision;
}

}  // namespace dotterelbarrow::core::scheduler
