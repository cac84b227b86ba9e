// Placement of tasks that may crash their workers.
#ifndef DOTTERELBARROW_CORE_SCHEDULER_DISPATCHER_SUSPECTS_H_
#define DOTTERELBARROW_CORE_SCHEDULER_DISPATCHER_SUSPECTS_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/jobs/job.h"
#include "dotterelbarrow/core/placement/worker_choice.h"
#include "dotterelbarrow/core/scheduler/dispatcher_context.h"
#include "dotterelbarrow/core/scheduler/pending_losses.h"
#include "dotterelbarrow/core/scheduler/waiting_step.h"
#include "dotterelbarrow/core/workers/worker.h"

namespace dotterelbarrow::core::scheduler {

// Chooses workers so that a crash tells which task caused it, and announces the
// starts of suspects in the store.
class DispatcherSuspects {
 public:
  // `context` must outlive this object.
  explicit DispatcherSuspects(DispatcherContext* context) : context_(context) {}

  // Records that a worker of a previous owner is lost. It may have crashed
  // under runs that nobody remembers.
  void RecordInheritedLoss() { has_lost_inherited_workers_ = true; }
  // When the newest incarnation of any worker was born, by its own clock.
  std::int64_t newest_born_ms() const { return newest_born_ms_; }
  // Reads from the fleet which worker was born last. Call it before each pass,
  // and before newest_born_ms.
  void UpdateNewestIncarnation();
  // Whether tasks of the job may have crashed workers under previous owners: a
  // worker was lost, or was born after the job was accepted. The next start of
  // each of its tasks is then announced in the store, so that a further crash
  // is remembered even if no owner lives long enough to see one.
  bool MayHaveCrashedWorkers(const jobs::Job& job) const;
  // What is known about the workers of a start that a previous owner announced
  // and that is missing. A start that was never confirmed may not have been
  // sent, and is not missing.
  struct MissingStart {
    // Whether one of them has crashed.
    bool has_crashed = false;
    // Those that neither answer nor are known to have crashed.
    std::vector<jobs::WorkerIncarnation> silent{};
  };
  // Precondition: all inherited workers are reconciled, so that a start that is
  // not missing is known.
  MissingStart FindMissingStart(const jobs::CrashHistory& crashes) const;
  // If the announced start of the task is missing, records what is known of it.
  // Returns whether that proves the task guilty; its job has failed then.
  bool IsGuiltyOfMissingStart(jobs::Job* job, const jobs::TaskRef& task,
                              base::TimePoint now);
  // Returns the losses that were recorded since the last call, because starts
  // are missing and their workers are silent.
  std::vector<PendingLosses::Loss> TakeLosses() {
    return std::exchange(losses_, {});
  }
  // Returns the tasks that were found guilty of crashing workers since the last
  // call, because of starts that are missing after a change of owner. Their
  // jobs have failed.
  std::vector<jobs::TaskRef> TakeGuiltyTasks() {
    return std::exchange(guilty_tasks_, {});
  }

  // Chooses a worker for a task of the step, according to what it may endanger.
  // Returns null if there is none, or if the task has to wait; then notes that
  // in the step.
  const workers::Worker* ChooseForTask(
      WaitingStep* item, std::uint32_t index,
      std::vector<placement::Candidate>* candidates,
      std::vector<placement::Candidate>* suspects_candidates,
      base::TimePoint now);
  // Whether the next start of the task has to wait for news of the workers that
  // were lost with it. Each start waits for a bounded time only: such a worker
  // may be cut off for long, or never come back.
  bool WaitsForEvidence(const jobs::TaskRef& task,
                        const jobs::CrashHistory& crashes, base::TimePoint now);
  // The task is started, so that its next start waits anew.
  void RecordStart(const jobs::TaskRef& task) {
    evidence_awaited_until_.erase(task);
  }
  // Whether the next start of the task must be announced in the store.
  bool NeedsAnnouncement(const WaitingStep& item, const jobs::Task& task,
                         const jobs::CrashHistory& crashes) const;
  // Announces the next start of such a task on `worker`, null for a gang, and
  // returns whether that is stored, so that it can be started. A start that a
  // previous owner had announced, that no worker reported and whose worker has
  // crashed counts as a crash; if that proves the task guilty, its job is given
  // up instead.
  bool IsStartAnnounced(jobs::Job* job, const jobs::TaskRef& task,
                        jobs::Attempt attempt, const workers::Worker* worker,
                        base::TimePoint now);
  // Whether the step's queue is on alert and none of its tasks has shown yet
  // that it doesn't crash its worker.
  bool IsUnproven(const WaitingStep& item, base::TimePoint now) const;
  // Whether the worker takes no new tasks because one that is suspected of
  // crashing workers runs there or is about to.
  bool IsKeptForSuspect(const workers::Worker& worker,
                        base::TimePoint now) const;

 private:
  // If the next start of the task was announced on one of the candidates and
  // still fits there, moves all other candidates to `others`.
  void KeepAnnouncedOnly(const jobs::CrashHistory& crashes,
                         jobs::Attempt attempt, const jobs::StepSpec& spec,
                         std::vector<placement::Candidate>* candidates,
                         std::vector<placement::Candidate>* others) const;
  // Chooses a worker for a task that is suspected of crashing workers: one on
  // which nothing was started just now, so that another crash proves which task
  // caused it. If there is none, lets no other task start on a worker until it
  // will do. Removes the worker from `candidates`. Returns null if the task has
  // to wait.
  const workers::Worker* ChooseForSuspect(
      std::vector<placement::Candidate>* candidates, const jobs::StepSpec& spec,
      const base::BackendId& failed_on, base::TimePoint now);

  DispatcherContext* context_;
  bool has_lost_inherited_workers_ = false;
  // When the newest incarnation of any worker was born, by its own clock, and
  // whether that of some worker is unknown.
  // The version of the fleet's incarnations from which the next two are.
  std::optional<std::uint64_t> incarnations_version_;
  std::int64_t newest_born_ms_ = workers::kUnknownIncarnation;
  bool has_unknown_incarnation_ = false;
  // The workers on which nothing else is started until a suspect can be, and
  // when that ends in any case.
  std::map<workers::WorkerNumber, base::TimePoint> kept_for_suspects_;
  // Until when the next starts of tasks wait for evidence. May hold tasks that
  // are done.
  std::map<jobs::TaskRef, base::TimePoint> evidence_awaited_until_;
  // Not empty only until the next call of TakeLosses.
  std::vector<PendingLosses::Loss> losses_;
  // Not empty only until the next call of TakeGuiltyTasks.
  std::vector<jobs::TaskRef> guilty_tasks_;
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_DISPATCHER_SUSPECTS_H_
