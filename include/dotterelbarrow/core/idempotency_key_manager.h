// Records which request claimed which idempotency key, and how that request
// ended.
//
// A claim is durable before it is granted, so a key is granted at most once
// even if the entry that claimed it fails. A later claim of the same key
// receives the answer of the first request, or learns that there is none yet.
#ifndef DOTTERELBARROW_CORE_IDEMPOTENCY_KEY_MANAGER_H_
#define DOTTERELBARROW_CORE_IDEMPOTENCY_KEY_MANAGER_H_

#include <map>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/job_table.h"
#include "dotterelbarrow/core/journal.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/outbox.h"
#include "dotterelbarrow/core/record_log.h"
#include "dotterelbarrow/core/waiter.h"

namespace dotterelbarrow::core {

class IdempotencyKeyManager {
 public:
  // All arguments must outlive this object.
  IdempotencyKeyManager(Outbox* outbox, JobTable* jobs, RecordLog* log)
      : outbox_(outbox), jobs_(jobs), log_(log) {}
  IdempotencyKeyManager(const IdempotencyKeyManager&) = delete;
  IdempotencyKeyManager& operator=(const IdempotencyKeyManager&) = delete;

  // Grants the key, or replies with the state of an earlier claim of it. A
  // repeated copy of a claim that is still being written, or that has its
  // answer, is ignored.
  void OnClaim(const base::EntryId& from, const ClaimKey& claim);
  // Refuses a claim because nothing can be recorded at present.
  void Refuse(const base::EntryId& from, const ClaimKey& claim,
              const Answer& reason);
  // Records the answer of the request that holds the key.
  void OnResolve(const base::EntryId& from, const ResolveKey& resolve,
                 base::TimePoint now);
  // Refuses the pending claims whose records have certainly not been written.
  // Claims that may already be written stay pending.
  void WithdrawPending();

 private:
  struct PendingClaim {
    JournalPosition position;
    ClaimKey claim;
    Waiter waiter;
  };

  void Reply(const Waiter& to, ClaimStatus status, const Answer& answer = {});
  void AnswerKnown(const JobTable::KeyClaim& known, const Waiter& waiter);
  void OnDurable(const JobTable::ClaimId& id, base::TimePoint now);

  Outbox* outbox_;
  JobTable* jobs_;
  RecordLog* log_;
  // Claims whose records are not durable yet.
  std::map<JobTable::ClaimId, PendingClaim> pending_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_IDEMPOTENCY_KEY_MANAGER_H_
