// Grants, reduces and removes quota slices.
#include "dotterelbarrow/core/quota_slice_manager.h"

#include <algorithm>

namespace dotterelbarrow::core {

QuotaSliceManager::QuotaSliceManager(TaskTracker* book,
                                     base::PartitionId partition)
    : tracker_(book), partition_(partition) {}

void QuotaSliceManager::Grant(const base::TeamId& team,
                              const base::EntryId& holder,
                              std::uint64_t sequence, base::Slots slots) {
  tracker_->context().outbox->SendToPeer(
      holder, SliceGrant{team, partition_, tracker_->epoch(), sequence, slots});
}

void QuotaSliceManager::OnRequest(const base::EntryId& from,
                                  const SliceRequest& request, bool may_grow) {
  const MemberRecord* member = tracker_->context().membership->FindMember(from);
  if (member == nullptr) {
    return;
  }
  SliceRequest allowed = request;
  if (!may_grow) {
    // Capped at what was granted to the sender, not at what it holds: it may
    // hold requests of another entry, whose slice is not known here.
    allowed.wanted = std::min(request.wanted, request.granted);
  }
  TeamLedger& ledger = tracker_->ledger();
  const TeamLedger::Holder holder{from, member->incarnation};
  const auto limit = tracker_->LimitOf(request.team);
  ledger.Request(request.team, holder, member->lease_term, allowed, limit);
  if (limit) {
    Rebalance(request.team, *limit, may_grow, holder);
  }
  const base::Slots granted = ledger.slices(request.team).at(holder).told;
  if (granted < request.wanted) {
    tracker_->context().counters->Increment("slices", "cut_by_limit");
  }
  Grant(request.team, from, request.sequence, granted);
}

void QuotaSliceManager::Rebalance(const base::TeamId& team,
                                  const base::Resources& limit, bool may_grow,
                                  const TeamLedger::Holder& asker) {
  TeamLedger& ledger = tracker_->ledger();
  const auto shares = ledger.FairShares(team, limit);
  base::Slots left = may_grow ? ledger.Left(team, limit) : base::Slots(0);
  bool has_deficit = false;
  for (const auto& [holder, share] : shares) {
    TeamLedger::Slice& slice = ledger.slices(team).at(holder);
    if (slice.told >= share) {
      continue;
    }
    // Slots of a grant that was since lowered may still be outstanding, so
    // granting them again costs nothing new.
    const base::Slots highest = std::max(slice.outstanding, slice.told + left);
    const base::Slots told = std::min(share, highest);
    if (may_grow && told > slice.told) {
      const base::Slots outstanding = std::max(slice.outstanding, told);
      left -= outstanding - slice.outstanding;
      slice.outstanding = outstanding;
      slice.told = told;
      if (holder != asker) {
        Grant(team, holder.entry, slice.sequence, told);
      }
    }
    has_deficit |= slice.told < share;
  }
  if (!has_deficit) {
    return;
  }
  for (const auto& [holder, share] : shares) {
    TeamLedger::Slice& slice = ledger.slices(team).at(holder);
    if (slice.told > share) {
      tracker_->context().counters->Increment("slices", "taken_back");
      slice.told = share;
      if (holder != asker) {
        Grant(team, holder.entry, slice.sequence, share);
      }
    }
  }
}

bool QuotaSliceManager::IsHolderCurrent(const TeamLedger::Holder& holder,
                                        const TeamLedger::Slice& slice) const {
  const Membership& membership = *tracker_->context().membership;
  const MemberRecord* member = membership.FindMember(holder.entry);
  return member != nullptr && membership.IsLive(holder.entry) &&
         member->incarnation == holder.incarnation &&
         member->lease_term == slice.term;
}

void QuotaSliceManager::Tick(base::TimePoint now) {
  // After this time the holder has lost its membership lease, and its runners
  // have lost theirs.
  const NodeSettings& settings = *tracker_->context().settings;
  const base::Duration gone_after =
      WithDrift(settings, settings.member_lease + settings.backend_lease) +
      Membership::kVoteWindow;
  for (auto& [team, slices] : tracker_->ledger().all_slices()) {
    for (auto it = slices.begin(); it != slices.end();) {
      TeamLedger::Slice& slice = it->second;
      if (IsHolderCurrent(it->first, slice)) {
        slice.gone_since.reset();
      } else {
        slice.gone_since = slice.gone_since.value_or(now);
      }
      const bool gone =
          slice.gone_since && now - *slice.gone_since >= gone_after;
      it = gone ? slices.erase(it) : std::next(it);
    }
  }
}

void QuotaSliceManager::EnforceLimits() {
  for (auto& [team, slices] : tracker_->ledger().all_slices()) {
    const auto limit = tracker_->LimitOf(team);
    if (!limit) {
      continue;
    }
    base::Slots left = std::max(
        limit->slots - tracker_->ledger().running(team).slots, base::Slots(0));
    for (auto& [holder, slice] : slices) {
      const base::Slots kept = std::min(slice.outstanding, left);
      left -= kept;
      if (kept < slice.outstanding) {
        slice.told = std::min(slice.told, kept);
        Grant(team, holder.entry, slice.sequence, slice.told);
      }
    }
  }
}

}  // namespace dotterelbarrow::core
