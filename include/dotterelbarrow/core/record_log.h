// Appends records to a partition's journal, and runs a callback once each
// record is durable.
#ifndef DOTTERELBARROW_CORE_RECORD_LOG_H_
#define DOTTERELBARROW_CORE_RECORD_LOG_H_

#include <deque>
#include <functional>
#include <utility>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/job_table.h"
#include "dotterelbarrow/core/journal.h"

namespace dotterelbarrow::core {

class RecordLog {
 public:
  using DurableCallback = std::function<void(base::TimePoint)>;

  // `journal` must outlive this object.
  explicit RecordLog(Journal* journal) : journal_(journal) {}

  // Appends `record`. Tick calls `callback` once the record is durable.
  JournalPosition Append(const JobRecord& record, DurableCallback callback) {
    const JournalPosition position = journal_->Append(EncodeRecord(record));
    pending_callbacks_.emplace_back(position, std::move(callback));
    return position;
  }

  // Withdraws the record and its callback if the record is guaranteed not to
  // have been written; otherwise returns false and changes nothing.
  bool Withdraw(JournalPosition position) {
    if (!journal_->Withdraw(position)) {
      return false;
    }
    std::erase_if(pending_callbacks_, [position](const auto& each) {
      return each.first == position;
    });
    return true;
  }

  // Runs the callbacks of the records that have become durable, in order of
  // position.
  void Tick(base::TimePoint now) {
    while (!pending_callbacks_.empty() &&
           pending_callbacks_.front().first <= journal_->durable()) {
      const DurableCallback callback =
          std::move(pending_callbacks_.front().second);
      pending_callbacks_.pop_front();
      callback(now);
    }
  }

 private:
  Journal* journal_;
  // Callbacks of records that are not known to be durable, in order of
  // position.
  std::deque<std::pair<JournalPosition, DurableCallback>> pending_callbacks_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_RECORD_LOG_H_
