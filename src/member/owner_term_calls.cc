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
// When a caller may repeat the cancellation of an unknown job that was refused
// because too many such cancellations are remembered.
constexpr base::Duration kBarredRetryAfter = std::chrono::seconds(2);
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

OwnerAnswer OwnerTerm::StateAnswerFor(core::jobs::JobKey key) const {
  const auto state = scheduler_.StateOf(key);
  return state ? OwnerAnswer(JobStateAnswer{*state})
               : OwnerAnswer(UnknownJob{});
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
            const auto reply_now = [&](const OwnerAnswer& answer) {
              waiters_.erase(waiter);
              reply(answer);
            };
            using core::scheduler::CancelResult;
            switch (scheduler_.Cancel(cancel.key, waiter, Now())) {
              case CancelResult::kCancelled:
                reply_now(Cancelled{});
                break;
              case CancelResult::kStoring:
                break;
              case CancelResult::kBarred:
                reply_now(UnknownJob{});
                break;
              case CancelResult::kUnknown:
                waiters_[waiter] = [reply](const OwnerAnswer& answer) {
                  reply(std::holds_alternative<Cancelled>(answer)
                            ? OwnerAnswer(UnknownJob{})
                            : answer);
                };
                break;
              case CancelResult::kRefused:
                reply_now(Refused{"too_many_cancels", kBarredRetryAfter});
                break;
            }
          },
          [&](const StateCall& state) {
            const OwnerAnswer answer = StateAnswerFor(state.key);
            if (std::holds_alternative<UnknownJob>(answer)) {
              state_waiters_.push_back({AddWaiter(reply), state.key});
            } else {
              reply(answer);
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
