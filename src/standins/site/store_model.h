// The platform's store as a state machine without I/O: rows with versions, and
// transactions that apply atomically.
#ifndef DOTTERELBARROW_STANDINS_SITE_STORE_MODEL_H_
#define DOTTERELBARROW_STANDINS_SITE_STORE_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dotterelbarrow::standins::site {

struct RowName {
  std::string table;
  std::string part;
  std::string key;

  friend auto operator<=>(const RowName&, const RowName&) = default;
};

struct StoredRow {
  // The base64 text that the writer sent.
  std::string value;
  std::uint64_t version = 0;
};

struct StoreTransaction {
  struct Condition {
    RowName row;
    // The version that the row must have; 0 means that it must not exist.
    std::uint64_t version = 0;
  };
  std::vector<Condition> conditions;
  std::map<RowName, std::string> puts;
  std::vector<RowName> removals;
};

class StoreModel {
 public:
  // Applies the transaction and returns the store's new version, which becomes
  // the version of the rows put. If a condition doesn't hold, changes nothing
  // and returns nullopt.
  std::optional<std::uint64_t> Apply(const StoreTransaction& transaction);
  // Writes one row unconditionally.
  void Put(const RowName& row, const std::string& value);
  void Remove(const RowName& row);

  // A changed row; without a value if it was removed.
  struct Change {
    RowName row;
    std::optional<StoredRow> value;
    std::uint64_t version = 0;
  };
  // Returns the changes of a table after version `after`, in order; nullopt if
  // the store has dropped some of them.
  std::optional<std::vector<Change>> ChangesOf(const std::string& table,
                                               std::uint64_t after) const;
  // Drops the history of changes.
  void DropHistory();

  // Returns null for a row that doesn't exist.
  const StoredRow* Find(const RowName& row) const;
  struct Range {
    std::vector<std::pair<RowName, StoredRow>> rows;
    // Whether the limit cut off further rows.
    bool has_more = false;
  };
  // Returns at most `limit` rows of one part of a table, in key order: those
  // with keys in [from, end), or from `from` on if `end` is empty.
  Range Read(const std::string& table, const std::string& part,
             const std::string& from, const std::string& end,
             std::size_t limit) const;
  std::uint64_t version() const { return version_; }

 private:
  void RecordChange(const RowName& row);

  std::map<RowName, StoredRow> rows_;
  std::uint64_t version_ = 0;
  // The latest changes, oldest first: all those after `history_begin_`.
  std::deque<Change> changes_;
  std::uint64_t history_begin_ = 0;
};

}  // namespace dotterelbarrow::standins::site

#endif  // DOTTERELBARROW_STANDINS_SITE_STORE_MODEL_H_
