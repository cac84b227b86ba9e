// Implements list entries, incarnations and leases of workers.
#include "dotterelbarrow/core/scheduler/fleet.h"

#include <algorithm>
#include <utility>

namespace dotterelbarrow::core::scheduler {
namespace {

using workers::kUnknownIncarnation;
using workers::Listing;
using workers::LossKind;
using workers::Run;
using workers::RunState;
using workers::Worker;
using workers::WorkerLoss;

// The list, or what has changed in it, is read at least every half second; a
// longer interval means that a read failed.
constexpr base::Duration kMaxListInterval = std::chrono::milliseconds(1100);
// Covers the delay of the store itself in noticing that a worker is
// unresponsive.
constexpr base::Duration kListingMargin = std::chrono::milliseconds(500);
// The last token of a term, counted from its first one.
constexpr std::uint64_t kLastOffset = kTokensPerTerm - 1;

// Returns -1 if the time is not known.
std::int64_t MillisecondsSince(std::optional<base::TimePoint> time,
                               base::TimePoint now) {
  return time ? (now - *time) / std::chrono::milliseconds(1) : -1;
}

}  // namespace

FencingToken TokenFor(const WorkerAddress& worker, FencingToken highest) {
  return FencingToken(highest.value() - kLastOffset +
                      std::min(worker.earlier_incarnations, kLastOffset));
}

const char* ToString(CommandOutcome outcome) {
  switch (outcome) {
    case CommandOutcome::kDone:
      return "done";
    case CommandOutcome::kFenced:
      return "fenced";
    case CommandOutcome::kOutdated:
      return "outdated";
    case CommandOutcome::kDeadlinePassed:
      return "late";
    case CommandOutcome::kNoCapacity:
      return "no_room";
    case CommandOutcome::kBadTicket:
      return "bad_ticket";
    case CommandOutcome::kOtherIncarnation:
      return "other_life";
    case CommandOutcome::kRefused:
      return "refused";
    case CommandOutcome::kNotSent:
      return "not_sent";
    case CommandOutcome::kUnanswered:
      return "unanswered";
    case CommandOutcome::kMalformed:
      return "malformed";
  }
  return "unknown";
}

void Fleet::ApplyListing(Worker* worker, const Listing& listing,
                         base::TimePoint now) {
  if (listing.born_ms < worker->listing().born_ms) {
    return;  // The entry is of an earlier incarnation.
  }
  if (listing.born_ms > worker->listing().born_ms &&
      worker->listing().born_ms != kUnknownIncarnation) {
    BeginIncarnation(worker, listing, now);
  }
  const bool began_draining = listing.draining && !worker->listing().draining;
  if (began_draining) {
    telemetry_.log->Write("worker_draining", {{"worker", listing.id.value()}});
  }
  const bool has_new_revision = listing.revision != worker->listing().revision;
  // The first revision that this owner sees may be old.
  const bool has_reported = has_new_revision && worker->listing().revision != 0;
  if (has_new_revision) {
    worker->reported_after = list_requested_at_;
  }
  const bool is_new_incarnation = listing.born_ms != worker->listing().born_ms;
  if (is_new_incarnation && listing.born_ms != worker->inherited_born_ms) {
    ExpectCarriedLeases(worker, now);
  }
  incarnations_version_ += is_new_incarnation ? 1 : 0;
  worker->Update(listing);
  worker->set_listed(true);
  if (is_new_incarnation) {
    incarnation_seen.emit(*worker);
  }
  if (has_reported || began_draining) {
    worker_reported.emit(*worker);
  }
}

bool Fleet::HasShutDown(const Worker& worker, base::TimePoint now) const {
  // The list was read without a gap, so the store was available.
  const bool is_list_continuous =
      list_requested_at_ && now - *list_requested_at_ <= kMaxListInterval;
  return is_list_continuous && worker.listing().draining &&
         worker.reported_after &&
         now - *worker.reported_after <
             settings_.listing_timeout - kListingMargin;
}

void Fleet::UpdateListings(const std::vector<Listing>& listings,
                           base::TimePoint requested_at, base::TimePoint now,
                           const std::vector<base::BackendId>& unusable) {
  std::set<base::BackendId> listed;
  for (const Listing& listing : listings) {
    listed.insert(listing.id);
    AddOrApplyListing(listing, now);
  }
  listed.insert(unusable.begin(), unusable.end());
  OnUnusable(unusable);
  for (auto& [id, worker] : workers_) {
    if (!listed.contains(id)) {
      OnRemoved(&worker, now);
    }
  }
  list_requested_at_ = requested_at;
  UpdateEvacuation();
}

void Fleet::ApplyListingChanges(const ListingChanges& changes,
                                base::TimePoint requested_at,
                                base::TimePoint now) {
  for (const Listing& listing : changes.listed) {
    AddOrApplyListing(listing, now);
  }
  OnUnusable(changes.unusable);
  for (const base::BackendId& id : changes.removed) {
    if (Worker* worker = Find(id)) {
      OnRemoved(worker, now);
    }
  }
  list_requested_at_ = requested_at;
  UpdateEvacuation();
}

void Fleet::AddOrApplyListing(const Listing& listing, base::TimePoint now) {
  if (Worker* known = Find(listing.id)) {
    ApplyListing(known, listing, now);
    return;
  }
  Worker* added = Add(Worker(listing, NextNumber()));
  if (!removed_workers_.contains(listing.id)) {
    // No record names the worker, so no owner has used an earlier incarnation.
    added->carried_leases = {listing.born_ms, base::TimePoint()};
  }
  if (const auto removed = removed_workers_.find(listing.id);
      removed != removed_workers_.end()) {
    const RemovedWorker& before = removed->second;
    const bool is_same = before.born_ms == listing.born_ms;
    added->earlier_incarnations =
        before.earlier_incarnations + (is_same ? 0 : 1);
    if (is_same && listing.revision != before.revision) {
      // Its entry was gone, and it has written another one.
      added->reported_after = list_requested_at_;
    }
  }
  added->last_answer = now;
  added->next_poll = now;
  incarnation_seen.emit(*added);
  if (added->reported_after || listing.draining) {
    worker_reported.emit(*added);
  }
}

void Fleet::OnUnusable(const std::vector<base::BackendId>& ids) {
  for (const base::BackendId& id : ids) {
    Worker* worker = Find(id);
    if (worker == nullptr || !worker->is_listed()) {
      continue;
    }
    worker->set_listed(false);
    telemetry_.log->Write(
        "worker_unusable",
        {{"worker", id.value()},
         {"runs", static_cast<std::int64_t>(worker->runs().size())}});
  }
}

void Fleet::OnRemoved(Worker* worker, base::TimePoint now) {
  if (!worker->is_listed()) {
    return;
  }
  worker->set_listed(false);
  const bool has_left = HasShutDown(*worker, now);
  telemetry_.log->Write(
      "worker_unlisted",
      {{"worker", worker->id().value()},
       {"runs", static_cast<std::int64_t>(worker->runs().size())},
       {"has_left", has_left ? "yes" : "no"},
       {"draining", worker->listing().draining ? "yes" : "no"},
       {"report_age_ms", MillisecondsSince(worker->reported_after, now)},
       {"list_age_ms", MillisecondsSince(list_requested_at_, now)},
       {"silent_ms", MillisecondsSince(worker->last_answer, now)}});
  if (has_left) {
    EndConfirmedRuns(worker);
  }
}

void Fleet::AddInheritedWorker(
    const Listing& listing, base::TimePoint taken_over_at,
    std::optional<base::TimePoint> leases_end, std::int64_t born_ms,
    std::optional<base::TimePoint> carried_leases_end) {
  Worker worker(listing, NextNumber());
  worker.inherited_born_ms = born_ms;
  if (carried_leases_end) {
    worker.carried_leases = {born_ms, *carried_leases_end};
  }
  worker.leases_suspended = leases_end.has_value();
  worker.set_listed(false);
  // If the end of the leases is known, the worker has not answered for some
  // time.
  worker.last_answer = leases_end ? base::TimePoint() : taken_over_at;
  worker.next_poll = taken_over_at;
  worker.inherited_leases_end = InheritedLeasesEnd(
      worker, std::max(taken_over_at + settings_.previous_ownership_lease,
                       earlier_owners_until_));
  if (leases_end) {
    worker.inherited_leases_end =
        std::min(worker.inherited_leases_end, *leases_end);
  }
  Add(std::move(worker));
  unreconciled_.insert(listing.id);
}

void Fleet::OnPreviousOwnerStopped(base::TimePoint now) {
  for (const base::BackendId& id : unreconciled_) {
    Worker& worker = workers_.at(id);
    worker.inherited_leases_end = std::min(
        worker.inherited_leases_end,
        InheritedLeasesEnd(worker, std::max(now, earlier_owners_until_)));
  }
}

base::TimePoint Fleet::InheritedLeasesEnd(const Worker& worker,
                                          base::TimePoint until) const {
  return std::max(LatestExpiryOfLeasesGrantedAt(until),
                  worker.carried_leases ? worker.carried_leases->end
                                        : LatestExpiryOfLeasesCarriedAt(until));
}

void Fleet::ExpectCarriedLeases(Worker* worker, base::TimePoint now) const {
  worker->carried_leases.reset();
  worker->inherited_leases_end = std::max(
      worker->inherited_leases_end,
      LatestExpiryOfLeasesCarriedAt(now + settings_.max_command_delay));
}

void Fleet::SuspendLeases(const base::BackendId& worker) {
  if (Worker* found = Find(worker)) {
    found->leases_suspended = true;
  }
}

void Fleet::ResumeLeases(const base::BackendId& worker, base::TimePoint now) {
  Worker* found = Find(worker);
  if (found == nullptr || !found->leases_suspended) {
    return;
  }
  found->leases_suspended = false;
  if (!found->poll_in_flight) {
    found->next_poll = now;
  }
}

Worker* Fleet::Find(const base::BackendId& id) {
  const auto it = workers_.find(id);
  return it == workers_.end() ? nullptr : &it->second;
}

WorkerAddress Fleet::AddressOf(const Worker& worker) {
  return {worker.id(), worker.listing().address, worker.listing().born_ms,
          worker.earlier_incarnations};
}

std::int64_t Fleet::GrantLease(Worker* worker, base::TimePoint now) const {
  const std::int64_t lease_until_ms =
      worker->clock.Estimate(now) +
      settings_.lease_duration / std::chrono::milliseconds(1);
  worker->granted_until_ms = std::max(worker->granted_until_ms, lease_until_ms);
  return lease_until_ms;
}

void Fleet::BeginIncarnation(Worker* worker, const Listing& listing,
                             base::TimePoint now) {
  const auto unanswered_starts = std::count_if(
      worker->runs().begin(), worker->runs().end(), [](const auto& run) {
        return run.second.state == RunState::kStarting ||
               run.second.state == RunState::kUncertain;
      });
  telemetry_.log->Write(
      "worker_new_life",
      {{"worker", worker->id().value()},
       {"born_ms", listing.born_ms},
       {"lost_runs", static_cast<std::int64_t>(worker->runs().size())},
       {"unanswered_starts", static_cast<std::int64_t>(unanswered_starts)},
       {"poll_in_flight", worker->poll_in_flight ? "yes" : "no"},
       {"before_born_ms", worker->listing().born_ms},
       {"silent_ms", MillisecondsSince(worker->last_answer, now)}});
  const std::optional<WorkerLoss> loss = NoteLoss(worker, LossKind::kCrashed);
  // The new incarnation is reached under the same ID. It may execute start
  // commands that are still unanswered, and may have executed those whose runs
  // were never listed. These runs stay here, to be stopped in the new
  // incarnation.
  std::vector<Run> unlisted_runs;
  for (const auto& [key, run] : worker->runs()) {
    if (run.state != RunState::kReserved && !run.is_listed) {
      unlisted_runs.push_back(run);
    }
  }
  for (const Run& run : unlisted_runs) {
    worker->RemoveRun(run.task, run.attempt);
  }
  EndAllRuns(worker, jobs::RunEnd::kWorkerGone);
  Worker restarted(listing, worker->number());
  restarted.last_answer = now;
  restarted.next_poll = now;
  restarted.earlier_incarnations = worker->earlier_incarnations + 1;
  // A previous owner may have used this incarnation as well; claiming the
  // worker shows whether it did.
  restarted.inherited_leases_end = worker->inherited_leases_end;
  ExpectCarriedLeases(&restarted, now);
  restarted.inherited_born_ms = worker->inherited_born_ms;
  restarted.leases_suspended = worker->leases_suspended;
  restarted.set_evacuated(IsInEvacuatedZone(restarted));
  for (Run& run : unlisted_runs) {
    run.state = RunState::kStopping;
    run.was_lost_in_crash = true;
    run.start_confirmed_ms = 0;
    run.stop_accepted_ms = 0;
    run.stop_sent_at = base::TimePoint();
    restarted.may_have_stopping_runs = true;
    restarted.AddRun(std::move(run));
  }
  *worker = std::move(restarted);
  ++incarnations_version_;
  incarnation_began.emit(*worker);
  incarnation_seen.emit(*worker);
  ReportLoss(loss);
}

void Fleet::EndAllRuns(Worker* worker, jobs::RunEnd end) {
  while (!worker->runs().empty()) {
    const auto& [key, run] = *worker->runs().begin();
    EndRun(worker, RunKey(key), end, run.checkpoint);
  }
}

void Fleet::EndRun(Worker* worker, const RunKey& key, jobs::RunEnd end,
                   const std::string& checkpoint) {
  const Run* found = worker->FindRun(key.first, key.second);
  if (found == nullptr) {
    return;
  }
  const Run run = *found;
  const std::string resume_at =
      checkpoint.empty() ? run.checkpoint : checkpoint;
  worker->RemoveRun(key.first, key.second);
  run_ended.emit(*worker, run, end, resume_at);
}

Worker* Fleet::Add(Worker worker) {
  const auto index = static_cast<std::size_t>(worker.number().value());
  if (const Worker* known = Find(worker.id())) {
    by_number_[static_cast<std::size_t>(known->number().value())] = nullptr;
  }
  const auto [it, added] =
      workers_.insert_or_assign(worker.id(), std::move(worker));
  by_number_.resize(index + 1);
  by_number_[index] = &it->second;
  ++incarnations_version_;
  return &it->second;
}

workers::WorkerNumber Fleet::NextNumber() {
  last_number_ = last_number_.next();
  return last_number_;
}

void Fleet::MarkReconciled(const base::BackendId& id) {
  unreconciled_.erase(id);
  worker_reconciled.emit(id);
}

void Fleet::Tick(base::TimePoint now, base::TimePoint confirmed_at,
                 std::vector<Action>* actions) {
  std::size_t looked_at = 0;
  for (std::size_t i = 0;
       i < by_number_.size() && looked_at < settings_.max_workers_per_tick;
       ++i) {
    last_ticked_ = last_ticked_ + 1 < by_number_.size() ? last_ticked_ + 1 : 0;
    if (Worker* worker = by_number_[last_ticked_]) {
      ++looked_at;
      TickWorker(worker, now, confirmed_at, actions);
    }
  }
  UpdateEvacuation();
}

void Fleet::TickWorker(Worker* worker, base::TimePoint now,
                       base::TimePoint confirmed_at,
                       std::vector<Action>* actions) {
  if (ExpireIfDue(worker, now, confirmed_at)) {
    const base::BackendId id = worker->id();
    by_number_[static_cast<std::size_t>(worker->number().value())] = nullptr;
    removed_workers_[id] = {worker->listing().born_ms,
                            worker->earlier_incarnations,
                            worker->listing().revision};
    workers_.erase(id);
    ++incarnations_version_;
    return;
  }
  PollIfDue(worker, now, actions);
  RetryStops(worker, now, actions);
  PollForSuspects(worker, now, actions);
}

bool Fleet::ExpireIfDue(Worker* worker, base::TimePoint now,
                        base::TimePoint confirmed_at) {
  const bool is_unresponsive =
      now - worker->last_answer >= settings_.lease_duration;
  if (!is_unresponsive || !worker->IsLeaseGuaranteedExpired(now)) {
    return false;
  }
  if (!worker->IsLeaseGuaranteedExpired(confirmed_at)) {
    if (!std::exchange(worker->is_expiry_withheld, true)) {
      telemetry_.counters->Increment("lease_expiries_withheld",
                                     "ownership_unconfirmed");
      telemetry_.log->Write(
          "worker_lapse_withheld",
          {{"worker", worker->id().value()},
           {"runs", static_cast<std::int64_t>(worker->runs().size())},
           {"confirmed_ms_ago",
            (now - confirmed_at) / std::chrono::milliseconds(1)}});
    }
    return false;
  }
  worker->is_expiry_withheld = false;
  if (!worker->runs().empty() || unreconciled_.contains(worker->id())) {
    telemetry_.log->Write(
        "worker_lapsed",
        {{"worker", worker->id().value()},
         {"runs", static_cast<std::int64_t>(worker->runs().size())},
         {"born_ms", worker->listing().born_ms},
         {"claimed_ms_ago", MillisecondsSince(worker->claimed_at, now)},
         {"silent_ms",
          (now - worker->last_answer) / std::chrono::milliseconds(1)}});
    const std::optional<WorkerLoss> loss =
        NoteLoss(worker, LossKind::kUnexplained);
    EndAllRuns(worker, jobs::RunEnd::kLeaseExpired);
    if (unreconciled_.contains(worker->id())) {
      inherited_worker_lost.emit(worker->id(), LossKind::kUnexplained);
    }
    MarkReconciled(worker->id());
    ReportLoss(loss);
  }
  worker->is_claimed = false;
  return !worker->is_listed();
}

void Fleet::PollIfDue(Worker* worker, base::TimePoint now,
                      std::vector<Action>* actions) {
  if (worker->poll_in_flight || now < worker->next_poll) {
    return;
  }
  worker->poll_in_flight = true;
  worker->poll_sent_at = now;
  PollWorker poll{.worker = AddressOf(*worker),
                  .lease_until_ms = std::nullopt,
                  .ends_stored = worker->EndsToAcknowledge(),
                  .wait = base::Duration(0)};
  // The lease of an unresponsive worker is not renewed: any unanswered renewal
  // may have taken effect, so its lease would never be guaranteed to have
  // expired.
  if (worker->is_claimed && !worker->leases_suspended &&
      worker->failed_polls == 0) {
    poll.lease_until_ms = GrantLease(worker, now);
    poll.wait = settings_.long_poll_timeout;
  }
  actions->push_back(std::move(poll));
}

void Fleet::PollImmediately(Worker* worker, std::vector<Action>* actions) {
  actions->push_back(PollWorker{.worker = AddressOf(*worker),
                                .lease_until_ms = std::nullopt,
                                .ends_stored = worker->EndsToAcknowledge(),
                                .wait = base::Duration(0),
                                .is_immediate = true});
}

}  // namespace dotterelbarrow::core::scheduler
