// The platform's table service and object store as a state machine without I/O.
// The stand-in program serves it over HTTP; the fuzzer uses it as a fake.
#ifndef DOTTERELBARROW_STANDINS_PLATFORM_TABLE_MODEL_H_
#define DOTTERELBARROW_STANDINS_PLATFORM_TABLE_MODEL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/core/messages.h"

namespace dotterelbarrow::standins {

class TableModel {
 public:
  // Writes all rows and returns kCommitted if all conditions hold; else changes
  // nothing and returns kConflict. An empty value deletes the row. Each write
  // or deletion increases the row's version by one.
  core::TableStatus Transact(const core::TableTransaction& transaction);

  // Returns at most `limit` rows in key order: those with the prefix, after the
  // key `after`. Sets `more` if there are further rows.
  core::TableRows Read(const core::TableRead& read) const;

  void PutObject(const std::string& key, std::string value);
  // Has no effect if there is no such object.
  void DeleteObject(const std::string& key);
  // Returns nothing if there is no such object.
  std::optional<std::string> FindObject(const std::string& key) const;

 private:
  struct Cell {
    base::RowVersion version;
    // Empty for a deleted row. A deleted row is kept so that its versions never
    // start again: a condition on a deleted row's version can't hold for a row
    // created later under the same key.
    std::string value;
  };

  // An absent or deleted row has version 0.
  bool Holds(const core::RowCondition& condition) const;

  std::map<std::string, Cell> rows_;
  std::map<std::string, std::string> objects_;
};

}  // namespace dotterelbarrow::standins

#endif  // DOTTERELBARROW_STANDINS_PLATFORM_TABLE_MODEL_H_
