// Connects the controllers of a shard owner to each other and to its interface.
#include "dotterelbarrow/core/shard_owner.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

#include "dotterelbarrow/core/claim_controller.h"
#include "dotterelbarrow/core/owner_context.h"
#include "dotterelbarrow/core/placement_controller.h"
#include "dotterelbarrow/core/task_controller.h"

namespace dotterelbarrow::core {
namespace {

std::set<base::TaskId> RunningTasks(const BackendReport& report) {
  std::set<base::TaskId> running;
  for (const TaskReport& task : report.tasks) {
    if (task.state == TaskState::kRunning) {
      running.insert(task.id);
    }
  }
  return running;
}

}  // namespace

class ShardOwner::Impl {
 public:
  Impl(const NodeSettings* settings, Outbox* outbox, Counters* counters,
       const Membership* membership, std::uint64_t seed, base::TimePoint now)
      : context(settings, outbox, counters, membership, seed),
        claims(&context, now),
        tasks(&context),
        placements(&context, &tasks),
        last_now(now) {
    claims.reported().connect(sigc::mem_fun(*this, &Impl::OnReported));
    claims.voided().connect(sigc::mem_fun(*this, &Impl::OnVoided));
    claims.lapsed().connect(sigc::mem_fun(*this, &Impl::OnLapsed));
    claims.dropped().connect(sigc::mem_fun(tasks, &TaskController::OnDropped));
    tasks.fence_requested().connect(
        sigc::mem_fun(claims, &ClaimController::Fence));
    tasks.leaving_queue_unplaced().connect(sigc::mem_fun(
        placements, &PlacementController::OnLeavingQueueUnplaced));
  }

  // Must be called first in each call from outside.
  void BeginCall(base::TimePoint now) {
    last_now = now;
    if (claims.CheckLeaseTerm(now)) {
      // Managers no longer rely on tasks that were queued in an earlier term.
      placements.RefuseAll(PlaceStatus::kStale, now);
    }
  }

  // Must be called last in each call that may have freed capacity.
  void FinishCall(base::TimePoint now) {
    placements.ServeQueue(now);
    const base::Slots free = context.pool.slots().free_total();
    const bool more = free > free_slots;
    free_slots = free;
    if (more) {
      slots_freed.emit(now);
    }
  }

  void HandleDueTasks(base::TimePoint now) {
    while (TaskRecord* record = context.tasks.PopDue(now)) {
      if (record->Is<QueuedPhase>()) {
        placements.OnQueueTimeout(record, now);
      } else {
        tasks.OnDue(record, now);
      }
    }
  }

  void OnReported(Backend* backend, const BackendReport& report, bool is_claim,
                  base::TimePoint now) {
    if (backend->host.kind == BackendKind::kRunner) {
      ApplyRunnerReport(backend, report, is_claim);
    } else if (!tasks.OnReport(backend, report, is_claim, now)) {
      claims.Fence(backend, now);
    }
  }

  void ApplyRunnerReport(Backend* backend, const BackendReport& report,
                         bool is_claim) {
    SlotPool& slots = context.pool.slots();
    if (is_claim) {
      slots.OnClaimReport(backend->index, RunningTasks(report));
    } else {
      slots.OnReport(backend->index, RunningTasks(report));
    }
    // The result of a request arrives with its RunResult, so ended requests are
    // only acknowledged.
    for (const TaskReport& task : report.tasks) {
      if (task.state != TaskState::kRunning) {
        backend->acknowledge.push_back(task.id);
      }
    }
  }

  void OnVoided(Backend* backend, base::TimePoint now) {
    tasks.OnVoided(backend, now);
    placements.OnVoided(backend);
  }

  void OnLapsed(Backend* backend, base::TimePoint now) {
    if (backend->host.kind == BackendKind::kRunner) {
      context.pool.slots().OnLapsed(backend->index);
    }
    tasks.OnLapsed(backend, now);
  }

  void UpdateQuarantine(Backend* backend, const RunResult& result,
                        base::TimePoint now) {
    Quarantine& quarantine = backend->quarantine;
    // Like jobs, calls are distinguished by a hash of their id; no call is
    // tried twice on one runner.
    const std::size_t call = std::hash<base::CallId>()(result.call);
    switch (result.status) {
      case RunStatus::kDone:
        quarantine.OnSuccess();
        break;
      case RunStatus::kFailed:
      case RunStatus::kLost:
        if (quarantine.OnFailure(call, *context.settings, now)) {
          context.counters->Increment("backends", "quarantined");
        }
        break;
      case RunStatus::kRefused:
      case RunStatus::kNotSent:
        quarantine.OnInconclusiveEnd();
        break;
    }
    context.pool.Refresh(backend);
  }

  InventoryReply MakeInventory(const InventoryRequest& request) {
    InventoryReply reply;
    reply.partition = request.partition;
    reply.manager_epoch = request.manager_epoch;
    reply.sequence = request.sequence;
    reply.shards = claims.CompleteShards();
    for (const TaskRecord* record :
         context.tasks.OfPartition(request.partition)) {
      // The end of one attempt says nothing about a later one, which another
      // owner that receives this inventory request may have running.
      const bool ended_attempt =
          record->Is<EndedPhase>() && record->spec.idempotent;
      if (!record->Is<QueuedPhase>() && !ended_attempt) {
        reply.tasks.push_back({record->spec, record->backend_id});
      }
    }
    if (slice_lister) {
      reply.slices = slice_lister(request.partition, request.manager_epoch);
    }
    return reply;
  }

  bool IsIdle() {
    return context.pending.empty() && context.dirty.empty() &&
           context.pool.slots().is_idle() &&
           context.tasks.InPhase<HeldPhase>().empty() &&
           context.tasks.InPhase<EndedPhase>().empty();
  }

  OwnerContext context;
  ClaimController claims;
  TaskController tasks;
  PlacementController placements;
  SliceLister slice_lister;
  base::TimePoint last_now;
  // Free slots at the last check.
  base::Slots free_slots;
  sigc::signal<void(base::TimePoint)> slots_freed;
};

ShardOwner::ShardOwner(const NodeSettings* settings, Outbox* outbox,
                       Counters* counters, const Membership* membership,
                       std::uint64_t seed, base::TimePoint now)
    : impl_(std::make_unique<Impl>(settings, outbox, counters, membership, seed,
                                   now)) {}

ShardOwner::~ShardOwner() = default;

void ShardOwner::Tick(base::TimePoint now) {
  impl_->BeginCall(now);
  impl_->HandleDueTasks(now);
  impl_->context.memory.Expire(now);
  impl_->placements.Tick(now);
  impl_->claims.Tick(now);
  impl_->FinishCall(now);
}

void ShardOwner::OnMembershipChanged(base::TimePoint now) {
  impl_->BeginCall(now);
  impl_->claims.OnMembershipChanged(now);
  impl_->FinishCall(now);
}

void ShardOwner::OnHostList(const HostList& list, base::TimePoint now) {
  impl_->BeginCall(now);
  impl_->claims.OnHostList(list, now);
  impl_->FinishCall(now);
}

void ShardOwner::OnReport(const BackendReport& report, base::TimePoint now) {
  impl_->BeginCall(now);
  impl_->claims.OnReport(report, now);
  impl_->FinishCall(now);
}

void ShardOwner::OnUnreachable(const BackendUnreachable& input,
                               base::TimePoint now) {
  impl_->BeginCall(now);
  impl_->claims.OnUnreachable(input.backend, now);
}

void ShardOwner::OnPlace(const base::EntryId& from, const PlaceTask& place,
                         base::TimePoint now) {
  impl_->BeginCall(now);
  impl_->placements.OnPlace(from, place, now);
  impl_->FinishCall(now);
}

void ShardOwner::OnCommitHold(const base::EntryId&, const CommitHold& commit,
                              base::TimePoint now) {
  impl_->BeginCall(now);
  impl_->tasks.OnCommitHold(commit, now);
  impl_->FinishCall(now);
}

void ShardOwner::OnRemove(const base::EntryId& from, const RemoveTask& remove,
                          base::TimePoint now) {
  impl_->BeginCall(now);
  impl_->tasks.OnRemove(from, remove, now);
  impl_->FinishCall(now);
}

void ShardOwner::OnUpdateAck(const TaskUpdateAck& ack) {
  impl_->tasks.OnUpdateAck(ack, impl_->last_now);
}

void ShardOwner::OnInventory(const base::EntryId& from,
                             const InventoryRequest& request,
                             base::TimePoint now) {
  impl_->BeginCall(now);
  if (!impl_->tasks.AcceptManager(request.partition, request.manager_epoch,
                                  now)) {
    impl_->context.counters->Increment("inventories", "stale");
    return;
  }
  impl_->context.outbox->SendToPeer(from, impl_->MakeInventory(request));
  impl_->FinishCall(now);
}

void ShardOwner::set_slice_lister(SliceLister lister) {
  impl_->slice_lister = std::move(lister);
}

std::optional<SlotGrant> ShardOwner::TakeSlot(const base::ServiceId& service,
                                              base::CallId call,
                                              base::TimePoint now) {
  impl_->BeginCall(now);
  OwnerContext& context = impl_->context;
  if (!context.membership->holds_lease()) {
    return std::nullopt;
  }
  const auto index = context.pool.slots().Take(service, call);
  if (!index) {
    return std::nullopt;
  }
  Backend& backend = context.pool.at(*index);
  backend.quarantine.OnStart();
  context.pool.Refresh(&backend);
  impl_->free_slots = context.pool.slots().free_total();
  return SlotGrant{backend.host.backend, backend.host.address,
                   backend.claim.epoch()};
}

void ShardOwner::ReturnSlot(const RunResult& result, base::TimePoint now) {
  impl_->BeginCall(now);
  const bool lost = result.status == RunStatus::kLost;
  const auto index = impl_->context.pool.slots().Return(result.call);
  if (!index) {
    return;
  }
  Backend& backend = impl_->context.pool.at(*index);
  impl_->UpdateQuarantine(&backend, result, now);
  if (lost) {
    impl_->claims.Fence(&backend, now);
  }
  impl_->FinishCall(now);
}

bool ShardOwner::IsOwned(const base::BackendId& backend) const {
  return impl_->context.pool.Find(backend) != nullptr;
}

bool ShardOwner::MayStillRun(const RunnerTask& run,
                             const base::Epoch& epoch) const {
  BackendPool& pool = impl_->context.pool;
  const Backend* backend = pool.Find(run.backend);
  if (backend == nullptr || !backend->all_tasks_known ||
      backend->claim.epoch() <= epoch) {
    return true;
  }
  return pool.slots().RunningAtClaim(backend->index).contains(run.task);
}

std::set<RunnerTask> ShardOwner::ListedRunnerTasks() const {
  std::set<RunnerTask> listed;
  BackendPool& pool = impl_->context.pool;
  for (const Backend* backend : pool.All()) {
    if (backend->host.kind != BackendKind::kRunner) {
      continue;
    }
    for (const base::TaskId& task :
         pool.slots().RunningAtClaim(backend->index)) {
      listed.insert({backend->host.backend, task});
    }
  }
  return listed;
}

std::uint64_t ShardOwner::runner_task_changes() const {
  return impl_->context.pool.slots().changes();
}

base::Slots ShardOwner::FreeSlots(const base::ServiceId& service) const {
  return impl_->context.pool.slots().Free(service);
}

base::Slots ShardOwner::TotalSlots(const base::ServiceId& service) const {
  return impl_->context.pool.slots().Total(service);
}

CapacitySummary ShardOwner::room() const { return impl_->context.pool.room(); }

bool ShardOwner::is_reconciled() const { return impl_->claims.is_reconciled(); }

bool ShardOwner::is_idle() const { return impl_->IsIdle(); }

sigc::signal<void(base::TimePoint)>& ShardOwner::slots_freed() {
  return impl_->slots_freed;
}

}  // namespace dotterelbarrow::core
