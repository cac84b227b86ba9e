// Holds jobs, and collects their changes into batches.
#include "dotterelbarrow/core/scheduler/job_registry.h"

#include <algorithm>
#include <utility>

#include "dotterelbarrow/base/overloaded.h"
#include "dotterelbarrow/core/jobs/job_records.h"

namespace dotterelbarrow::core::scheduler {
namespace {

// Moves those who wait for the job to the end of `target`.
void MoveWaiters(
    jobs::JobKey key,
    std::unordered_map<jobs::JobKey, std::vector<WaiterId>>* source,
    std::vector<WaiterId>* target) {
  if (const auto it = source->find(key); it != source->end()) {
    target->insert(target->end(), it->second.begin(), it->second.end());
    source->erase(it);
  }
}

// What a live job takes beside its specification and its tasks.
constexpr std::size_t kJobBytes = 1024;
// A repeated job has at most this many unfinished tasks in all its occurrences
// but one.
constexpr std::uint64_t kMaxFurtherTasks = 4000;

}  // namespace

std::size_t JobRegistry::ApproximateBytes(const jobs::JobSpec& spec) {
  std::uint64_t tasks = 0;
  for (const jobs::StepSpec& step : spec.steps) {
    tasks += step.tasks;
  }
  tasks += std::min<std::uint64_t>(kMaxFurtherTasks,
                                   tasks * (spec.occurrences() - 1));
  return kJobBytes + spec.ApproximateBytes() + tasks * sizeof(jobs::Task);
}

std::size_t JobRegistry::BytesOf(
    const base::OrganisationId& organisation) const {
  const auto it = organisation_bytes_.find(organisation);
  return it == organisation_bytes_.end() ? 0 : it->second;
}

void JobRegistry::Insert(jobs::JobKey key, jobs::Job job) {
  const std::size_t bytes = ApproximateBytes(job.spec);
  bytes_ += bytes;
  organisation_bytes_[job.organisation] += bytes;
  jobs_.emplace(key, std::move(job));
}

void JobRegistry::Remove(jobs::JobKey key) {
  const auto it = jobs_.find(key);
  const std::size_t bytes = ApproximateBytes(it->second.spec);
  bytes_ -= bytes;
  const auto organisation = organisation_bytes_.find(it->second.organisation);
  organisation->second -= bytes;
  if (organisation->second == 0) {
    organisation_bytes_.erase(organisation);
  }
  jobs_.erase(it);
}

void JobRegistry::Accept(jobs::Job job, std::string acceptance,
                         WaiterId waiter) {
  const jobs::JobKey key = job.key;
  unstored_acceptances_.emplace(key, std::move(acceptance));
  accept_waiters_[key].push_back(waiter);
  Insert(key, std::move(job));
  changed_jobs_.insert(key);
  pending_changes_.emplace_back(key);
}

bool JobRegistry::AwaitAccepted(jobs::JobKey key, WaiterId waiter) {
  if (!unstored_acceptances_.contains(key)) {
    return true;
  }
  accept_waiters_[key].push_back(waiter);
  return false;
}

bool JobRegistry::AwaitStored(jobs::JobKey key, WaiterId waiter) {
  if (IsUpToDate(key)) {
    return true;
  }
  change_waiters_[key].push_back(waiter);
  return false;
}

bool JobRegistry::Bar(jobs::JobKey key, base::TimePoint now) {
  if (barred_keys_.size() >= settings_.max_barred_keys) {
    return false;
  }
  if (barred_keys_.emplace(key, now).second) {
    barred_order_.push_back(key);
    changed_jobs_.insert(key);
    pending_changes_.emplace_back(key);
  }
  return true;
}

std::optional<base::Duration> JobRegistry::BarredFor(
    jobs::JobKey key, base::TimePoint now) const {
  const auto it = barred_keys_.find(key);
  return it == barred_keys_.end()
             ? std::nullopt
             : std::optional(std::max(base::Duration(0),
                                      it->second + settings_.retention - now));
}

jobs::Job* JobRegistry::Find(jobs::JobKey key) {
  const auto it = jobs_.find(key);
  return it == jobs_.end() ? nullptr : &it->second;
}

std::optional<jobs::JobState> JobRegistry::StoredState(jobs::JobKey key) const {
  if (const auto it = ended_jobs_.find(key); it != ended_jobs_.end()) {
    return it->second.stored ? it->second.state : jobs::JobState::kInProgress;
  }
  const auto it = jobs_.find(key);
  if (it == jobs_.end() || unstored_acceptances_.contains(key)) {
    return std::nullopt;
  }
  // Whether a task has started needs no stored record, because started runs
  // survive a change of owner.
  return it->second.ShownState();
}

void JobRegistry::EnqueueJob(jobs::JobKey key, base::TimePoint now) {
  const auto it = jobs_.find(key);
  if (it == jobs_.end()) {
    return;
  }
  if (jobs::IsFinal(it->second.state)) {
    ended_jobs_[key] = {it->second.state, false, now};
    ended_order_.push_back(key);
    Remove(key);
  }
  if (changed_jobs_.insert(key).second) {
    pending_changes_.emplace_back(key);
  }
}

void JobRegistry::EnqueueRunEnds(const base::BackendId& worker,
                                 std::int64_t born_ms, std::uint64_t number) {
  pending_changes_.emplace_back(ReportedEnds{worker, born_ms, number});
}

void JobRegistry::EnqueueWorkerRecord(const base::BackendId& worker,
                                      std::optional<std::string> record) {
  pending_changes_.emplace_back(WorkerRecord{worker, std::move(record)});
}

bool JobRegistry::WithdrawWorkerRecord(const base::BackendId& worker) {
  for (auto it = pending_changes_.rbegin(); it != pending_changes_.rend();
       ++it) {
    const auto* record = std::get_if<WorkerRecord>(&*it);
    if (record != nullptr && record->worker == worker) {
      pending_changes_.erase(std::next(it).base());
      return true;
    }
  }
  return false;
}

void JobRegistry::AddToBatch(const WorkerRecord& record, RecordBatch* batch) {
  batch->recorded_workers.push_back(record.worker);
  const auto existing =
      std::find_if(batch->changes.begin(), batch->changes.end(),
                   [&record](const RecordChange& change) {
                     return change.table == RecordTable::kWorkers &&
                            change.key == record.worker.value();
                   });
  // A transaction may contain a row only once; the later record replaces the
  // earlier one.
  if (existing != batch->changes.end()) {
    existing->value = record.record;
  } else {
    batch->changes.push_back(
        {RecordTable::kWorkers, record.worker.value(), record.record});
  }
}

std::string JobRegistry::ProgressRecordOf(const jobs::Job& job) const {
  std::string record = jobs::ProgressRecord(job);
  // Suspicions are lost before run ends are.
  return record.size() <= settings_.max_bytes
             ? record
             : jobs::ProgressRecord(job, jobs::ProgressDetail::kNoCrashes);
}

bool JobRegistry::AddToBatch(jobs::JobKey key, base::TimePoint now,
                             RecordBatch* batch) {
  const auto job = jobs_.find(key);
  const auto unstored = unstored_acceptances_.find(key);
  const bool is_new = unstored != unstored_acceptances_.end();
  std::string progress;
  if (job != jobs_.end() && !is_new) {
    progress = ProgressRecordOf(job->second);
  }
  const std::size_t size = is_new ? unstored->second.size() : progress.size();
  if (pages_.pending_bytes() > 0 &&
      pages_.pending_bytes() + size > settings_.max_bytes) {
    return false;
  }
  changed_jobs_.erase(key);
  if (barred_keys_.contains(key)) {
    pages_.PutBarred(key, now);
  } else if (job == jobs_.end()) {
    const auto ended = ended_jobs_.find(key);
    if (ended == ended_jobs_.end()) {
      return true;  // Its state expired in the meantime.
    }
    pages_.PutFinalState(key, ended->second.state, now);
    batch->ended_jobs.push_back(key);
  } else if (is_new) {
    pages_.PutRecord(key, JobPages::RecordKind::kAcceptance,
                     std::exchange(unstored->second, {}), now);
  } else {
    pages_.PutRecord(key, JobPages::RecordKind::kProgress, progress, now);
  }
  jobs_in_batch_.insert(key);
  if (is_new) {
    batch->accepted_jobs.push_back(key);
  }
  MoveWaiters(key, &accept_waiters_, &batch->accept_waiters);
  MoveWaiters(key, &change_waiters_, &batch->change_waiters);
  return true;
}

std::vector<WaiterId> JobRegistry::RemoveUnwritten(
    std::vector<jobs::JobKey>* keys) {
  std::vector<WaiterId> waiters;
  for (const auto& [key, acceptance] : unstored_acceptances_) {
    if (!jobs_in_batch_.contains(key) && jobs_.contains(key)) {
      keys->push_back(key);
    }
  }
  for (const jobs::JobKey key : *keys) {
    MoveWaiters(key, &accept_waiters_, &waiters);
    unstored_acceptances_.erase(key);
    changed_jobs_.erase(key);
    Remove(key);
  }
  std::erase_if(pending_changes_, [keys](const PendingChange& change) {
    const auto* key = std::get_if<jobs::JobKey>(&change);
    return key != nullptr &&
           std::find(keys->begin(), keys->end(), *key) != keys->end();
  });
  return waiters;
}

RecordBatch JobRegistry::TakeBatch(base::TimePoint now) {
  RecordBatch batch;
  bool is_full = false;
  while (!pending_changes_.empty() && !is_full &&
         batch.changes.size() < settings_.max_worker_changes &&
         pages_.pending_bytes() < settings_.max_bytes) {
    std::visit(
        base::Overloaded{
            [&](jobs::JobKey key) { is_full = !AddToBatch(key, now, &batch); },
            [&](const ReportedEnds& ends) {
              batch.run_ends[{ends.worker, ends.born_ms}] = ends.number;
            },
            [&](const WorkerRecord& record) { AddToBatch(record, &batch); }},
        pending_changes_.front());
    if (!is_full) {
      pending_changes_.pop_front();
    }
  }
  const auto reread =
      [this](jobs::JobKey key,
             JobPages::RecordKind kind) -> std::optional<std::string> {
    const auto job = jobs_.find(key);
    if (job == jobs_.end()) {
      return std::nullopt;
    }
    return kind == JobPages::RecordKind::kAcceptance
               ? jobs::AcceptanceRecord(job->second)
               : ProgressRecordOf(job->second);
  };
  for (RecordChange& change :
       pages_.TakeBatch(settings_.max_changes - batch.changes.size(),
                        settings_.max_bytes, reread, now)) {
    batch.changes.push_back(std::move(change));
  }
  has_due_pages_ = false;
  return batch;
}

LateWaiters JobRegistry::OnStored(const RecordBatch& batch) {
  LateWaiters late;
  for (const jobs::JobKey key : jobs_in_batch_) {
    if (!changed_jobs_.contains(key)) {
      MoveWaiters(key, &change_waiters_, &late.change_waiters);
    }
  }
  jobs_in_batch_.clear();
  for (const jobs::JobKey key : batch.accepted_jobs) {
    unstored_acceptances_.erase(key);
    MoveWaiters(key, &accept_waiters_, &late.accept_waiters);
  }
  for (const jobs::JobKey key : batch.ended_jobs) {
    // The final state of a job that ended before its acceptance was written.
    unstored_acceptances_.erase(key);
    MoveWaiters(key, &accept_waiters_, &late.accept_waiters);
    if (const auto it = ended_jobs_.find(key);
        it != ended_jobs_.end() && !changed_jobs_.contains(key)) {
      it->second.stored = true;
    }
  }
  return late;
}

bool JobRegistry::RestoreJob(jobs::JobKey key,
                             const JobPages::StoredJob& stored,
                             base::TimePoint now, base::Failure* reason) {
  if (stored.final_state) {
    ended_jobs_[key] = {*stored.final_state, true, now};
    ended_order_.push_back(key);
    return true;
  }
  if (stored.is_barred && !stored.acceptance) {
    barred_keys_.emplace(key, now);
    barred_order_.push_back(key);
    return true;
  }
  if (!stored.acceptance) {
    *reason = {base::FailureCode::kMissingField,
               "progress record without an acceptance record"};
    return false;
  }
  auto job = jobs::ReadAcceptance(key, *stored.acceptance, reason);
  if (!job || (stored.progress &&
               !jobs::ReadProgress(*stored.progress, &*job, reason))) {
    return false;
  }
  Insert(key, std::move(*job));
  return true;
}

void JobRegistry::RestoreJobs(
    base::TimePoint now,
    const std::function<void(jobs::JobKey, const base::Failure&)>& unreadable) {
  for (const auto& [key, stored] : pages_.TakeRestored(now)) {
    base::Failure reason;
    if (!RestoreJob(key, stored, now, &reason)) {
      unreadable(key, reason);
    }
  }
}

void JobRegistry::Expire(base::TimePoint now) {
  has_due_pages_ = pages_.Maintain(now, settings_.retention);
  while (!barred_order_.empty() &&
         BarredFor(barred_order_.front(), now) == base::Duration(0) &&
         IsUpToDate(barred_order_.front())) {
    barred_keys_.erase(barred_order_.front());
    barred_order_.pop_front();
  }
  while (!ended_order_.empty()) {
    const jobs::JobKey key = ended_order_.front();
    const auto it = ended_jobs_.find(key);
    if (it != ended_jobs_.end()) {
      if (now - it->second.ended_at < settings_.retention ||
          !it->second.stored) {
        return;
      }
      ended_jobs_.erase(it);
    }
    ended_order_.pop_front();
  }
}

}  // namespace dotterelbarrow::core::scheduler
