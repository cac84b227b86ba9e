// Runs a reconciliation round, which establishes the tasks of a partition that
// are certain not to be running anywhere.
//
// A round asks every live entry for its tasks of the partition, under a new,
// higher manager epoch: once an entry has replied, it refuses commands sent
// before the round. The round is complete once every live entry has replied,
// every other entry had been voted out when the round began, the shards
// reported as complete cover the host list, and commands in transit at its
// start have been delivered or refused.
//
// An entry that doesn't reply and isn't voted out may still hold its membership
// lease. It may claim its backend servers back, continue as the previous
// manager and start tasks that this manager believes to be waiting, or serve
// requests under its own quota slices.
#ifndef DOTTERELBARROW_CORE_RECONCILIATION_ROUND_H_
#define DOTTERELBARROW_CORE_RECONCILIATION_ROUND_H_

#include <map>
#include <set>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/host_index.h"
#include "dotterelbarrow/core/membership.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/outbox.h"
#include "dotterelbarrow/core/settings.h"

namespace dotterelbarrow::core {

class ReconciliationRound {
 public:
  // All pointers must outlive this object.
  ReconciliationRound(const NodeSettings* settings, Outbox* outbox,
                      const Membership* membership, const HostIndex* hosts,
                      base::PartitionId partition);

  // Starts a round under `epoch`, which no earlier round may have used.
  void Begin(const base::Epoch& epoch, base::TimePoint now);
  bool is_running() const { return running_; }
  base::TimePoint started_at() const { return started_at_; }
  // Sends the request again to the live entries, at a fixed period.
  void Tick(base::TimePoint now);
  // Records a reply; returns whether it belongs to the current round.
  bool OnReply(const base::EntryId& from, const InventoryReply& reply,
               base::TimePoint now);
  // Ends the round if it is complete; returns whether it did. Aborts the round
  // if an entry that has not replied was voted out after the round began: the
  // replies collected before that vote prove nothing, and a new round is
  // needed.
  bool EndIfComplete(base::TimePoint now);

 private:
  enum class Silence { kNone, kMayHoldLease, kVotedOutSince };

  // Returns the most severe state among the entries that have not replied.
  Silence WorstMissingReply(base::TimePoint now) const;
  bool CoversAllShards() const;

  const NodeSettings* settings_;
  Outbox* outbox_;
  const Membership* membership_;
  const HostIndex* hosts_;
  base::PartitionId partition_;

  bool running_ = false;
  base::Epoch epoch_;
  std::uint64_t sequence_ = 0;
  base::TimePoint started_at_;
  base::TimePoint next_request_;
  // Entries that had been voted out, and so had lost their membership leases,
  // when the round began.
  std::set<base::EntryId> voted_out_;
  // The complete shards in the latest reply of each entry in this round.
  std::map<base::EntryId, std::vector<base::ShardId>> replies_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_RECONCILIATION_ROUND_H_
