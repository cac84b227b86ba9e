// Layout of this program's own records in the platform's store.
//
//   table        key         written by
//   dtb_head     head        a host that claims the shard, and its owner with
//                            each of its transactions
//   dtb_head     plan        the owner of an undivided cell, when it divides
//   the
//                            cell; only in the part of shard 0
//   dtb_live     page        the owner: jobs and their progress
//   dtb_ended    page        the owner: states of completed jobs
//   dtb_workers  worker's id the owner: its address, as long as anything may
//                            run there
//   dtb_times    summary     the owner: workers' speeds and queues' run times,
//                            every few seconds; hosts of earlier versions
//                            ignore it
//
// All rows of a shard lie in one part, because a transaction can only write
// rows of a single part, and each includes the shard's ownership record. Shard
// 0 has the part of a cell that isn't divided.
#ifndef DOTTERELBARROW_SRC_MEMBER_STORE_LAYOUT_H_
#define DOTTERELBARROW_SRC_MEMBER_STORE_LAYOUT_H_

#include <string>

#include "dotterelbarrow/core/scheduler/job_registry.h"
#include "dotterelbarrow/core/shards/shard_plan.h"
#include "platform/store_client.h"

namespace dotterelbarrow::member {

inline constexpr const char* kCellPart = "cell";
inline constexpr const char* kOwnershipTable = "dtb_head";
inline constexpr const char* kOwnershipKey = "head";
inline constexpr const char* kPlanKey = "plan";

inline std::string PartOf(core::shards::ShardNumber shard) {
  return shard.value() == 0 ? std::string(kCellPart)
                            : kCellPart + ("-" + std::to_string(shard.value()));
}

inline platform::RowKey OwnershipRow(core::shards::ShardNumber shard) {
  return {kOwnershipTable, PartOf(shard), kOwnershipKey};
}

// Returns the range of the ownership record of shard 0 and the plan.
inline platform::RowRange OwnershipAndPlanRows() {
  return {.table = kOwnershipTable,
          .part = kCellPart,
          .from = kOwnershipKey,
          .end = ""};
}

inline const char* TableOf(core::scheduler::RecordTable table) {
  switch (table) {
    case core::scheduler::RecordTable::kLivePages:
      return "dtb_live";
    case core::scheduler::RecordTable::kEndedPages:
      return "dtb_ended";
    case core::scheduler::RecordTable::kWorkers:
      return "dtb_workers";
    case core::scheduler::RecordTable::kRunTimes:
      return "dtb_times";
    case core::scheduler::RecordTable::kShardPlan:
      return kOwnershipTable;
  }
  return "";
}

// Returns the range of rows of a shard's table with keys not less than `key`.
inline platform::RowRange RowsFrom(core::scheduler::RecordTable table,
                                   core::shards::ShardNumber shard,
                                   const std::string& key) {
  return {
      .table = TableOf(table), .part = PartOf(shard), .from = key, .end = ""};
}

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_STORE_LAYOUT_H_
