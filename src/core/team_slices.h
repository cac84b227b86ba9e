// Manages the quota slices of teams' limits that this entry holds for
// interactive requests.
//
// A team with a limit may have as many requests running here as its manager
// granted. Only the answer to the latest request can add slots. The manager
// takes `holding` in that request as everything that this entry holds, so the
// slots in a grant that answers an earlier request may already have been lent
// to another entry. Such a grant can only take slots away, which is always
// safe; otherwise a lowered limit would never take effect here while each
// answer takes longer than the period at which a request is repeated.
#ifndef DOTTERELBARROW_SRC_CORE_TEAM_SLICES_H_
#define DOTTERELBARROW_SRC_CORE_TEAM_SLICES_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/config/catalogue.h"
#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/core/membership.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/outbox.h"
#include "dotterelbarrow/core/settings.h"

namespace dotterelbarrow::core {

class TeamSlices {
 public:
  // All arguments must outlive this object.
  TeamSlices(const NodeSettings* settings, Outbox* outbox, Counters* counters,
             const Membership* membership);

  // Count a team's requests. AddWaiting() may send a SliceRequest at once.
  void AddWaiting(const base::TeamId& team, const config::Catalogue& catalogue,
                  base::TimePoint now);
  void RemoveWaiting(const base::TeamId& team);
  void AddRunning(const base::TeamId& team);
  void RemoveRunning(const base::TeamId& team);

  // Whether one more request of `team` may start.
  bool MayStart(const base::TeamId& team,
                const config::Catalogue& catalogue) const;
  std::int64_t running(const base::TeamId& team) const;
  // The most requests of the team that may run here, if the manager is known to
  // have granted fewer than requested; otherwise nothing.
  std::optional<base::Slots> cap(const base::TeamId& team) const;

  // Requests more slots, releases idle ones and confirms revoked ones.
  void Tick(const config::Catalogue& catalogue, base::TimePoint now);
  // Voids all slices if the membership lease was lost since the last call.
  void OnMembershipChanged();
  // Applies a grant; returns whether it answers the latest request.
  bool OnGrant(const SliceGrant& grant, const config::Catalogue& catalogue,
               base::TimePoint now);
  // See InteractiveBroker::SlicesFor.
  std::vector<std::pair<base::TeamId, base::Slots>> SlicesFor(
      base::PartitionId partition, const base::Epoch& manager_epoch);

 private:
  // A request without an answer is repeated after this time.
  static constexpr base::Duration kAnswerTimeout =
      std::chrono::milliseconds(500);

  // The slots of one team.
  struct Slice {
    // Slots granted and not yet released. May be below `running` after a grant
    // was lowered; then no request starts.
    std::int64_t granted = 0;
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    // When the demand, including its headroom, last reached the granted slots.
    base::TimePoint used;
    // Sequence number of the latest request; only a grant with it adds slots.
    std::uint64_t sequence = 0;
    // Sequence number of the latest request that was answered.
    std::uint64_t answered_sequence = 0;
    // A request without an answer is repeated after this time. It grows when an
    // answer arrives after the request was repeated.
    base::Duration answer_timeout = kAnswerTimeout;
    std::int64_t requested_wanted = 0;
    std::int64_t requested_holding = 0;
    std::optional<base::TimePoint> asked;
    bool answered = true;

    std::int64_t holding() const { return std::max(granted, running); }
    std::int64_t demand() const { return running + waiting; }
  };

  // Returns how many slots the next request should ask for.
  std::int64_t Wanted(const Slice& slice, std::optional<std::int64_t> limit,
                      base::TimePoint now) const;
  bool IsDue(const Slice& slice, std::int64_t wanted,
             base::TimePoint now) const;
  void Update(const base::TeamId& team, Slice* slice,
              const config::Catalogue& catalogue, base::TimePoint now);
  void Ask(const base::TeamId& team, Slice* slice, std::int64_t wanted,
           base::TimePoint now);
  // Applies a grant that answers a request which was repeated since.
  void OnLateGrant(Slice* slice, const SliceGrant& grant);

  const NodeSettings* settings_;
  Outbox* outbox_;
  Counters* counters_;
  const Membership* membership_;
  // The lease term in which all of `slices_` was granted.
  std::uint64_t lease_term_;
  std::map<base::TeamId, Slice> slices_;
  // The highest manager epoch seen for each partition.
  std::map<base::PartitionId, base::Epoch> manager_epochs_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_SRC_CORE_TEAM_SLICES_H_
