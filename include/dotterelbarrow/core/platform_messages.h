// Requests from the core to the platform, and the responses: the transactional
// table, the object store and the host list, which lags behind the real state.
//
// The driver answers each call to the table or the object store exactly once; a
// response carries the id of its call.
#ifndef DOTTERELBARROW_CORE_PLATFORM_MESSAGES_H_
#define DOTTERELBARROW_CORE_PLATFORM_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/backend_messages.h"

namespace dotterelbarrow::core {

struct RowCondition {
  std::string key;
  // The version that the row must have; 0 means that it must be absent.
  base::RowVersion version;

  friend bool operator==(const RowCondition&, const RowCondition&) = default;
};

struct RowWrite {
  std::string key;
  // Empty text deletes the row.
  std::string value;

  friend bool operator==(const RowWrite&, const RowWrite&) = default;
};

struct Row {
  std::string key;
  base::RowVersion version;
  std::string value;

  friend bool operator==(const Row&, const Row&) = default;
};

// Writes all rows if every condition holds, and none otherwise.
struct TableTransaction {
  base::CallId call;
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;

  friend bool operator==(const TableTransaction&,
                         const TableTransaction&) = default;
};

enum class TableStatus {
  kCommitted,
  kConflict,     // A condition did not hold; nothing was written.
  kUnavailable,  // The service refused the call; nothing was written.
  kUnknown,      // No answer; the rows may or may not have been written.
};

struct TableResult {
  base::CallId call;
  TableStatus status = TableStatus::kUnknown;

  friend bool operator==(const TableResult&, const TableResult&) = default;
};

// Reads rows in key order: those whose keys start with `prefix` and sort after
// `after`, at most `limit` of them.
struct TableRead {
  base::CallId call;
  std::string prefix;
  std::string after;
  std::uint32_t limit = 1000;

  friend bool operator==(const TableRead&, const TableRead&) = default;
};

struct TableRows {
  base::CallId call;
  // Either kCommitted, and `rows` is valid, or kUnavailable.
  TableStatus status = TableStatus::kUnavailable;
  std::vector<Row> rows;
  // Whether further rows match that exceeded the limit.
  bool more = false;

  friend bool operator==(const TableRows&, const TableRows&) = default;
};

struct ObjectWrite {
  base::CallId call;
  std::string key;
  // Empty text deletes the object.
  std::string value;

  friend bool operator==(const ObjectWrite&, const ObjectWrite&) = default;
};

struct ObjectRead {
  base::CallId call;
  std::string key;

  friend bool operator==(const ObjectRead&, const ObjectRead&) = default;
};

// Answers ObjectWrite and ObjectRead. kConflict means that the object does not
// exist.
struct ObjectResult {
  base::CallId call;
  TableStatus status = TableStatus::kUnavailable;
  std::string value;

  friend bool operator==(const ObjectResult&, const ObjectResult&) = default;
};

struct HostListRead {
  friend bool operator==(const HostListRead&, const HostListRead&) = default;
};

struct HostList {
  bool available = false;
  std::vector<HostRecord> hosts;

  friend bool operator==(const HostList&, const HostList&) = default;
};

const char* ToString(TableStatus status);

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_PLATFORM_MESSAGES_H_
