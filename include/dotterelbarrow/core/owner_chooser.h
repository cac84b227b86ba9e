// Chooses the owner to which a task is sent, from the free capacity that
// members report in heartbeats.
//
// These summaries are slightly stale, so the demand sent to an owner since its
// last summary is subtracted. Of two owners drawn at random, the one with the
// lower utilisation is chosen, so that managers that choose at the same moment
// do not all pick the same owner.
#ifndef DOTTERELBARROW_CORE_OWNER_CHOOSER_H_
#define DOTTERELBARROW_CORE_OWNER_CHOOSER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/membership.h"

namespace dotterelbarrow::core {

class OwnerChooser {
 public:
  OwnerChooser(const Membership* membership, std::uint64_t seed);

  // Returns an owner that appears to have free capacity for one task of
  // `demand` now. If there is none, returns one whose workers could hold the
  // task when empty, where the task then waits; if there is none either,
  // nothing.
  std::optional<base::EntryId> Choose(const base::Resources& demand);
  // Estimates how many tasks of `demand` the owner can hold now. The estimate
  // assumes that its free capacity lies in blocks as large as the largest one,
  // so the real number may be lower.
  std::uint64_t TasksThatFit(const base::EntryId& owner,
                             const base::Resources& demand) const;
  // Counts `demand` as sent to `owner` until its next summary arrives.
  void Charge(const base::EntryId& owner, const base::Resources& demand);

 private:
  struct Charged {
    base::Incarnation incarnation;
    std::uint64_t counter = 0;
    base::Resources demand;
  };

  // Returns the free capacity in the last summary of the member, less the
  // demand sent to it since.
  base::Resources Free(const MemberRecord& record) const;
  bool HasRoom(const MemberRecord& record, const base::Resources& demand) const;

  const Membership* membership_;
  std::mt19937_64 random_;
  std::map<base::EntryId, Charged> charged_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_OWNER_CHOOSER_H_
