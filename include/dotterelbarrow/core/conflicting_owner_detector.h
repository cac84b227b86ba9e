// Determines when no other entry can still be renewing leases of backend
// servers that this entry owns.
//
// An entry that isn't live may be paused or cut off and still renew the leases
// of what it once owned, until a majority has voted it out and the backend
// lease has passed after that. An entry that came back may need as long as the
// membership lease to notice that it no longer owns something, and the leases
// that it granted until then last for the backend lease.
#ifndef DOTTERELBARROW_CORE_CONFLICTING_OWNER_DETECTOR_H_
#define DOTTERELBARROW_CORE_CONFLICTING_OWNER_DETECTOR_H_

#include <map>
#include <variant>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/membership.h"
#include "dotterelbarrow/core/settings.h"

namespace dotterelbarrow::core {

class ConflictingOwnerDetector {
 public:
  // All pointers must outlive this object.
  ConflictingOwnerDetector(const NodeSettings* settings,
                           const Membership* membership, base::TimePoint now);

  // Updates the state of each entry from the membership. Call at each tick and
  // membership change.
  void Update(base::TimePoint now);
  // Whether every other entry either has been live for the membership lease
  // plus the backend lease, or was voted out at least one backend lease ago.
  bool IsClear(base::TimePoint now) const;

 private:
  struct LiveSince {
    base::TimePoint when;
  };
  struct Missing {};
  struct VotedOutSince {
    base::TimePoint when;
  };
  using Rival = std::variant<LiveSince, Missing, VotedOutSince>;

  Rival Advance(const base::EntryId& entry, const Rival& rival,
                base::TimePoint now) const;

  const NodeSettings* settings_;
  const Membership* membership_;
  // Invariant: holds one state for each configured entry except this one.
  std::map<base::EntryId, Rival> rivals_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_CONFLICTING_OWNER_DETECTOR_H_
