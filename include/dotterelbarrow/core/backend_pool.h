// The backend servers of the shards that this entry host owns, and their free
// resources.
//
// A backend server's free resources are its capacity less the demands of all
// tasks that are held, starting, running or being stopped there. Code that
// changes a field on which the free resources or the usability of a backend
// server depend must then call Refresh, which updates the indexes and the sums.
#ifndef DOTTERELBARROW_CORE_BACKEND_POOL_H_
#define DOTTERELBARROW_CORE_BACKEND_POOL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/claim_state.h"
#include "dotterelbarrow/core/free_resources_index.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/quarantine.h"
#include "dotterelbarrow/core/slot_pool.h"
#include "dotterelbarrow/core/task_record.h"

namespace dotterelbarrow::core {

// The lease that this owner has granted to one backend server.
struct LeaseRecord {
  // The token of the last report under this owner's epoch, and when that report
  // was received.
  std::uint64_t token = 0;
  base::TimePoint token_received;
  // The time by which every lease granted under this owner's epochs is
  // guaranteed to have expired, allowing for clock drift.
  std::optional<base::TimePoint> expires_by;
};

// Reserves a backend server for one task, across the task's attempts.
struct BackendReservation {
  // The current attempt; null between two attempts.
  TaskRecord* holder = nullptr;
  base::TaskId task;
  base::TimePoint expires;
};

// A task that was lost while its backend server was silent. Whether the backend
// server's process has ended under it is unknown until it reports again.
struct LostTask {
  base::TaskId task;
  base::PartitionId partition;
  // The incarnation that listed the task.
  base::Incarnation incarnation;
};

struct Backend {
  explicit Backend(const base::EntryId& self) : claim(self) {}

  BackendIndex index = kNoBackend;
  HostRecord host;
  // Whether the host list still contains the backend server.
  bool listed = true;
  ClaimState claim;
  LeaseRecord lease;
  // The time since when conflicting owners may have been granting it leases.
  base::TimePoint conflicting_owners_since;
  // Whether every task that may be running on it is known, because it is
  // claimed or all its leases have expired.
  bool all_tasks_known = false;
  // Whether it has answered the last sync.
  bool responsive = false;
  // Incremented with each report, to tell which tasks were listed in the last
  // one.
  std::uint64_t reports = 0;
  // Whether the claim in progress only serves to fence off messages that were
  // in flight to it: neither the owner nor the incarnation of the backend
  // server has changed.
  bool fencing = false;
  // The number of consecutive claims that lost to a claim under a higher epoch.
  std::uint32_t overtaken = 0;
  bool lease_valid = false;
  base::Resources capacity;
  // Invariant: the sum of the demands of `tasks`.
  base::Resources used;
  std::vector<TaskRecord*> tasks;
  Quarantine quarantine;
  std::optional<BackendReservation> reservation;
  // The free resources of this backend server that are included in its shard's
  // sum. Maintained by the pool.
  base::Resources counted;
  // To be sent with the next sync: ended tasks that need not be reported again,
  // and tasks to stop because this owner has no record of them.
  std::vector<base::TaskId> acknowledge;
  std::vector<base::TaskId> stop;
  // The tasks that its last silence has cost.
  std::vector<LostTask> lost;

  base::Resources free() const { return capacity - used; }
};

// The backend servers of one shard.
struct ShardMembers {
  std::set<BackendIndex> members;
  // The sum of the free resources of the usable workers without a reservation.
  base::Resources free;
};

class BackendPool {
 public:
  explicit BackendPool(base::EntryId self) : self_(std::move(self)) {}

  Backend* Add(const HostRecord& host);
  // Removes a backend server, which must have no tasks.
  void Remove(Backend* backend);
  Backend* Find(const base::BackendId& id);
  Backend& at(BackendIndex index) { return *backends_[index]; }
  const Backend& at(BackendIndex index) const { return *backends_[index]; }
  // Returns the backend server at `index`, or null if there is none. `index`
  // must be below index_limit().
  Backend* Get(BackendIndex index) { return backends_[index].get(); }
  std::size_t index_limit() const { return backends_.size(); }
  // Returns all backend servers, sorted by name.
  std::vector<Backend*> All();
  const std::map<base::ShardId, ShardMembers>& shards() const {
    return shards_;
  }

  // Assigns a task to a backend server, or removes it from its backend server.
  void Attach(Backend* backend, TaskRecord* record);
  void Detach(TaskRecord* record);
  // Updates the indexes and sums after a change of a backend server's usability
  // or free resources.
  void Refresh(Backend* backend);

  // Whether new work may be placed on it, provided that it has enough free
  // resources and no reservation.
  bool IsUsable(const Backend& backend) const;
  // Whether any worker that accepts new work could hold `demand` if it were
  // empty. Takes the larger of the capacities in its last report and in the
  // host list.
  bool CouldEverHold(const base::Resources& demand) const;
  // Whether the host list contains any worker owned here that is not leaving.
  bool takes_work() const;

  // The usable workers without a reservation, in two indexes: workers without
  // accelerators, and workers with accelerators.
  FreeResourcesIndex& plain_index() { return plain_index_; }
  FreeResourcesIndex& accelerator_index() { return accelerator_index_; }
  SlotPool& slots() { return slots_; }
  const SlotPool& slots() const { return slots_; }

  // Returns the total and largest free resources and capacities of the backend
  // servers, and their slots.
  const CapacitySummary& room() const;

 private:
  base::EntryId self_;
  std::vector<std::unique_ptr<Backend>> backends_;
  std::vector<BackendIndex> vacant_;
  std::unordered_map<base::BackendId, BackendIndex> by_id_;
  std::map<base::ShardId, ShardMembers> shards_;
  FreeResourcesIndex plain_index_;
  FreeResourcesIndex accelerator_index_;
  SlotPool slots_;
  // The summary is recomputed lazily, at the first read after a change.
  mutable CapacitySummary room_;
  mutable bool capacity_summary_outdated_ = false;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_BACKEND_POOL_H_
