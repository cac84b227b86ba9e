// Implements the queue of tasks that wait for free resources.
#include "dotterelbarrow/core/pending_queue.h"

namespace dotterelbarrow::core {

PendingQueue::TeamQueueId PendingQueue::QueueIdOf(const TaskRecord& record) {
  return {!record.spec.urgent, record.spec.id.job.team};
}

PendingQueue::Age PendingQueue::AgeOf(const TaskRecord& record) {
  return {record.As<QueuedPhase>()->since, record.serial};
}

PendingQueue::Rank PendingQueue::RankOf(const TeamQueueId& id,
                                        const TeamQueue& queue) {
  return {id.first, queue.position, id.second};
}

void PendingQueue::Add(TaskRecord* record) {
  const TeamQueueId id = QueueIdOf(*record);
  TeamQueue& queue = queues_[id];
  order_.erase(RankOf(id, queue));
  queue.position = record->share_position;
  order_.insert(RankOf(id, queue));
  size_ += queue.tasks.emplace(AgeOf(*record), record).second ? 1 : 0;
}

void PendingQueue::Remove(const TaskRecord& record) {
  const TeamQueueId id = QueueIdOf(record);
  const auto it = queues_.find(id);
  if (it == queues_.end()) {
    return;
  }
  size_ -= it->second.tasks.erase(AgeOf(record));
  if (it->second.tasks.empty()) {
    order_.erase(RankOf(id, it->second));
    queues_.erase(it);
  }
}

double PendingQueue::PositionOf(const TaskRecord& record) const {
  const auto it = queues_.find(QueueIdOf(record));
  return it == queues_.end() ? record.share_position : it->second.position;
}

bool PendingQueue::GoesBefore(const TaskRecord& a, const TaskRecord& b) const {
  if (QueueIdOf(a) == QueueIdOf(b)) {
    return AgeOf(a) < AgeOf(b);
  }
  if (a.spec.urgent != b.spec.urgent) {
    return a.spec.urgent;
  }
  return PositionOf(a) < PositionOf(b);
}

std::vector<TaskRecord*> PendingQueue::First(std::size_t most) const {
  std::vector<TaskRecord*> first;
  for (const Rank& rank : order_) {
    const TeamQueue& queue = queues_.at({rank.not_urgent, rank.team});
    for (const auto& [age, record] : queue.tasks) {
      if (first.size() >= most) {
        return first;
      }
      first.push_back(record);
    }
  }
  return first;
}

}  // namespace dotterelbarrow::core
