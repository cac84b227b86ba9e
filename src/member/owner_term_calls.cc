// Answers the calls of entry hosts during one term.
#include <algorithm>
#include <variant>
#include <vector>

#include "dotterelbarrow/base/overloaded.h"
#include "src/member/clock.h"
#include "src/member/owner_term.h"

namespace dotterelbarrow::member {
namespace {

// When a caller may retry whose job was refused because the owner's processor
// is saturated: bursts are over in some seconds.
constexpr base::Duration kSaturatedRetryAfter = std::chrono::seconds(1);
constexpr base::Duration kStoreUnavailableRetryAfter = std::chrono::seconds(1);
// Maximum age of the counts of waiting jobs.
constexpr base::Duration kMaxPendingCountAge = std::chrono::milliseconds(300);

}  // namespace

void OwnerTerm::RefuseUnwrittenJobs() {
  const std::vector<core::scheduler::WaiterId> waiters =
      scheduler_.RemoveUnwritten();
  if (!waiters.empty()) {
    parts_.telemetry.counters->Increment("jobs_refused", "store_away",
                                         waiters.size());
    ReplyTo(waiters, Refused{"store_away", kStoreUnavailableRetryAfter});
  }
}

core::scheduler::WaiterId OwnerTerm::AddWaiter(const OwnerReply& reply) {
  const core::scheduler::WaiterId id(++last_waiter_);
  waiters_.emplace(id, reply);
  return id;
}

void OwnerTerm::Handle(const OwnerCall& call, const OwnerReply& reply) {
  if (!is_loaded_ || is_resigning_) {
    reply(NoOwner{});
    return;
  }
  const base::TimePoint begun = Now();
  std::visit(
      base::Overloaded{
          [&](const SubmitCall& submit) {
            // A job that is accepted already, or about to be, is never refused:
            // this may be another copy of the call that handed it in.
            const bool is_known = scheduler_.IsKnown(submit.submission.key);
            if (!is_known && IsStoreUnavailable()) {
              parts_.telemetry.counters->Increment("jobs_refused",
                                                   "store_away");
              reply(Refused{"store_away", kStoreUnavailableRetryAfter});
              return;
            }
            if (!is_known && !saturation_gate_.TryAcquire()) {
              parts_.telemetry.counters->Increment("jobs_refused",
                                                   "owner_saturated");
              reply(Refused{"owner_saturated", kSaturatedRetryAfter});
              return;
            }
            const auto waiter = AddWaiter(reply);
            const auto answer = scheduler_.Submit(submit.submission, waiter,
                                                  StoreNowMillis(), Now());
            using core::scheduler::SubmitOutcome;
            if (answer.outcome == SubmitOutcome::kStoring) {
              return;
            }
            waiters_.erase(waiter);
            if (answer.outcome == SubmitOutcome::kAccepted) {
              reply(Accepted{});
            } else {
              reply(Refused{answer.reason, answer.retry_after, answer.pause});
            }
          },
          [&](const CancelCall& cancel) {
            const auto waiter = AddWaiter(reply);
            const auto answer = scheduler_.Cancel(cancel.key, waiter, Now());
            using core::scheduler::CancelResult;
            if (answer == CancelResult::kUnknown) {
              unknown_waiters_.push_back(waiter);
            } else if (answer == CancelResult::kCancelled) {
              waiters_.erase(waiter);
              reply(Cancelled{});
            }
          },
          [&](const StateCall& state) {
            if (const auto found = scheduler_.StateOf(state.key)) {
              reply(JobStateAnswer{*found});
            } else {
              unknown_waiters_.push_back(AddWaiter(reply));
            }
          },
          [&](const KnownCall& known) {
            KnownAnswer answer;
            for (const core::jobs::JobKey key : known.jobs) {
              if (scheduler_.IsKnown(key)) {
                answer.jobs.insert(key);
              }
            }
            reply(answer);
          },
          [&](const PendingCall& pending) {
            if (Now() - pending_counted_at_ >= kMaxPendingCountAge) {
              pending_ = scheduler_.PendingJobs();
              pending_counted_at_ = Now();
            }
            reply(PendingAnswer{pending_[pending.queue]});
          }},
      call);
  times_.RecordInput(OwnerInput::kCall, Now() - begun);
  SchedulePass();
}

}  // namespace dotterelbarrow::member
