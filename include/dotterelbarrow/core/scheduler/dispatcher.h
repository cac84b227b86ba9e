// Places waiting tasks: in the order of their urgency, on workers that the
// advisor allows, within room and caps.
#ifndef DOTTERELBARROW_CORE_SCHEDULER_DISPATCHER_H_
#define DOTTERELBARROW_CORE_SCHEDULER_DISPATCHER_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "dotterelbarrow/core/advice/advice_book.h"
#include "dotterelbarrow/core/desired/desired_state.h"
#include "dotterelbarrow/core/placement/gang_room.h"
#include "dotterelbarrow/core/placement/overload_guard.h"
#include "dotterelbarrow/core/placement/urgency.h"
#include "dotterelbarrow/core/placement/worker_choice.h"
#include "dotterelbarrow/core/scheduler/actions.h"
#include "dotterelbarrow/core/scheduler/decision_log.h"
#include "dotterelbarrow/core/scheduler/fleet.h"
#include "dotterelbarrow/core/scheduler/job_book.h"
#include "dotterelbarrow/core/scheduler/run_index.h"

namespace dotterelbarrow::core::scheduler {

struct DispatcherSettings {
  // Workers that one call for advice names at most; the platform's bound.
  std::size_t max_advised = 100;
  // A ticket is not used in its last moments: the start has to arrive.
  base::Duration ticket_margin = std::chrono::milliseconds(150);
  // A failed call for advice is repeated after this time.
  base::Duration advice_retry = std::chrono::milliseconds(150);
  // Steps in a row of their urgency that a pass finds no room for before it
  // ends: with a long backlog the rest would only cost processor time.
  int max_misses = 48;
  // Time between two looks at what can't be in time any more.
  base::Duration overdue_period = std::chrono::milliseconds(50);
};

// Why a step that could start waits.
enum class WaitReason {
  kStoring,   // Its job isn't stored yet.
  kUnseen,    // A worker of a former owner may be running it unseen.
  kAdvice,    // It isn't known which workers may run it.
  kRoom,      // The workers that may run it have no room.
  kCap,       // Its organisation may not have more running.
  kStraying,  // Members of its last attempt have not surely ended.
};

const char* ToString(WaitReason reason);

class Dispatcher {
 public:
  Dispatcher(DispatcherSettings settings, Telemetry telemetry, JobBook* jobs,
             Fleet* fleet, RunIndex* runs)
      : settings_(settings),
        telemetry_(telemetry),
        jobs_(jobs),
        fleet_(fleet),
        runs_(runs) {}

  void SetDesired(std::shared_ptr<const desired::DesiredState> desired);
  void set_askers(const std::vector<base::EntryId>& entries) {
    askers_.SetHosts(entries);
  }
  // Attempts of this owner begin above those of all former ones.
  void set_first_attempt(jobs::Attempt first) { first_attempt_ = first; }
  // A job of a former owner waits as long as some worker may run what isn't
  // known.
  void NoteInherited(jobs::JobKey job) { inherited_.insert(job); }

  // Keeps the rules of a queue that may be dropped by now.
  void RememberQueue(const desired::Queue& queue) {
    known_queues_.try_emplace(queue.id, queue);
  }
  // Returns the queue as it is or, if it was dropped, as it last was.
  const desired::Queue* FindQueue(const desired::QueueId& id) const;

  // Looks at the step in the next pass.
  void Consider(const jobs::StepRef& step) {
    if (!overdue_.contains(step)) {
      waiting_.insert(step);
    }
  }
  void Forget(const jobs::StepRef& step);
  // Whether a new job should be refused, as of the last pass.
  placement::Refusal ShouldRefuse(const desired::QueueId& queue,
                                  const base::OrganisationId& organisation,
                                  bool over_share) const {
    return guard_.Decide(queue, organisation, over_share);
  }
  // An organisation's job beyond its weight was accepted.
  void NoteOverShare(jobs::JobKey job) { over_share_.insert(job); }
  void ForgetJob(jobs::JobKey job);

  // Whether the owner's processor is behind with its work.
  void set_saturated(bool saturated) { guard_.set_saturated(saturated); }

  // Places what can be placed.
  void Pass(base::TimePoint now, std::vector<Action>* actions);
  void OnAdvice(const AskAdvice& call, const AdviceResult& result,
                base::TimePoint now, std::vector<Action>* actions);
  // The worker refused a ticket of the step.
  void DropTicket(const jobs::StepRef& step, const base::BackendId& worker);

  std::size_t waiting_steps() const {
    return waiting_.size() + overdue_.size();
  }
  // Workers kept free for gangs in the last pass.
  std::size_t kept_workers() const { return gang_room_.kept(); }

 private:
  struct Item {
    placement::Urgency urgency;
    jobs::StepRef step;
    jobs::Job* job = nullptr;
    const desired::Queue* queue = nullptr;
    // Why nothing of it may start yet, although it has its turn.
    std::optional<WaitReason> blocked_by{};
    // Allowed workers that take work; filled in once advice is known. For other
    // steps than gangs, whose members may need room that frees later, only
    // those with room for a task.
    std::vector<placement::Candidate> candidates{};
  };
  // One task on one worker.
  struct Choice {
    std::uint32_t index = 0;
    base::BackendId worker;
  };

  // Returns what of `steps` can be looked at now, the most urgent first. Moves
  // what can't be in time any more to the overdue ones.
  std::vector<Item> Collect(std::set<jobs::StepRef>* steps,
                            base::TimePoint now);
  void PlaceAll(std::vector<Item> items, base::TimePoint now,
                std::vector<Action>* actions);
  void LookAtRoom(base::TimePoint now);
  // Places what can be placed of one step; returns why the rest, or all of it,
  // waits.
  std::optional<WaitReason> Place(Item* item, base::TimePoint now,
                                  std::vector<Action>* actions);
  // Why a step waits that advice is known for.
  WaitReason WhyWaiting(const Item& item) const;
  // Tells the guard how long a job has been waiting for room.
  void NotePressure(const Item& item, WaitReason reason, base::TimePoint now);
  // Logs why a step waits, each time that the reason changes.
  void LogWait(const Item& item, WaitReason reason, base::TimePoint now);
  // Returns nullopt where the step has nothing to place.
  std::optional<Item> ItemOf(const jobs::StepRef& ref, base::TimePoint now);
  // Returns whether some worker of the fleet may have room. Cheap.
  bool MayFit(const Item& item) const;
  // Fills in the candidates; returns whether there are any. If not, asks.
  bool FindCandidates(Item* item, base::TimePoint now,
                      std::vector<Action>* actions);
  bool CanAsk(const Item& item, base::TimePoint now);
  bool IsWorthAsking(const Item& item, base::TimePoint now) const;
  // Returns whether an entry host was free for the call.
  bool Ask(const Item& item, std::vector<base::BackendId> workers,
           base::TimePoint now, std::vector<Action>* actions);
  // Returns the workers that could run the step: those that nothing is known of
  // first, of these the ones with most room.
  std::vector<const workers::Worker*> SuitableWorkers(const Item& item,
                                                      base::TimePoint now);
  std::vector<base::BackendId> WorkersToAskAbout(const Item& item,
                                                 base::TimePoint now);
  // Asks in as many calls at once as entry hosts are free.
  void AskInParts(const Item& item, std::vector<base::BackendId> workers,
                  base::TimePoint now, std::vector<Action>* actions);
  // Where the allowed workers have no room, others may be allowed as well: asks
  // about those that the step wasn't asked about.
  void AskAboutMore(const Item& item, base::TimePoint now,
                    std::vector<Action>* actions);
  // Fills in the candidates; returns whether any allowed worker takes work,
  // with room or without.
  bool FindWorkers(Item* item, base::TimePoint now) const;
  // Returns whether the worker takes new work and could run the step's tasks.
  static bool MayRunOn(const workers::Worker& worker, const Item& item,
                       base::TimePoint now);
  // Each returns whether anything was placed.
  bool PlaceTasks(const Item& item, base::TimePoint now,
                  std::vector<Action>* actions);
  bool PlaceGang(const Item& item, base::TimePoint now,
                 std::vector<Action>* actions);
  // Places the members whose starts didn't reach a worker elsewhere, while the
  // others wait for them.
  bool PlaceMissingMembers(const Item& item, base::TimePoint now,
                           std::vector<Action>* actions);
  // Returns a worker for each of `members`, or nothing if not all have room.
  std::vector<Choice> ChooseForGang(
      const Item& item, const std::vector<std::uint32_t>& members) const;
  // Keeps the workers on which the gang will fit soonest from lesser work, if
  // the allowed ones can hold it at all, and patient work off all of them.
  void KeepRoomFor(const Item& item, base::TimePoint now);
  // Sets room aside, and starts at once where tickets hold; else asks. With
  // `attempt` 0 each task gets its own next one.
  void Commit(const Item& item, std::vector<Choice> choices,
              jobs::Attempt attempt, base::TimePoint now,
              std::vector<Action>* actions);
  std::vector<PlacedRun> SetAside(const Item& item,
                                  const std::vector<Choice>& choices,
                                  jobs::Attempt attempt, base::TimePoint now);
  // Returns whether the organisation may have `tasks` more of these running.
  bool IsWithinCap(const Item& item, std::uint32_t tasks) const;
  // Leaves room under the cap for a gang that waits, if it is the first one.
  void ReserveCap(const Item& item, std::uint32_t tasks);
  // Returns whether the cap leaves room for these tasks and nothing else.
  bool CanEverFitCap(const Item& item, std::uint32_t tasks) const;
  bool FitsCap(const Item& item, const base::Resources& used,
               std::uint32_t tasks) const;
  // Works out what may run without being known: in runs whose job is gone,
  // for any organisation; and on workers of former owners that were not claimed
  // yet, for an organisation no more than its own waiting tasks of before.
  void LookAtUnseen(base::TimePoint now);
  // What the organisation may have running, seen and unseen.
  base::Resources UsageOf(const base::OrganisationId& organisation) const;
  base::Resources UnseenUsageOf(const base::OrganisationId& organisation) const;
  // Returns null if the step has no ticket for the worker.
  advice::Ticket* FindTicket(const jobs::StepRef& step,
                             const base::BackendId& worker);
  // Returns the ticket to show; nullopt if a new one is needed.
  std::optional<std::string> TicketFor(const Item& item,
                                       const base::BackendId& worker,
                                       base::TimePoint now);
  void StartRun(const Item& item, const PlacedRun& run,
                const std::string& ticket, base::TimePoint now,
                std::vector<Action>* actions);
  // Starts what was set aside for the step, or gives it back.
  void SettleEarmarks(const jobs::StepRef& step, base::TimePoint now,
                      std::vector<Action>* actions);
  jobs::Attempt NextAttempt(const jobs::Step& step, std::uint32_t index) const;

  DispatcherSettings settings_;
  Telemetry telemetry_;
  JobBook* jobs_;
  Fleet* fleet_;
  RunIndex* runs_;
  std::shared_ptr<const desired::DesiredState> desired_;
  advice::AdviceBook advice_;
  advice::AskerChooser askers_;
  // Items of the pass that would ask about more workers, after all others have
  // asked about their first ones.
  std::vector<const Item*> want_more_;
  jobs::Attempt first_attempt_ = jobs::Attempt(1);
  std::unordered_set<jobs::JobKey> inherited_;
  std::unordered_set<jobs::JobKey> over_share_;
  std::set<jobs::StepRef> waiting_;
  // Steps of jobs that can't be in time any more. There may be thousands after
  // a burst; they are looked at less often, and after the others.
  std::set<jobs::StepRef> overdue_;
  base::TimePoint next_overdue_look_;
  // What the log was last told of waiting steps.
  std::unordered_map<jobs::StepRef, WaitReason> told_;
  // Jobs go on after their queue was dropped, under its last rules.
  std::unordered_map<desired::QueueId, desired::Queue> known_queues_;
  placement::GangRoom gang_room_;
  placement::OverloadGuard guard_;
  base::Resources stray_usage_;
  base::Resources unsettled_capacity_;
  std::unordered_map<base::OrganisationId, base::Resources> unseen_;
  // At least the free room of any worker, in each dimension.
  base::Resources largest_room_;
  // What the most urgent waiting gang of an organisation needs. What is less
  // urgent of theirs leaves it under the cap: small tasks would fill each gap.
  std::unordered_map<base::OrganisationId, base::Resources> reserved_caps_;
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_DISPATCHER_H_
