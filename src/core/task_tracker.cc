// Implements the phase changes, attempt numbers and commands of a partition's
// tasks.
#include "dotterelbarrow/core/task_tracker.h"

#include <string>
#include <utility>

namespace dotterelbarrow::core {
namespace {

// An attempt number has the number of the manager's claim of the journal in its
// high bits, and a counter in this many low bits, so that no two managers of a
// partition ever use the same attempt number.
constexpr int kAttemptCounterBits = 16;
// The low bits of an epoch's counter, below the number of the claim.
constexpr int kLocalCounterBits = 20;
constexpr std::uint32_t kClaimNumberMask = 0xFFFF;

}  // namespace

TaskTracker::TaskTracker(const ManagerContext& context,
                         base::PartitionId partition, JobTable* jobs,
                         std::uint64_t seed)
    : context_(context),
      partition_(partition),
      jobs_(jobs),
      random_(seed),
      chooser_(context.membership, seed + 1) {}

std::pair<Job*, Task*> TaskTracker::Find(const TaskKey& key) {
  Job* job = jobs_->Find(key.job);
  if (job == nullptr || key.index >= job->tasks.size()) {
    return {nullptr, nullptr};
  }
  return {job, &job->tasks[key.index]};
}

TaskKey TaskTracker::KeyOf(const Job& job, const Task& task) {
  return {job.id, static_cast<std::uint32_t>(&task - job.tasks.data())};
}

base::TaskId TaskTracker::IdOf(const Job& job, const Task& task) {
  return {job.id, static_cast<std::uint32_t>(&task - job.tasks.data()),
          task.attempt};
}

void TaskTracker::SetPhase(Job* job, Task* task, TaskPhase phase,
                           base::TimePoint now) {
  const TaskPhase before = task->phase;
  task->phase = phase;
  task->since = now;
  task->next_try = now;
  if (before == phase) {
    return;
  }
  if (CountsAsRunning(before) && !CountsAsRunning(phase)) {
    ledger_.Remove(job->id.team, job->request.demand);
  } else if (!CountsAsRunning(before) && CountsAsRunning(phase)) {
    ledger_.Add(job->id.team, job->request.demand);
  }
  if (before == TaskPhase::kPlacing) {
    --placing_[job->id.team];
  } else if (phase == TaskPhase::kPlacing) {
    ++placing_[job->id.team];
  }
  if (before == TaskPhase::kUnconfirmed) {
    unconfirmed_.erase(KeyOf(*job, *task));
  } else if (phase == TaskPhase::kUnconfirmed) {
    unconfirmed_.insert(KeyOf(*job, *task));
  }
  if (before == TaskPhase::kFinished) {
    --job->settled;
  } else if (phase == TaskPhase::kFinished) {
    ++job->settled;
  }
}

std::uint32_t TaskTracker::NextAttempt(std::uint32_t last) const {
  const auto claim = static_cast<std::uint32_t>(
      (epoch_.counter >> kLocalCounterBits) & kClaimNumberMask);
  if (last >> kAttemptCounterBits == claim) {
    return last + 1;
  }
  return (claim << kAttemptCounterBits) + 1;
}

TaskSpec TaskTracker::MakeTaskSpec(const Job& job, const Task& task) const {
  TaskSpec spec;
  spec.id = IdOf(job, task);
  spec.partition = partition_;
  spec.manager_epoch = epoch_;
  spec.kind = job.request.kind;
  spec.demand = job.request.demand;
  spec.expected_run = job.request.expected_run;
  spec.idempotent = job.request.idempotent;
  spec.urgent = job.request.urgent;
  spec.payload = job.request.payload;
  return spec;
}

PlaceTask TaskTracker::MakePlaceTask(const Job& job, const Task& task,
                                     bool hold,
                                     base::Duration queue_timeout) const {
  PlaceTask place;
  place.task = MakeTaskSpec(job, task);
  place.owner_incarnation = task.owner_incarnation;
  place.owner_term = task.owner_term;
  place.share_position = SharePosition(job.id.team);
  place.patience = queue_timeout;
  place.hold = hold;
  return place;
}

bool TaskTracker::Place(Job* job, Task* task, const base::EntryId& owner,
                        bool hold, base::Duration queue_timeout,
                        base::TimePoint now) {
  const MemberRecord* record = context_.membership->FindMember(owner);
  if (record == nullptr) {
    return false;
  }
  task->attempt = NextAttempt(task->attempt);
  task->owner = owner;
  task->owner_incarnation = record->incarnation;
  task->owner_term = record->lease_term;
  task->backend = {};
  SetPhase(job, task, TaskPhase::kPlacing, now);
  chooser_.Charge(owner, job->request.demand);
  context_.outbox->SendToPeer(owner,
                              MakePlaceTask(*job, *task, hold, queue_timeout));
  return true;
}

void TaskTracker::RefreshHold(const Job& job, const Task& task) {
  context_.outbox->SendToPeer(
      task.owner, MakePlaceTask(job, task, true, base::Duration(0)));
}

void TaskTracker::Commit(Job* job, Task* task, base::TimePoint now) {
  SetPhase(job, task, TaskPhase::kRunning, now);
  RepeatCommit(*job, *task);
}

void TaskTracker::RepeatCommit(const Job& job, const Task& task) {
  context_.outbox->SendToPeer(task.owner,
                              CommitHold{IdOf(job, task), partition_, epoch_});
}

void TaskTracker::Remove(Job* job, Task* task, base::TimePoint now) {
  SetPhase(job, task, TaskPhase::kRemoving, now);
  context_.outbox->SendToPeer(
      task->owner, RemoveTask{IdOf(*job, *task), partition_, epoch_});
}

bool TaskTracker::IsOwnerCurrent(const Task& task) const {
  const MemberRecord* record = context_.membership->FindMember(task.owner);
  if (record == nullptr || !context_.membership->IsLive(task.owner) ||
      record->incarnation != task.owner_incarnation ||
      record->lease_term != task.owner_term) {
    return false;
  }
  const HostRecord* host =
      task.backend.empty() ? nullptr : context_.hosts->Find(task.backend);
  return host == nullptr ||
         context_.membership->OwnerOf(host->shard.value(),
                                      host->availability_zone) == task.owner;
}

std::optional<base::Resources> TaskTracker::LimitOf(
    const base::TeamId& team) const {
  const config::Team* found = context_.config->catalogue().FindTeam(team);
  return found == nullptr ? std::nullopt : found->limit;
}

double TaskTracker::SharePosition(const base::TeamId& team) const {
  const config::Team* found = context_.config->catalogue().FindTeam(team);
  const double weight = found == nullptr ? 1.0 : found->share;
  return base::DominantFraction(ledger_.committed(team),
                                context_.hosts->capacity()) /
         weight;
}

void TaskTracker::EndJob(Job* job, Outcome outcome, Reason reason,
                         std::string detail, base::TimePoint now) {
  if (job->ending) {
    return;
  }
  Answer answer;
  answer.id = job->id.request;
  answer.outcome = outcome;
  answer.reason = reason;
  answer.detail = std::move(detail);
  answer.tasks_total = static_cast<std::uint32_t>(job->tasks.size());
  for (const Task& task : job->tasks) {
    answer.tasks_done += task.succeeded ? 1 : 0;
  }
  if (job->tasks.size() == 1) {
    answer.backend = job->tasks.front().backend;
  }
  if (job->started_at) {
    answer.waited = *job->started_at - job->accepted_at;
  }
  job->ending = answer;
  job_ended_.emit(job, answer, now);
}

std::uint32_t TaskTracker::placing(const base::TeamId& team) const {
  const auto it = placing_.find(team);
  return it == placing_.end() ? 0 : it->second;
}

}  // namespace dotterelbarrow::core
