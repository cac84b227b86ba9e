// The platform's store as a state machine without I/O: rows with versions, and
// transactions that apply atomically.
#ifndef DOTTERELBARROW_STANDINS_SITE_STORE_MODEL_H_
#define DOTTERELBARROW_STANDINS_SITE_STORE_MODEL_H_

#include <cstddef>
#include <cstdint>
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
  void Remove(const RowName& row) { rows_.erase(row); }

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
  std::map<RowName, StoredRow> rows_;
  std::uint64_t version_ = 0;
};

}  // namespace dotterelbarrow::standins::site

#endif  // DOTTERELBARROW_STANDINS_SITE_STORE_MODEL_H_
