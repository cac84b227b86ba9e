// Owns shards: claims their backend servers, renews their leases, and is the
// only component that places work on them.
//
// A shard belongs to the live entry that wins it by rendezvous hashing. A new
// owner claims each backend server by raising its epoch, and learns from its
// report what runs there; until then the backend server counts as full. An
// unreachable backend server stays full, and its tasks count as possibly
// running, until its lease is certain to have expired: the backend lease (with
// clock drift) after the last grant of this owner, or, after a takeover, the
// backend lease after a majority has voted the previous owner out.
#ifndef DOTTERELBARROW_CORE_SHARD_OWNER_H_
#define DOTTERELBARROW_CORE_SHARD_OWNER_H_

#include <sigc++/sigc++.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/core/membership.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/outbox.h"
#include "dotterelbarrow/core/settings.h"

namespace dotterelbarrow::core {

// A slot reserved on a runner for one interactive request.
struct SlotGrant {
  base::BackendId backend;
  std::string address;
  base::Epoch epoch;
};

// An interactive request on a runner.
struct RunnerTask {
  base::BackendId backend;
  base::TaskId task;

  friend bool operator==(const RunnerTask&, const RunnerTask&) = default;
  friend auto operator<=>(const RunnerTask&, const RunnerTask&) = default;
};

class ShardOwner {
 public:
  // All pointers must outlive this object. `seed` seeds the random number
  // generator.
  ShardOwner(const NodeSettings* settings, Outbox* outbox, Counters* counters,
             const Membership* membership, std::uint64_t seed,
             base::TimePoint now);
  ~ShardOwner();
  ShardOwner(const ShardOwner&) = delete;
  ShardOwner& operator=(const ShardOwner&) = delete;

  void Tick(base::TimePoint now);
  void OnMembershipChanged(base::TimePoint now);
  void OnHostList(const HostList& list, base::TimePoint now);
  void OnReport(const BackendReport& report, base::TimePoint now);
  void OnUnreachable(const BackendUnreachable& input, base::TimePoint now);

  // Messages from managers, including this entry's own.
  void OnPlace(const base::EntryId& from, const PlaceTask& place,
               base::TimePoint now);
  void OnCommitHold(const base::EntryId& from, const CommitHold& commit,
                    base::TimePoint now);
  void OnRemove(const base::EntryId& from, const RemoveTask& remove,
                base::TimePoint now);
  void OnUpdateAck(const TaskUpdateAck& ack);
  // Replies with the known tasks of the partition. A shard is listed as
  // complete only once all its backend servers are accounted for; managers
  // repeat the request until all are. The quota slices come from the slice
  // lister, if one was set.
  void OnInventory(const base::EntryId& from, const InventoryRequest& request,
                   base::TimePoint now);

  // Returns the quota slices that this entry holds for the teams of a
  // partition. The epoch is that of the manager that asks.
  using SliceLister =
      std::function<std::vector<std::pair<base::TeamId, base::Slots>>(
          base::PartitionId, const base::Epoch&)>;
  void set_slice_lister(SliceLister lister);

  // Takes a slot on a claimed, responsive runner of `service` for `call`, or
  // returns nothing if none is free. The caller sends the RunCommand.
  std::optional<SlotGrant> TakeSlot(const base::ServiceId& service,
                                    base::CallId call, base::TimePoint now);
  // Releases the slot of the call. After kLost the slot stays taken until a
  // report shows that the runner no longer works on the request, or its lease
  // has expired. kFailed and kLost count towards the quarantine of the runner.
  void ReturnSlot(const RunResult& result, base::TimePoint now);
  bool IsOwned(const base::BackendId& backend) const;
  // Whether a request that was sent to a runner under `epoch` may be running or
  // still start: true until the runner reports under a later claim without
  // listing it, or its lease is certain to have expired.
  bool MayStillRun(const RunnerTask& run, const base::Epoch& epoch) const;
  // The requests that the runners owned here listed when they were claimed and
  // that are not known to have ended; and a counter that is incremented when
  // they change.
  std::set<RunnerTask> ListedRunnerTasks() const;
  std::uint64_t runner_task_changes() const;
  // Free and total slots for `service` on the runners owned here.
  base::Slots FreeSlots(const base::ServiceId& service) const;
  base::Slots TotalSlots(const base::ServiceId& service) const;

  // Free capacity of this owner, as heartbeats report it.
  CapacitySummary room() const;
  // Whether the host list is known and every backend server of the shards owned
  // here is accounted for.
  bool is_reconciled() const;
  // Whether no task or request of this owner is in progress.
  bool is_idle() const;

  // Emitted when slots become free, for the queue of interactive requests.
  sigc::signal<void(base::TimePoint)>& slots_freed();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_SHARD_OWNER_H_
