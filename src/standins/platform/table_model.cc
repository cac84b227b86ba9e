// Implementation of the table and object model.
#include "src/standins/platform/table_model.h"

#include <algorithm>
#include <utility>

namespace dotterelbarrow::standins {

core::TableStatus TableModel::Transact(
    const core::TableTransaction& transaction) {
  const bool all_hold =
      std::all_of(transaction.conditions.begin(), transaction.conditions.end(),
                  [this](const core::RowCondition& c) { return Holds(c); });
  if (!all_hold) {
    return core::TableStatus::kConflict;
  }
  for (const core::RowWrite& write : transaction.writes) {
    Cell& cell = rows_[write.key];
    cell.version = cell.version.next();
    cell.value = write.value;
  }
  return core::TableStatus::kCommitted;
}

core::TableRows TableModel::Read(const core::TableRead& read) const {
  core::TableRows result;
  result.call = read.call;
  result.status = core::TableStatus::kCommitted;
  auto it = read.after >= read.prefix ? rows_.upper_bound(read.after)
                                      : rows_.lower_bound(read.prefix);
  for (; it != rows_.end() && it->first.starts_with(read.prefix); ++it) {
    const auto& [key, cell] = *it;
    if (cell.value.empty()) {
      continue;
    }
    if (result.rows.size() == read.limit) {
      result.more = true;
      break;
    }
    result.rows.push_back({key, cell.version, cell.value});
  }
  return result;
}

void TableModel::PutObject(const std::string& key, std::string value) {
  objects_[key] = std::move(value);
}

void TableModel::DeleteObject(const std::string& key) { objects_.erase(key); }

std::optional<std::string> TableModel::FindObject(
    const std::string& key) const {
  const auto it = objects_.find(key);
  if (it == objects_.end()) {
    return std::nullopt;
  }
  return it->second;
}

bool TableModel::Holds(const core::RowCondition& condition) const {
  const auto it = rows_.find(condition.key);
  const bool present = it != rows_.end() && !it->second.value.empty();
  const base::RowVersion version =
      present ? it->second.version : base::RowVersion();
  return version == condition.version;
}

}  // namespace dotterelbarrow::standins
