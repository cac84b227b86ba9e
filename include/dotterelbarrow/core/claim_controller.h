// Determines which shards this entry owns, claims their backend servers and
// renews their leases. Claiming a backend server makes it adopt a new epoch (a
// fencing token), so that it refuses the commands of every earlier owner.
#ifndef DOTTERELBARROW_CORE_CLAIM_CONTROLLER_H_
#define DOTTERELBARROW_CORE_CLAIM_CONTROLLER_H_

#include <sigc++/sigc++.h>

#include <cstdint>
#include <set>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/conflicting_owner_detector.h"
#include "dotterelbarrow/core/deadline_queue.h"
#include "dotterelbarrow/core/host_table.h"
#include "dotterelbarrow/core/owner_context.h"

namespace dotterelbarrow::core {

class ClaimController {
 public:
  // `context` must outlive this object.
  ClaimController(OwnerContext* context, base::TimePoint now);

  // Voids all claims if the membership lease was lost since the last call;
  // returns whether it did. Must be called first on every input and tick.
  bool CheckLeaseTerm(base::TimePoint now);
  // Sends the syncs that are due, and those that other controllers requested by
  // marking a backend server as dirty.
  void Tick(base::TimePoint now);
  void OnMembershipChanged(base::TimePoint now);
  void OnHostList(const HostList& list, base::TimePoint now);
  void OnReport(const BackendReport& report, base::TimePoint now);
  void OnUnreachable(const base::BackendId& id, base::TimePoint now);
  // Claims a backend server again under a higher epoch. It then refuses
  // commands that are still in transit, and its next report lists those that it
  // has accepted.
  void Fence(Backend* backend, base::TimePoint now);

  // Returns the owned shards whose backend servers are all accounted for: each
  // was claimed, or its last lease has expired. Empty without the membership
  // lease.
  std::vector<base::ShardId> CompleteShards();
  // Whether the host list is known and every owned shard is complete.
  bool is_reconciled();

  // Emitted with each report under the current epoch. The flag is true for the
  // first report under that epoch, which lists every task that may be running.
  sigc::signal<void(Backend*, const BackendReport&, bool, base::TimePoint)>&
  reported() {
    return reported_;
  }
  // Emitted when the claim on a backend server becomes void.
  sigc::signal<void(Backend*, base::TimePoint)>& voided() { return voided_; }
  // Emitted when the lease of a backend server has expired, so that nothing
  // sent to it can be running any more.
  sigc::signal<void(Backend*, base::TimePoint)>& lapsed() { return lapsed_; }
  // Emitted before a backend server is released to another owner or forgotten.
  sigc::signal<void(Backend*, base::TimePoint)>& dropped() { return dropped_; }

 private:
  bool IsOwned(const base::ShardId& shard, const HostTable::Shard& hosts) const;
  void Reconcile(base::TimePoint now);
  void Adopt(const HostTable::Host& host, base::TimePoint now);
  void Drop(Backend* backend, base::TimePoint now);
  void Void(Backend* backend, base::TimePoint now);
  void Visit(Backend* backend, base::TimePoint now);
  void Sync(Backend* backend, base::TimePoint now);
  bool HasLapsed(const Backend& backend, base::TimePoint now) const;
  void OnLapsed(Backend* backend, base::TimePoint now);
  void TakeReport(Backend* backend, const BackendReport& report, bool is_claim,
                  base::TimePoint now);
  void OnOvertaken(Backend* backend, const base::Epoch& epoch,
                   base::TimePoint now);

  OwnerContext* context_;
  ConflictingOwnerDetector conflicting_owners_;
  HostTable hosts_;
  std::set<base::ShardId> owned_;
  std::uint64_t lease_term_;
  DeadlineQueue<BackendIndex> visits_;
  base::TimePoint next_conflict_update_;
  sigc::signal<void(Backend*, const BackendReport&, bool, base::TimePoint)>
      reported_;
  sigc::signal<void(Backend*, base::TimePoint)> voided_;
  sigc::signal<void(Backend*, base::TimePoint)> lapsed_;
  sigc::signal<void(Backend*, base::TimePoint)> dropped_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_CLAIM_CONTROLLER_H_
