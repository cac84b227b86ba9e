// The shards of the cell as one entry host sees them: a controller for each,
// and the plan that assigns jobs to them.
#ifndef DOTTERELBARROW_SRC_MEMBER_SHARD_SET_H_
#define DOTTERELBARROW_SRC_MEMBER_SHARD_SET_H_

#include <json/json.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "dotterelbarrow/core/shards/shard_plan.h"
#include "src/member/shard_controller.h"

namespace dotterelbarrow::member {

class ShardSet {
 public:
  // Starts with a cell of one shard. Sets the functions of `host` that concern
  // the plan, the number of shards of the host, and resignations.
  explicit ShardSet(ShardHost host);
  ShardSet(const ShardSet&) = delete;
  ShardSet& operator=(const ShardSet&) = delete;

  // Starts to follow the owners.
  void Start();
  void BeginShutdown();

  // Forwards a call about the organisation's job to the owner of its shard, or
  // a count of waiting jobs to all owners, whose counts are added up. Calls the
  // reply once. A count is answered only if all owners answer.
  void Call(const base::OrganisationId& organisation, const OwnerCall& call,
            const OwnerReply& reply);
  // See OwnerCallForwarder.
  void set_call_timeout(base::Duration timeout);
  void FinishCalls();

  // Returns the controller of the shard that a call of another host names; null
  // if this host doesn't know such a shard.
  ShardController* Find(const Json::Value& params) const;

  // Calls the function with each term of this host.
  void ForEachTerm(const std::function<void(OwnerTerm&)>& function) const;
  bool has_terms() const;
  // Returns the owner that this host heeds first, that of its home; null if it
  // knows none.
  const core::leadership::OwnershipRecord* home_owner() const;

  // Returns the time since the last poll of an ownership record that the store
  // answered; nullopt if there was none.
  std::optional<base::Duration> StoreContactAge(base::TimePoint now) const;
  // Returns the time since the last heartbeat that the owner of the home shard
  // answered, zero if this host is that owner; nullopt if there was none.
  std::optional<base::Duration> OwnerContactAge(base::TimePoint now) const;

 private:
  void AdoptPlan(const core::shards::ShardPlan& plan);
  std::size_t OwnedShards(core::shards::ShardNumber but) const;
  bool MayResign();
  const ShardController& home() const;
  void CountPending(const PendingCall& call, const OwnerReply& reply);

  ShardHost host_;
  std::shared_ptr<const core::shards::ShardPlan> plan_;
  // Invariant: one for each shard of the plan, in order.
  std::vector<std::unique_ptr<ShardController>> controllers_;
  base::TimePoint next_resignation_at_;
};

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_SHARD_SET_H_
