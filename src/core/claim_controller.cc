// Claims backend servers and renews their leases.
#include "dotterelbarrow/core/claim_controller.h"

#include <algorithm>
#include <random>

#include "dotterelbarrow/core/backend_sync.h"

namespace dotterelbarrow::core {
namespace {

// After another owner superseded a claim, it is repeated after a random time
// between a quarter and all of this, doubled each time up to the limit.
constexpr base::Duration kSupersededBackoff = std::chrono::milliseconds(100);
constexpr std::uint32_t kMaxBackoffDoublings = 4;

// An unanswered claim is repeated after this time.
constexpr base::Duration kClaimRetry = std::chrono::milliseconds(250);

// The state of other entries changes slowly.
constexpr base::Duration kConflictUpdatePeriod = std::chrono::milliseconds(100);

// The longest time for which another entry may still renew a lease here after
// losing the right to, plus that lease.
base::Duration ConflictingLeaseBound(const NodeSettings& settings) {
  return WithDrift(settings, settings.member_lease + settings.backend_lease);
}

}  // namespace

ClaimController::ClaimController(OwnerContext* context, base::TimePoint now)
    : context_(context),
      conflicting_owners_(context->settings, context->membership, now),
      hosts_(2 * ConflictingLeaseBound(*context->settings)),
      lease_term_(context->membership->lease_term()),
      next_conflict_update_(now) {}

bool ClaimController::CheckLeaseTerm(base::TimePoint now) {
  if (context_->membership->lease_term() == lease_term_) {
    return false;
  }
  lease_term_ = context_->membership->lease_term();
  for (Backend* backend : context_->pool.All()) {
    Void(backend, now);
    backend->claim.Raise();
    visits_.SetNoLater(backend->index, now);
  }
  return true;
}

void ClaimController::Tick(base::TimePoint now) {
  if (now >= next_conflict_update_) {
    next_conflict_update_ = now + kConflictUpdatePeriod;
    conflicting_owners_.Update(now);
  }
  if (!context_->membership->holds_lease()) {
    return;
  }
  for (const BackendIndex index : std::exchange(context_->dirty, {})) {
    Backend& backend = context_->pool.at(index);
    if (backend.claim.is_claimed()) {
      Sync(&backend, now);
    }
  }
  while (const auto due = visits_.PopDue(now)) {
    Visit(&context_->pool.at(*due), now);
  }
}

void ClaimController::Visit(Backend* backend, base::TimePoint now) {
  if (HasLapsed(*backend, now)) {
    OnLapsed(backend, now);
    return;
  }
  // After half a lease without a report, nothing more is placed there.
  const base::Duration since_report = now - backend->lease.token_received;
  if (backend->claim.is_claimed() && backend->responsive &&
      since_report > context_->settings->backend_lease / 2) {
    backend->responsive = false;
    context_->counters->Increment("backends", "silent");
    context_->pool.Refresh(backend);
  }
  if (backend->quarantine.Update(now)) {
    context_->pool.Refresh(backend);
    context_->freed.insert(backend->index);
  }
  Sync(backend, now);
}

void ClaimController::Sync(Backend* backend, base::TimePoint now) {
  const bool claiming = !backend->claim.is_claimed();
  if (claiming && !context_->membership->sees_majority()) {
    // The other entries may be alive and own the backend server; a claim would
    // only interrupt their work.
    visits_.Set(backend->index, now + kClaimRetry);
    return;
  }
  const bool outstanding = SendSync(context_, backend, now);
  const base::Duration period = context_->settings->backend_sync_period;
  if (claiming && !backend->all_tasks_known) {
    visits_.Set(backend->index, now + std::min(kClaimRetry, period));
  } else if (outstanding) {
    visits_.Set(backend->index, now + std::min(kCommandRetry, period));
  } else {
    visits_.Set(backend->index, now + period);
  }
}

void ClaimController::OnMembershipChanged(base::TimePoint now) {
  conflicting_owners_.Update(now);
  Reconcile(now);
}

void ClaimController::OnHostList(const HostList& list, base::TimePoint now) {
  if (!list.available) {
    context_->counters->Increment("host_list", "unavailable");
    return;
  }
  hosts_.Apply(list, now);
  Reconcile(now);
}

bool ClaimController::IsOwned(const base::ShardId& shard,
                              const HostTable::Shard& hosts) const {
  const base::AvailabilityZone& zone =
      hosts.begin()->second.record.availability_zone;
  const Membership& membership = *context_->membership;
  return membership.OwnerOf(shard.value(), zone) == membership.self();
}

void ClaimController::Reconcile(base::TimePoint now) {
  owned_.clear();
  for (const auto& [shard, hosts] : hosts_.shards()) {
    if (!IsOwned(shard, hosts)) {
      continue;
    }
    owned_.insert(shard);
    for (const auto& [id, host] : hosts) {
      Adopt(host, now);
    }
  }
  for (Backend* backend : context_->pool.All()) {
    const auto shard = hosts_.shards().find(backend->host.shard);
    const bool known = shard != hosts_.shards().end() &&
                       shard->second.contains(backend->host.backend);
    // A backend server that the host list dropped long ago is kept while it
    // runs something.
    const bool in_use = backend->claim.is_claimed() && !backend->tasks.empty();
    if (known ? !owned_.contains(backend->host.shard) : !in_use) {
      Drop(backend, now);
    }
  }
}

void ClaimController::Adopt(const HostTable::Host& host, base::TimePoint now) {
  Backend* backend = context_->pool.Find(host.record.backend);
  if (backend != nullptr && backend->host.shard != host.record.shard) {
    Drop(backend, now);
    backend = nullptr;
  }
  if (backend == nullptr) {
    backend = context_->pool.Add(host.record);
    backend->conflicting_owners_since = now;
    visits_.Set(backend->index, now);
  }
  const bool listed = !host.vanished;
  if (backend->listed == listed && backend->host == host.record) {
    return;
  }
  if (!backend->claim.is_claimed()) {
    backend->capacity = host.record.capacity;
  }
  backend->listed = listed;
  backend->host = host.record;
  context_->pool.Refresh(backend);
  context_->freed.insert(backend->index);
}

void ClaimController::Drop(Backend* backend, base::TimePoint now) {
  context_->counters->Increment("backends", "given_up");
  voided_.emit(backend, now);
  dropped_.emit(backend, now);
  visits_.Clear(backend->index);
  context_->dirty.erase(backend->index);
  context_->freed.erase(backend->index);
  context_->pool.Remove(backend);
}

void ClaimController::Void(Backend* backend, base::TimePoint now) {
  backend->all_tasks_known = false;
  backend->responsive = false;
  backend->lease_valid = false;
  backend->fencing = false;
  backend->conflicting_owners_since = now;
  voided_.emit(backend, now);
  context_->pool.Refresh(backend);
}

void ClaimController::Fence(Backend* backend, base::TimePoint now) {
  if (!backend->claim.is_claimed()) {
    return;  // The claim in progress fences it already.
  }
  context_->counters->Increment("claims", "fencing");
  backend->fencing = true;
  backend->claim.Raise();
  backend->all_tasks_known = false;
  backend->lease_valid = false;
  context_->pool.Refresh(backend);
  visits_.SetNoLater(backend->index, now);
}

bool ClaimController::HasLapsed(const Backend& backend,
                                base::TimePoint now) const {
  if (backend.all_tasks_known && !backend.claim.is_claimed()) {
    return false;
  }
  // The margin gives this entry time to learn of another one that was cut off
  // and claimed the backend server just before its lease expired.
  const base::Duration margin = context_->settings->member_timeout;
  if (backend.lease.expires_by && now < *backend.lease.expires_by + margin) {
    return false;
  }
  const bool expiry_unknown =
      backend.claim.is_claimed() && !backend.lease.expires_by;
  return !expiry_unknown &&
         now >= backend.conflicting_owners_since +
                    ConflictingLeaseBound(*context_->settings) &&
         conflicting_owners_.IsClear(now);
}

void ClaimController::OnLapsed(Backend* backend, base::TimePoint now) {
  context_->counters->Increment("backends", "lapsed");
  backend->responsive = false;
  backend->lease_valid = false;
  backend->fencing = false;
  backend->lease.expires_by.reset();
  voided_.emit(backend, now);
  lapsed_.emit(backend, now);
  backend->all_tasks_known = true;
  if (!backend->listed) {
    Drop(backend, now);
    return;
  }
  backend->claim.Raise();
  context_->pool.Refresh(backend);
  Sync(backend, now);
}

void ClaimController::OnUnreachable(const base::BackendId& id,
                                    base::TimePoint) {
  Backend* backend = context_->pool.Find(id);
  context_->counters->Increment("backends", "unreachable");
  if (backend == nullptr || !backend->responsive) {
    return;
  }
  backend->responsive = false;
  context_->pool.Refresh(backend);
}

void ClaimController::OnReport(const BackendReport& report,
                               base::TimePoint now) {
  Backend* backend = context_->pool.Find(report.backend);
  if (backend == nullptr || !context_->membership->holds_lease()) {
    context_->counters->Increment("reports", "not_owner");
    return;
  }
  using Verdict = ClaimState::Verdict;
  switch (backend->claim.OnReport(report)) {
    case Verdict::kOutdated:
      context_->counters->Increment("reports", "outdated");
      break;
    case Verdict::kClaimed:
      TakeReport(backend, report, true, now);
      break;
    case Verdict::kCurrent:
      TakeReport(backend, report, false, now);
      break;
    case Verdict::kOvertaken:
      OnOvertaken(backend, report.epoch, now);
      break;
    case Verdict::kAmbiguous:
      backend->claim.Raise();
      Sync(backend, now);
      break;
    case Verdict::kRestarted:
      context_->counters->Increment("backends", "restarted");
      Void(backend, now);
      backend->claim.Raise();
      Sync(backend, now);
      break;
  }
}

void ClaimController::TakeReport(Backend* backend, const BackendReport& report,
                                 bool is_claim, base::TimePoint now) {
  backend->responsive = true;
  backend->all_tasks_known = true;
  backend->overtaken = 0;
  backend->lease.token = report.lease_token;
  backend->lease.token_received = now;
  backend->lease_valid = report.lease_valid;
  backend->capacity = report.capacity;
  ++backend->reports;
  context_->pool.Refresh(backend);
  context_->freed.insert(backend->index);
  reported_.emit(backend, report, is_claim, now);
  if (is_claim) {
    context_->counters->Increment("claims", "claimed");
    Sync(backend, now);
  } else if (!report.lease_valid) {
    context_->dirty.insert(backend->index);
  }
}

void ClaimController::OnOvertaken(Backend* backend, const base::Epoch& epoch,
                                  base::TimePoint now) {
  context_->counters->Increment("claims", "overtaken");
  Void(backend, now);
  backend->claim.Raise();
  if (epoch.holder == context_->settings->self) {
    // The epoch is from an earlier incarnation of this entry, so there is no
    // other owner to back off for.
    Sync(backend, now);
    return;
  }
  const std::uint32_t doublings =
      std::min(backend->overtaken++, kMaxBackoffDoublings);
  const base::Duration longest = kSupersededBackoff * (1 << doublings);
  std::uniform_int_distribution<base::Duration::rep> part(longest.count() / 4,
                                                          longest.count());
  visits_.Set(backend->index, now + base::Duration(part(context_->random)));
}

std::vector<base::ShardId> ClaimController::CompleteShards() {
  std::vector<base::ShardId> complete;
  if (!context_->membership->holds_lease()) {
    return complete;
  }
  for (const auto& [shard, content] : context_->pool.shards()) {
    const bool all_tasks_known =
        std::all_of(content.members.begin(), content.members.end(),
                    [this](BackendIndex index) {
                      return context_->pool.at(index).all_tasks_known;
                    });
    if (all_tasks_known && owned_.contains(shard)) {
      complete.push_back(shard);
    }
  }
  return complete;
}

bool ClaimController::is_reconciled() {
  return hosts_.is_known() && CompleteShards().size() == owned_.size();
}

}  // namespace dotterelbarrow::core
