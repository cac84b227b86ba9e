// The part of TaskScheduler that handles ends of tasks and looks for
// unconfirmed tasks by inventory rounds.
#include <algorithm>
#include <utility>

#include "dotterelbarrow/core/gang_scheduler.h"
#include "dotterelbarrow/core/task_scheduler.h"

namespace dotterelbarrow::core {
namespace {

constexpr base::Duration kRemoveRetryPeriod = std::chrono::seconds(1);
constexpr base::Duration kServiceBackoff = std::chrono::seconds(1);
constexpr std::uint32_t kMaxServiceBackoffFactor = 30;
constexpr base::Duration kRetryBackoff = std::chrono::milliseconds(200);
// A job fails once the processes of backend servers have ended under one of its
// tasks this many times for each attempt that the settings allow. Losses of
// backend servers that were only silent don't count.
constexpr std::uint32_t kMaxCrashesPerAttempt = 4;
// Limits the delay after a loss to kRetryBackoff times this: 6 s, about as long
// as a backend server's lease.
constexpr std::uint32_t kMaxLossBackoffFactor = 30;

}  // namespace

void TaskScheduler::Acknowledge(const base::EntryId& to,
                                const base::TaskId& task) {
  tracker_->context().outbox->SendToPeer(to, TaskUpdateAck{task});
}

std::pair<Job*, Task*> TaskScheduler::MatchUpdate(const TaskUpdate& update,
                                                  bool* await_inventory) {
  *await_inventory = false;
  const auto found = jobs_->FindAttempt(update.task);
  if (found.first != nullptr) {
    return found;
  }
  const auto [job, task] = tracker_->Find({update.task.job, update.task.index});
  const bool attempt_unknown = task != nullptr &&
                               task->phase == TaskPhase::kUnconfirmed &&
                               task->attempt == 0;
  if (!attempt_unknown) {
    return {nullptr, nullptr};
  }
  // An earlier manager started the task, and the number of its current attempt
  // is unknown. A success is final for any attempt, and a non-idempotent task
  // has only one. Any other end may belong to an attempt before the one that
  // runs now, so the update stays unacknowledged until an inventory round has
  // found that one.
  if (update.end != TaskEnd::kSucceeded && job->request.idempotent) {
    *await_inventory = true;
    return {nullptr, nullptr};
  }
  task->attempt = update.task.attempt;
  return {job, task};
}

void TaskScheduler::OnTaskUpdate(const base::EntryId& from,
                                 const TaskUpdate& update,
                                 base::TimePoint now) {
  bool await_inventory = false;
  const auto [job, task] = MatchUpdate(update, &await_inventory);
  if (await_inventory || unacknowledged_.contains(update.task)) {
    return;
  }
  const bool is_outdated = job == nullptr ||
                           task->phase == TaskPhase::kFinished ||
                           task->phase == TaskPhase::kWaiting ||
                           task->phase == TaskPhase::kRecording;
  if (is_outdated) {
    OnLateUpdate(update, now);
    Acknowledge(from, update.task);
    return;
  }
  if (!update.backend.empty()) {
    task->backend = update.backend;
  }
  tracker_->context().counters->Increment("task_ends", ToString(update.end));
  if (update.end == TaskEnd::kSucceeded) {
    OnSucceeded(from, update, job, task, now);
    return;
  }
  OnNotSucceeded(update, job, task, now);
  if (job->ending && !job->answer && update.end != TaskEnd::kNotKnown) {
    // Until the end of the job is durable, a later manager may have to learn
    // from the owner that the task has run.
    unacknowledged_.insert(update.task);
    unstored_ends_[job->id].emplace_back(from, update.task);
    return;
  }
  Acknowledge(from, update.task);
}

void TaskScheduler::OnJobEndDurable(const base::JobId& job) {
  const auto ends = unstored_ends_.extract(job);
  if (ends.empty()) {
    return;
  }
  for (const auto& [from, task] : ends.mapped()) {
    unacknowledged_.erase(task);
    Acknowledge(from, task);
  }
}

void TaskScheduler::OnNotSucceeded(const TaskUpdate& update, Job* job,
                                   Task* task, base::TimePoint now) {
  if (update.end == TaskEnd::kNotKnown) {
    tracker_->SetPhase(job, task, TaskPhase::kUnconfirmed, now);
    return;
  }
  if (job->ending) {
    tracker_->SetPhase(job, task, TaskPhase::kFinished, now);
    return;
  }
  if (job->is_all_at_once()) {
    tracker_->SetPhase(job, task, TaskPhase::kWaiting, now);
    gangs_->OnEnded(job, task, update.end, update.result, now);
    return;
  }
  if (update.end == TaskEnd::kFailed) {
    OnFailed(update, job, task, now);
  } else {
    OnGone(update, job, task, now);
  }
}

void TaskScheduler::OnSucceeded(const base::EntryId& from,
                                const TaskUpdate& update, Job* job, Task* task,
                                base::TimePoint now) {
  if (job->request.kind == WorkKind::kService && !job->ending) {
    Acknowledge(from, update.task);
    Requeue(job, task, kServiceBackoff, now);
    return;
  }
  if (!job->started_at) {
    job->started_at = now;
  }
  tracker_->SetPhase(job, task, TaskPhase::kFinished, now);
  task->succeeded = true;
  unacknowledged_.insert(update.task);
  log_->Append(TaskSucceeded{update.task.job, update.task.index},
               [this, from, id = update.task](base::TimePoint) {
                 unacknowledged_.erase(id);
                 Acknowledge(from, id);
               });
  if (job->ending) {
    return;
  }
  if (job->is_all_at_once()) {
    gangs_->OnEnded(job, task, update.end, update.result, now);
    return;
  }
  const bool all_done = std::all_of(job->tasks.begin(), job->tasks.end(),
                                    [](const Task& t) { return t.succeeded; });
  if (all_done) {
    tracker_->EndJob(job, Outcome::kDone, Reason::kNone, "", now);
  }
}

void TaskScheduler::OnFailed(const TaskUpdate& update, Job* job, Task* task,
                             base::TimePoint now) {
  const NodeSettings& settings = *tracker_->context().settings;
  ++task->failures;
  if (job->request.kind == WorkKind::kService) {
    const std::uint32_t factor =
        std::min(task->failures, kMaxServiceBackoffFactor);
    tracker_->context().counters->Increment("retries", "service_restart");
    Requeue(job, task, kServiceBackoff * factor, now);
    return;
  }
  tracker_->SetPhase(job, task, TaskPhase::kFinished, now);
  job->failed_on.insert(update.backend);
  if (!job->request.idempotent) {
    tracker_->EndJob(job, Outcome::kFailed, Reason::kTaskFailed, update.result,
                     now);
    return;
  }
  if (job->failed_on.size() >= settings.distinct_backend_failures) {
    tracker_->EndJob(job, Outcome::kFailed, Reason::kFailedOnManyBackends,
                     update.result, now);
    return;
  }
  if (task->failures >= settings.task_attempts) {
    tracker_->EndJob(job, Outcome::kFailed, Reason::kRetriesExhausted,
                     update.result, now);
    return;
  }
  tracker_->context().counters->Increment("retries", "task_failed");
  Requeue(job, task, kRetryBackoff * task->failures, now);
}

void TaskScheduler::OnGone(const TaskUpdate& update, Job* job, Task* task,
                           base::TimePoint now) {
  const bool may_have_run = update.end != TaskEnd::kNotStarted;
  if (may_have_run && !job->request.idempotent) {
    tracker_->SetPhase(job, task, TaskPhase::kFinished, now);
    tracker_->EndJob(job, Outcome::kUnknown, Reason::kConnectionLost,
                     "the task's worker was lost; the task isn't run again",
                     now);
    return;
  }
  tracker_->context().counters->Increment("retries", ToString(update.end));
  if (update.end != TaskEnd::kLost) {
    Requeue(job, task, base::Duration(0), now);
    return;
  }
  if (update.crashed && RecordCrash(update, task)) {
    tracker_->SetPhase(job, task, TaskPhase::kFinished, now);
    EndCrashingJob(job, now);
    return;
  }
  // The first loss costs no delay; later ones may be due to the task itself.
  const std::uint32_t factor = std::min(task->losses++, kMaxLossBackoffFactor);
  Requeue(job, task, kRetryBackoff * factor, now);
}

bool TaskScheduler::RecordCrash(const TaskUpdate& update, Task* task) const {
  const NodeSettings& settings = *tracker_->context().settings;
  task->crashed_attempts.insert(update.task.attempt);
  return task->crashed_attempts.size() >=
         std::size_t{settings.task_attempts} * kMaxCrashesPerAttempt;
}

void TaskScheduler::EndCrashingJob(Job* job, base::TimePoint now) {
  tracker_->EndJob(job, Outcome::kFailed, Reason::kRetriesExhausted,
                   "too many workers crashed while they ran the task", now);
}

void TaskScheduler::OnLateUpdate(const TaskUpdate& update,
                                 base::TimePoint now) {
  const auto [job, task] = tracker_->Find({update.task.job, update.task.index});
  const bool may_count = update.crashed && job != nullptr && !job->ending &&
                         !job->is_all_at_once() &&
                         task->phase != TaskPhase::kFinished;
  if (may_count && RecordCrash(update, task)) {
    EndCrashingJob(job, now);
  }
}

void TaskScheduler::BeginRoundIfNeeded(base::TimePoint now) {
  const bool needed =
      !tracker_->unconfirmed().empty() || !has_complete_inventory_;
  if (round_.is_running() || !needed ||
      !tracker_->context().membership->holds_lease()) {
    return;
  }
  base::Epoch epoch = tracker_->epoch();
  ++epoch.counter;
  tracker_->set_epoch(epoch);
  // Owners drop tasks that are queued or held there under the earlier epoch.
  for (auto& [id, job] : jobs_->jobs()) {
    for (Task& task : job.tasks) {
      if (task.phase == TaskPhase::kPlacing || task.phase == TaskPhase::kHeld) {
        tracker_->SetPhase(&job, &task, TaskPhase::kUnconfirmed, now);
      }
    }
  }
  tracker_->context().counters->Increment("inventory", "rounds");
  round_.Begin(epoch, now);
}

void TaskScheduler::OnInventory(const base::EntryId& from,
                                const InventoryReply& reply,
                                base::TimePoint now) {
  // A task can't be tracked without the incarnation and term of its owner. A
  // reply from an owner that the membership has no record of is ignored; the
  // round repeats its request until a reply counts.
  const MemberRecord* member = tracker_->context().membership->FindMember(from);
  if (member == nullptr || !round_.OnReply(from, reply, now)) {
    return;
  }
  for (const InventoryTask& found : reply.tasks) {
    AdoptFound(from, *member, found, now);
  }
  for (const auto& [team, slots] : reply.slices) {
    tracker_->ledger().Adopt(team, {from, member->incarnation},
                             member->lease_term, slots);
  }
}

void TaskScheduler::AdoptFound(const base::EntryId& from,
                               const MemberRecord& member,
                               const InventoryTask& found,
                               base::TimePoint now) {
  const base::TaskId& id = found.spec.id;
  const auto [job, task] = tracker_->Find({id.job, id.index});
  const bool unconfirmed = task != nullptr &&
                           task->phase == TaskPhase::kUnconfirmed &&
                           (task->attempt == id.attempt || task->attempt == 0);
  if (!unconfirmed) {
    if (task == nullptr || task->attempt != id.attempt) {
      // It is an orphan: its job is unknown, or the task has a newer attempt.
      tracker_->context().counters->Increment("inventory", "strays");
      tracker_->context().outbox->SendToPeer(
          from, RemoveTask{id, partition_, tracker_->epoch()});
    }
    return;
  }
  task->attempt = id.attempt;
  task->owner = from;
  task->owner_incarnation = member.incarnation;
  task->owner_term = member.lease_term;
  task->backend = found.backend;
  if (!job->started_at) {
    job->started_at = now;
  }
  tracker_->SetPhase(job, task, TaskPhase::kRunning, now);
  if (job->ending) {
    tracker_->Remove(job, task, now);
    Watch({id.job, id.index}, now + kRemoveRetryPeriod);
  }
}

void TaskScheduler::ResolveUnconfirmed(base::TimePoint now) {
  std::set<base::JobId> gangs;
  const std::set<TaskKey> keys = tracker_->unconfirmed();
  for (const TaskKey& key : keys) {
    const auto [job, task] = tracker_->Find(key);
    if (task->since > round_.started_at()) {
      continue;  // Became unconfirmed during this round; the next one decides.
    }
    tracker_->context().counters->Increment("inventory", "surely_not_running");
    if (job->ending) {
      tracker_->SetPhase(job, task, TaskPhase::kFinished, now);
    } else if (job->is_all_at_once()) {
      tracker_->SetPhase(job, task, TaskPhase::kWaiting, now);
      gangs.insert(key.job);
    } else if (!job->request.idempotent && task->start_recorded) {
      tracker_->SetPhase(job, task, TaskPhase::kFinished, now);
      tracker_->EndJob(
          job, Outcome::kUnknown, Reason::kConnectionLost,
          "a task may have run, and its end is unknown; it isn't run "
          "again",
          now);
    } else {
      Requeue(job, task, base::Duration(0), now);
    }
  }
  for (auto& [id, job] : jobs_->jobs()) {
    if (job.is_all_at_once() && !job.ending) {
      gangs_->OnConfirmed(&job, now);
    }
  }
}

}  // namespace dotterelbarrow::core
