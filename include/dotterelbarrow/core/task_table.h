// The owner's records of all tasks that still need an action, by id and by the
// time at which an action is due.
#ifndef DOTTERELBARROW_CORE_TASK_TABLE_H_
#define DOTTERELBARROW_CORE_TASK_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/task_record.h"

namespace dotterelbarrow::core {

class TaskTable {
 public:
  // Returns the record of `task`, or null. The pointer stays valid until the
  // record is erased.
  TaskRecord* Find(const base::TaskId& task);
  // Adds a record; the task must not have one yet.
  TaskRecord* Create(const TaskSpec& spec);
  void Erase(TaskRecord* record);

  // Sets when the next action on the record is due; nullopt means that none is.
  void SetDue(TaskRecord* record, std::optional<base::TimePoint> when);
  // Returns the record that has been due longest, or null if none is due. The
  // returned record is no longer due.
  TaskRecord* PopDue(base::TimePoint now);

  // Returns all records of `partition`, in order of creation.
  std::vector<TaskRecord*> OfPartition(base::PartitionId partition);
  // Returns all records in the phase `Phase`, in order of creation.
  template <typename Phase>
  std::vector<TaskRecord*> InPhase() {
    return Select([](const TaskRecord& r) { return r.Is<Phase>(); });
  }

  std::size_t size() const { return records_.size(); }

 private:
  template <typename Predicate>
  std::vector<TaskRecord*> Select(Predicate predicate) {
    std::map<std::uint64_t, TaskRecord*> chosen;
    for (auto& [id, record] : records_) {
      if (predicate(record)) {
        chosen.emplace(record.serial, &record);
      }
    }
    std::vector<TaskRecord*> result;
    result.reserve(chosen.size());
    for (const auto& [serial, record] : chosen) {
      result.push_back(record);
    }
    return result;
  }

  std::unordered_map<base::TaskId, TaskRecord> records_;
  // Invariant: contains exactly the records whose `due` is set.
  std::map<std::pair<base::TimePoint, std::uint64_t>, TaskRecord*> due_;
  std::uint64_t last_serial_ = 0;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_TASK_TABLE_H_
