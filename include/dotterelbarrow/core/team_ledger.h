// Accounts for what each team of a partition has running, and for the quota
// slices of its limit that entries hold for interactive requests.
//
// All jobs of a team have one manager, so the limit needs no negotiation for
// jobs. Interactive requests are served by many entries, and each of them holds
// a slice of the team's slots. A slice counts as used in full until its holder
// confirms that it has released part of it, or is certain to be gone.
#ifndef DOTTERELBARROW_CORE_TEAM_LEDGER_H_
#define DOTTERELBARROW_CORE_TEAM_LEDGER_H_

#include <map>
#include <optional>
#include <unordered_map>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/messages.h"

namespace dotterelbarrow::core {

class TeamLedger {
 public:
  // One incarnation of an entry. Requests that an earlier incarnation started
  // may still be running, so its slice does not pass to the next incarnation.
  struct Holder {
    base::EntryId entry;
    base::Incarnation incarnation;

    friend bool operator==(const Holder&, const Holder&) = default;
    friend auto operator<=>(const Holder&, const Holder&) = default;
  };
  struct Slice {
    // The most requests that the holder may have running.
    base::Slots outstanding;
    base::Slots wanted;
    // The slots in the last grant sent to the holder; at most `outstanding`.
    base::Slots told;
    std::uint64_t sequence = 0;
    // The holder's lease term at its last request.
    std::uint64_t term = 0;
    // When the holder was first seen to have ended this lease term; absent
    // while it has not.
    std::optional<base::TimePoint> gone_since;
  };
  using Slices = std::map<Holder, Slice>;

  // Add or subtract running tasks.
  void Add(const base::TeamId& team, const base::Resources& demand);
  void Remove(const base::TeamId& team, const base::Resources& demand);

  // Resources that the team's tasks use; `committed` also includes all
  // outstanding slices.
  base::Resources running(const base::TeamId& team) const;
  base::Resources committed(const base::TeamId& team) const;
  // Whether `demand` more stays within `limit`; always true without a limit.
  bool Fits(const base::TeamId& team, const base::Resources& demand,
            const std::optional<base::Resources>& limit) const;

  // Records the request of a holder and returns the slots to grant: at most
  // what the limit leaves, and at most what the holder wants. A request that is
  // not newer than the last one changes nothing and returns the last grant.
  base::Slots Request(const base::TeamId& team, const Holder& holder,
                      std::uint64_t term, const SliceRequest& request,
                      const std::optional<base::Resources>& limit);
  // Slots of `limit` that are neither used nor lent to a holder.
  base::Slots Left(const base::TeamId& team,
                   const base::Resources& limit) const;
  // Divides the slots that `limit` leaves for slices among the holders that are
  // not gone. Each gets what it wants, or else as much as any other.
  std::map<Holder, base::Slots> FairShares(const base::TeamId& team,
                                           const base::Resources& limit) const;
  // Records a slice that an earlier manager granted and that an inventory reply
  // lists.
  void Adopt(const base::TeamId& team, const Holder& holder, std::uint64_t term,
             base::Slots held);
  Slices& slices(const base::TeamId& team) { return slices_[team]; }
  std::unordered_map<base::TeamId, Slices>& all_slices() { return slices_; }

 private:
  // Whether any holder other than `holder` has less than its fair share.
  bool HasHolderBelowShare(const base::TeamId& team, const Holder& holder,
                           const base::Resources& limit) const;

  std::unordered_map<base::TeamId, base::Resources> running_;
  std::unordered_map<base::TeamId, Slices> slices_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_TEAM_LEDGER_H_
