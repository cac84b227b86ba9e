// Implementation of the store model.
#include "src/standins/site/store_model.h"

#include <algorithm>

namespace dotterelbarrow::standins::site {

std::optional<std::uint64_t> StoreModel::Apply(
    const StoreTransaction& transaction) {
  const bool holds = std::all_of(
      transaction.conditions.begin(), transaction.conditions.end(),
      [this](const StoreTransaction::Condition& condition) {
        const StoredRow* row = Find(condition.row);
        return (row == nullptr ? 0 : row->version) == condition.version;
      });
  if (!holds) {
    return std::nullopt;
  }
  ++version_;
  for (const auto& [row, value] : transaction.puts) {
    rows_[row] = {value, version_};
  }
  for (const RowName& row : transaction.removals) {
    rows_.erase(row);
  }
  return version_;
}

void StoreModel::Put(const RowName& row, const std::string& value) {
  rows_[row] = {value, ++version_};
}

const StoredRow* StoreModel::Find(const RowName& row) const {
  const auto it = rows_.find(row);
  return it == rows_.end() ? nullptr : &it->second;
}

StoreModel::Range StoreModel::Read(const std::string& table,
                                   const std::string& part,
                                   const std::string& from,
                                   const std::string& end,
                                   std::size_t limit) const {
  Range range;
  for (auto it = rows_.lower_bound({table, part, from}); it != rows_.end();
       ++it) {
    const RowName& name = it->first;
    if (name.table != table || name.part != part ||
        (!end.empty() && name.key >= end)) {
      break;
    }
    if (range.rows.size() == limit) {
      range.has_more = true;
      break;
    }
    range.rows.emplace_back(*it);
  }
  return range;
}

}  // namespace dotterelbarrow::standins::site
