// Holds resources for all-at-once jobs, starts the jobs and releases the holds.
#include "dotterelbarrow/core/gang_scheduler.h"

#include <algorithm>
#include <utility>

namespace dotterelbarrow::core {
namespace {

constexpr std::uint32_t kTriesBeforePrivilege = 5;
// How long a privileged job may keep its holds while it waits for more, before
// it releases all of them and tries again.
constexpr base::Duration kPrivilegedHoldTime = std::chrono::seconds(15);
constexpr base::Duration kBackoffUnit = std::chrono::milliseconds(50);
constexpr std::uint32_t kLongestBackoffUnits = 32;
constexpr base::Duration kRemoveRepeatInterval = std::chrono::seconds(1);

}  // namespace

GangScheduler::GangScheduler(TaskTracker* book, RecordLog* log)
    : tracker_(book), log_(log) {}

void GangScheduler::Accept(Job* job, base::TimePoint now) {
  Gang gang;
  gang.next_try = now;
  gang.stage_since = now;
  gangs_[job->id] = gang;
}

void GangScheduler::Adopt(Job* job, base::TimePoint now) {
  Accept(job, now);
  gangs_[job->id].stage = Stage::kRunning;
}

void GangScheduler::Tick(base::TimePoint now) {
  std::vector<base::JobId> ids;
  for (const auto& [id, gang] : gangs_) {
    ids.push_back(id);
  }
  for (const base::JobId& id : ids) {
    const auto it = gangs_.find(id);
    Job* job = tracker_->Find({id, 0}).first;
    if (job == nullptr || job->ending) {
      gangs_.erase(it);
      continue;
    }
    Gang& gang = it->second;
    switch (gang.stage) {
      case Stage::kWaiting:
        if (now >= gang.next_try) {
          TryHold(job, &gang, now);
        }
        break;
      case Stage::kHolding:
        CheckHolding(job, &gang, now);
        break;
      case Stage::kReleasing:
        CheckReleasing(job, &gang, now);
        break;
      case Stage::kRunning:
        RepeatCommit(job, &gang, now);
        break;
      case Stage::kRecording:
        break;
    }
  }
  if (privileged_ && !gangs_.contains(*privileged_)) {
    privileged_.reset();
  }
}

void GangScheduler::TryHold(Job* job, Gang* gang, base::TimePoint now) {
  const base::TeamId& team = job->id.team;
  if (!tracker_->ledger().Fits(team, NeededAtOnce(job->request),
                               tracker_->LimitOf(team))) {
    gang->next_try = now + Backoff(0);
    return;
  }
  if (!job->request.idempotent && !job->tasks.front().start_recorded) {
    gang->stage = Stage::kRecording;
    log_->Append(TaskStarting{job->id, 0},
                 [this, id = job->id](base::TimePoint then) {
                   const auto it = gangs_.find(id);
                   Job* recorded = tracker_->Find({id, 0}).first;
                   if (it != gangs_.end() && recorded != nullptr) {
                     recorded->tasks.front().start_recorded = true;
                     it->second.stage = Stage::kWaiting;
                     it->second.next_try = then;
                   }
                 });
    return;
  }
  if (gang->tries >= kTriesBeforePrivilege && !privileged_) {
    privileged_ = job->id;
  }
  const bool privileged = IsPrivileged(job->id);
  const auto plan = Plan(*job, *gang, privileged);
  if (!plan) {
    // Owners that lacked free resources earlier may have enough now.
    gang->owner_limits.clear();
    ++gang->tries;
    gang->next_try = now + Backoff(gang->tries);
    return;
  }
  gang->requested.clear();
  for (const base::EntryId& owner : *plan) {
    ++gang->requested[owner];
  }
  gang->stage = Stage::kHolding;
  gang->stage_since = now;
  gang->next_refresh = now + tracker_->context().settings->hold_time / 3;
  const base::Duration timeout =
      privileged ? kPrivilegedHoldTime
                 : tracker_->context().settings->hold_time / 4;
  bool placed = true;
  for (std::size_t i = 0; i < job->tasks.size() && placed; ++i) {
    placed =
        tracker_->Place(job, &job->tasks[i], (*plan)[i], true, timeout, now);
  }
  if (!placed) {
    Release(job, gang, now);
  }
}

std::optional<std::vector<base::EntryId>> GangScheduler::Plan(const Job& job,
                                                              const Gang& gang,
                                                              bool privileged) {
  const base::Resources& demand = job.request.demand;
  std::vector<std::pair<std::uint64_t, base::EntryId>> candidates;
  candidates.reserve(tracker_->context().membership->live().size());
  std::vector<base::EntryId> live = tracker_->context().membership->live();
  std::shuffle(live.begin(), live.end(), tracker_->random());
  for (const base::EntryId& owner : live) {
    const std::uint64_t fits = tracker_->chooser().TasksThatFit(owner, demand);
    const auto limit = gang.owner_limits.find(owner);
    candidates.emplace_back(
        limit == gang.owner_limits.end() ? fits : std::min(fits, limit->second),
        owner);
  }
  // Owners with most free capacity come first: the fewer owners take part, the
  // fewer can refuse.
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<base::EntryId> plan;
  for (const auto& [fits, owner] : candidates) {
    for (std::uint64_t i = 0; i < fits && plan.size() < job.tasks.size(); ++i) {
      plan.push_back(owner);
    }
  }
  while (privileged && plan.size() < job.tasks.size()) {
    const auto owner = tracker_->chooser().Choose(demand);
    if (!owner) {
      return std::nullopt;
    }
    plan.push_back(*owner);
  }
  if (plan.size() < job.tasks.size()) {
    return std::nullopt;
  }
  return plan;
}

void GangScheduler::OnHeld(Job* job, Task* task, base::TimePoint now) {
  const auto it = gangs_.find(job->id);
  if (it == gangs_.end() || it->second.stage != Stage::kHolding) {
    tracker_->Remove(job, task, now);
    return;
  }
  tracker_->SetPhase(job, task, TaskPhase::kHeld, now);
  const bool all_held = std::all_of(
      job->tasks.begin(), job->tasks.end(),
      [](const Task& each) { return each.phase == TaskPhase::kHeld; });
  if (!all_held) {
    return;
  }
  for (Task& each : job->tasks) {
    tracker_->Commit(job, &each, now);
  }
  it->second.stage = Stage::kRunning;
  it->second.stage_since = now;
  it->second.next_refresh = now + tracker_->context().settings->hold_time / 4;
  it->second.tries = 0;
  it->second.owner_limits.clear();
  if (!job->started_at) {
    job->started_at = now;
  }
  if (IsPrivileged(job->id)) {
    privileged_.reset();
  }
  tracker_->context().counters->Increment("gangs", "started");
}

void GangScheduler::OnNoRoom(Job* job, Task* task, base::TimePoint now) {
  tracker_->SetPhase(job, task, TaskPhase::kWaiting, now);
  const auto it = gangs_.find(job->id);
  if (it != gangs_.end() && it->second.stage == Stage::kHolding) {
    tracker_->context().counters->Increment("gangs", "released");
    Release(job, &it->second, now);
  }
}

void GangScheduler::CheckHolding(Job* job, Gang* gang, base::TimePoint now) {
  const base::Duration bound = IsPrivileged(job->id)
                                   ? kPrivilegedHoldTime
                                   : tracker_->context().settings->hold_time;
  if (now - gang->stage_since >= bound) {
    tracker_->context().counters->Increment("gangs", "hold_timeout");
    Release(job, gang, now);
    return;
  }
  if (now < gang->next_refresh) {
    return;
  }
  gang->next_refresh = now + tracker_->context().settings->hold_time / 3;
  for (const Task& task : job->tasks) {
    if (task.phase == TaskPhase::kHeld) {
      tracker_->RefreshHold(*job, task);
    }
  }
}

void GangScheduler::RepeatCommit(Job* job, Gang* gang, base::TimePoint now) {
  // If a commit were lost and not repeated, the job would run with some of its
  // tasks missing until their holds expire.
  const base::Duration hold = tracker_->context().settings->hold_time;
  if (now < gang->next_refresh || now - gang->stage_since >= hold) {
    return;
  }
  gang->next_refresh = now + hold / 4;
  for (const Task& task : job->tasks) {
    if (task.phase == TaskPhase::kRunning) {
      tracker_->RepeatCommit(*job, task);
    }
  }
}

void GangScheduler::UpdateOwnerLimits(const Job& job, Gang* gang) {
  std::map<base::EntryId, std::uint64_t> held;
  for (const Task& task : job.tasks) {
    held[task.owner] += task.phase == TaskPhase::kHeld ? 1 : 0;
  }
  for (const auto& [owner, requested] : gang->requested) {
    if (held[owner] < requested) {
      gang->owner_limits[owner] = held[owner];
    }
  }
}

void GangScheduler::Release(Job* job, Gang* gang, base::TimePoint now) {
  if (gang->stage == Stage::kHolding) {
    UpdateOwnerLimits(*job, gang);
  }
  gang->stage = Stage::kReleasing;
  gang->stage_since = now;
  for (Task& task : job->tasks) {
    const bool at_owner = task.phase == TaskPhase::kPlacing ||
                          task.phase == TaskPhase::kHeld ||
                          task.phase == TaskPhase::kRunning;
    if (at_owner) {
      tracker_->Remove(job, &task, now);
    } else if (task.phase == TaskPhase::kFinished) {
      // All tasks run again together, including those that had ended.
      task.succeeded = false;
      tracker_->SetPhase(job, &task, TaskPhase::kWaiting, now);
    }
  }
  CheckReleasing(job, gang, now);
}

void GangScheduler::CheckReleasing(Job* job, Gang* gang, base::TimePoint now) {
  bool all_waiting = true;
  for (Task& task : job->tasks) {
    const bool repeat = task.phase == TaskPhase::kRemoving &&
                        now - task.since >= kRemoveRepeatInterval;
    if (task.phase == TaskPhase::kRunning || repeat) {
      tracker_->Remove(job, &task, now);
    }
    all_waiting = all_waiting && task.phase == TaskPhase::kWaiting;
  }
  if (all_waiting) {
    ++gang->tries;
    gang->stage = Stage::kWaiting;
    gang->next_try = now + Backoff(gang->tries);
    if (IsPrivileged(job->id)) {
      privileged_.reset();
    }
  }
}

void GangScheduler::OnEnded(Job* job, Task* task, TaskEnd end,
                            const std::string& result, base::TimePoint now) {
  const auto it = gangs_.find(job->id);
  if (it == gangs_.end()) {
    return;
  }
  Gang& gang = it->second;
  if (end == TaskEnd::kSucceeded && gang.stage == Stage::kRunning) {
    EndIfAllSucceeded(job, now);
    return;
  }
  if (gang.stage != Stage::kRunning) {
    if (task->phase == TaskPhase::kFinished) {
      // The task ended before it could be stopped; it runs again with the
      // others.
      task->succeeded = false;
      tracker_->SetPhase(job, task, TaskPhase::kWaiting, now);
    }
    CheckReleasing(job, &gang, now);
    return;
  }
  const NodeSettings& settings = *tracker_->context().settings;
  if (end == TaskEnd::kFailed) {
    ++task->failures;
    job->failed_on.insert(task->backend);
    if (job->failed_on.size() >= settings.distinct_backend_failures) {
      tracker_->EndJob(job, Outcome::kFailed, Reason::kFailedOnManyBackends,
                       result, now);
      return;
    }
  }
  // All tasks were committed, so others may have run even if this one never
  // started.
  if (!job->request.idempotent) {
    const bool failed = end == TaskEnd::kFailed;
    tracker_->EndJob(job, failed ? Outcome::kFailed : Outcome::kUnknown,
                     failed ? Reason::kTaskFailed : Reason::kConnectionLost,
                     result, now);
    return;
  }
  if (task->failures >= settings.task_attempts) {
    tracker_->EndJob(job, Outcome::kFailed, Reason::kRetriesExhausted, result,
                     now);
    return;
  }
  tracker_->context().counters->Increment("retries", ToString(end));
  Release(job, &gang, now);
}

void GangScheduler::EndIfAllSucceeded(Job* job, base::TimePoint now) {
  const bool all_done =
      std::all_of(job->tasks.begin(), job->tasks.end(),
                  [](const Task& each) { return each.succeeded; });
  if (all_done) {
    tracker_->EndJob(job, Outcome::kDone, Reason::kNone, "", now);
  }
}

void GangScheduler::OnConfirmed(Job* job, base::TimePoint now) {
  const auto it = gangs_.find(job->id);
  if (it == gangs_.end() || it->second.stage != Stage::kRunning) {
    return;
  }
  std::size_t at_owners = 0;
  for (const Task& task : job->tasks) {
    if (task.phase == TaskPhase::kUnconfirmed) {
      return;
    }
    at_owners += task.phase != TaskPhase::kWaiting ? 1 : 0;
  }
  if (at_owners == job->tasks.size()) {
    return;
  }
  if (at_owners > 0 && !job->request.idempotent) {
    tracker_->EndJob(job, Outcome::kUnknown, Reason::kConnectionLost,
                     "some of its tasks were not found at any owner", now);
    return;
  }
  Release(job, &it->second, now);
}

base::Duration GangScheduler::Backoff(std::uint32_t tries) {
  const std::uint32_t units =
      std::min(kLongestBackoffUnits, 1U << std::min(tries, 16U));
  return kBackoffUnit + kBackoffUnit * (tracker_->random()() % (units + 1));
}

}  // namespace dotterelbarrow::core
