// Layout of this program's own records in the platform's store.
//
//   table        part   key         written by
//   dtb_head     cell   head        a host that claims the cell, and the owner
//                                   with each of its transactions
//   dtb_live     cell   page        the owner: jobs and their progress
//   dtb_ended    cell   page        the owner: states of completed jobs
//   dtb_workers  cell   worker's id the owner: its address, as long as
//                                   anything may run there
//   dtb_times    cell   summary     the owner: workers' speeds and queues' run
//                                   times, every few seconds; hosts of earlier
//                                   versions ignore it
//
// All rows lie in one part, because a transaction can only write rows of a
// single part, and each includes the ownership record.
#ifndef DOTTERELBARROW_SRC_MEMBER_STORE_LAYOUT_H_
#define DOTTERELBARROW_SRC_MEMBER_STORE_LAYOUT_H_

#include <string>

#include "dotterelbarrow/core/scheduler/job_registry.h"
#include "platform/store_client.h"

namespace dotterelbarrow::member {

inline constexpr const char* kCellPart = "cell";
inline constexpr const char* kOwnershipKey = "head";

inline platform::RowKey OwnershipRow() {
  return {"dtb_head", kCellPart, kOwnershipKey};
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
  }
  return "";
}

// Returns the range of rows of a table with keys not less than `key`.
inline platform::RowRange RowsFrom(core::scheduler::RecordTable table,
                                   const std::string& key) {
  return {.table = TableOf(table), .part = kCellPart, .from = key, .end = ""};
}

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_STORE_LAYOUT_H_
