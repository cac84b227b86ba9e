// Grants idempotency keys once the records of their claims are durable.
#include "dotterelbarrow/core/idempotency_key_manager.h"

namespace dotterelbarrow::core {
namespace {

// The answer to a request whose idempotency key belongs to an earlier request
// without a known outcome.
Answer DuplicateInProgress(const base::RequestId& id) {
  Answer answer;
  answer.id = id;
  answer.outcome = Outcome::kUnknown;
  answer.reason = Reason::kDuplicateInProgress;
  answer.detail =
      "the idempotency key was used by an earlier request whose outcome is not "
      "known yet";
  return answer;
}

}  // namespace

void IdempotencyKeyManager::Reply(const Waiter& to, ClaimStatus status,
                                  const Answer& answer) {
  outbox_->SendToPeer(to.from, ClaimReply{to.call, status, answer});
}

void IdempotencyKeyManager::Refuse(const base::EntryId& from,
                                   const ClaimKey& claim,
                                   const Answer& reason) {
  Reply({from, claim.call}, ClaimStatus::kUnavailable, reason);
}

void IdempotencyKeyManager::OnClaim(const base::EntryId& from,
                                    const ClaimKey& claim) {
  const Waiter waiter{from, claim.call};
  const JobTable::ClaimId id(claim.team, claim.key);
  if (const JobTable::KeyClaim* known = jobs_->FindClaim(id)) {
    AnswerKnown(*known, waiter);
    return;
  }
  const auto [it, is_new] = pending_.try_emplace(id);
  if (!is_new) {
    if (it->second.waiter != waiter) {
      Reply(waiter, ClaimStatus::kDuplicate,
            DuplicateInProgress(claim.request));
    }
    return;
  }
  const KeyClaimed record{claim.team, claim.key, claim.request, from,
                          claim.call};
  const JournalPosition position = log_->Append(
      record, [this, id](base::TimePoint now) { OnDurable(id, now); });
  it->second = {position, claim, waiter};
}

void IdempotencyKeyManager::AnswerKnown(const JobTable::KeyClaim& known,
                                        const Waiter& waiter) {
  const bool is_copy = waiter == Waiter{known.entry, known.call};
  if (!is_copy) {
    Reply(waiter, ClaimStatus::kDuplicate,
          known.answer.value_or(DuplicateInProgress(known.request)));
  } else if (!known.answer) {
    Reply(waiter, ClaimStatus::kClaimed);
  }
}

void IdempotencyKeyManager::OnDurable(const JobTable::ClaimId& id,
                                      base::TimePoint now) {
  const auto node = pending_.extract(id);
  const PendingClaim& pending = node.mapped();
  const ClaimKey& claim = pending.claim;
  jobs_->Apply(KeyClaimed{claim.team, claim.key, claim.request,
                          pending.waiter.from, claim.call},
               now);
  Reply(pending.waiter, ClaimStatus::kClaimed);
}

void IdempotencyKeyManager::OnResolve(const base::EntryId& from,
                                      const ResolveKey& resolve,
                                      base::TimePoint now) {
  const JobTable::KeyClaim* claim =
      jobs_->FindClaim({resolve.team, resolve.key});
  if (claim == nullptr || claim->answer || claim->entry != from ||
      claim->call != resolve.call) {
    return;
  }
  const KeyResolved record{resolve.team, resolve.key, resolve.answer};
  log_->Append(record, [](base::TimePoint) {});
  jobs_->Apply(record, now);
}

void IdempotencyKeyManager::WithdrawPending() {
  std::erase_if(pending_, [this](const auto& each) {
    const PendingClaim& pending = each.second;
    if (!log_->Withdraw(pending.position)) {
      return false;
    }
    Reply(pending.waiter, ClaimStatus::kUnavailable);
    return true;
  });
}

}  // namespace dotterelbarrow::core
