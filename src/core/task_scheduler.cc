// Queues, placement and timers of a partition's tasks.
#include "dotterelbarrow/core/task_scheduler.h"

#include <algorithm>
#include <utility>

#include "dotterelbarrow/core/gang_scheduler.h"

namespace dotterelbarrow::core {
namespace {

constexpr base::Duration kRefusedDelay = std::chrono::milliseconds(200);
constexpr base::Duration kRemoveRepeatInterval = std::chrono::seconds(1);
constexpr base::Duration kDeferralDelay = std::chrono::milliseconds(100);
// The most tasks of one team that are placed before the next team's turn.
constexpr std::uint32_t kMaxTasksPerTurn = 32;

}  // namespace

TaskScheduler::TaskScheduler(TaskTracker* book, JobTable* jobs, RecordLog* log,
                             GangScheduler* gangs, base::PartitionId partition)
    : tracker_(book),
      jobs_(jobs),
      log_(log),
      gangs_(gangs),
      partition_(partition),
      round_(book->context().settings, book->context().outbox,
             book->context().membership, book->context().hosts, partition) {}

void TaskScheduler::Accept(Job* job, base::TimePoint now) {
  if (job->is_all_at_once()) {
    gangs_->Accept(job, now);
    return;
  }
  for (const Task& task : job->tasks) {
    Enqueue(*job, task);
  }
  if (job->request.deadline > base::Duration(0)) {
    Watch({job->id, 0}, now + job->request.deadline);
  }
}

void TaskScheduler::AdoptReplayed(base::TimePoint now) {
  for (auto& [id, job] : jobs_->jobs()) {
    if (job.is_all_at_once() && !job.ending) {
      gangs_->Adopt(&job, now);
    }
    for (Task& task : job.tasks) {
      if (task.phase == TaskPhase::kFinished) {
        continue;
      }
      // The start of a non-idempotent task is recorded before the task is first
      // handed to an owner.
      const bool never_started = !job.request.idempotent &&
                                 !job.tasks.front().start_recorded &&
                                 !task.start_recorded;
      if (never_started && !job.ending && !job.is_all_at_once()) {
        Enqueue(job, task);
        continue;
      }
      tracker_->SetPhase(&job, &task, TaskPhase::kUnconfirmed, now);
    }
  }
}

void TaskScheduler::Enqueue(const Job& job, const Task& task) {
  TeamQueue& queue = queues_[job.id.team];
  auto& tasks = job.request.urgent ? queue.urgent : queue.normal;
  tasks.push_back(TaskTracker::KeyOf(job, task));
}

void TaskScheduler::Requeue(Job* job, Task* task, base::Duration delay,
                            base::TimePoint now) {
  tracker_->SetPhase(job, task, TaskPhase::kWaiting, now);
  if (delay == base::Duration(0)) {
    Enqueue(*job, *task);
    return;
  }
  task->next_try = now + delay;
  Watch(TaskTracker::KeyOf(*job, *task), task->next_try);
}

void TaskScheduler::Watch(const TaskKey& key, base::TimePoint at) {
  due_.emplace(at, key);
}

void TaskScheduler::StopJob(Job* job, base::TimePoint now) {
  gangs_->Forget(job->id);
  for (Task& task : job->tasks) {
    switch (task.phase) {
      case TaskPhase::kWaiting:
      case TaskPhase::kRecording:
        tracker_->SetPhase(job, &task, TaskPhase::kFinished, now);
        break;
      case TaskPhase::kPlacing:
      case TaskPhase::kHeld:
      case TaskPhase::kRunning:
        tracker_->Remove(job, &task, now);
        Watch(TaskTracker::KeyOf(*job, task), now + kRemoveRepeatInterval);
        break;
      case TaskPhase::kUnconfirmed:
      case TaskPhase::kRemoving:
      case TaskPhase::kFinished:
        break;
    }
  }
}

void TaskScheduler::Tick(base::TimePoint now) {
  round_.Tick(now);
  if (round_.EndIfComplete(now)) {
    has_complete_inventory_ = true;
    ResolveUnconfirmed(now);
  }
  BeginRoundIfNeeded(now);
  CheckDueTasks(now);
  for (auto& [team, queue] : queues_) {
    if (now >= queue.next_try) {
      ScheduleTeam(team, &queue, now);
    }
  }
}

void TaskScheduler::ScheduleTeam(const base::TeamId& team, TeamQueue* queue,
                                 base::TimePoint now) {
  const std::uint32_t window = tracker_->context().settings->place_window;
  for (std::uint32_t turn = 0; turn < kMaxTasksPerTurn; ++turn) {
    auto& tasks = queue->urgent.empty() ? queue->normal : queue->urgent;
    if (tasks.empty() || tracker_->placing(team) >= window) {
      return;
    }
    const TaskKey key = tasks.front();
    if (!ScheduleTask(key, now)) {
      queue->next_try = now + kDeferralDelay;
      return;
    }
    tasks.pop_front();
  }
}

bool TaskScheduler::ScheduleTask(const TaskKey& key, base::TimePoint now) {
  const auto [job, task] = tracker_->Find(key);
  if (job == nullptr || job->ending || task->phase != TaskPhase::kWaiting) {
    return true;  // Cancelled, or no longer waiting.
  }
  if (!job->request.idempotent && !task->start_recorded) {
    RecordStart(job, task, now);
    return true;
  }
  const base::TeamId& team = key.job.team;
  if (!tracker_->ledger().Fits(team, job->request.demand,
                               tracker_->LimitOf(team))) {
    tracker_->context().counters->Increment("deferrals", "over_limit");
    return false;
  }
  const auto owner = tracker_->chooser().Choose(job->request.demand);
  const base::Duration timeout = tracker_->context().settings->place_patience;
  if (!owner || !tracker_->Place(job, task, *owner, false, timeout, now)) {
    tracker_->context().counters->Increment("deferrals", "no_owner");
    return false;
  }
  Watch(key, now + timeout + tracker_->context().settings->call_timeout);
  return true;
}

void TaskScheduler::RecordStart(Job* job, Task* task, base::TimePoint now) {
  const TaskKey key = TaskTracker::KeyOf(*job, *task);
  tracker_->SetPhase(job, task, TaskPhase::kRecording, now);
  log_->Append(TaskStarting{key.job, key.index},
               [this, key](base::TimePoint then) {
                 const auto [recorded_job, recorded] = tracker_->Find(key);
                 if (recorded == nullptr) {
                   return;
                 }
                 recorded->start_recorded = true;
                 if (recorded->phase == TaskPhase::kRecording) {
                   Requeue(recorded_job, recorded, base::Duration(0), then);
                 }
               });
}

void TaskScheduler::CheckDueTasks(base::TimePoint now) {
  while (!due_.empty() && due_.begin()->first <= now) {
    const TaskKey key = due_.begin()->second;
    due_.erase(due_.begin());
    const auto [job, task] = tracker_->Find(key);
    if (job != nullptr) {
      ActOn(job, task, now);
    }
  }
}

void TaskScheduler::ActOn(Job* job, Task* task, base::TimePoint now) {
  const NodeSettings& settings = *tracker_->context().settings;
  const TaskKey key = TaskTracker::KeyOf(*job, *task);
  const base::Duration deadline = job->request.deadline;
  if (!job->ending && deadline > base::Duration(0) &&
      now - job->accepted_at >= deadline) {
    tracker_->EndJob(job, job->started_at ? Outcome::kFailed : Outcome::kNotRun,
                     Reason::kDeadlinePassed, "its deadline passed", now);
    return;
  }
  switch (task->phase) {
    case TaskPhase::kWaiting:
      if (now >= task->next_try && !job->is_all_at_once() && !job->ending) {
        Enqueue(*job, *task);
      }
      break;
    case TaskPhase::kPlacing:
      // The task must not be handed to two owners. It is first removed from
      // this one, which confirms the removal or answers that it doesn't know
      // the task.
      if (now - task->since >=
          settings.place_patience + settings.call_timeout) {
        tracker_->context().counters->Increment("retries", "place_timeout");
        tracker_->Remove(job, task, now);
        Watch(key, now + kRemoveRepeatInterval);
      }
      break;
    case TaskPhase::kRemoving:
      if (!tracker_->IsOwnerCurrent(*task)) {
        tracker_->SetPhase(job, task, TaskPhase::kUnconfirmed, now);
        break;
      }
      tracker_->Remove(job, task, now);
      Watch(key, now + kRemoveRepeatInterval);
      break;
    case TaskPhase::kRecording:
    case TaskPhase::kHeld:
    case TaskPhase::kRunning:
    case TaskPhase::kUnconfirmed:
    case TaskPhase::kFinished:
      break;
  }
}

void TaskScheduler::OnMembershipChanged(base::TimePoint now) {
  for (auto& [id, job] : jobs_->jobs()) {
    for (Task& task : job.tasks) {
      const bool at_owner = task.phase == TaskPhase::kPlacing ||
                            task.phase == TaskPhase::kHeld ||
                            task.phase == TaskPhase::kRunning ||
                            task.phase == TaskPhase::kRemoving;
      if (at_owner && !tracker_->IsOwnerCurrent(task)) {
        tracker_->SetPhase(&job, &task, TaskPhase::kUnconfirmed, now);
      }
    }
  }
}

void TaskScheduler::EnforceLimits(base::TimePoint now) {
  for (auto& [id, job] : jobs_->jobs()) {
    const auto limit = tracker_->LimitOf(id.team);
    for (Task& task : job.tasks) {
      if (!limit || tracker_->ledger().running(id.team).FitsIn(*limit)) {
        break;
      }
      if (task.phase == TaskPhase::kRunning ||
          task.phase == TaskPhase::kPlacing) {
        tracker_->context().counters->Increment("retries", "limit_lowered");
        tracker_->Remove(&job, &task, now);
        Watch(TaskTracker::KeyOf(job, task), now + kRemoveRepeatInterval);
      }
    }
  }
}

void TaskScheduler::OnPlaceReply(const PlaceReply& reply, base::TimePoint now) {
  const auto [job, task] = jobs_->FindAttempt(reply.task);
  if (job == nullptr || task->phase != TaskPhase::kPlacing) {
    return;
  }
  tracker_->context().counters->Increment("placements", ToString(reply.status));
  if (reply.status == PlaceStatus::kPlaced) {
    task->backend = reply.backend;
    if (job->is_all_at_once()) {
      gangs_->OnHeld(job, task, now);
      return;
    }
    tracker_->SetPhase(job, task, TaskPhase::kRunning, now);
    if (!job->started_at) {
      job->started_at = now;
    }
    return;
  }
  if (job->is_all_at_once()) {
    gangs_->OnNoRoom(job, task, now);
    return;
  }
  const base::Duration delay =
      reply.status == PlaceStatus::kNoRoom ? base::Duration(0) : kRefusedDelay;
  Requeue(job, task, delay, now);
}

}  // namespace dotterelbarrow::core
