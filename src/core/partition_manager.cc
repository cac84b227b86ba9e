// Implements take-over, queries and cancellation, and passes all other work to
// the manager's components.
#include "dotterelbarrow/core/partition_manager.h"

#include <chrono>
#include <optional>
#include <utility>

#include "src/core/job_status.h"
#include "src/core/refusal.h"

namespace dotterelbarrow::core {
namespace {

constexpr base::Duration kRetryAfter = std::chrono::seconds(1);
constexpr base::Duration kStoreDownRetryAfter = std::chrono::seconds(5);

}  // namespace

PartitionManager::PartitionManager(const ManagerContext& context,
                                   base::PartitionId partition,
                                   std::uint64_t seed)
    : context_(context),
      partition_(partition),
      journal_(context.settings, context.outbox, context.counters, partition),
      log_(&journal_),
      tracker_(context, partition, &jobs_, seed),
      gangs_(&tracker_, &log_),
      scheduler_(&tracker_, &jobs_, &log_, &gangs_, partition),
      slices_(&tracker_, partition),
      acceptor_(context, partition, &tracker_, &jobs_, &log_),
      claims_(context.outbox, &jobs_, &log_) {
  acceptor_.accepted().connect(
      [this](Job* job, base::TimePoint now) { scheduler_.Accept(job, now); });
  tracker_.job_ended().connect(
      [this](Job* job, const Answer& answer, base::TimePoint now) {
        OnJobEnded(job, answer, now);
      });
}

void PartitionManager::Tick(base::TimePoint now) {
  journal_.Tick(now);
  if (is_lost()) {
    return;
  }
  if (journal_.state() == Journal::State::kReady && !active_) {
    Activate(now);
  }
  if (!active_) {
    return;
  }
  log_.Tick(now);
  if (journal_.is_store_unavailable()) {
    acceptor_.WithdrawPending(NotReady({}));
    claims_.WithdrawPending();
  } else {
    acceptor_.Reconcile(now);
  }
  scheduler_.Tick(now);
  gangs_.Tick(now);
  slices_.Tick(now);
  if (journal_.WantsSnapshot()) {
    journal_.BeginSnapshot(jobs_.Snapshot());
  }
}

void PartitionManager::Activate(base::TimePoint now) {
  active_ = true;
  jobs_.Restore(journal_.snapshot(), now);
  for (const std::string& text : journal_.replayed()) {
    const std::optional<JobRecord> record = DecodeRecord(text);
    if (record) {
      jobs_.Apply(*record, now);
    }
  }
  journal_.replayed().clear();
  journal_.snapshot().clear();
  tracker_.set_epoch(journal_.epoch());
  scheduler_.AdoptReplayed(now);
  context_.counters->Increment("partitions", "taken_over");
  OnConfigChanged(now);
}

bool PartitionManager::OnTableResult(const TableResult& result,
                                     base::TimePoint now) {
  return journal_.OnTableResult(result, now);
}

bool PartitionManager::OnTableRows(const TableRows& rows, base::TimePoint now) {
  return journal_.OnTableRows(rows, now);
}

bool PartitionManager::OnObjectResult(const ObjectResult& result,
                                      base::TimePoint now) {
  return journal_.OnObjectResult(result, now);
}

void PartitionManager::OnMembershipChanged(base::TimePoint now) {
  if (active_) {
    scheduler_.OnMembershipChanged(now);
  }
}

void PartitionManager::OnConfigChanged(base::TimePoint now) {
  if (!active_) {
    return;
  }
  scheduler_.EnforceLimits(now);
  slices_.EnforceLimits();
}

void PartitionManager::Reply(const base::EntryId& to, base::CallId call,
                             Answer answer) {
  context_.outbox->SendToPeer(to, JobReply{call, std::move(answer)});
}

Answer PartitionManager::NotReady(const base::RequestId& id) const {
  if (journal_.is_store_unavailable()) {
    return MakeRefusal(
        id, Reason::kStoreUnavailable,
        "the platform's table is unavailable; nothing was accepted",
        kStoreDownRetryAfter);
  }
  return MakeRefusal(id, Reason::kManagerUnavailable,
                     "the team's manager is taking over; nothing was accepted",
                     kRetryAfter);
}

void PartitionManager::OnSubmit(const base::EntryId& from,
                                const SubmitJob& submit,
                                base::TimePoint /*now*/) {
  std::optional<Answer> not_ready;
  if (!can_record()) {
    not_ready = NotReady(submit.request.id);
  }
  acceptor_.OnSubmit(from, submit, not_ready);
}

void PartitionManager::OnQuery(const base::EntryId& from, const QueryJob& query,
                               base::TimePoint /*now*/) {
  const base::RequestId& id = query.job.request;
  if (!active_) {
    Reply(from, query.call, NotReady(id));
    return;
  }
  if (const Job* job = jobs_.Find(query.job)) {
    Reply(from, query.call, StatusOf(*job));
    return;
  }
  Answer answer = MakeRefusal(id, Reason::kNotFound,
                              "the team has no known job with this id");
  // The job may have ended and been evicted.
  answer.outcome = Outcome::kUnknown;
  Reply(from, query.call, std::move(answer));
}

void PartitionManager::OnCancel(const base::EntryId& from,
                                const CancelJob& cancel, base::TimePoint now) {
  Job* job = active_ ? jobs_.Find(cancel.job) : nullptr;
  if (job == nullptr || job->answer) {
    OnQuery(from, {cancel.call, cancel.job}, now);
    return;
  }
  if (journal_.is_store_unavailable()) {
    Answer answer = NotReady(cancel.job.request);
    answer.outcome = Outcome::kUnknown;
    answer.detail =
        "the platform's table is unavailable; the job wasn't cancelled";
    Reply(from, cancel.call, std::move(answer));
    return;
  }
  pending_cancels_[cancel.job].push_back({from, cancel.call});
  tracker_.EndJob(job, Outcome::kCancelled, Reason::kCancelled,
                  "cancelled by its team", now);
}

void PartitionManager::OnJobEnded(Job* job, const Answer& answer,
                                  base::TimePoint now) {
  context_.counters->Increment("jobs", ToString(answer.outcome));
  if (answer.reason != Reason::kNone) {
    context_.counters->Increment("job_end_reasons", ToString(answer.reason));
  }
  const JobEnded ended{job->id, answer};
  log_.Append(ended, [this, ended](base::TimePoint then) {
    OnEndDurable(ended, then);
  });
  scheduler_.StopJob(job, now);
}

void PartitionManager::OnEndDurable(const JobEnded& ended,
                                    base::TimePoint now) {
  jobs_.Apply(ended, now);
  scheduler_.OnJobEndDurable(ended.job);
  const auto waiters = pending_cancels_.extract(ended.job);
  if (waiters.empty()) {
    return;
  }
  for (const Waiter& waiter : waiters.mapped()) {
    Reply(waiter.from, waiter.call, ended.answer);
  }
}

void PartitionManager::OnClaim(const base::EntryId& from, const ClaimKey& claim,
                               base::TimePoint /*now*/) {
  if (can_record()) {
    claims_.OnClaim(from, claim);
  } else {
    claims_.Refuse(from, claim, NotReady(claim.request));
  }
}

void PartitionManager::OnResolve(const base::EntryId& from,
                                 const ResolveKey& resolve,
                                 base::TimePoint now) {
  if (active_) {
    claims_.OnResolve(from, resolve, now);
  }
}

void PartitionManager::OnPlaceReply(const PlaceReply& reply,
                                    base::TimePoint now) {
  if (active_) {
    scheduler_.OnPlaceReply(reply, now);
  }
}

void PartitionManager::OnTaskUpdate(const base::EntryId& from,
                                    const TaskUpdate& update,
                                    base::TimePoint now) {
  if (active_) {
    scheduler_.OnTaskUpdate(from, update, now);
  }
}

void PartitionManager::OnInventory(const base::EntryId& from,
                                   const InventoryReply& reply,
                                   base::TimePoint now) {
  if (active_) {
    scheduler_.OnInventory(from, reply, now);
  }
}

void PartitionManager::OnSliceRequest(const base::EntryId& from,
                                      const SliceRequest& request,
                                      base::TimePoint /*now*/) {
  if (active_) {
    slices_.OnRequest(from, request, scheduler_.has_complete_inventory());
  }
}

}  // namespace dotterelbarrow::core
