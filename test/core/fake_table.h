// An in-memory table service that can be unavailable, lose answers, delay
// transactions and return stale rows.
//
// Call Handle for each TableTransaction and TableRead, and pass its result on
// as the answer.
#ifndef DOTTERELBARROW_TEST_CORE_FAKE_TABLE_H_
#define DOTTERELBARROW_TEST_CORE_FAKE_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dotterelbarrow/core/messages.h"

namespace dotterelbarrow::core {

class FakeTable {
 public:
  // While the table is unavailable, all calls are refused and have no effect.
  void set_down(bool unavailable) { unavailable_ = unavailable; }
  // The next `count` transactions are executed, but answered with kUnknown.
  void LoseAnswers(int count) { answers_to_lose_ = count; }
  // The next `count` transactions are answered with kUnknown, and executed by
  // ReleaseHeld.
  void HoldTransactions(int count) { transactions_to_hold_ = count; }
  // The next `count` transactions are refused and have no effect.
  void RefuseTransactions(int count) { transactions_to_refuse_ = count; }
  // Until Thaw, reads return the rows as they are now.
  void FreezeReads() {
    frozen_ = rows_;
    is_frozen_ = true;
  }
  void Thaw() { is_frozen_ = false; }

  // Executes the delayed transactions in order. Returns how many were
  // committed.
  int ReleaseHeld() {
    int committed = 0;
    for (const TableTransaction& transaction : held_) {
      committed += Commit(transaction) ? 1 : 0;
    }
    held_.clear();
    return committed;
  }

  TableResult Handle(const TableTransaction& transaction) {
    if (unavailable_ || transactions_to_refuse_ > 0) {
      transactions_to_refuse_ -= transactions_to_refuse_ > 0 ? 1 : 0;
      return {transaction.call, TableStatus::kUnavailable};
    }
    ++transactions_;
    if (transactions_to_hold_ > 0) {
      --transactions_to_hold_;
      held_.push_back(transaction);
      return {transaction.call, TableStatus::kUnknown};
    }
    const bool committed = Commit(transaction);
    if (answers_to_lose_ > 0) {
      --answers_to_lose_;
      return {transaction.call, TableStatus::kUnknown};
    }
    return {transaction.call,
            committed ? TableStatus::kCommitted : TableStatus::kConflict};
  }

  TableRows Handle(const TableRead& read) const {
    TableRows answer;
    answer.call = read.call;
    if (unavailable_) {
      return answer;
    }
    answer.status = TableStatus::kCommitted;
    const std::map<std::string, Row>& rows = is_frozen_ ? frozen_ : rows_;
    for (auto it = rows.lower_bound(read.prefix);
         it != rows.end() && it->first.starts_with(read.prefix); ++it) {
      if (it->first <= read.after) {
        continue;
      }
      if (answer.rows.size() == read.limit) {
        answer.more = true;
        break;
      }
      answer.rows.push_back(it->second);
    }
    return answer;
  }

  const std::map<std::string, Row>& rows() const { return rows_; }
  // The number of transactions that reached the table, including those that
  // conflicted.
  int transactions() const { return transactions_; }

 private:
  bool Commit(const TableTransaction& transaction) {
    for (const RowCondition& condition : transaction.conditions) {
      const auto it = rows_.find(condition.key);
      const base::RowVersion version =
          it == rows_.end() ? base::RowVersion(0) : it->second.version;
      if (version != condition.version) {
        return false;
      }
    }
    for (const RowWrite& write : transaction.writes) {
      if (write.value.empty()) {
        rows_.erase(write.key);
      } else {
        // A version is never used again, even after the row was deleted.
        rows_[write.key] = {write.key, base::RowVersion(++last_version_),
                            write.value};
      }
    }
    return true;
  }

  std::map<std::string, Row> rows_;
  std::map<std::string, Row> frozen_;
  bool is_frozen_ = false;
  std::vector<TableTransaction> held_;
  std::uint64_t last_version_ = 0;
  int transactions_ = 0;
  int answers_to_lose_ = 0;
  int transactions_to_hold_ = 0;
  int transactions_to_refuse_ = 0;
  bool unavailable_ = false;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_TEST_CORE_FAKE_TABLE_H_
