// Stores the owner's task records by id and by the time they are due.
#include "dotterelbarrow/core/task_table.h"

namespace dotterelbarrow::core {

TaskRecord* TaskTable::Find(const base::TaskId& task) {
  const auto it = records_.find(task);
  return it == records_.end() ? nullptr : &it->second;
}

TaskRecord* TaskTable::Create(const TaskSpec& spec) {
  TaskRecord& record = records_[spec.id];
  record.spec = spec;
  record.serial = ++last_serial_;
  return &record;
}

void TaskTable::Erase(TaskRecord* record) {
  SetDue(record, std::nullopt);
  const auto it = records_.find(record->spec.id);
  records_.erase(it);
}

void TaskTable::SetDue(TaskRecord* record,
                       std::optional<base::TimePoint> when) {
  if (record->due) {
    due_.erase({*record->due, record->serial});
  }
  record->due = when;
  if (when) {
    due_.emplace(std::pair(*when, record->serial), record);
  }
}

TaskRecord* TaskTable::PopDue(base::TimePoint now) {
  if (due_.empty() || due_.begin()->first.first > now) {
    return nullptr;
  }
  TaskRecord* record = due_.begin()->second;
  SetDue(record, std::nullopt);
  return record;
}

std::vector<TaskRecord*> TaskTable::OfPartition(base::PartitionId partition) {
  return Select([partition](const TaskRecord& record) {
    return record.spec.partition == partition;
  });
}

}  // namespace dotterelbarrow::core
