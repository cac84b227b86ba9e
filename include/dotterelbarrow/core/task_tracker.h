// Moves tasks between phases, updates the counts that depend on the phases, and
// sends the owners the commands to place, start and remove tasks. Shared by the
// schedulers of one partition.
#ifndef DOTTERELBARROW_CORE_TASK_TRACKER_H_
#define DOTTERELBARROW_CORE_TASK_TRACKER_H_

#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <utility>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/config_controller.h"
#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/core/host_index.h"
#include "dotterelbarrow/core/job_table.h"
#include "dotterelbarrow/core/membership.h"
#include "dotterelbarrow/core/outbox.h"
#include "dotterelbarrow/core/owner_chooser.h"
#include "dotterelbarrow/core/settings.h"
#include "dotterelbarrow/core/team_ledger.h"

namespace dotterelbarrow::core {

// The objects that the parts of a partition's manager share. All outlive the
// manager.
struct ManagerContext {
  const NodeSettings* settings;
  Outbox* outbox;
  Counters* counters;
  const Membership* membership;
  const ConfigController* config;
  const HostIndex* hosts;
};

// Identifies a task regardless of its attempt.
struct TaskKey {
  base::JobId job;
  std::uint32_t index = 0;

  friend bool operator==(const TaskKey&, const TaskKey&) = default;
  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
};

class TaskTracker {
 public:
  TaskTracker(const ManagerContext& context, base::PartitionId partition,
              JobTable* jobs, std::uint64_t seed);
  TaskTracker(const TaskTracker&) = delete;
  TaskTracker& operator=(const TaskTracker&) = delete;

  // The epoch that commands carry from now on; owners refuse commands of an
  // earlier epoch.
  const base::Epoch& epoch() const { return epoch_; }
  void set_epoch(const base::Epoch& epoch) { epoch_ = epoch; }

  // Returns the job and the task, or nulls.
  std::pair<Job*, Task*> Find(const TaskKey& key);
  static TaskKey KeyOf(const Job& job, const Task& task);
  static base::TaskId IdOf(const Job& job, const Task& task);

  // Moves `task` to `phase`, and updates the ledger and the counts. The task's
  // next action becomes due at once.
  void SetPhase(Job* job, Task* task, TaskPhase phase, base::TimePoint now);

  // Gives the task a new attempt and sends it to `owner`, which starts it or,
  // if `hold` is set, only holds resources for it. `queue_timeout` is how long
  // the owner may queue it. Returns false and changes nothing if the membership
  // has no record of `owner`.
  bool Place(Job* job, Task* task, const base::EntryId& owner, bool hold,
             base::Duration queue_timeout, base::TimePoint now);
  // Repeats the request for resources that the owner already holds, so that it
  // doesn't release them.
  void RefreshHold(const Job& job, const Task& task);
  // Starts a task whose resources are held.
  void Commit(Job* job, Task* task, base::TimePoint now);
  // Sends the start command again; a repeated one has no further effect.
  void RepeatCommit(const Job& job, const Task& task);
  // Asks the owner to remove a task that it may have, and moves the task to
  // kRemoving. The caller must repeat this until the owner has answered.
  void Remove(Job* job, Task* task, base::TimePoint now);
  // Whether the owner to which the task was sent is live in the same
  // incarnation and term, and still owns the shard of the task's backend
  // server.
  bool IsOwnerCurrent(const Task& task) const;

  // Returns the team's limit, or nullopt if it has none.
  std::optional<base::Resources> LimitOf(const base::TeamId& team) const;
  // Returns the team's dominant fraction of the fleet's capacity, divided by
  // its weight.
  double SharePosition(const base::TeamId& team) const;

  // Decides how a job ends, and emits job_ended. Does nothing if the end was
  // decided before, so that the signal is emitted at most once per job.
  void EndJob(Job* job, Outcome outcome, Reason reason, std::string detail,
              base::TimePoint now);
  sigc::signal<void(Job*, Answer, base::TimePoint)>& job_ended() {
    return job_ended_;
  }

  TeamLedger& ledger() { return ledger_; }
  OwnerChooser& chooser() { return chooser_; }
  std::mt19937_64& random() { return random_; }
  const ManagerContext& context() const { return context_; }
  // The tasks in kUnconfirmed.
  const std::set<TaskKey>& unconfirmed() const { return unconfirmed_; }
  // The number of the team's tasks in kPlacing.
  std::uint32_t placing(const base::TeamId& team) const;

 private:
  TaskSpec MakeTaskSpec(const Job& job, const Task& task) const;
  PlaceTask MakePlaceTask(const Job& job, const Task& task, bool hold,
                          base::Duration queue_timeout) const;
  std::uint32_t NextAttempt(std::uint32_t last) const;

  const ManagerContext context_;
  base::PartitionId partition_;
  JobTable* jobs_;
  std::mt19937_64 random_;
  OwnerChooser chooser_;
  TeamLedger ledger_;
  base::Epoch epoch_;
  std::set<TaskKey> unconfirmed_;
  std::map<base::TeamId, std::uint32_t> placing_;
  sigc::signal<void(Job*, Answer, base::TimePoint)> job_ended_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_TASK_TRACKER_H_
