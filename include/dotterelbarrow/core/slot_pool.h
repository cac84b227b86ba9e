// The slots for interactive requests on the runners that this entry host owns.
//
// A call occupies a slot until its result is received. If the result was lost,
// the call may still be running. The owner then claims the runner again under a
// new epoch: the runner refuses the call if it has not received it yet, and
// lists in its report to that claim the tasks that it runs, one of which may be
// the lost call. Their slots stay occupied until a later report shows that they
// have ended.
#ifndef DOTTERELBARROW_CORE_SLOT_POOL_H_
#define DOTTERELBARROW_CORE_SLOT_POOL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/task_record.h"

namespace dotterelbarrow::core {

class SlotPool {
 public:
  // Adds or updates `runner`. Calls are only assigned to usable runners.
  void Put(BackendIndex runner, const base::ServiceId& service,
           base::Slots capacity, bool usable);
  // Removes the runner and its calls. Does nothing if the runner is not in the
  // pool.
  void Remove(BackendIndex runner);

  // Takes a slot for `call` on the runner of `service` with the most free
  // slots. Returns that runner, or nothing if no slot is free or `call` holds
  // one already.
  std::optional<BackendIndex> Take(const base::ServiceId& service,
                                   base::CallId call);
  // Releases the slot of `call`. If the result of the call was lost, the caller
  // must keep the runner unusable until the report to a new claim has shown
  // which tasks run there. Returns the runner, or nothing if the call is
  // unknown.
  std::optional<BackendIndex> Return(base::CallId call);

  // Records the tasks that the runner lists as running, in its report to a new
  // claim (OnClaimReport) or in a later report (OnReport).
  void OnClaimReport(BackendIndex runner, std::set<base::TaskId> running);
  void OnReport(BackendIndex runner, const std::set<base::TaskId>& running);
  // Records that the runner's leases have expired, so that none of the listed
  // tasks is running any more.
  void OnLapsed(BackendIndex runner);

  // Returns the tasks that the runner listed in its report to the last claim,
  // less those that a later report no longer lists. The runner must be in the
  // pool.
  const std::set<base::TaskId>& RunningAtClaim(BackendIndex runner) const {
    return runners_.at(runner).running_at_claim;
  }
  // A version number that increases whenever the result of RunningAtClaim may
  // have changed for any runner.
  std::uint64_t changes() const { return changes_; }

  base::Slots Free(const base::ServiceId& service) const;
  base::Slots Total(const base::ServiceId& service) const;
  base::Slots free_total() const { return base::Slots(free_total_); }
  base::Slots total() const { return base::Slots(total_); }
  // Whether no call holds a slot.
  bool is_idle() const { return calls_.empty(); }

 private:
  struct Runner {
    base::ServiceId service;
    std::int64_t capacity = 0;
    bool usable = false;
    // The number of calls started since the last claim, and before it.
    std::int64_t calls = 0;
    std::int64_t earlier_calls = 0;
    // See RunningAtClaim.
    std::set<base::TaskId> running_at_claim;

    std::int64_t Used() const;
    std::int64_t Free() const;
  };
  struct Service {
    // The usable runners with a free slot, as (minus the number of free slots,
    // runner), so that the runner with the most free slots comes first.
    std::set<std::pair<std::int64_t, BackendIndex>> by_free;
    std::int64_t free = 0;
    std::int64_t total = 0;
  };
  struct Call {
    BackendIndex runner = kNoBackend;
    // Whether the call was started before the last claim of the runner.
    bool earlier = false;
  };

  // Detach removes a runner from the sums and Attach adds it again. Change a
  // runner only between the two.
  void Detach(BackendIndex index);
  void Attach(BackendIndex index);

  std::unordered_map<BackendIndex, Runner> runners_;
  std::map<base::ServiceId, Service> services_;
  std::unordered_map<base::CallId, Call> calls_;
  // Invariant: the sums over `services_`.
  std::int64_t free_total_ = 0;
  std::int64_t total_ = 0;
  std::uint64_t changes_ = 0;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_SLOT_POOL_H_
