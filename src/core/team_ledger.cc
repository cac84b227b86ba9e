// Accounts for running tasks and outstanding quota slices.
#include "dotterelbarrow/core/team_ledger.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace dotterelbarrow::core {

void TeamLedger::Add(const base::TeamId& team, const base::Resources& demand) {
  running_[team] += demand;
}

void TeamLedger::Remove(const base::TeamId& team,
                        const base::Resources& demand) {
  running_[team] -= demand;
}

base::Resources TeamLedger::running(const base::TeamId& team) const {
  const auto it = running_.find(team);
  return it == running_.end() ? base::Resources() : it->second;
}

base::Resources TeamLedger::committed(const base::TeamId& team) const {
  base::Resources sum = running(team);
  const auto it = slices_.find(team);
  if (it != slices_.end()) {
    for (const auto& [holder, slice] : it->second) {
      sum.slots += slice.outstanding;
    }
  }
  return sum;
}

bool TeamLedger::Fits(const base::TeamId& team, const base::Resources& demand,
                      const std::optional<base::Resources>& limit) const {
  return !limit || (committed(team) + demand).FitsIn(*limit);
}

base::Slots TeamLedger::Request(const base::TeamId& team, const Holder& holder,
                                std::uint64_t term, const SliceRequest& request,
                                const std::optional<base::Resources>& limit) {
  Slice& slice = slices_[team][holder];
  if (request.sequence <= slice.sequence) {
    return slice.told;
  }
  // The holder's own statement of what it may still have replaces what was
  // granted. It may be more than that, if the holder found another entry's
  // requests on a runner.
  slice.outstanding = request.holding;
  slice.term = term;
  slice.sequence = request.sequence;
  slice.wanted = request.wanted;
  slice.gone_since.reset();
  if (!limit) {
    slice.outstanding = std::max(slice.outstanding, request.wanted);
    slice.told = request.wanted;
    return request.wanted;
  }
  const base::Slots own = slice.outstanding;
  slice.outstanding = base::Slots(0);
  const base::Slots left = Left(team, *limit);
  slice.told = std::min(request.wanted, left);
  if (HasHolderBelowShare(team, holder, *limit)) {
    slice.told = std::min(slice.told, FairShares(team, *limit).at(holder));
  }
  slice.outstanding = std::max(own, slice.told);
  return slice.told;
}

bool TeamLedger::HasHolderBelowShare(const base::TeamId& team,
                                     const Holder& holder,
                                     const base::Resources& limit) const {
  const Slices& slices = slices_.at(team);
  for (const auto& [other, share] : FairShares(team, limit)) {
    if (other != holder && slices.at(other).told < share) {
      return true;
    }
  }
  return false;
}

base::Slots TeamLedger::Left(const base::TeamId& team,
                             const base::Resources& limit) const {
  return std::max(limit.slots - committed(team).slots, base::Slots(0));
}

std::map<TeamLedger::Holder, base::Slots> TeamLedger::FairShares(
    const base::TeamId& team, const base::Resources& limit) const {
  std::map<Holder, base::Slots> shares;
  const auto it = slices_.find(team);
  if (it == slices_.end()) {
    return shares;
  }
  base::Slots pool = limit.slots - running(team).slots;
  std::vector<std::pair<base::Slots, Holder>> by_wanted;
  for (const auto& [holder, slice] : it->second) {
    if (slice.gone_since) {
      pool -= slice.outstanding;
    } else {
      by_wanted.emplace_back(slice.wanted, holder);
    }
  }
  std::sort(by_wanted.begin(), by_wanted.end());
  auto remaining = static_cast<std::int64_t>(by_wanted.size());
  for (const auto& [wanted, holder] : by_wanted) {
    const base::Slots equal_share(std::max<std::int64_t>(pool.value(), 0) /
                                  remaining);
    shares[holder] = std::min(wanted, equal_share);
    pool -= shares[holder];
    --remaining;
  }
  return shares;
}

void TeamLedger::Adopt(const base::TeamId& team, const Holder& holder,
                       std::uint64_t term, base::Slots held) {
  Slice& slice = slices_[team][holder];
  slice.outstanding = std::max(slice.outstanding, held);
  slice.term = term;
}

}  // namespace dotterelbarrow::core
