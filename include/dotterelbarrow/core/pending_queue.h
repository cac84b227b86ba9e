// The tasks that wait for free resources, in the order in which they are
// placed: urgent tasks first, then the tasks of the team furthest below its
// share, and within a team the task that has waited longest.
#ifndef DOTTERELBARROW_CORE_PENDING_QUEUE_H_
#define DOTTERELBARROW_CORE_PENDING_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/task_record.h"

namespace dotterelbarrow::core {

class PendingQueue {
 public:
  // Adds a queued task. Its share position replaces that of all tasks of its
  // team with the same urgency.
  void Add(TaskRecord* record);
  // Removes a task. Does nothing if the task is not in the queue.
  void Remove(const TaskRecord& record);

  // Whether `a` is to be placed before `b`. Both must be in the phase
  // QueuedPhase, but need not be in the queue yet.
  bool GoesBefore(const TaskRecord& a, const TaskRecord& b) const;
  // Returns the first `most` tasks, or all if there are fewer.
  std::vector<TaskRecord*> First(std::size_t most) const;

  bool empty() const { return size_ == 0; }
  std::size_t size() const { return size_; }

 private:
  // Identifies the queue of one team; its first part is false for the team's
  // urgent tasks, which have a queue of their own.
  using TeamQueueId = std::pair<bool, base::TeamId>;
  using Age = std::pair<base::TimePoint, std::uint64_t>;
  struct TeamQueue {
    double position = 0;
    std::map<Age, TaskRecord*> tasks;
  };
  struct Rank {
    bool not_urgent;
    double position;
    base::TeamId team;
    friend auto operator<=>(const Rank&, const Rank&) = default;
  };

  static TeamQueueId QueueIdOf(const TaskRecord& record);
  static Age AgeOf(const TaskRecord& record);
  static Rank RankOf(const TeamQueueId& id, const TeamQueue& queue);
  double PositionOf(const TaskRecord& record) const;

  // Invariant: no team queue is empty.
  std::map<TeamQueueId, TeamQueue> queues_;
  // Invariant: contains the rank of each queue in `queues_`.
  std::set<Rank> order_;
  std::size_t size_ = 0;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_PENDING_QUEUE_H_
