// Serves interactive requests, both on the entry host that received them and on
// the entry host that owns the runner that executes them (the owner).
//
// A request is forwarded at most once: the entry host either serves it on a
// runner that it owns, or picks two owners at random and forwards the request
// to the one with more free slots. The owner starts the request immediately if
// a slot is free, queues it if it can still start before its deadline, and
// otherwise refuses it and tells the caller when to retry.
//
// A request that is not idempotent is sent to a runner at most once. If such a
// request has an idempotency key, the entry host first has the team's manager
// record a durable claim of that key.
#ifndef DOTTERELBARROW_CORE_INTERACTIVE_BROKER_H_
#define DOTTERELBARROW_CORE_INTERACTIVE_BROKER_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/config_controller.h"
#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/core/membership.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/outbox.h"
#include "dotterelbarrow/core/settings.h"
#include "dotterelbarrow/core/shard_owner.h"

namespace dotterelbarrow::core {

class InteractiveBroker {
 public:
  // All objects pointed to must outlive the broker. `seed` seeds its random
  // number generator.
  InteractiveBroker(const NodeSettings* settings, Outbox* outbox,
                    Counters* counters, const Membership* membership,
                    const ConfigController* config, ShardOwner* owner,
                    std::uint64_t seed, base::TimePoint now);
  ~InteractiveBroker();
  InteractiveBroker(const InteractiveBroker&) = delete;
  InteractiveBroker& operator=(const InteractiveBroker&) = delete;

  // Serves an admitted request. Exactly one CallerAnswer is sent for it.
  void Submit(CallerToken token, const WorkRequest& request,
              base::TimePoint now);
  void Tick(base::TimePoint now);
  void OnMembershipChanged(base::TimePoint now);
  void OnForward(const base::EntryId& from, const ForwardRequest& forward,
                 base::TimePoint now);
  void OnForwardReply(const ForwardReply& reply, base::TimePoint now);
  void OnRunResult(const RunResult& result, base::TimePoint now);
  void OnClaimReply(const ClaimReply& reply, base::TimePoint now);
  // Handles the grant of a quota slice, a part of a team's limit, by the team's
  // manager.
  void OnSliceGrant(const base::EntryId& from, const SliceGrant& grant,
                    base::TimePoint now);
  // Returns the quota slices that this entry host holds for the teams in
  // `partition`, for a reconciliation by the manager. From then on, grants
  // under an older epoch are rejected.
  std::vector<std::pair<base::TeamId, base::Slots>> SlicesFor(
      base::PartitionId partition, const base::Epoch& manager_epoch);

  // Returns the number of requests waiting for a slot on this entry host.
  std::uint32_t queued() const;
  // Whether no request of any caller or peer is in progress.
  bool is_idle() const;
  // Makes the broker refuse all new requests with Reason::kShuttingDown.
  void BeginShutdown();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_INTERACTIVE_BROKER_H_
