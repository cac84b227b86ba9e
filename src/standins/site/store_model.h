// The platform's store as one value: rows with versions, and transactions that
// apply wholly or not at all.
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
  // As the writer sent it: base64.
  std::string value;
  std::uint64_t version = 0;
};

struct StoreTransaction {
  struct Condition {
    RowName row;
    // 0 means that the row doesn't exist.
    std::uint64_t version = 0;
  };
  std::vector<Condition> conditions;
  std::map<RowName, std::string> puts;
  std::vector<RowName> removals;
};

class StoreModel {
 public:
  // Returns the version of the rows that were put, or nullopt if a condition
  // didn't hold; then nothing changed.
  std::optional<std::uint64_t> Apply(const StoreTransaction& transaction);
  // Puts one row without a condition.
  void Put(const RowName& row, const std::string& value);
  void Remove(const RowName& row) { rows_.erase(row); }

  // Returns null for a row that doesn't exist.
  const StoredRow* Find(const RowName& row) const;
  struct Range {
    std::vector<std::pair<RowName, StoredRow>> rows;
    bool has_more = false;
  };
  // Returns the rows of a table's part from `from` up to `end`, which is left
  // out, or to the last one if `end` is empty; at most `limit`.
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
