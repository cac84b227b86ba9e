// Starts all-at-once jobs: all tasks of a job, or none (gang scheduling).
//
// For each task, a shard owner is asked for a hold: it reserves resources for
// the task without starting it. Once all tasks are held, all are started. If
// one can't be held, all holds are released and the job tries again after a
// random delay. Holds expire, so that two jobs can't block each other forever.
//
// A job that has failed several times to get all its holds may become
// privileged: it waits in the queues of the owners and keeps its holds
// meanwhile. Only one job of a partition is privileged at a time. Without this
// large jobs would starve behind small ones.
#ifndef DOTTERELBARROW_CORE_GANG_SCHEDULER_H_
#define DOTTERELBARROW_CORE_GANG_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/job_table.h"
#include "dotterelbarrow/core/record_log.h"
#include "dotterelbarrow/core/task_tracker.h"

namespace dotterelbarrow::core {

class GangScheduler {
 public:
  // The arguments must outlive this object.
  GangScheduler(TaskTracker* book, RecordLog* log);
  GangScheduler(const GangScheduler&) = delete;
  GangScheduler& operator=(const GangScheduler&) = delete;

  // Adds a new job, none of whose tasks has been started.
  void Accept(Job* job, base::TimePoint now);
  // Adds a job accepted by an earlier manager, whose tasks are unconfirmed.
  void Adopt(Job* job, base::TimePoint now);
  void Tick(base::TimePoint now);

  // Must be called when the state of a task of an added job changes; the
  // scheduler then holds, starts, releases or ends the job as a whole.

  // An owner holds resources for `task`.
  void OnHeld(Job* job, Task* task, base::TimePoint now);
  // An owner refused to hold resources for `task`.
  void OnNoRoom(Job* job, Task* task, base::TimePoint now);
  // `task` has ended or is confirmed not to run. Its phase must already be
  // kWaiting or kFinished.
  void OnEnded(Job* job, Task* task, TaskEnd end, const std::string& result,
               base::TimePoint now);
  // A reconciliation round has resolved unconfirmed tasks of the job: each has
  // been found at an owner or is confirmed not to run.
  void OnConfirmed(Job* job, base::TimePoint now);
  void Forget(const base::JobId& job) { gangs_.erase(job); }

 private:
  enum class Stage {
    kWaiting,
    kRecording,  // Non-idempotent job: its start is being made durable.
    kHolding,
    kRunning,
    kReleasing,  // Waiting until every task is confirmed not to run.
  };
  struct Gang {
    Stage stage = Stage::kWaiting;
    std::uint32_t tries = 0;
    base::TimePoint next_try;
    base::TimePoint stage_since;
    base::TimePoint next_refresh;
    // How many tasks each owner was asked to hold at the latest try.
    std::map<base::EntryId, std::uint64_t> requested;
    // For each owner that held fewer tasks than requested at a failed try: the
    // number that it held, which is the most that the next try requests of it.
    // The owner's capacity summary alone may promise too much, since it doesn't
    // tell how free resources are spread over backend servers.
    std::map<base::EntryId, std::uint64_t> owner_limits;
  };

  void TryHold(Job* job, Gang* gang, base::TimePoint now);
  // Returns an owner for each task, or nullopt if the free resources of the
  // owners do not seem to suffice.
  std::optional<std::vector<base::EntryId>> Plan(const Job& job,
                                                 const Gang& gang,
                                                 bool privileged);
  // Lowers the limits of the owners that held fewer tasks than requested.
  void UpdateOwnerLimits(const Job& job, Gang* gang);
  void RepeatCommit(Job* job, Gang* gang, base::TimePoint now);
  void Release(Job* job, Gang* gang, base::TimePoint now);
  void EndIfAllSucceeded(Job* job, base::TimePoint now);
  void CheckHolding(Job* job, Gang* gang, base::TimePoint now);
  void CheckReleasing(Job* job, Gang* gang, base::TimePoint now);
  base::Duration Backoff(std::uint32_t tries);
  bool IsPrivileged(const base::JobId& job) const { return privileged_ == job; }

  TaskTracker* tracker_;
  RecordLog* log_;
  std::map<base::JobId, Gang> gangs_;
  // The job that may keep its holds while it waits for more, if any.
  std::optional<base::JobId> privileged_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_GANG_SCHEDULER_H_
