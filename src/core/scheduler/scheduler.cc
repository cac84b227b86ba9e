// The life of jobs from their submission to their end.
#include "dotterelbarrow/core/scheduler/scheduler.h"

#include <algorithm>
#include <utility>

#include "dotterelbarrow/core/jobs/job_records.h"
#include "dotterelbarrow/core/workers/worker_record.h"

namespace dotterelbarrow::core::scheduler {
namespace {

// Size of the range of attempt numbers of each owner. Starting one task that
// often in one term would take days.
constexpr std::uint64_t kAttemptsPerTerm = 10'000;
// Scheduled occurrences begin this much later, because the wall clocks of the
// hosts differ a little and an occurrence must not begin early.
constexpr std::int64_t kDueMarginMs = 150;
// The most by which the wall clocks of two hosts differ: each may be wrong by
// five seconds in either direction.
constexpr std::int64_t kMaxWallClockDifferenceMs = 10'000;
constexpr base::Duration kLoadLogPeriod = std::chrono::seconds(1);
constexpr std::int64_t kMillicoresPerCore = 1000;

// Returns when the occurrence is due, by any host's wall clock.
std::int64_t DueMs(const jobs::JobSpec& spec, std::uint32_t occurrence) {
  return spec.start_at_ms + spec.interval_ms * occurrence;
}

}  // namespace

Scheduler::Scheduler(const SchedulerSettings& settings, Telemetry telemetry)
    : settings_(settings),
      telemetry_(telemetry),
      desired_(std::make_shared<desired::DesiredState>()),
      jobs_(settings.jobs),
      fleet_(settings.fleet, telemetry),
      worker_records_(&jobs_, &fleet_),
      dispatcher_(settings.dispatcher, telemetry, &jobs_, &fleet_, &runs_),
      evacuations_(telemetry.log),
      run_time_recorder_(telemetry, &dispatcher_.run_times(), &fleet_) {
  fleet_.run_ended.connect(sigc::mem_fun(*this, &Scheduler::OnRunEnded));
  fleet_.incarnation_began.connect(
      sigc::mem_fun(run_time_recorder_, &RunTimeRecorder::OnNewIncarnation));
  fleet_.untracked_run_ended.connect(
      sigc::mem_fun(*this, &Scheduler::OnUntrackedRunEnded));
  fleet_.untracked_run_listed.connect(
      sigc::mem_fun(*this, &Scheduler::OnUntrackedRunListed));
  fleet_.run_listed.connect([this](const workers::Run& run) {
    ConfirmStart(run.task, run.attempt);
    jobs::Job* job = jobs_.Find(run.task.step.job);
    // The start command was carried out by this incarnation, so that the one
    // before ended without this run.
    if (run.was_lost_in_crash && job != nullptr &&
        job->DisproveCrash(run.task, run.attempt)) {
      ReportEvidence("loss_disproved", "listed", *job, run.task);
      jobs_.EnqueueJob(job->key, now_);
    }
  });
  fleet_.start_refused.connect(
      sigc::mem_fun(*this, &Scheduler::OnStartRefused));
  fleet_.worker_unresponsive.connect(
      sigc::mem_fun(*this, &Scheduler::OnWorkerUnresponsive));
  fleet_.worker_lost.connect(sigc::mem_fun(*this, &Scheduler::OnWorkerLost));
  fleet_.suspect_survived.connect(
      sigc::mem_fun(*this, &Scheduler::OnSuspectSurvived));
  fleet_.inherited_worker_lost.connect(
      sigc::mem_fun(*this, &Scheduler::OnInheritedWorkerLost));
  fleet_.incarnation_seen.connect(
      sigc::mem_fun(*this, &Scheduler::OnIncarnationSeen));
  fleet_.worker_claimed.connect(
      sigc::mem_fun(*this, &Scheduler::OnWorkerClaimed));
  fleet_.worker_reported.connect(
      sigc::mem_fun(*this, &Scheduler::OnWorkerReported));
  fleet_.worker_reconciled.connect(
      sigc::mem_fun(*this, &Scheduler::OnWorkerReconciled));
  fleet_.run_ends_received.connect(
      sigc::mem_fun(jobs_, &JobRegistry::EnqueueRunEnds));
  dispatcher_.SetDesired(desired_);
}

void Scheduler::BeginTerm(FencingToken token, base::TimePoint now) {
  now_ = now;
  dispatcher_.set_first_attempt(
      jobs::Attempt((token.value() - 1) * kAttemptsPerTerm + 1));
}

void Scheduler::LogUnreadable(const std::string& record,
                              const base::Failure& reason) {
  telemetry_.counters->Increment("records_unreadable", ToString(reason.code));
  telemetry_.log->Write("record_unreadable", {{"record", record},
                                              {"reason", ToString(reason.code)},
                                              {"detail", reason.detail}});
}

void Scheduler::RestorePage(RecordTable table, const std::string& key,
                            const std::string& text, base::TimePoint now) {
  base::Failure reason;
  if (!jobs_.RestorePage(table, key, text, now, &reason)) {
    LogUnreadable(key, reason);
  }
}

void Scheduler::RestoreJobs(base::TimePoint now, std::int64_t store_now_ms) {
  jobs_.RestoreJobs(now, [this](jobs::JobKey key, const base::Failure& reason) {
    LogUnreadable(jobs::ToString(key), reason);
  });
  for (const auto& [key, unused] : jobs_.jobs()) {
    jobs::Job* job = jobs_.Find(key);
    const jobs::StoreTime store_now{std::chrono::milliseconds(store_now_ms)};
    job->accepted_at =
        now - std::max(base::Duration(0), store_now - job->accepted_on_store);
    if (job->spec.is_scheduled()) {
      scheduled_jobs_.insert(key);
    }
    dispatcher_.MarkInherited(key);
    now_ = now;
    AwaitNewsOfLosses(*job);
    has_inherited_copies_ |= std::any_of(
        job->spec.steps.begin(), job->spec.steps.end(),
        [](const jobs::StepSpec& step) { return step.may_have_copies(); });
    dispatcher_.RememberQueue(job->rules);
    EnqueueReadySteps(*job);
  }
}

void Scheduler::AddInheritedWorker(const base::BackendId& worker,
                                   const std::string& record,
                                   std::int64_t store_now_ms,
                                   base::TimePoint now) {
  base::Failure reason;
  const auto decoded = workers::DecodeWorkerRecord(worker, record, &reason);
  if (!decoded) {
    LogUnreadable(worker.value(), reason);
    return;
  }
  // A record without a rack is older than the division into shards, before
  // which nothing ran any more.
  if (is_own_worker_ &&
      (!decoded->names_rack || !is_own_worker_(decoded->listing))) {
    worker_records_.Discard(*decoded);
    return;
  }
  worker_records_.Inherit(*decoded, store_now_ms, now);
}

bool Scheduler::IsUsed(const workers::Listing& listing) const {
  return desired_->FindService(listing.service) != nullptr &&
         (!is_own_worker_ || is_own_worker_(listing));
}

void Scheduler::RestoreRunTimes(const std::string& key, const std::string& text,
                                base::TimePoint now) {
  base::Failure reason;
  if (!run_time_recorder_.Restore(text, now, &reason)) {
    LogUnreadable(key, reason);
  }
}

void Scheduler::SetDesired(
    std::shared_ptr<const desired::DesiredState> desired) {
  desired_ = desired;
  dispatcher_.SetDesired(std::move(desired));
}

void Scheduler::SetAdviceClients(const std::vector<base::EntryId>& entries,
                                 std::size_t entry_host_count) {
  entry_host_count_ = entry_host_count;
  dispatcher_.set_advice_clients(entries);
}

void Scheduler::RemoveUnused(std::vector<workers::Listing>* listings,
                             std::vector<base::BackendId>* unusable) const {
  std::erase_if(*listings, [&](const workers::Listing& listing) {
    const bool is_unused = !IsUsed(listing);
    if (is_unused) {
      unusable->push_back(listing.id);
    }
    return is_unused;
  });
}

void Scheduler::UpdateListings(std::vector<workers::Listing> listings,
                               base::TimePoint asked_at, base::TimePoint now,
                               std::vector<base::BackendId> unreadable) {
  now_ = now;
  RemoveUnused(&listings, &unreadable);
  fleet_.UpdateListings(listings, asked_at, now, unreadable);
  worker_records_.Update(listings);
  run_time_recorder_.OnListed(now);
}

void Scheduler::ApplyListingChanges(ListingChanges changes,
                                    base::TimePoint asked_at,
                                    base::TimePoint now) {
  now_ = now;
  RemoveUnused(&changes.listed, &changes.unusable);
  fleet_.ApplyListingChanges(changes, asked_at, now);
  worker_records_.Update(changes.listed);
  run_time_recorder_.OnListed(now);
}

SubmitResult Scheduler::Submit(Submission submission, WaiterId waiter,
                               std::int64_t store_now_ms, base::TimePoint now) {
  now_ = now;
  if (jobs_.IsKnown(submission.key)) {
    return {jobs_.AwaitAccepted(submission.key, waiter)
                ? SubmitOutcome::kAccepted
                : SubmitOutcome::kStoring};
  }
  const AdmissionDecision decision =
      DecideAdmission(submission, &submission_rates_, now);
  if (decision.refusal) {
    telemetry_.counters->Increment("jobs_refused",
                                   decision.refusal->reason.c_str());
    return *decision.refusal;
  }
  if (decision.is_over_share) {
    dispatcher_.MarkOverShare(submission.key);
  }
  const desired::Queue* queue = dispatcher_.FindQueue(submission.queue);
  jobs::Job job;
  job.key = submission.key;
  job.queue = submission.queue;
  job.organisation = submission.organisation;
  job.rules = *queue;
  job.spec = std::move(submission.spec);
  job.accepted_on_store =
      jobs::StoreTime(std::chrono::milliseconds(store_now_ms));
  dispatcher_.suspects().UpdateNewestIncarnation();
  job.newest_born_ms = dispatcher_.suspects().newest_born_ms();
  job.accepted_at = now;
  std::string acceptance = jobs::AcceptanceRecord(job);
  if (acceptance.size() > kMaxAcceptanceBytes) {
    return {SubmitOutcome::kRefused, "job_too_large", base::Duration(0)};
  }
  if (job.spec.is_scheduled()) {
    scheduled_jobs_.insert(job.key);
  } else {
    job.BeginOccurrence();
    dispatcher_.RecordArrival(&job, *queue, now);
  }
  EnqueueReadySteps(job);
  telemetry_.log->Write(
      "job_taken",
      {{"job", jobs::ToString(job.key)},
       {"queue", job.queue.value()},
       {"organisation", job.organisation.value()},
       {"steps", static_cast<std::int64_t>(job.spec.steps.size())},
       {"config", static_cast<std::int64_t>(desired_->version().value())}});
  jobs_.Accept(std::move(job), std::move(acceptance), waiter);
  return {SubmitOutcome::kStoring};
}

std::vector<WaiterId> Scheduler::RemoveUnwritten() {
  std::vector<jobs::JobKey> keys;
  std::vector<WaiterId> waiters = jobs_.RemoveUnwritten(&keys);
  for (const jobs::JobKey key : keys) {
    scheduled_jobs_.erase(key);
    dispatcher_.RemoveJob(key);
    telemetry_.log->Write("job_withdrawn", {{"job", jobs::ToString(key)}});
  }
  return waiters;
}

CancelResult Scheduler::Cancel(jobs::JobKey key, WaiterId waiter,
                               base::TimePoint now) {
  now_ = now;
  if (!jobs_.IsKnown(key)) {
    if (!jobs_.BarredFor(key, now)) {
      if (!jobs_.Bar(key, now)) {
        telemetry_.counters->Increment("cancels_refused", "too_many_barred");
        return CancelResult::kRefused;
      }
      telemetry_.log->Write("job_barred", {{"job", jobs::ToString(key)}});
    }
    return jobs_.AwaitStored(key, waiter) ? CancelResult::kBarred
                                          : CancelResult::kUnknown;
  }
  if (jobs::Job* job = jobs_.Find(key)) {
    telemetry_.log->Write(
        "job_cancelled",
        {{"job", jobs::ToString(key)}, {"state", jobs::ToString(job->state)}});
    job->state = jobs::JobState::kCancelled;
    EndJob(*job);
  }
  return jobs_.AwaitStored(key, waiter) ? CancelResult::kCancelled
                                        : CancelResult::kStoring;
}

void Scheduler::EndJob(const jobs::Job& ending) {
  const jobs::Job job = ending;
  telemetry_.log->Write(
      "job_ended",
      {{"job", jobs::ToString(job.key)},
       {"state", jobs::ToString(job.state)},
       {"after_ms", (now_ - job.accepted_at) / std::chrono::milliseconds(1)}});
  telemetry_.counters->Increment("jobs_ended", jobs::ToString(job.state));
  telemetry_.Observe("job_completion", now_ - job.accepted_at);
  scheduled_jobs_.erase(job.key);
  jobs_.EnqueueJob(job.key, now_);
  if (job.state != jobs::JobState::kCompleted) {
    StopRunsOfJob(job);
  }
  for (const auto& [number, occurrence] : job.occurrences) {
    for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i) {
      dispatcher_.Remove({job.key, number, i});
    }
  }
  dispatcher_.RemoveJob(job.key);
}

std::map<desired::QueueId, std::uint64_t> Scheduler::PendingJobs() const {
  std::map<desired::QueueId, std::uint64_t> pending;
  for (const auto& [key, job] : jobs_.jobs()) {
    if (!job.has_started && jobs_.IsStored(key)) {
      ++pending[job.queue];
    }
  }
  return pending;
}

void Scheduler::EnqueueReadySteps(const jobs::Job& job) {
  for (const auto& [number, occurrence] : job.occurrences) {
    for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i) {
      const jobs::StepRef ref{job.key, number, i};
      if (!occurrence.steps[i].is_done() && job.IsUnblocked(occurrence, i)) {
        dispatcher_.Enqueue(ref);
      }
    }
  }
}

void Scheduler::BeginDueOccurrences(jobs::Job* job, std::int64_t unix_now_ms) {
  bool has_begun = false;
  while (job->MayBeginOccurrence() &&
         DueMs(job->spec, job->occurrences_begun) <=
             unix_now_ms - kDueMarginMs) {
    job->BeginOccurrence();
    has_begun = true;
  }
  if (has_begun) {
    jobs_.EnqueueJob(job->key, now_);
    EnqueueReadySteps(*job);
  }
}

void Scheduler::BeginListedOccurrence(const jobs::TaskRef& task) {
  jobs::Job* job = jobs_.Find(task.step.job);
  const std::uint32_t occurrence = task.step.occurrence;
  if (job == nullptr || occurrence < job->occurrences_begun ||
      occurrence >= job->spec.occurrences() ||
      DueMs(job->spec, occurrence) > unix_now_ms_ + kMaxWallClockDifferenceMs) {
    return;
  }
  telemetry_.log->Write(
      "occurrence_inherited",
      {{"task", jobs::ToString(task)},
       {"begun", static_cast<std::int64_t>(job->occurrences_begun)},
       {"due_in_ms", DueMs(job->spec, occurrence) - unix_now_ms_}});
  telemetry_.counters->Increment("occurrences", "inherited");
  // The previous owner kept to the limit of unfinished tasks, but may have
  // finished occurrences that are still unfinished here. So the limit doesn't
  // apply.
  while (job->occurrences_begun <= occurrence) {
    job->BeginOccurrence();
  }
  jobs_.EnqueueJob(job->key, now_);
  EnqueueReadySteps(*job);
}

void Scheduler::Tick(base::TimePoint now, base::TimePoint confirmed_at,
                     std::int64_t unix_now_ms) {
  now_ = now;
  unix_now_ms_ = unix_now_ms;
  dispatcher_.set_confirmed_at(confirmed_at);
  fleet_.Tick(now, confirmed_at, &actions_);
  run_time_recorder_.Tick(now);
  ReleaseEnds();
  StopIncompleteGangs(now);
  for (const jobs::JobKey key : scheduled_jobs_) {
    if (jobs_.IsStored(key)) {
      BeginDueOccurrences(jobs_.Find(key), unix_now_ms);
    }
  }
  jobs_.Expire(now);
  evacuations_.Update(fleet_, now);
  if (now - load_logged_at_ >= kLoadLogPeriod) {
    load_logged_at_ = now;
    LogLoad();
    WithdrawSurvivedAnnouncements();
    ForgetObsoleteLosses();
  }
}

void Scheduler::RunPass(base::TimePoint now) {
  now_ = now;
  dispatcher_.suspects().UpdateNewestIncarnation();
  StopInheritedIncompleteGangs();
  dispatcher_.RunPass(now, &actions_);
  for (const jobs::TaskRef& task : dispatcher_.suspects().TakeGuiltyTasks()) {
    GiveUpForMissingStart(task);
  }
  for (const PendingLosses::Loss& loss : dispatcher_.suspects().TakeLosses()) {
    pending_losses_.Add(loss.task, loss.worker, now);
    if (jobs::Job* job = jobs_.Find(loss.task.step.job)) {
      ReportEvidence("loss_pending", "missing", *job, loss.task);
    }
  }
}

void Scheduler::LogLoad() {
  base::Resources reserved;
  base::Resources capacity;
  std::int64_t without_new_work = 0;
  for (const auto& [id, worker] : fleet_.workers()) {
    reserved += worker.reserved();
    capacity += worker.listing().capacity;
    without_new_work += worker.CanAcceptWork(now_) ? 0 : 1;
  }
  telemetry_.log->Write(
      "load", {{"live_jobs", static_cast<std::int64_t>(jobs_.jobs().size())},
               {"waiting_steps",
                static_cast<std::int64_t>(dispatcher_.waiting_steps())},
               {"cores", reserved.cpu.value() / kMillicoresPerCore},
               {"cores_in_all", capacity.cpu.value() / kMillicoresPerCore},
               {"memory", reserved.memory.value()},
               {"memory_in_all", capacity.memory.value()},
               {"workers_without_new_work", without_new_work},
               {"workers_kept",
                static_cast<std::int64_t>(dispatcher_.held_workers())}});
}

RecordBatch Scheduler::TakeBatch(base::TimePoint now) {
  RecordBatch batch = jobs_.TakeBatch(now);
  if (batch.changes.size() < settings_.jobs.max_changes) {
    if (std::optional<RecordChange> summary =
            run_time_recorder_.TakeSummary(now)) {
      batch.changes.push_back(std::move(*summary));
    }
  }
  return batch;
}

LateWaiters Scheduler::OnStored(const RecordBatch& batch, base::TimePoint now) {
  now_ = now;
  LateWaiters late = jobs_.OnStored(batch);
  worker_records_.OnStored(batch, now);
  for (const auto& [incarnation, number] : batch.run_ends) {
    const auto& [worker, born_ms] = incarnation;
    fleet_.OnEndsStored(worker, born_ms,
                        held_ends_.OnStored(worker, born_ms, number), now);
  }
  return late;
}

}  // namespace dotterelbarrow::core::scheduler
