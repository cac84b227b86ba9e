// Implementation of the store model.
#include "src/standins/site/store_model.h"

#include <algorithm>

namespace dotterelbarrow::standins::site {
namespace {

constexpr std::size_t kMaxHistory = 20'000;

}  // namespace

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
    RecordChange(row);
  }
  for (const RowName& row : transaction.removals) {
    rows_.erase(row);
    RecordChange(row);
  }
  return version_;
}

void StoreModel::Put(const RowName& row, const std::string& value) {
  rows_[row] = {value, ++version_};
  RecordChange(row);
}

void StoreModel::Remove(const RowName& row) {
  if (rows_.erase(row) > 0) {
    ++version_;
    RecordChange(row);
  }
}

void StoreModel::RecordChange(const RowName& row) {
  const StoredRow* value = Find(row);
  changes_.push_back(
      {row, value == nullptr ? std::nullopt : std::optional(*value), version_});
  if (changes_.size() > kMaxHistory) {
    history_begin_ = changes_.front().version;
    changes_.pop_front();
  }
}

std::optional<std::vector<StoreModel::Change>> StoreModel::ChangesOf(
    const std::string& table, std::uint64_t after) const {
  if (after < history_begin_) {
    return std::nullopt;
  }
  std::vector<Change> result;
  for (const Change& change : changes_) {
    if (change.version > after && change.row.table == table) {
      result.push_back(change);
    }
  }
  return result;
}

void StoreModel::DropHistory() {
  changes_.clear();
  history_begin_ = version_;
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
