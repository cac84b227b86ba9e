// Starts and restarts the tasks of a partition's batch jobs and services, and
// tracks every task, including those of all-at-once jobs, until it is confirmed
// to have ended.
//
// A task waits here, not at a shard owner, until an owner has enough free
// resources or is likely to have them soon. Until then limits, cancellations
// and shares still apply to it. Teams take turns; within a team urgent tasks go
// first, then the oldest.
//
// If a task may run at an owner that has left the term in which the task was
// handed to it, the task is unconfirmed and counts as running, until a
// reconciliation round has found it or has confirmed that it doesn't run
// anywhere.
#ifndef DOTTERELBARROW_CORE_TASK_SCHEDULER_H_
#define DOTTERELBARROW_CORE_TASK_SCHEDULER_H_

#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/job_table.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/reconciliation_round.h"
#include "dotterelbarrow/core/record_log.h"
#include "dotterelbarrow/core/task_tracker.h"

namespace dotterelbarrow::core {

class GangScheduler;

class TaskScheduler {
 public:
  // The arguments must outlive this object.
  TaskScheduler(TaskTracker* book, JobTable* jobs, RecordLog* log,
                GangScheduler* gangs, base::PartitionId partition);
  TaskScheduler(const TaskScheduler&) = delete;
  TaskScheduler& operator=(const TaskScheduler&) = delete;

  // Adds a job that has just become durable.
  void Accept(Job* job, base::TimePoint now);
  // Adds the jobs accepted by earlier managers, as replayed from the store.
  // Their tasks may be running.
  void AdoptReplayed(base::TimePoint now);
  // Stops all tasks of a job; none is started afterwards.
  void StopJob(Job* job, base::TimePoint now);

  void Tick(base::TimePoint now);
  void OnMembershipChanged(base::TimePoint now);
  // Stops tasks of teams that exceed the limits now in force.
  void EnforceLimits(base::TimePoint now);
  void OnPlaceReply(const PlaceReply& reply, base::TimePoint now);
  void OnTaskUpdate(const base::EntryId& from, const TaskUpdate& update,
                    base::TimePoint now);
  // Acknowledges the ends of tasks that waited until the end of their job is
  // durable.
  void OnJobEndDurable(const base::JobId& job);
  void OnInventory(const base::EntryId& from, const InventoryReply& reply,
                   base::TimePoint now);

  // Whether a reconciliation round has been completed under this manager.
  bool has_complete_inventory() const { return has_complete_inventory_; }

 private:
  struct TeamQueue {
    std::deque<TaskKey> urgent;
    std::deque<TaskKey> normal;
    // The queue is skipped until then, because its first task could not be
    // placed.
    base::TimePoint next_try;
  };

  void Enqueue(const Job& job, const Task& task);
  // Queues a task that is confirmed not to run again, after `delay`.
  void Requeue(Job* job, Task* task, base::Duration delay, base::TimePoint now);
  void ScheduleTeam(const base::TeamId& team, TeamQueue* queue,
                    base::TimePoint now);
  // Returns whether the task is to leave the queue; false if it can't be placed
  // now.
  bool ScheduleTask(const TaskKey& key, base::TimePoint now);
  void RecordStart(Job* job, Task* task, base::TimePoint now);
  void CheckDueTasks(base::TimePoint now);
  void ActOn(Job* job, Task* task, base::TimePoint now);
  // Has the task checked again at `at`.
  void Watch(const TaskKey& key, base::TimePoint at);

  void BeginRoundIfNeeded(base::TimePoint now);
  void ResolveUnconfirmed(base::TimePoint now);
  void AdoptFound(const base::EntryId& from, const MemberRecord& member,
                  const InventoryTask& found, base::TimePoint now);

  // Handle the update of a task, by how the task ended.
  void OnSucceeded(const base::EntryId& from, const TaskUpdate& update,
                   Job* job, Task* task, base::TimePoint now);
  void OnNotSucceeded(const TaskUpdate& update, Job* job, Task* task,
                      base::TimePoint now);
  void OnFailed(const TaskUpdate& update, Job* job, Task* task,
                base::TimePoint now);
  void OnGone(const TaskUpdate& update, Job* job, Task* task,
              base::TimePoint now);
  // Handles an update of an attempt that is over.
  void OnLateUpdate(const TaskUpdate& update, base::TimePoint now);
  // Notes that the process of the backend server has ended under an attempt of
  // `task`. Returns whether that happened too often.
  bool RecordCrash(const TaskUpdate& update, Task* task) const;
  void EndCrashingJob(Job* job, base::TimePoint now);
  // Returns the job and task that `update` is about, or nulls if it is about an
  // attempt that is over. Sets `*wait` if that can't be decided yet.
  std::pair<Job*, Task*> MatchUpdate(const TaskUpdate& update, bool* wait);
  void Acknowledge(const base::EntryId& to, const base::TaskId& task);

  TaskTracker* tracker_;
  JobTable* jobs_;
  RecordLog* log_;
  GangScheduler* gangs_;
  base::PartitionId partition_;
  ReconciliationRound round_;
  bool has_complete_inventory_ = false;
  // The waiting tasks of each team.
  std::map<base::TeamId, TeamQueue> queues_;
  // Tasks to check again, by the time of the check: tasks being placed or
  // removed, tasks whose start is delayed, and tasks of jobs with a deadline.
  std::multimap<base::TimePoint, TaskKey> due_;
  // Attempts whose ends must not be acknowledged yet, because their success or
  // the end of their job is not durable.
  std::set<base::TaskId> unacknowledged_;
  // Those that wait for the end of a job, and the owners that reported them.
  std::map<base::JobId, std::vector<std::pair<base::EntryId, base::TaskId>>>
      unstored_ends_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_TASK_SCHEDULER_H_
