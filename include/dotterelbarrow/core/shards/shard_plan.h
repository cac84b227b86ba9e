// Divides a cell into shards: disjoint sets of organisations and of workers,
// each with an owner of its own.
//
// Load pattern: a fleet whose starts, polls and placements take more than one
// host's processor. All jobs of an organisation, and so its cap and its share,
// belong to one shard, and each worker belongs to one shard. Owners of
// different shards therefore share nothing that they would have to agree on.
//
// A plan never changes once it is stored: an organisation and a rack that it
// doesn't name belong to the shard that their names hash to.
#ifndef DOTTERELBARROW_CORE_SHARDS_SHARD_PLAN_H_
#define DOTTERELBARROW_CORE_SHARDS_SHARD_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dotterelbarrow/base/failure.h"
#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/core/desired/desired_state.h"
#include "dotterelbarrow/core/jobs/job_spec.h"
#include "dotterelbarrow/core/scheduler/actions.h"
#include "dotterelbarrow/core/workers/worker.h"

namespace dotterelbarrow::core::shards {

// The number of a shard, counted from 0.
using ShardNumber = base::NumberId<struct ShardNumberTag>;

// The assignments of a plan.
struct ShardAssignments {
  std::map<base::OrganisationId, ShardNumber> organisations;
  std::map<std::string, ShardNumber> racks;

  friend bool operator==(const ShardAssignments&,
                         const ShardAssignments&) = default;
};

class ShardPlan {
 public:
  // A cell of one shard.
  ShardPlan() = default;
  // Precondition: `count` is at least 1, and all assigned shards are below it.
  // `last_token` is the highest fencing token that any owner held before.
  ShardPlan(std::uint32_t count, scheduler::FencingToken last_token,
            ShardAssignments assignments)
      : count_(count),
        last_token_(last_token),
        assignments_(std::move(assignments)) {}

  std::uint32_t count() const { return count_; }
  // Owners under this plan hold higher tokens.
  scheduler::FencingToken last_token() const { return last_token_; }
  const ShardAssignments& assignments() const { return assignments_; }

  // Returns the shard of an organisation's job; that of a job without an
  // organisation follows from its key.
  ShardNumber ShardOf(const base::OrganisationId& organisation,
                      jobs::JobKey job) const;
  // Returns the shard of a worker. It follows from the worker's rack or, if it
  // has none, from its id.
  ShardNumber ShardOf(const workers::Listing& worker) const;
  // Returns the shard of which a host becomes the owner first.
  ShardNumber HomeShardOf(const base::EntryId& host) const;

  friend bool operator==(const ShardPlan&, const ShardPlan&) = default;

 private:
  ShardNumber Hashed(const std::string& name) const;

  std::uint32_t count_ = 1;
  scheduler::FencingToken last_token_{};
  ShardAssignments assignments_;
};

std::string EncodeShardPlan(const ShardPlan& plan);
// Returns nullopt and sets `reason` if `text` is malformed.
std::optional<ShardPlan> DecodeShardPlan(const std::string& text,
                                         base::Failure* reason);

struct ShardPlannerSettings {
  // How many workers one owner manages. A fleet of less than twice as many has
  // one shard.
  std::size_t workers_per_shard = 500;
  // Each shard has at least this many workers of each service and label, or
  // else the plan has fewer shards: a job whose label no worker of its shard
  // has would never start.
  std::size_t min_workers_of_kind = 8;
};

// Returns a plan for these workers and organisations: organisations are spread
// so that the sums of their weights are alike, and each shard gets whole racks
// in proportion to the weights of its organisations, of each service and label.
ShardPlan PlanShards(const std::vector<const workers::Listing*>& workers,
                     const std::vector<desired::Organisation>& organisations,
                     scheduler::FencingToken last_token,
                     const ShardPlannerSettings& settings);

}  // namespace dotterelbarrow::core::shards

#endif  // DOTTERELBARROW_CORE_SHARDS_SHARD_PLAN_H_
