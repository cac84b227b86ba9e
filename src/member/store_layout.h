// Where the product's own records lie in the platform's store.
//
//   table        part   key         written by
//   dtb_head     cell   head        whoever claims the cell; the owner, with
//                                   each of its transactions
//   dtb_live     cell   page        the owner: jobs, and how far they are
//   dtb_ended    cell   page        the owner: states of ended jobs
//   dtb_workers  cell   worker's id the owner: its address, as long as
//                                   anything may run there
//
// All lie in one part, so that one transaction can hold them with the head.
#ifndef DOTTERELBARROW_SRC_MEMBER_STORE_LAYOUT_H_
#define DOTTERELBARROW_SRC_MEMBER_STORE_LAYOUT_H_

#include <string>

#include "dotterelbarrow/core/scheduler/job_book.h"
#include "platform/store_client.h"

namespace dotterelbarrow::member {

inline constexpr const char* kCellPart = "cell";
inline constexpr const char* kHeadKey = "head";

inline platform::RowKey HeadRow() { return {"dtb_head", kCellPart, kHeadKey}; }

inline const char* TableOf(core::scheduler::RecordTable table) {
  switch (table) {
    case core::scheduler::RecordTable::kLivePages:
      return "dtb_live";
    case core::scheduler::RecordTable::kEndedPages:
      return "dtb_ended";
    case core::scheduler::RecordTable::kWorkers:
      return "dtb_workers";
  }
  return "";
}

// The rows of a table from `key` on.
inline platform::RowRange RowsFrom(core::scheduler::RecordTable table,
                                   const std::string& key) {
  return {.table = TableOf(table), .part = kCellPart, .from = key, .end = ""};
}

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_STORE_LAYOUT_H_
