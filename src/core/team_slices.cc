// Requests, accounts for and releases quota slices.
#include "src/core/team_slices.h"

#include <algorithm>
#include <chrono>

#include "dotterelbarrow/core/partitions.h"

namespace dotterelbarrow::core {
namespace {

// Minimum time between two requests for one team, by the answer to the last
// one. In general, once it was answered:
constexpr base::Duration kRequestPeriod = std::chrono::milliseconds(100);
// If everything requested was granted, and more is needed:
constexpr base::Duration kGrowPeriod = std::chrono::milliseconds(10);
// If less than requested was granted, and the request would not grow:
constexpr base::Duration kShortfallRetryPeriod = std::chrono::milliseconds(250);
// The longest answer timeout: longer than a request and its grant take when
// each is delayed by the longest time that a command may be in transit (1.5 s).
constexpr base::Duration kMaxAnswerTimeout = std::chrono::seconds(4);
// A slice in use is requested again this often, to learn of a lowered limit.
constexpr base::Duration kRenewPeriod = std::chrono::seconds(1);
// Slots not needed for this long are released.
constexpr base::Duration kIdlePeriod = std::chrono::seconds(2);

std::optional<std::int64_t> LimitOf(const base::TeamId& team,
                                    const config::Catalogue& catalogue) {
  const config::Team* known = catalogue.FindTeam(team);
  if (known == nullptr || !known->limit) {
    return std::nullopt;
  }
  return std::max<std::int64_t>(known->limit->slots.value(), 0);
}

// Adds headroom to the demand, so that a growing team does not wait at every
// step.
std::int64_t WithHeadroom(std::int64_t demand) {
  return demand + std::max<std::int64_t>(demand / 4, 1);
}

}  // namespace

TeamSlices::TeamSlices(const NodeSettings* settings, Outbox* outbox,
                       Counters* counters, const Membership* membership)
    : settings_(settings),
      outbox_(outbox),
      counters_(counters),
      membership_(membership),
      lease_term_(membership->lease_term()) {}

void TeamSlices::AddWaiting(const base::TeamId& team,
                            const config::Catalogue& catalogue,
                            base::TimePoint now) {
  Slice& slice = slices_[team];
  ++slice.waiting;
  Update(team, &slice, catalogue, now);
}

void TeamSlices::RemoveWaiting(const base::TeamId& team) {
  --slices_[team].waiting;
}

void TeamSlices::AddRunning(const base::TeamId& team) {
  ++slices_[team].running;
}

void TeamSlices::RemoveRunning(const base::TeamId& team) {
  --slices_[team].running;
}

bool TeamSlices::MayStart(const base::TeamId& team,
                          const config::Catalogue& catalogue) const {
  const std::optional<std::int64_t> limit = LimitOf(team, catalogue);
  if (!limit) {
    return true;
  }
  const auto it = slices_.find(team);
  return it != slices_.end() &&
         it->second.running < std::min(it->second.granted, *limit);
}

std::int64_t TeamSlices::running(const base::TeamId& team) const {
  const auto it = slices_.find(team);
  return it == slices_.end() ? 0 : it->second.running;
}

std::optional<base::Slots> TeamSlices::cap(const base::TeamId& team) const {
  const auto it = slices_.find(team);
  if (it == slices_.end() || !it->second.asked || !it->second.answered ||
      it->second.granted >= it->second.requested_wanted) {
    return std::nullopt;
  }
  return base::Slots(it->second.granted);
}

std::int64_t TeamSlices::Wanted(const Slice& slice,
                                std::optional<std::int64_t> limit,
                                base::TimePoint now) const {
  if (!limit) {
    return 0;
  }
  std::int64_t wanted = slice.demand() > 0 ? WithHeadroom(slice.demand()) : 0;
  if (now - slice.used < kIdlePeriod) {
    wanted = std::max(wanted, slice.granted);
  }
  return std::min(wanted, *limit);
}

bool TeamSlices::IsDue(const Slice& slice, std::int64_t wanted,
                       base::TimePoint now) const {
  if (!slice.asked) {
    return wanted > 0 || slice.granted > 0;
  }
  const base::Duration since_request = now - *slice.asked;
  if (!slice.answered) {
    return since_request >= slice.answer_timeout;
  }
  const bool fully_granted = slice.granted >= slice.requested_wanted;
  if (fully_granted && slice.demand() > slice.granted &&
      wanted > slice.granted) {
    return since_request >= kGrowPeriod;
  }
  if (since_request < kRequestPeriod) {
    return false;
  }
  const bool fewer_wanted = wanted < slice.granted;
  const bool released_some = slice.holding() < slice.requested_holding;
  if (fewer_wanted || released_some) {
    return true;
  }
  if (slice.demand() > slice.granted && wanted > slice.granted) {
    return wanted > slice.requested_wanted ||
           since_request >= kShortfallRetryPeriod;
  }
  return slice.granted > 0 && since_request >= kRenewPeriod;
}

void TeamSlices::Update(const base::TeamId& team, Slice* slice,
                        const config::Catalogue& catalogue,
                        base::TimePoint now) {
  if (slice->demand() > 0 && WithHeadroom(slice->demand()) >= slice->granted) {
    slice->used = now;
  }
  const std::optional<std::int64_t> limit = LimitOf(team, catalogue);
  const std::int64_t wanted = Wanted(*slice, limit, now);
  if (IsDue(*slice, wanted, now)) {
    Ask(team, slice, wanted, now);
  }
}

void TeamSlices::Ask(const base::TeamId& team, Slice* slice,
                     std::int64_t wanted, base::TimePoint now) {
  // Slots no longer wanted are released here before the manager learns of it.
  slice->granted = std::min(slice->granted, wanted);
  slice->sequence = outbox_->NextCall().value();
  slice->asked = now;
  slice->requested_wanted = wanted;
  slice->requested_holding = slice->holding();
  slice->answered = false;
  const base::PartitionId partition =
      PartitionOf(team, settings_->partition_count);
  outbox_->SendToPeer(
      ManagerOf(*membership_, partition),
      SliceRequest{team, slice->sequence, base::Slots(slice->requested_holding),
                   base::Slots(slice->granted), base::Slots(wanted)});
}

void TeamSlices::Tick(const config::Catalogue& catalogue, base::TimePoint now) {
  for (auto it = slices_.begin(); it != slices_.end();) {
    Slice& slice = it->second;
    Update(it->first, &slice, catalogue, now);
    const bool unused = slice.holding() == 0 && slice.waiting == 0;
    const bool confirmed = slice.answered && slice.requested_holding == 0;
    it = unused && confirmed ? slices_.erase(it) : std::next(it);
  }
}

void TeamSlices::OnMembershipChanged() {
  if (membership_->lease_term() == lease_term_) {
    return;
  }
  lease_term_ = membership_->lease_term();
  for (auto& [team, slice] : slices_) {
    slice.granted = 0;
    slice.sequence = 0;
    slice.asked.reset();
    slice.answered = true;
  }
}

bool TeamSlices::OnGrant(const SliceGrant& grant,
                         const config::Catalogue& catalogue,
                         base::TimePoint now) {
  const auto it = slices_.find(grant.team);
  base::Epoch& known = manager_epochs_[grant.partition];
  const bool current =
      grant.manager_epoch >= known &&
      grant.partition == PartitionOf(grant.team, settings_->partition_count);
  if (!current || it == slices_.end() || grant.sequence == 0) {
    counters_->Increment("dropped", "stale_slice_grant");
    return false;
  }
  Slice& slice = it->second;
  if (grant.sequence != slice.sequence) {
    OnLateGrant(&slice, grant);
    return false;
  }
  known = grant.manager_epoch;
  if (!slice.answered && now - *slice.asked < kAnswerTimeout) {
    slice.answer_timeout = kAnswerTimeout;
  }
  const std::int64_t limit =
      LimitOf(grant.team, catalogue).value_or(grant.granted.value());
  slice.granted = std::clamp<std::int64_t>(grant.granted.value(), 0, limit);
  slice.answered = true;
  slice.answered_sequence = slice.sequence;
  return true;
}

void TeamSlices::OnLateGrant(Slice* slice, const SliceGrant& grant) {
  // Once the latest request was answered, grants for earlier ones are outdated.
  if (slice->answered || grant.sequence < slice->answered_sequence) {
    counters_->Increment("dropped", "stale_slice_grant");
    return;
  }
  counters_->Increment("slices", "late_grant");
  slice->granted = std::min(slice->granted, grant.granted.value());
  slice->answer_timeout =
      std::min(2 * slice->answer_timeout, kMaxAnswerTimeout);
}

std::vector<std::pair<base::TeamId, base::Slots>> TeamSlices::SlicesFor(
    base::PartitionId partition, const base::Epoch& manager_epoch) {
  base::Epoch& known = manager_epochs_[partition];
  known = std::max(known, manager_epoch);
  std::vector<std::pair<base::TeamId, base::Slots>> held;
  for (const auto& [team, slice] : slices_) {
    if (PartitionOf(team, settings_->partition_count) == partition &&
        slice.holding() > 0) {
      held.emplace_back(team, base::Slots(slice.holding()));
    }
  }
  return held;
}

}  // namespace dotterelbarrow::core
