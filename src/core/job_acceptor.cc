// Looks up, refuses or records submitted jobs.
#include "dotterelbarrow/core/job_acceptor.h"

#include <chrono>
#include <cstdint>
#include <utility>

#include "dotterelbarrow/core/partitions.h"
#include "src/core/job_status.h"
#include "src/core/refusal.h"

namespace dotterelbarrow::core {
namespace {

constexpr base::Duration kQueueFullRetryAfter = std::chrono::seconds(5);
constexpr std::size_t kMaxRefusedCalls = 10000;

WorkKind KindOf(config::JobKind kind) {
  switch (kind) {
    case config::JobKind::kBatch:
      return WorkKind::kBatch;
    case config::JobKind::kAllAtOnce:
      return WorkKind::kAllAtOnce;
    case config::JobKind::kService:
      return WorkKind::kService;
  }
  return WorkKind::kBatch;
}

WorkRequest RequestOf(const base::JobId& id, const config::JobSpec& spec) {
  WorkRequest request;
  request.id = id.request;
  request.team = id.team;
  request.service = spec.service;
  request.kind = KindOf(spec.kind);
  request.task_count = spec.task_count;
  request.demand = spec.demand;
  request.expected_run = spec.expected_run;
  request.deadline = spec.deadline;
  request.idempotent = spec.idempotent;
  request.urgent = spec.urgent;
  request.payload = spec.payload;
  return request;
}

// Whether two requests with the same id describe the same work, whatever their
// idempotency keys.
bool IsSameWork(WorkRequest a, WorkRequest b) {
  a.key = {};
  b.key = {};
  return a == b;
}

Answer DuplicateId(const base::RequestId& id) {
  return MakeRefusal(id, Reason::kDuplicateId,
                     "the id names another job of this team; submit the job "
                     "under an id of its own");
}

}  // namespace

void JobAcceptor::Reply(const Waiter& to, Answer answer) {
  context_.outbox->SendToPeer(to.from, JobReply{to.call, std::move(answer)});
}

void JobAcceptor::RefuseCall(const Waiter& waiter, Answer answer) {
  context_.counters->Increment("refusals", ToString(answer.reason));
  if (refused_.insert(waiter).second) {
    refused_by_age_.push_back(waiter);
  }
  if (refused_by_age_.size() > kMaxRefusedCalls) {
    refused_.erase(refused_by_age_.front());
    refused_by_age_.pop_front();
  }
  Reply(waiter, std::move(answer));
}

void JobAcceptor::OnSubmit(const base::EntryId& from, const SubmitJob& submit,
                           const std::optional<Answer>& not_ready) {
  const Waiter waiter{from, submit.call};
  const WorkRequest& request = submit.request;
  if (refused_.contains(waiter) || AnswerKnown(waiter, request)) {
    return;
  }
  const std::optional<Answer> refusal =
      not_ready ? not_ready : RefusalOf(request);
  if (refusal) {
    RefuseCall(waiter, *refusal);
    return;
  }
  Record(request, {waiter});
}

bool JobAcceptor::AnswerKnown(const Waiter& waiter,
                              const WorkRequest& request) {
  const base::JobId id{request.team, request.id};
  if (const Job* known = jobs_->Find(id)) {
    const bool same = IsSameWork(known->request, request);
    Reply(waiter, same ? StatusOf(*known) : DuplicateId(request.id));
    return true;
  }
  const auto pending = pending_.find(id);
  if (pending == pending_.end()) {
    return false;
  }
  if (IsSameWork(pending->second.request, request)) {
    pending->second.waiters.push_back(waiter);
  } else {
    Reply(waiter, DuplicateId(request.id));
  }
  return true;
}

std::optional<Answer> JobAcceptor::RefusalOf(const WorkRequest& request) const {
  const auto pending = pending_by_team_.find(request.team);
  const std::size_t waiting =
      pending == pending_by_team_.end() ? 0 : pending->second;
  if (jobs_->active(request.team) + waiting >=
      context_.settings->jobs_per_team) {
    return MakeRefusal(request.id, Reason::kQueueFull,
                       "the team has too many jobs in progress; submit the job "
                       "again when some have ended",
                       kQueueFullRetryAfter);
  }
  return SizeRefusalOf(request);
}

std::optional<Answer> JobAcceptor::SizeRefusalOf(
    const WorkRequest& request) const {
  const bool all_at_once = request.kind == WorkKind::kAllAtOnce;
  const std::uint64_t needed = TasksAtOnce(request);
  if (context_.hosts->is_known() &&
      context_.hosts->TasksHeld(request.demand, needed) < needed) {
    return MakeRefusal(
        request.id, Reason::kNeverFits,
        all_at_once
            ? "the workers could not hold all of its tasks at once even "
              "if they were empty"
            : "no worker could hold a task of this size");
  }
  if (IsBeyondLimit(request)) {
    return MakeRefusal(
        request.id, Reason::kOverLimit,
        "the job needs more at once than the team's upper limit");
  }
  return std::nullopt;
}

bool JobAcceptor::IsBeyondLimit(const WorkRequest& request) const {
  const auto limit = tracker_->LimitOf(request.team);
  return limit && !NeededAtOnce(request).FitsIn(*limit);
}

void JobAcceptor::Record(const WorkRequest& request,
                         std::vector<Waiter> waiters) {
  const base::JobId id{request.team, request.id};
  const bool from_ticket = waiters.empty();
  const JournalPosition position =
      log_->Append(JobAccepted{request, from_ticket},
                   [this, id](base::TimePoint now) { OnDurable(id, now); });
  pending_.emplace(id, PendingJob{position, request, std::move(waiters)});
  ++pending_by_team_[id.team];
}

void JobAcceptor::OnDurable(const base::JobId& id, base::TimePoint now) {
  const auto node = pending_.extract(id);
  const PendingJob& pending = node.mapped();
  --pending_by_team_[id.team];
  jobs_->Apply(JobAccepted{pending.request, pending.waiters.empty()}, now);
  Job* job = jobs_->Find(id);
  context_.counters->Increment("jobs", "accepted");
  accepted_.emit(job, now);
  for (const Waiter& waiter : pending.waiters) {
    Reply(waiter, StatusOf(*job));
  }
}

void JobAcceptor::WithdrawPending(const Answer& reason) {
  std::erase_if(pending_, [&](const auto& each) {
    const PendingJob& pending = each.second;
    if (pending.waiters.empty() || !log_->Withdraw(pending.position)) {
      return false;
    }
    --pending_by_team_[each.first.team];
    Answer answer = reason;
    answer.id = pending.request.id;
    for (const Waiter& waiter : pending.waiters) {
      RefuseCall(waiter, answer);
    }
    return true;
  });
}

void JobAcceptor::Reconcile(base::TimePoint now) {
  const config::Catalogue& catalogue = context_.config->catalogue();
  if (reconciled_version_ == catalogue.version()) {
    return;
  }
  reconciled_version_ = catalogue.version();
  for (const auto& [id, spec] : catalogue.jobs()) {
    const bool is_managed_here =
        PartitionOf(id.team, context_.settings->partition_count) == partition_;
    if (is_managed_here && jobs_->Find(id) == nullptr &&
        !pending_.contains(id)) {
      AcceptTicketJob(id, spec);
    }
  }
  EndWithdrawnTicketJobs(now);
  EndJobsBeyondLimits(now);
}

void JobAcceptor::AcceptTicketJob(const base::JobId& id,
                                  const config::JobSpec& spec) {
  const WorkRequest request = RequestOf(id, spec);
  if (const std::optional<Answer> refusal = SizeRefusalOf(request)) {
    context_.counters->Increment("refusals", ToString(refusal->reason));
    return;
  }
  Record(request, {});
}

void JobAcceptor::EndWithdrawnTicketJobs(base::TimePoint now) {
  const config::Catalogue& catalogue = context_.config->catalogue();
  std::vector<base::JobId> withdrawn;
  for (const auto& [id, job] : jobs_->jobs()) {
    if (job.from_ticket && !catalogue.jobs().contains(id)) {
      withdrawn.push_back(id);
    }
  }
  for (const base::JobId& id : withdrawn) {
    Job* job = jobs_->Find(id);
    if (job->answer) {
      jobs_->ReleaseTicketJob(id);
    } else if (!job->ending) {
      tracker_->EndJob(job, Outcome::kCancelled, Reason::kCancelled,
                       "its ticket object was removed", now);
    }
  }
}

void JobAcceptor::EndJobsBeyondLimits(base::TimePoint now) {
  std::vector<base::JobId> beyond_limit;
  for (const auto& [id, job] : jobs_->jobs()) {
    if (!job.ending && IsBeyondLimit(job.request)) {
      beyond_limit.push_back(id);
    }
  }
  for (const base::JobId& id : beyond_limit) {
    // The outcome isn't kNotRun, because an earlier manager may have started
    // some of the tasks.
    tracker_->EndJob(
        jobs_->Find(id), Outcome::kCancelled, Reason::kOverLimit,
        "the team's upper limit was lowered below what the job needs "
        "at once; tasks that had started are stopped",
        now);
  }
}

}  // namespace dotterelbarrow::core
