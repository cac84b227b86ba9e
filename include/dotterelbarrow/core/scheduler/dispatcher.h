// Places waiting tasks in the order of their urgency, on workers that the
// placement advisor allows, within the free resources of the workers and the
// caps of the organisations.
#ifndef DOTTERELBARROW_CORE_SCHEDULER_DISPATCHER_H_
#define DOTTERELBARROW_CORE_SCHEDULER_DISPATCHER_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "dotterelbarrow/core/advice/advice_cache.h"
#include "dotterelbarrow/core/desired/desired_state.h"
#include "dotterelbarrow/core/placement/crash_containment.h"
#include "dotterelbarrow/core/placement/gang_holds.h"
#include "dotterelbarrow/core/placement/gang_width.h"
#include "dotterelbarrow/core/placement/kept_rooms.h"
#include "dotterelbarrow/core/placement/load_shedder.h"
#include "dotterelbarrow/core/placement/locality_wait.h"
#include "dotterelbarrow/core/placement/overdue_turns.h"
#include "dotterelbarrow/core/placement/preemption_limits.h"
#include "dotterelbarrow/core/placement/preemption_planner.h"
#include "dotterelbarrow/core/placement/run_time_model.h"
#include "dotterelbarrow/core/placement/speed_preference.h"
#include "dotterelbarrow/core/placement/straggler_policy.h"
#include "dotterelbarrow/core/placement/urgency.h"
#include "dotterelbarrow/core/placement/worker_choice.h"
#include "dotterelbarrow/core/scheduler/actions.h"
#include "dotterelbarrow/core/scheduler/copy_tracker.h"
#include "dotterelbarrow/core/scheduler/decision_log.h"
#include "dotterelbarrow/core/scheduler/dispatcher_caps.h"
#include "dotterelbarrow/core/scheduler/dispatcher_context.h"
#include "dotterelbarrow/core/scheduler/dispatcher_settings.h"
#include "dotterelbarrow/core/scheduler/dispatcher_suspects.h"
#include "dotterelbarrow/core/scheduler/explanation.h"
#include "dotterelbarrow/core/scheduler/fleet.h"
#include "dotterelbarrow/core/scheduler/fleet_fit.h"
#include "dotterelbarrow/core/scheduler/job_registry.h"
#include "dotterelbarrow/core/scheduler/pass_effort.h"
#include "dotterelbarrow/core/scheduler/room_waits.h"
#include "dotterelbarrow/core/scheduler/run_index.h"
#include "dotterelbarrow/core/scheduler/waiting_step.h"

namespace dotterelbarrow::core::scheduler {

class Dispatcher {
 public:
  Dispatcher(DispatcherSettings settings, Telemetry telemetry,
             JobRegistry* jobs, Fleet* fleet, RunIndex* runs)
      : context_{.settings = settings,
                 .telemetry = telemetry,
                 .jobs = jobs,
                 .fleet = fleet,
                 .runs = runs},
        telemetry_(telemetry),
        jobs_(jobs),
        fleet_(fleet),
        runs_(runs) {}

  // The decisions point to the context.
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  // Replaces the configuration in use.
  void SetDesired(std::shared_ptr<const desired::DesiredState> desired);
  // Sets the entry hosts through which the advisor can be called.
  void set_advice_clients(const std::vector<base::EntryId>& entries) {
    advice_clients_.SetHosts(entries);
  }
  // Sets the lowest attempt number of this owner, which is above those of all
  // previous owners.
  void set_first_attempt(jobs::Attempt first) {
    context_.first_attempt = first;
  }
  // Sets when this owner was last certain to be the owner (see Fleet::Tick).
  void set_confirmed_at(base::TimePoint confirmed_at) {
    context_.confirmed_at = confirmed_at;
  }
  // Marks a job as accepted by a previous owner. Its steps are not started as
  // long as some worker may have untracked runs, because one of them may be a
  // run of this job.
  void MarkInherited(jobs::JobKey job) { context_.inherited.insert(job); }

  // What is known about tasks that may crash their workers.
  DispatcherSuspects& suspects() { return suspects_; }
  const DispatcherSuspects& suspects() const { return suspects_; }

  // Adds the rules of a queue that may have been dropped from the configuration
  // since. Does nothing if the queue is known.
  void RememberQueue(const desired::Queue& queue) {
    context_.known_queues.try_emplace(queue.id, queue);
  }
  // Returns the current rules of the queue or, if it was dropped, its last
  // ones; null if the queue was never known.
  const desired::Queue* FindQueue(const desired::QueueId& id) const {
    return context_.FindQueue(id);
  }

  // Adds the step to those that the next pass tries to place.
  void Enqueue(const jobs::StepRef& step) {
    if (!overdue_.contains(step)) {
      waiting_.insert(step);
    }
  }
  // Removes the step, with its advice.
  void Remove(const jobs::StepRef& step);
  // Returns whether a gang of the job would probably not fit on this owner's
  // workers even if nothing else ran on them.
  bool IsGangTooWide(const desired::Queue& queue,
                     const jobs::JobSpec& spec) const;
  // Returns whether and why a new job should be refused, judged by the last
  // pass.
  placement::Refusal ShouldRefuseNewWork(
      const desired::Queue& queue, const base::OrganisationId& organisation,
      bool over_share) const {
    return load_shedder_.Decide(queue.id, queue.priority, organisation,
                                over_share);
  }
  // Records that the job has arrived, so that room under its organisation's cap
  // is kept for urgent jobs like it.
  void RecordArrival(jobs::Job* job, const desired::Queue& queue,
                     base::TimePoint now) {
    caps_.RecordArrival(job, queue, now);
  }
  // Marks an accepted job as beyond its organisation's share.
  void MarkOverShare(jobs::JobKey job) { context_.over_share.insert(job); }
  // Drops the marks of a job.
  void RemoveJob(jobs::JobKey job);

  // Tells whether the owner's processor can't keep up with its work.
  void set_saturated(bool saturated) { load_shedder_.set_saturated(saturated); }

  // What is known about crashes; the scheduler reports proofs to it.
  placement::CrashContainment& containment() { return context_.containment; }
  // What is known about run times; the scheduler records completed runs in it.
  placement::RunTimeModel& run_times() { return context_.run_times; }
  const placement::RunTimeModel& run_times() const {
    return context_.run_times;
  }

  // The workers that accept work have changed: the next pass computes the
  // utilisation of the fleet and chooses workers for waiting gangs anew.
  void ForgetFleetState() {
    next_usage_update_ = base::TimePoint();
    unplaced_gangs_.clear();
    capped_gangs_.clear();
    gang_holds_.ForgetBackfill();
    room_waits_ = RoomWaits();
  }

  // Runs one scheduling pass: tries to place all waiting steps, the most urgent
  // first, and the overdue steps if they are due. Appends the resulting
  // actions.
  void RunPass(base::TimePoint now, std::vector<Action>* actions);
  // Handles the result of an advice request. Appends the starts and stops that
  // follow from it.
  void OnAdvice(const RequestAdvice& request, const AdviceResult& result,
                base::TimePoint now, std::vector<Action>* actions);
  // Invalidates the step's ticket for a worker, which refused it.
  void InvalidateTicket(const jobs::StepRef& step,
                        const base::BackendId& worker);

  // Returns how many jobs have had their first task started since the last
  // call.
  std::uint64_t TakeJobsBegun() { return std::exchange(jobs_begun_, 0); }

  // Returns how many jobs that can be on time the last pass found waiting for
  // the owner, not for the fleet, before their first task can be placed.
  std::uint64_t jobs_in_preparation() const { return jobs_in_preparation_; }
  // Returns what the passes since the last call have done.
  PassEffort TakeEffort() { return std::exchange(effort_, {}); }

  // Whether the job was accepted by a previous owner.
  bool IsInherited(jobs::JobKey job) const {
    return context_.inherited.contains(job);
  }
  // A run that a previous owner started was added to the worker.
  void OnRunAdopted(const base::BackendId& worker, const workers::Run& run,
                    base::TimePoint now);
  // A run has ended on the worker. Call before the end is recorded in its job.
  void OnRunEnded(const workers::Worker& worker, const workers::Run& run,
                  jobs::RunEnd end, base::TimePoint now);

  std::size_t waiting_steps() const {
    return waiting_.size() + overdue_.size();
  }
  // Returns whether a pass should decide now whether a task that waits for a
  // local worker waits on.
  bool IsPassDue(base::TimePoint now) const {
    return locality_.IsDecisionDue(now);
  }
  // Returns where the job's waiting steps would be placed now, and why. A job
  // that is not submitted must have a begun occurrence.
  std::vector<StepExplanation> Explain(jobs::Job job, bool is_submitted,
                                       base::TimePoint now) const;
  // Returns how many workers the last pass kept free for gangs.
  std::size_t held_workers() const { return gang_holds_.held_count(); }

 private:
  using Choice = TaskChoice;

  // What the last try to place a gang found.
  struct UnplacedGang {
    // Workers that may run it, and those kept free for it, with what it leaves
    // of them to other work.
    std::vector<workers::WorkerNumber> wanted;
    std::map<workers::WorkerNumber, placement::GangHolds::Remainder> held;
    // Whether these workers could hold it without the runs that end.
    bool could_hold = true;
    // Before this time the result of the last try stands.
    base::TimePoint next_try{};
  };
  // Whether workers could hold a gang that waits for its cap, and until when
  // that is taken as known.
  struct CappedGang {
    bool could_hold = false;
    base::TimePoint next_check{};
  };
  // Returns why no task of the step may start yet, even if resources are free.
  std::optional<WaitReason> WhyBlocked(const WaitingStep& item) const;
  // Places the overdue step whose turn it is, if any, or keeps free for it what
  // it lacks.
  void PlaceStepInTurn(base::TimePoint now, std::vector<Action>* actions);
  // Returns which part of the fleet or, if that is larger, of their cap this
  // many tasks of the step use.
  double ShareOf(const WaitingStep& item, std::size_t tasks) const;
  // Whether a small part of the fleet and of the step's cap is in use.
  bool IsLightlyLoadedFor(const WaitingStep& item) const;
  // Records that an overdue step waits, unless it couldn't use a turn.
  void RecordOverdueWait(const WaitingStep& item, WaitReason reason,
                         base::TimePoint now);
  // Returns those of `steps` that have tasks to place, the most urgent first,
  // and removes the others. Moves steps that can no longer be in time from
  // `waiting_` to `overdue_`.
  std::vector<WaitingStep> CollectByUrgency(std::set<jobs::StepRef>* steps,
                                            base::TimePoint now);
  // `rotation` is the last step that a previous pass tried out of turn; null if
  // none are tried out of turn.
  void PlaceAll(std::vector<WaitingStep> items, jobs::StepRef* rotation,
                base::TimePoint now, std::vector<Action>* actions);
  // Returns those of the items from index `first` that are tried out of turn in
  // this pass, and updates `rotation`.
  std::set<jobs::StepRef> ChooseOutOfTurn(const std::vector<WaitingStep>& items,
                                          std::size_t first,
                                          jobs::StepRef* rotation) const;
  // Computes the largest free resources of any worker and the capacity of
  // workers with orphaned runs, and resets the overload guard with the current
  // utilisation. Goes through the whole fleet, so that large fleets are left as
  // they were computed for some milliseconds.
  void UpdateFleetUsage(base::TimePoint now);
  // The worker may have more free resources than before.
  void RecordFreeResources(const workers::Worker& worker);
  // Places tasks of one step. Returns nullopt if any were placed, otherwise why
  // the step waits.
  std::optional<WaitReason> Place(WaitingStep* item, base::TimePoint now,
                                  std::vector<Action>* actions);
  // Whether the step is the first of a job that can be on time and has not
  // begun, and waits for the owner rather than for the fleet.
  static bool IsInPreparation(const WaitingStep& item, WaitReason reason);
  // Whether a step other than a gang was found without free resources just
  // before, and nothing has changed for it since.
  bool KeepsWaitingForRoom(const WaitingStep& item, base::TimePoint now);
  // Returns why no part of the step can start before the fleet or the cap has
  // grown; nullopt if one can. Nothing is withheld from other work for a step
  // that can't.
  std::optional<WaitReason> WhyImpossible(const WaitingStep& item);
  // Returns why a step waits for which the advice is known.
  WaitReason WaitReasonOf(const WaitingStep& item) const;
  // Returns why a step waits that isn't tried in this pass. Of an overdue one,
  // nobody asks whether it can start at all.
  WaitReason WhyUntriedWaits(const WaitingStep& item);
  // Reports to the overload guard which part of its slack a job has used up
  // waiting for free resources or for its cap.
  void RecordUsedSlack(const WaitingStep& item, WaitReason reason,
                       base::TimePoint now);
  // Logs why a step waits if the reason has changed.
  void LogWait(const WaitingStep& item, WaitReason reason, base::TimePoint now);
  // Returns false if no worker of the fleet has the free resources for a task
  // of the step. A cheap check, which may return true although none has.
  bool MayFit(const WaitingStep& item) const;
  // Fills in the step's candidates and returns whether any allowed worker
  // accepts new work. If none does, requests advice where that is due.
  bool FindCandidates(WaitingStep* item, base::TimePoint now,
                      std::vector<Action>* actions);
  // Returns the overdue step that has waited longest without advice and can be
  // asked about now. Steps that can't start whatever the advice is don't count.
  std::optional<jobs::StepRef> LongestWithoutAdvice(base::TimePoint now);
  // Requests the first advice for the overdue step that has waited longest,
  // before other steps can occupy all entry hosts. Otherwise it would wait as
  // long as more urgent work arrives faster than it is advised about.
  void RequestAdviceOutOfTurn(base::TimePoint now,
                              std::vector<Action>* actions);
  // Returns how many workers the first request for a step names at most.
  std::size_t FirstRequestSize(const jobs::StepSpec& spec) const;
  // Returns whether an entry host is free for an advice request.
  bool CanRequestAdvice(const WaitingStep& item, base::TimePoint now);
  // Returns whether the cap leaves room for what the advice is requested for: a
  // gang must fit under it on its own, of other steps one task.
  bool CapAllowsAdvice(const WaitingStep& item) const;
  // Sends an advice request. Returns false if no entry host is free for it, or
  // `workers` is empty.
  bool SendAdviceRequest(const WaitingStep& item,
                         std::vector<base::BackendId> workers,
                         base::TimePoint now, std::vector<Action>* actions);
  // Whether only workers count on which a task fits now.
  enum class RoomNeeded { kNo, kYes };
  // Returns up to `most` workers that could run the step, each time beginning
  // after the last one that was returned before.
  std::vector<const workers::Worker*> WorkersToCompare(const WaitingStep& item,
                                                       std::size_t most,
                                                       RoomNeeded room_needed,
                                                       base::TimePoint now);
  // Returns up to `most` workers that could run the step: first those that the
  // advisor was not asked about; among equals, those with the most free
  // processor time first. In a large fleet, only a part of the workers is
  // compared for a step that depends neither on its rack nor on many workers at
  // once.
  std::vector<const workers::Worker*> SuitableWorkers(const WaitingStep& item,
                                                      std::size_t most,
                                                      RoomNeeded room_needed,
                                                      base::TimePoint now);
  // Returns the workers to name in the first advice requests for the step.
  std::vector<base::BackendId> WorkersToRequestFirst(const WaitingStep& item,
                                                     RoomNeeded room_needed,
                                                     base::TimePoint now);
  // Splits `workers` into advice requests and sends them at once, as long as
  // entry hosts are free.
  void SendAdviceRequests(const WaitingStep& item,
                          std::vector<base::BackendId> workers,
                          base::TimePoint now, std::vector<Action>* actions);
  // Requests advice about workers that the advisor was not asked about for this
  // step. Some of them may be allowed too, while the known allowed workers lack
  // free resources.
  void RequestMoreAdvice(const WaitingStep& item, base::TimePoint now,
                         std::vector<Action>* actions);
  // Fills in the step's candidates. Returns whether any allowed worker accepts
  // new work, with or without free resources.
  bool FillCandidates(WaitingStep* item, base::TimePoint now) const;
  // Returns whether any worker that isn't isolated could run the step, now or
  // with advice that is still to be requested.
  bool HasOpenWorker(const WaitingStep& item, base::TimePoint now) const;
  // Returns whether the task may be tried again on an isolated worker.
  static bool IsRetryDue(const jobs::Task& task, base::TimePoint now);
  // Returns which workers suit the step best by their speed.
  placement::SpeedPreference SpeedPreferenceOf(const WaitingStep& item,
                                               base::TimePoint now) const;
  // Returns the order in which the advisor is asked about a worker: the free
  // processor time there, more or less by the worker's speed.
  std::int64_t AdviceRank(const workers::Worker& worker,
                          const placement::SpeedPreference& preference) const;
  // Returns how long a run of the step's tasks is expected to take on the
  // worker; 0 if that is not known better than by its estimate.
  base::Duration ExpectedRunTimeOn(const WaitingStep& item,
                                   const base::BackendId& worker) const;
  bool HasRoomForGang(const desired::Queue& queue,
                      const jobs::StepSpec& step) const;
  // Returns whether all tasks of a gang wait for a part of its organisation's
  // cap. Reserves that part if workers could hold the gang then.
  bool WaitsForCap(WaitingStep* item, base::TimePoint now);
  // Returns whether the allowed workers that accept work could hold the gang
  // without the runs that end.
  bool CouldHoldCapped(WaitingStep* item, base::TimePoint now);
  // Keeps the workers free that were chosen for a gang when it was last tried;
  // returns false if it is to be tried again.
  bool KeepHoldingFor(const WaitingStep& item, base::TimePoint now);
  // Returns how long after a try without success the gang is tried again: the
  // sooner the less slack it has left.
  base::Duration GangRetryInterval(const WaitingStep& item,
                                   base::TimePoint now) const;
  // Replaces the result of the last try to place a gang by one without workers.
  UnplacedGang& RecordUnplacedGang(const WaitingStep& item,
                                   base::TimePoint now);
  // The step is to be tried again in the next pass, or waits no more.
  void ForgetLastTry(const jobs::StepRef& step);
  // These functions return whether any task was placed.
  bool PlaceTasks(WaitingStep* item, base::TimePoint now,
                  std::vector<Action>* actions);
  bool PlaceGang(const WaitingStep& item, base::TimePoint now,
                 std::vector<Action>* actions);
  // Places gang members whose start did not reach a worker on other workers,
  // while the members that started wait for them.
  bool PlaceMissingMembers(const WaitingStep& item, base::TimePoint now,
                           std::vector<Action>* actions);
  // Returns a worker for each of `members`, or nothing if they do not all fit.
  std::vector<Choice> ChooseForGang(
      const WaitingStep& item, const std::vector<std::uint32_t>& members) const;
  // Keeps the workers on which the gang will fit soonest free from less urgent
  // work, provided the allowed workers can hold the whole gang at all. Also
  // marks all allowed workers of the gang, so that less urgent work with much
  // slack left avoids them, and reserves its part of the cap.
  void HoldWorkersFor(const WaitingStep& item, base::TimePoint now);
  // Reserves resources for the chosen tasks. Starts them at once if their
  // tickets are valid, otherwise requests new tickets. With `attempt` 0 each
  // task gets its own next attempt number.
  void Commit(const WaitingStep& item, std::vector<Choice> choices,
              jobs::Attempt attempt, base::TimePoint now,
              std::vector<Action>* actions);
  // Creates reserved runs on the chosen workers.
  std::vector<PlacedRun> ReserveRuns(const WaitingStep& item,
                                     const std::vector<Choice>& choices,
                                     jobs::Attempt attempt,
                                     base::TimePoint now);
  // What is known about the preemption for one waiting step.
  struct PreemptionTry {
    base::TimePoint next_try;
    // Why it was refused last; null if it wasn't.
    const char* refusal = nullptr;
  };
  // Releases the rooms that are not needed any more, and begins to count the
  // preemptions considered in this pass.
  void BeginPreemptionPass(base::TimePoint now);
  // Records the slack of a step that waits for `reason`.
  void RecordWaitingSlack(const WaitingStep& item, WaitReason reason,
                          base::TimePoint now);
  // Stops runs of a lower priority, if they may be, to make room for a step
  // that waits for `reason` and would be late otherwise.
  void ConsiderPreemption(const WaitingStep& item, WaitReason reason,
                          base::TimePoint now, std::vector<Action>* actions);
  // Whether runs may be stopped at all for this step, now or later.
  bool MayPreemptFor(const WaitingStep& item, base::TimePoint now) const;
  // Requests the advice that a step would otherwise request only once there is
  // room for it.
  void RequestAdviceToPreempt(const WaitingStep& item, base::TimePoint now,
                              std::vector<Action>* actions);
  // Returns why nothing is stopped for the step; null if runs were stopped.
  const char* TryToPreempt(const WaitingStep& item, std::uint32_t tasks_ahead,
                           base::TimePoint now, std::vector<Action>* actions);
  void Preempt(const WaitingStep& item, const placement::PreemptionPlan& plan,
               base::TimePoint now, std::vector<Action>* actions);
  // Returns the workers that may run the step and on which there may be room,
  // with the runs that may be stopped for `request`.
  std::vector<placement::PreemptionCandidate> PreemptionCandidatesFor(
      const WaitingStep& item, const placement::PreemptionRequest& request,
      base::TimePoint now);
  std::vector<placement::PreemptibleRun> PreemptibleRunsOf(
      const workers::Worker& worker, base::TimePoint now);
  // Returns when a task that reserves `needs` is expected to fit on the worker
  // because runs end by themselves, given what is free there; nullopt if never.
  std::optional<base::TimePoint> ExpectedToFitAt(const workers::Worker& worker,
                                                 const base::Resources& needs,
                                                 base::Resources free,
                                                 base::TimePoint now) const;
  // Returns how much longer the run is expected to take; 0 for a run that
  // exceeds its expected run time.
  base::Duration RemainingTimeOf(const workers::Worker& worker,
                                 const workers::Run& run,
                                 const desired::QueueId& queue,
                                 base::TimePoint now) const;
  // Returns the processor time of a whole job, in core-seconds.
  double CoreSecondsOf(const jobs::Job& job) const;
  // Counts and logs a refused preemption if the reason has changed.
  void RecordPreemptionRefusal(const WaitingStep& item, const char* refusal,
                               PreemptionTry* last);
  // Returns what the step may use on the worker: the free resources without
  // those that are kept for other steps.
  base::Resources RoomFor(const jobs::StepRef& step,
                          const workers::Worker& worker) const;
  // Whether the step can wait and runs were stopped on the worker for work of a
  // higher priority, which will probably need the room again.
  bool MustAvoidPreempted(const WaitingStep& item,
                          workers::WorkerNumber worker) const;
  // Returns the part of the `free` resources of the worker that the step may
  // use beside the gang for which the worker is held, if it is.
  base::Resources RoomBesideGang(const WaitingStep& item,
                                 const workers::Worker& worker,
                                 const base::Resources& free) const;
  // Leaves in `candidates` what the step may use beside gangs for which workers
  // are held, and removes the workers on which no task of it fits then.
  void KeepRoomForGangs(const WaitingStep& item,
                        std::vector<placement::Candidate>* candidates) const;
  // Returns when a task of the step is expected to have ended on the worker if
  // it starts now, in 19 of 20 cases.
  base::TimePoint LikelyEnd(const WaitingStep& item,
                            workers::WorkerNumber worker) const;
  // Returns null if the step has no ticket for the worker, not even an expired
  // one.
  advice::Ticket* FindTicket(const jobs::StepRef& step,
                             const base::BackendId& worker);
  // Returns a ticket to send with a start, empty if the queue needs none;
  // nullopt if a new one must be requested.
  std::optional<std::string> TicketFor(const WaitingStep& item,
                                       const base::BackendId& worker,
                                       base::TimePoint now);
  void StartRun(const WaitingStep& item, const PlacedRun& run,
                const std::string& ticket, base::TimePoint now,
                std::vector<Action>* actions);
  // Starts the reserved runs of the step if their tickets are valid, and
  // releases those that can not start. Waits for the answers of advice requests
  // under way.
  void StartOrReleaseReserved(const jobs::StepRef& step, base::TimePoint now,
                              std::vector<Action>* actions);
  // Looks at the runs that are due, and starts copies of those that take far
  // longer than expected.
  void StartCopies(base::TimePoint now, std::vector<Action>* actions);
  // Starts a copy of the run if it needs one. Returns when to look at it again;
  // nullopt if it is gone.
  std::optional<base::TimePoint> LookAtRun(CopyTracker::WatchedRun* watched,
                                           base::TimePoint now,
                                           std::vector<Action>* actions);
  placement::RunInProgress DescribeRun(const WaitingStep& item,
                                       const workers::Worker& worker,
                                       const workers::Run& run,
                                       base::TimePoint now) const;
  placement::CopyRoom RoomForCopy(const WaitingStep& item) const;
  // Places a copy of the run. Returns why it could not; kStraggler if it did.
  placement::CopyReason PlaceCopy(WaitingStep* item, const PlacedRun& run,
                                  const placement::RunInProgress& progress,
                                  base::TimePoint now,
                                  std::vector<Action>* actions);
  // Returns null if no allowed worker has free resources for the copy and is
  // expected to end it before the run.
  const workers::Worker* ChooseForCopy(const WaitingStep& item,
                                       const PlacedRun& run,
                                       const placement::RunInProgress& progress,
                                       base::TimePoint now) const;
  // Logs and counts why a run has no copy, if the reason has changed.
  void LogWithheld(CopyTracker::WatchedRun* watched,
                   placement::CopyReason reason,
                   const placement::RunInProgress& progress);
  // These fill in parts of an explanation.
  void ExplainWait(const WaitingStep& item, bool is_submitted,
                   base::TimePoint now, StepExplanation* explained) const;
  void ExplainWorkers(WaitingStep* item, base::TimePoint now,
                      StepExplanation* explained) const;
  void ExplainChoices(const WaitingStep& item,
                      StepExplanation* explained) const;
  // Returns the first rule that keeps tasks of the step from the worker now, or
  // null.
  const char* RuleOut(const workers::Worker& worker, const WaitingStep& item,
                      base::TimePoint now) const;

  // Locality: the steps whose run time depends on the rack.
  // When a task of a step is expected to fit on a worker.
  struct ExpectedPlace {
    base::TimePoint at;
    workers::WorkerNumber worker;
    // When its run there would end; not set for members of a gang.
    base::TimePoint until{};

    static bool IsEarlier(const ExpectedPlace& a, const ExpectedPlace& b) {
      return a.at < b.at;
    }
  };
  // Whether it matters on which rack the step's tasks run.
  bool HasLocality(const jobs::StepSpec& spec) const;
  // Whether a task of the step, or the whole gang, runs fast on these workers.
  bool IsLocal(const jobs::StepSpec& spec,
               const std::vector<Choice>& choices) const;
  // Notes which workers are on which rack, some times a second.
  void UpdateRacks(base::TimePoint now);
  // Returns the run time of the step's tasks on a worker with this slowness.
  base::Duration RunTimeOf(const WaitingStep& item, double slowness,
                           bool is_local) const;
  // Appends when up to `most` tasks are expected to fit on the candidate, none
  // after `horizon`. Each of them leaves again after `run_time`; with 0, none
  // does, because they must run at the same time.
  void AppendExpectedPlaces(placement::Candidate candidate,
                            const jobs::StepSpec& spec, std::size_t most,
                            base::Duration run_time, base::TimePoint horizon,
                            base::TimePoint now,
                            std::vector<ExpectedPlace>* places) const;
  // Whether all waiting tasks of the step wait for local workers, and none of
  // these has free resources. A cheap check for passes between two decisions.
  bool KeepsWaitingForLocal(const WaitingStep& item);
  // Returns whether a task that fits on `worker` is placed there. It isn't if
  // the worker is remote and the task waits for a local one. `left` tasks of
  // the step are to be placed; `candidates` tells what is left where.
  bool MayPlaceOn(const workers::Worker& worker, std::uint32_t left,
                  const std::vector<placement::Candidate>& candidates,
                  const jobs::Task& task, WaitingStep* item,
                  base::TimePoint now);
  // Returns how many of `tasks` tasks are placed remotely; the others wait.
  std::uint32_t CountRemoteTasks(
      const WaitingStep& item, std::uint32_t tasks,
      const workers::Worker& remote, const base::BackendId& failed_on,
      const std::vector<placement::Candidate>& candidates, base::TimePoint now);
  // Returns the usable workers of the step's data rack, with and without free
  // resources.
  std::vector<placement::Candidate> LocalCandidates(
      const WaitingStep& item, const base::BackendId& failed_on,
      const std::vector<placement::Candidate>& candidates,
      base::TimePoint now) const;
  // Returns whether a gang for which only these choices, on several racks, are
  // free waits for one rack. Holds the workers of that rack for it.
  bool WaitsForRack(const WaitingStep& item, const std::vector<Choice>& choices,
                    base::TimePoint now);
  // Returns the rack that is tried first for members of a gang: that of its
  // data or, if members run already, theirs; empty if there is none.
  std::string PreferredRackOf(const WaitingStep& item) const;
  // Whether the last decision about the gang was to wait for one rack.
  bool IsWaitingForRack(const jobs::StepRef& step) const;
  // Notes that the gang fits nowhere now, so that it waits for free resources.
  void StopWaitingForRack(const jobs::StepRef& step);
  // Returns the places on the rack on which the whole gang is expected to fit
  // first, the last one at the end; nothing if there is no such rack.
  std::vector<ExpectedPlace> FindRackForGang(const WaitingStep& item,
                                             base::TimePoint horizon,
                                             base::TimePoint now) const;
  // Returns the workers of one rack to hold for a gang that fits nowhere now,
  // or nothing if waiting for one rack doesn't pay.
  std::vector<workers::WorkerNumber> RackWorkersToHold(const WaitingStep& item,
                                                       base::TimePoint now);
  // Updates the step's wait after a decision: `places` are what its waiting
  // tasks expect, and `decided` is the decision about the first task that
  // doesn't wait or, if all do, about the last one.
  void RecordLocalityDecision(const WaitingStep& item,
                              const std::vector<ExpectedPlace>& places,
                              const placement::LocalityDecision& decided,
                              std::uint32_t tasks, base::Duration extra,
                              base::TimePoint now);
  // Counts tasks that were placed, and ends the step's wait if none waits.
  void RecordLocality(const WaitingStep& item,
                      const std::vector<Choice>& choices, base::TimePoint now);
  placement::LocalityRecord& LocalityRecordOf(const jobs::StepSpec& spec);
  // Returns the order in which the advisor is asked about the racks, lower
  // first; nothing if the rack doesn't matter.
  std::map<std::string, std::int64_t> RackOrder(const WaitingStep& item,
                                                base::TimePoint now) const;

  // These stand for functions of the decisions.
  bool IsWithinCap(const WaitingStep& item, std::uint32_t tasks) const {
    return caps_.IsWithinCap(item, tasks);
  }
  void ReserveCap(const WaitingStep& item, std::uint32_t tasks) {
    caps_.ReserveCap(item, tasks);
  }
  bool NeedsAnnouncement(const WaitingStep& item, const jobs::Task& task,
                         const jobs::CrashHistory& crashes) const {
    return suspects_.NeedsAnnouncement(item, task, crashes);
  }
  bool IsStartAnnounced(jobs::Job* job, const jobs::TaskRef& task,
                        jobs::Attempt attempt, const workers::Worker* worker,
                        base::TimePoint now) {
    return suspects_.IsStartAnnounced(job, task, attempt, worker, now);
  }
  bool IsKeptForSuspect(const workers::Worker& worker,
                        base::TimePoint now) const {
    return suspects_.IsKeptForSuspect(worker, now);
  }
  // Returns the number for the task's next attempt.
  jobs::Attempt NextAttempt(const jobs::Step& step, std::uint32_t index) const {
    return context_.NextAttempt(step, index);
  }

  DispatcherContext context_;
  DispatcherCaps caps_{&context_};
  DispatcherSuspects suspects_{&context_};
  // Parts of the context under shorter names.
  Telemetry telemetry_;
  JobRegistry* jobs_;
  Fleet* fleet_;
  RunIndex* runs_;
  placement::RunTimeModel& run_times_ = context_.run_times;
  placement::GangHolds& gang_holds_ = context_.gang_holds;
  const jobs::Attempt& first_attempt_ = context_.first_attempt;
  const base::TimePoint& pass_began_ = context_.pass_began;
  const double& fleet_usage_ = context_.fleet_usage;
  advice::AdviceCache advice_;
  advice::AdviceClientChooser advice_clients_;
  // Items of the current pass that need advice about more workers. Such
  // requests are sent only after all other items had the chance to send their
  // first ones.
  std::vector<const WaitingStep*> needing_more_advice_;
  std::set<jobs::StepRef> waiting_;
  // Steps of jobs that can no longer complete in time. After a burst there may
  // be thousands of them, so they are considered less often than the others,
  // and after them.
  std::set<jobs::StepRef> overdue_;
  // The last overdue step that was tried out of turn.
  jobs::StepRef overdue_rotation_;
  // When overdue steps are next considered.
  base::TimePoint next_overdue_pass_;
  // The overdue step for which advice is requested first, and when another is
  // chosen.
  std::optional<jobs::StepRef> out_of_turn_step_;
  base::TimePoint next_out_of_turn_choice_;
  // The reason last logged for each waiting step, and since when it waits for
  // that.
  struct LoggedWait {
    WaitReason reason;
    base::TimePoint since;
  };
  std::unordered_map<jobs::StepRef, LoggedWait> last_logged_;
  placement::KeptRooms kept_rooms_;
  placement::GangWidth gang_width_;
  placement::PreemptionLimits preemption_limits_;
  std::unordered_map<jobs::StepRef, PreemptionTry> preemption_tries_;
  // How many more preemptions may be considered in this pass, and when the next
  // ones may be.
  int preemption_tries_left_ = 0;
  base::TimePoint next_preemption_pass_;
  // The number of tasks that this pass has found without room so far, and for
  // which none is kept.
  std::uint32_t tasks_without_room_ = 0;
  // For each priority, the least slack of the steps that the current and the
  // previous pass found waiting for room and that can be in time.
  std::map<int, base::Duration> least_waiting_slack_;
  std::map<int, base::Duration> previous_least_waiting_slack_;
  // The workers on which runs were stopped, for which priority, and until when
  // work of a lower priority with much slack avoids them. Otherwise it would
  // take the room whenever a lookup ends, and have to be stopped again for the
  // next one.
  struct PreemptedWorker {
    int for_priority = 0;
    base::TimePoint until;
  };
  std::map<workers::WorkerNumber, PreemptedWorker> preempted_workers_;
  FleetFit fleet_fit_{context_.fleet};
  placement::LocalityWaits locality_;
  // The workers of each rack; empty if no run time depends on the rack.
  std::map<std::string, std::vector<workers::WorkerNumber>> racks_;
  base::TimePoint next_racks_update_;
  // The last tries that found no capacity: of gangs, and of other steps.
  std::unordered_map<jobs::StepRef, UnplacedGang> unplaced_gangs_;
  std::unordered_map<jobs::StepRef, CappedGang> capped_gangs_;
  placement::OverdueTurns overdue_turns_;
  RoomWaits room_waits_;
  std::uint64_t jobs_begun_ = 0;
  std::uint64_t jobs_in_preparation_ = 0;
  PassEffort effort_;
  // The number of the last worker that was compared for a step.
  workers::WorkerNumber last_compared_worker_;
  base::TimePoint next_usage_update_;
  CopyTracker copies_;
  // Whether the last pass left steps that can be on time without free
  // resources, and the organisations whose cap it found reached.
  bool has_waiting_work_ = false;
  std::set<base::OrganisationId> capped_;
  placement::LoadShedder load_shedder_;
  // In each dimension, the largest amount that any worker has free, those that
  // are isolated included: no worker has more.
  base::Resources largest_free_;
  // What is reserved on the workers that accept work, as of the same time as
  // the utilisation of the fleet.
  base::Resources fleet_reserved_;
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_DISPATCHER_H_
