// Manages the jobs of one partition's teams, from acceptance to final answer.
//
// A manager first claims and replays the partition's journal. Then it accepts
// jobs (reporting an acceptance only once it is durable), places their tasks
// with owners, enforces the teams' limits and records the claims of idempotency
// keys. It is destroyed when the partition passes to another entry: all state
// that must outlive it is in the journal, and the next manager learns from the
// owners which tasks run where.
#ifndef DOTTERELBARROW_CORE_PARTITION_MANAGER_H_
#define DOTTERELBARROW_CORE_PARTITION_MANAGER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/gang_scheduler.h"
#include "dotterelbarrow/core/idempotency_key_manager.h"
#include "dotterelbarrow/core/job_acceptor.h"
#include "dotterelbarrow/core/job_table.h"
#include "dotterelbarrow/core/journal.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/quota_slice_manager.h"
#include "dotterelbarrow/core/record_log.h"
#include "dotterelbarrow/core/task_scheduler.h"
#include "dotterelbarrow/core/task_tracker.h"
#include "dotterelbarrow/core/waiter.h"

namespace dotterelbarrow::core {

class PartitionManager {
 public:
  PartitionManager(const ManagerContext& context, base::PartitionId partition,
                   std::uint64_t seed);
  PartitionManager(const PartitionManager&) = delete;
  PartitionManager& operator=(const PartitionManager&) = delete;

  void Tick(base::TimePoint now);
  // Each returns whether the result belonged to a call of this manager.
  bool OnTableResult(const TableResult& result, base::TimePoint now);
  bool OnTableRows(const TableRows& rows, base::TimePoint now);
  bool OnObjectResult(const ObjectResult& result, base::TimePoint now);

  void OnMembershipChanged(base::TimePoint now);
  void OnConfigChanged(base::TimePoint now);

  // Messages from entries. Each is answered by a JobReply or ClaimReply, except
  // OnResolve, which has no answer.
  void OnSubmit(const base::EntryId& from, const SubmitJob& submit,
                base::TimePoint now);
  void OnQuery(const base::EntryId& from, const QueryJob& query,
               base::TimePoint now);
  void OnCancel(const base::EntryId& from, const CancelJob& cancel,
                base::TimePoint now);
  void OnClaim(const base::EntryId& from, const ClaimKey& claim,
               base::TimePoint now);
  void OnResolve(const base::EntryId& from, const ResolveKey& resolve,
                 base::TimePoint now);

  // Messages from owners; ignored until the journal has been replayed.
  void OnPlaceReply(const PlaceReply& reply, base::TimePoint now);
  void OnTaskUpdate(const base::EntryId& from, const TaskUpdate& update,
                    base::TimePoint now);
  void OnInventory(const base::EntryId& from, const InventoryReply& reply,
                   base::TimePoint now);
  void OnSliceRequest(const base::EntryId& from, const SliceRequest& request,
                      base::TimePoint now);

  // Whether another manager has claimed the partition.
  bool is_lost() const { return journal_.state() == Journal::State::kLost; }
  // Whether no journal operation waits for the table.
  bool is_idle() const { return journal_.IsIdle(); }

 private:
  // Rebuilds the jobs from the journal and begins to manage them.
  void Activate(base::TimePoint now);
  // Whether a record appended now can be expected to become durable soon.
  bool can_record() const {
    return active_ && !journal_.is_store_unavailable();
  }
  void Reply(const base::EntryId& to, base::CallId call, Answer answer);
  // Returns the refusal of a request that can't be recorded now.
  Answer NotReady(const base::RequestId& id) const;
  // Records the decided end of a job and stops its tasks.
  void OnJobEnded(Job* job, const Answer& answer, base::TimePoint now);
  void OnEndDurable(const JobEnded& ended, base::TimePoint now);

  const ManagerContext context_;
  base::PartitionId partition_;
  Journal journal_;
  RecordLog log_;
  JobTable jobs_;
  TaskTracker tracker_;
  GangScheduler gangs_;
  TaskScheduler scheduler_;
  QuotaSliceManager slices_;
  JobAcceptor acceptor_;
  IdempotencyKeyManager claims_;
  bool active_ = false;
  // The calls to answer once the cancellation of a job is durable.
  std::map<base::JobId, std::vector<Waiter>> pending_cancels_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_PARTITION_MANAGER_H_
