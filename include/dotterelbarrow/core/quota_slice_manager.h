// Grants quota slices of teams' limits to the entries that serve interactive
// requests, and revokes them when a limit is lowered or a holder is gone.
#ifndef DOTTERELBARROW_CORE_QUOTA_SLICE_MANAGER_H_
#define DOTTERELBARROW_CORE_QUOTA_SLICE_MANAGER_H_

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/task_tracker.h"

namespace dotterelbarrow::core {

class QuotaSliceManager {
 public:
  // `book` must outlive this object.
  QuotaSliceManager(TaskTracker* book, base::PartitionId partition);

  // Answers a request with a grant. `may_grow` says whether every slice granted
  // by an earlier manager is known, so that slices may be enlarged.
  void OnRequest(const base::EntryId& from, const SliceRequest& request,
                 bool may_grow);
  // Removes slices whose holders are certain to have lost their leases.
  void Tick(base::TimePoint now);
  // Asks holders to release what exceeds the limits now in force.
  void EnforceLimits();

 private:
  void Grant(const base::TeamId& team, const base::EntryId& holder,
             std::uint64_t sequence, base::Slots slots);
  // If a holder has less than its fair share: grants what is left of the limit,
  // and asks holders above their fair share to release the excess. Sends no
  // grant to `asker`, whose request the caller answers with the result: two
  // grants in a row could arrive in the wrong order.
  void Rebalance(const base::TeamId& team, const base::Resources& limit,
                 bool may_grow, const TeamLedger::Holder& asker);
  bool IsHolderCurrent(const TeamLedger::Holder& holder,
                       const TeamLedger::Slice& slice) const;

  TaskTracker* tracker_;
  base::PartitionId partition_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_QUOTA_SLICE_MANAGER_H_
