// Where the product's own records lie in the platform's store.
//
//   table        part   key         written by
//   dtb_head     cell   head        whoever claims the cell; the owner, with
//                                   each of its transactions
//   dtb_jobs     cell   job's key   the owner: what was accepted
//   dtb_progress cell   job's key   the owner: how far it is
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
    case core::scheduler::RecordTable::kAcceptances:
      return "dtb_jobs";
    case core::scheduler::RecordTable::kProgress:
      return "dtb_progress";
    case core::scheduler::RecordTable::kWorkers:
      return "dtb_workers";
  }
  return "";
}

// One row of a table.
inline platform::RowRange RowOf(core::scheduler::RecordTable table,
                                const std::string& key) {
  return platform::OnlyRow({TableOf(table), kCellPart, key});
}

// The rows of a table from `key` on.
inline platform::RowRange RowsFrom(core::scheduler::RecordTable table,
                                   const std::string& key) {
  return {.table = TableOf(table), .part = kCellPart, .from = key, .end = ""};
}

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_STORE_LAYOUT_H_
