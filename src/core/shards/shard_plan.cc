// Looks up the shards of jobs and workers, and encodes plans.
#include "dotterelbarrow/core/shards/shard_plan.h"

#include <json/json.h>

#include <utility>

#include "dotterelbarrow/base/hash.h"
#include "dotterelbarrow/core/codec.h"

namespace dotterelbarrow::core::shards {
namespace {

// Bounds what an unusual record can make a host do.
constexpr Json::UInt kMaxShards = 1000;

Json::UInt ToJson(ShardNumber shard) {
  return static_cast<Json::UInt>(shard.value());
}

// Calls `add` with the name and the shard of each entry. Returns false if an
// entry isn't a shard below `count`.
template <typename Add>
bool ReadShards(const Json::Value& entries, Json::UInt count, const Add& add) {
  if (!entries.isObject()) {
    return false;
  }
  for (const std::string& name : entries.getMemberNames()) {
    const Json::Value& shard = entries[name];
    if (!shard.isUInt() || shard.asUInt() >= count) {
      return false;
    }
    add(name, ShardNumber(shard.asUInt()));
  }
  return true;
}

}  // namespace

ShardNumber ShardPlan::Hashed(const std::string& name) const {
  return ShardNumber(base::StableHash(name) % count_);
}

ShardNumber ShardPlan::ShardOf(const base::OrganisationId& organisation,
                               jobs::JobKey job) const {
  if (organisation.empty()) {
    return ShardNumber(base::MixBits(job.value()) % count_);
  }
  const auto assigned = assignments_.organisations.find(organisation);
  return assigned == assignments_.organisations.end()
             ? Hashed(organisation.value())
             : assigned->second;
}

ShardNumber ShardPlan::ShardOf(const workers::Listing& worker) const {
  if (worker.rack.empty()) {
    return Hashed(worker.id.value());
  }
  const auto assigned = assignments_.racks.find(worker.rack);
  return assigned == assignments_.racks.end() ? Hashed(worker.rack)
                                              : assigned->second;
}

ShardNumber ShardPlan::HomeShardOf(const base::EntryId& host) const {
  return Hashed(host.value());
}

std::string EncodeShardPlan(const ShardPlan& plan) {
  Json::Value value(Json::objectValue);
  value["shards"] = plan.count();
  value["last_token"] = static_cast<Json::UInt64>(plan.last_token().value());
  value["organisations"] = Json::Value(Json::objectValue);
  for (const auto& [id, shard] : plan.assignments().organisations) {
    value["organisations"][id.value()] = ToJson(shard);
  }
  value["racks"] = Json::Value(Json::objectValue);
  for (const auto& [rack, shard] : plan.assignments().racks) {
    value["racks"][rack] = ToJson(shard);
  }
  return WriteJson(value);
}

std::optional<ShardPlan> DecodeShardPlan(const std::string& text,
                                         base::Failure* reason) {
  const auto value = ReadJson(text, reason);
  if (!value) {
    return std::nullopt;
  }
  const auto malformed = [reason](const char* detail) -> std::nullopt_t {
    *reason = {base::FailureCode::kMalformed,
               std::string("shard plan: ") + detail};
    return std::nullopt;
  };
  if (!value->isObject() || !(*value)["shards"].isUInt() ||
      !(*value)["last_token"].isUInt64()) {
    return malformed("a field is missing or has the wrong type");
  }
  const Json::UInt count = (*value)["shards"].asUInt();
  if (count < 1 || count > kMaxShards) {
    return malformed("the number of shards is out of range");
  }
  ShardAssignments assignments;
  const bool are_valid =
      ReadShards((*value)["organisations"], count,
                 [&](const std::string& name, ShardNumber shard) {
                   assignments.organisations.emplace(name, shard);
                 }) &&
      ReadShards((*value)["racks"], count,
                 [&](const std::string& name, ShardNumber shard) {
                   assignments.racks.emplace(name, shard);
                 });
  if (!are_valid) {
    return malformed("an assignment is not to one of the shards");
  }
  return ShardPlan(count,
                   scheduler::FencingToken((*value)["last_token"].asUInt64()),
                   std::move(assignments));
}

}  // namespace dotterelbarrow::core::shards
