// Placement of tasks, on arrival or from the queue.
#include "dotterelbarrow/core/placement_controller.h"

#include <utility>
#include <vector>

#include "dotterelbarrow/core/preemption.h"

namespace dotterelbarrow::core {
namespace {

// The most tasks that may be queued at one owner.
constexpr std::size_t kMaxQueued = 8192;

// The most queued tasks that are tried on a backend server whose free resources
// have grown.
constexpr std::size_t kMaxTasksTried = 256;

// The most jobs whose latest shard is remembered.
constexpr std::size_t kMaxJobShards = 4096;

}  // namespace

void PlacementController::OnPlace(const base::EntryId& from,
                                  const PlaceTask& place, base::TimePoint now) {
  const NodeSettings& settings = *context_->settings;
  const bool current_term =
      place.owner_incarnation == settings.incarnation &&
      place.owner_term == context_->membership->lease_term();
  const TaskSpec& task = place.task;
  if (!tasks_->AcceptManager(task.partition, task.manager_epoch, now) ||
      !current_term) {
    context_->counters->Increment(
        "placements", current_term ? "stale_manager" : "stale_term");
    SendPlaceReply(context_, from, task, PlaceStatus::kStale, {});
    return;
  }
  if (AnswerRepeated(from, place, now)) {
    context_->counters->Increment("placements", "repeated");
    return;
  }
  TaskRecord* record = context_->tasks.Create(task);
  record->requester = from;
  record->share_position = place.share_position;
  record->phase = QueuedPhase{place.hold, waiting_times_.OnAsked(task.id, now)};
  const std::optional<PlaceStatus> refusal = ReasonToRefuse(place);
  if (refusal) {
    tasks_->Refuse(record, *refusal, now);
  } else if (!TryAssign(record, now)) {
    Enqueue(record, place.patience, now);
  }
}

bool PlacementController::AnswerRepeated(const base::EntryId& from,
                                         const PlaceTask& place,
                                         base::TimePoint now) {
  const TaskSpec& task = place.task;
  if (TaskRecord* record = context_->tasks.Find(task.id)) {
    if (record->Is<HeldPhase>()) {
      context_->tasks.SetDue(record, now + context_->settings->hold_time);
    }
    const auto* active = record->As<ActivePhase>();
    const bool answered =
        !record->Is<QueuedPhase>() && (active == nullptr || !active->reply_due);
    record->requester = from;
    if (answered) {
      const bool placed = !record->backend_id.empty();
      SendPlaceReply(context_, from, task,
                     placed ? PlaceStatus::kPlaced : PlaceStatus::kNoRoom,
                     record->backend_id);
    }
    return true;
  }
  const EndedTaskCache::Entry* known = context_->memory.Find(task.id);
  if (known == nullptr) {
    return false;
  }
  // A new manager may place a task again that an earlier manager could not.
  const bool new_manager = task.manager_epoch.counter > known->manager_counter;
  if (new_manager && known->backend.empty() && !known->end) {
    context_->memory.Forget(task.id);
    return false;
  }
  SendPlaceReply(context_, from, task, known->reply, known->backend);
  if (known->end) {
    tasks_->RepeatUpdate(task.id, task.partition, *known);
  }
  return true;
}

std::optional<PlaceStatus> PlacementController::ReasonToRefuse(
    const PlaceTask& place) const {
  const char* reason = nullptr;
  if (!context_->membership->holds_lease()) {
    reason = "no_lease";
  } else if (!context_->pool.takes_work()) {
    reason = "no_workers";
  }
  if (reason != nullptr) {
    context_->counters->Increment("refused_placements", reason);
    return PlaceStatus::kNoRoom;
  }
  if (!context_->pool.CouldEverHold(place.task.demand)) {
    return PlaceStatus::kNeverFits;
  }
  return std::nullopt;
}

PlacementPolicy PlacementController::PolicyFor(const TaskRecord& record) const {
  if (record.spec.urgent) {
    return UrgentPolicy{};
  }
  if (record.As<QueuedPhase>()->hold) {
    const auto it = job_shards_.find(record.spec.id.job);
    return AllAtOncePolicy{it == job_shards_.end() ? base::ShardId()
                                                   : it->second};
  }
  return BatchPolicy{context_->settings->packing_weight};
}

bool PlacementController::TryAssign(TaskRecord* record, base::TimePoint now) {
  const auto chosen =
      ChooseBackend(PolicyFor(*record), &context_->pool, record->spec.demand);
  Backend* backend =
      chosen ? &context_->pool.at(*chosen) : reservations_.FindFor(*record);
  if (backend == nullptr) {
    return false;
  }
  Assign(record, backend, now);
  return true;
}

void PlacementController::Assign(TaskRecord* record, Backend* backend,
                                 base::TimePoint now) {
  context_->counters->Increment("placements", "started");
  if (record->As<QueuedPhase>()->hold) {
    if (job_shards_.size() >= kMaxJobShards) {
      job_shards_.clear();
    }
    job_shards_[record->spec.id.job] = backend->host.shard;
  }
  waiting_times_.OnServed(record->spec.id);
  tasks_->Assign(record, backend, now);
}

void PlacementController::Enqueue(TaskRecord* record, base::Duration timeout,
                                  base::TimePoint now) {
  if (timeout <= base::Duration(0) || context_->pending.size() >= kMaxQueued) {
    context_->counters->Increment(
        "refused_placements",
        timeout <= base::Duration(0) ? "no_patience" : "queue_full");
    tasks_->Refuse(record, PlaceStatus::kNoRoom, now);
    return;
  }
  context_->counters->Increment("placements", "queued");
  context_->pending.Add(record);
  context_->tasks.SetDue(record, now + timeout);
  if (!reservations_.Inherit(record) && record->spec.urgent) {
    Preempt(record, now);
  }
}

void PlacementController::Preempt(TaskRecord* record, base::TimePoint now) {
  const std::optional<Preemption> preemption = ChoosePreemption(
      &context_->pool, record->spec.demand, now, &context_->random);
  if (!preemption) {
    context_->counters->Increment("preemptions", "no_victim");
    return;
  }
  reservations_.Set(&context_->pool.at(preemption->backend), record);
  for (TaskRecord* victim : preemption->victims) {
    context_->counters->Increment("preemptions", "stopped");
    tasks_->Stop(victim, TaskEnd::kPreempted, now);
  }
}

void PlacementController::ServeQueue(base::TimePoint now) {
  if (!context_->membership->holds_lease()) {
    return;
  }
  while (!context_->freed.empty()) {
    const BackendIndex index = *context_->freed.begin();
    context_->freed.erase(context_->freed.begin());
    if (!context_->pending.empty()) {
      PlaceQueuedOn(&context_->pool.at(index), now);
    }
  }
}

void PlacementController::PlaceQueuedOn(Backend* backend, base::TimePoint now) {
  if (backend->host.kind != BackendKind::kWorker) {
    return;
  }
  for (TaskRecord* record : context_->pending.First(kMaxTasksTried)) {
    if (!context_->pool.IsUsable(*backend)) {
      return;
    }
    if (reservations_.Allows(*backend, *record) &&
        record->spec.demand.FitsIn(backend->free())) {
      context_->pending.Remove(*record);
      reservations_.OnLeftQueue(record, false, now);
      Assign(record, backend, now);
    }
  }
}

void PlacementController::Tick(base::TimePoint now) {
  waiting_times_.Tick(now);
  reservations_.Tick(now);
  ServeQueue(now);
}

void PlacementController::OnQueueTimeout(TaskRecord* record,
                                         base::TimePoint now) {
  tasks_->Refuse(record, PlaceStatus::kNoRoom, now);
}

void PlacementController::OnLeavingQueueUnplaced(TaskRecord* record,
                                                 base::TimePoint now) {
  reservations_.OnLeftQueue(record, true, now);
}

void PlacementController::RefuseAll(PlaceStatus status, base::TimePoint now) {
  for (TaskRecord* record : context_->tasks.InPhase<QueuedPhase>()) {
    tasks_->Refuse(record, status, now);
  }
}

void PlacementController::OnVoided(Backend* backend) {
  reservations_.Clear(backend);
}

}  // namespace dotterelbarrow::core
