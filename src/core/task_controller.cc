// Phases of tasks, and the updates that report their ends to managers.
#include "dotterelbarrow/core/task_controller.h"

#include <functional>
#include <utility>
#include <vector>

#include "dotterelbarrow/core/partitions.h"

namespace dotterelbarrow::core {
namespace {

// The interval at which an update is repeated until its manager acknowledges
// it.
constexpr base::Duration kUpdateRetryInterval = std::chrono::seconds(1);

TaskUpdate MakeUpdate(const TaskRecord& record, const EndedPhase& ended) {
  return TaskUpdate{record.spec.id,    record.spec.partition, ended.end,
                    record.backend_id, ended.result,          ended.crashed};
}

}  // namespace

void SendPlaceReply(OwnerContext* context, const base::EntryId& to,
                    const TaskSpec& task, PlaceStatus status,
                    const base::BackendId& backend) {
  if (!to.empty()) {
    context->outbox->SendToPeer(
        to, PlaceReply{task.id, task.partition, status, backend});
  }
}

void TaskController::Unlink(TaskRecord* record, base::TimePoint now) {
  if (record->Is<QueuedPhase>()) {
    leaving_queue_unplaced_.emit(record, now);
    context_->pending.Remove(*record);
  }
  if (record->backend != kNoBackend) {
    context_->freed.insert(record->backend);
    context_->pool.Detach(record);
  }
}

void TaskController::Assign(TaskRecord* record, Backend* backend,
                            base::TimePoint now) {
  const bool hold = record->As<QueuedPhase>()->hold;
  backend->quarantine.OnStart();
  context_->pool.Attach(backend, record);
  if (hold) {
    record->phase = HeldPhase{};
    context_->tasks.SetDue(record, now + context_->settings->hold_time);
    SendPlaceReply(context_, record->requester, record->spec,
                   PlaceStatus::kPlaced, record->backend_id);
    return;
  }
  context_->tasks.SetDue(record, std::nullopt);
  ActivePhase active;
  active.since = now;
  active.reply_due = true;
  record->phase = active;
  context_->dirty.insert(backend->index);
}

void TaskController::Commit(TaskRecord* record, base::TimePoint now) {
  context_->tasks.SetDue(record, std::nullopt);
  ActivePhase active;
  active.since = now;
  record->phase = active;
  context_->dirty.insert(record->backend);
}

void TaskController::Stop(TaskRecord* record, TaskEnd reason,
                          base::TimePoint now) {
  auto* active = record->As<ActivePhase>();
  if (!active->start_sent && !active->listed) {
    End(record, TaskEnd::kNotStarted, std::string(), now);
    return;
  }
  if (!active->stop_reason || reason == TaskEnd::kRemoved) {
    active->stop_reason = reason;
    context_->dirty.insert(record->backend);
  }
  if (!active->listed) {
    fence_requested_.emit(&context_->pool.at(record->backend), now);
  }
}

void TaskController::End(TaskRecord* record, TaskEnd end, std::string result,
                         base::TimePoint now) {
  context_->counters->Increment("task_ends", ToString(end));
  Unlink(record, now);
  record->phase = EndedPhase{end, std::move(result), false};
  SendUpdate(record, now);
}

void TaskController::EndLost(TaskRecord* record, bool crashed,
                             base::TimePoint now) {
  context_->counters->Increment("task_ends", crashed ? "crashed" : "lost");
  Unlink(record, now);
  record->phase = EndedPhase{TaskEnd::kLost, std::string(), crashed};
  SendUpdate(record, now);
}

void TaskController::SendUpdate(TaskRecord* record, base::TimePoint now) {
  const TaskUpdate update = MakeUpdate(*record, *record->As<EndedPhase>());
  context_->outbox->SendToPeer(
      ManagerOf(*context_->membership, record->spec.partition), update);
  context_->tasks.SetDue(record, now + kUpdateRetryInterval);
}

void TaskController::RepeatUpdate(const base::TaskId& task,
                                  base::PartitionId partition,
                                  const EndedTaskCache::Entry& entry) {
  const TaskUpdate update{task,          partition, *entry.end,
                          entry.backend, {},        false};
  context_->outbox->SendToPeer(ManagerOf(*context_->membership, partition),
                               update);
}

void TaskController::Refuse(TaskRecord* record, PlaceStatus status,
                            base::TimePoint now) {
  context_->counters->Increment("placements", ToString(status));
  SendPlaceReply(context_, record->requester, record->spec, status,
                 base::BackendId());
  Unlink(record, now);
  record->backend_id = base::BackendId();
  EndedTaskCache::Entry entry;
  entry.reply = status;
  entry.manager_counter = record->spec.manager_epoch.counter;
  context_->memory.Remember(record->spec.id, entry, now);
  context_->tasks.Erase(record);
}

void TaskController::Forget(TaskRecord* record, base::TimePoint now) {
  Unlink(record, now);
  EndedTaskCache::Entry entry;
  entry.reply =
      record->backend_id.empty() ? PlaceStatus::kNoRoom : PlaceStatus::kPlaced;
  entry.backend = record->backend_id;
  entry.manager_counter = record->spec.manager_epoch.counter;
  if (const auto* ended = record->As<EndedPhase>()) {
    entry.end = ended->end;
  }
  context_->memory.Remember(record->spec.id, entry, now);
  context_->tasks.Erase(record);
}

void TaskController::OnCommitHold(const CommitHold& commit,
                                  base::TimePoint now) {
  if (!AcceptManager(commit.partition, commit.manager_epoch, now)) {
    context_->counters->Increment("commits", "stale");
    return;
  }
  TaskRecord* record = context_->tasks.Find(commit.task);
  if (record == nullptr) {
    context_->counters->Increment("commits", "unknown");
    // The task may have been started before its shard was handed over.
    EndedTaskCache::Entry entry;
    entry.end = TaskEnd::kNotKnown;
    const EndedTaskCache::Entry* known = context_->memory.Find(commit.task);
    const bool ended = known != nullptr && known->end.has_value();
    RepeatUpdate(commit.task, commit.partition, ended ? *known : entry);
    return;
  }
  if (record->Is<HeldPhase>()) {
    Commit(record, now);
  } else if (record->Is<EndedPhase>()) {
    SendUpdate(record, now);
  }
}

void TaskController::OnRemove(const base::EntryId& from,
                              const RemoveTask& remove, base::TimePoint now) {
  if (!AcceptManager(remove.partition, remove.manager_epoch, now)) {
    context_->counters->Increment("removals", "stale");
    return;
  }
  TaskRecord* record = context_->tasks.Find(remove.task);
  if (record != nullptr) {
    if (record->Is<EndedPhase>()) {
      SendUpdate(record, now);
    } else if (record->Is<ActivePhase>()) {
      Stop(record, TaskEnd::kRemoved, now);
    } else {
      End(record, TaskEnd::kNotStarted, std::string(), now);
    }
    return;
  }
  const EndedTaskCache::Entry* known = context_->memory.Find(remove.task);
  if (known != nullptr && known->end) {
    RepeatUpdate(remove.task, remove.partition, *known);
    return;
  }
  context_->counters->Increment("removals", "not_known");
  EndedTaskCache::Entry entry;
  entry.manager_counter = remove.manager_epoch.counter;
  entry.removed = true;
  context_->memory.Remember(remove.task, entry, now);
  context_->outbox->SendToPeer(
      from,
      TaskUpdate{
          remove.task, remove.partition, TaskEnd::kNotKnown, {}, {}, false});
}

void TaskController::OnUpdateAck(const TaskUpdateAck& ack,
                                 base::TimePoint now) {
  TaskRecord* record = context_->tasks.Find(ack.task);
  if (record == nullptr || !record->Is<EndedPhase>()) {
    return;
  }
  Backend* backend = context_->pool.Find(record->backend_id);
  if (backend != nullptr) {
    backend->acknowledge.push_back(ack.task);
  }
  Forget(record, now);
}

void TaskController::OnDue(TaskRecord* record, base::TimePoint now) {
  if (record->Is<HeldPhase>()) {
    context_->counters->Increment("holds", "expired");
    End(record, TaskEnd::kNotStarted, std::string(), now);
  } else if (record->Is<EndedPhase>()) {
    context_->counters->Increment("retries", "task_update");
    SendUpdate(record, now);
  }
}

bool TaskController::AcceptManager(base::PartitionId partition,
                                   const base::Epoch& epoch,
                                   base::TimePoint now) {
  base::Epoch& highest = context_->manager_epochs[partition];
  if (epoch < highest) {
    return false;
  }
  if (epoch == highest) {
    return true;
  }
  highest = epoch;
  for (TaskRecord* record : context_->tasks.OfPartition(partition)) {
    const bool not_started =
        record->Is<QueuedPhase>() || record->Is<HeldPhase>();
    if (not_started && record->spec.manager_epoch < epoch) {
      record->backend_id = base::BackendId();
      Forget(record, now);
    }
  }
  return true;
}

void TaskController::OnVoided(Backend* backend, base::TimePoint now) {
  const std::vector<TaskRecord*> tasks = backend->tasks;
  for (TaskRecord* record : tasks) {
    const auto* active = record->As<ActivePhase>();
    if (record->Is<HeldPhase>()) {
      End(record, TaskEnd::kNotStarted, std::string(), now);
    } else if (active != nullptr && !active->start_sent && !active->listed) {
      if (active->reply_due) {
        Refuse(record, PlaceStatus::kNoRoom, now);
      } else {
        End(record, TaskEnd::kNotStarted, std::string(), now);
      }
    }
  }
}

void TaskController::OnLapsed(Backend* backend, base::TimePoint now) {
  const std::vector<TaskRecord*> tasks = backend->tasks;
  for (TaskRecord* record : tasks) {
    const auto* active = record->As<ActivePhase>();
    if (active != nullptr && active->listed) {
      backend->lost.push_back(
          {record->spec.id, record->spec.partition, active->listed_by});
    }
    EndLost(record, false, now);
  }
}

void TaskController::OnDropped(Backend* backend, base::TimePoint now) {
  const std::vector<TaskRecord*> tasks = backend->tasks;
  for (TaskRecord* record : tasks) {
    Forget(record, now);
  }
}

}  // namespace dotterelbarrow::core
