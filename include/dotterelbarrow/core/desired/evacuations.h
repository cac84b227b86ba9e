// The availability zones that the operator has evacuated, as far as this host
// has read the rows that name them.
//
// Two kinds of reads supply the rows: those that follow the desired state, and
// one at the start of each term as the owner. Their answers may arrive in any
// order, so each is applied only if it is newer than what is known.
#ifndef DOTTERELBARROW_CORE_DESIRED_EVACUATIONS_H_
#define DOTTERELBARROW_CORE_DESIRED_EVACUATIONS_H_

#include <set>

#include "dotterelbarrow/base/ids.h"

namespace dotterelbarrow::core::desired {

class Evacuations {
 public:
  // Replaces all zones by those that the store held at `version`. Returns
  // whether the zones have changed.
  bool OnRead(const std::set<base::AvailabilityZone>& zones,
              base::RowVersion version);
  // Applies a change that the store made at `version`: from then on the row of
  // the zone requests its evacuation, or no longer does. Returns whether the
  // zones have changed.
  bool OnChange(const base::AvailabilityZone& zone, bool is_evacuated,
                base::RowVersion version);
  // All changes up to `version` were applied.
  void AdvanceTo(base::RowVersion version);

  const std::set<base::AvailabilityZone>& zones() const { return zones_; }

 private:
  std::set<base::AvailabilityZone> zones_;
  // The store's version as of which the zones are known.
  base::RowVersion version_;
};

}  // namespace dotterelbarrow::core::desired

#endif  // DOTTERELBARROW_CORE_DESIRED_EVACUATIONS_H_
