// The scheduling pass over waiting steps, and the placement of single tasks.
#include "dotterelbarrow/core/scheduler/dispatcher.h"

#include <algorithm>
#include <utility>

namespace dotterelbarrow::core::scheduler {
namespace {

using placement::Candidate;

}  // namespace

void Dispatcher::SetDesired(
    std::shared_ptr<const desired::DesiredState> desired) {
  context_.desired = std::move(desired);
  for (const desired::Queue& queue : context_.desired->queues()) {
    context_.known_queues.insert_or_assign(queue.id, queue);
  }
}

void Dispatcher::Remove(const jobs::StepRef& step) {
  waiting_.erase(step);
  overdue_.erase(step);
  last_logged_.erase(step);
  advice_.Remove(step);
  locality_.Remove(step);
  fleet_fit_.Remove(step);
  overdue_turns_.Remove(step);
  ForgetLastTry(step);
}

void Dispatcher::RemoveJob(jobs::JobKey job) {
  context_.inherited.erase(job);
  context_.over_share.erase(job);
  preemption_limits_.RemoveJob(job);
}

std::optional<WaitReason> Dispatcher::WhyBlocked(
    const WaitingStep& item) const {
  if (!jobs_->IsStored(item.step.job)) {
    return WaitReason::kStoring;
  }
  if (!fleet_->unreconciled().empty() &&
      context_.inherited.contains(item.step.job)) {
    return WaitReason::kUntrackedRuns;
  }
  if (item.job->FindStep(item.step)->lost_at > context_.confirmed_at) {
    return WaitReason::kUnconfirmedOwner;
  }
  return std::nullopt;
}

std::vector<WaitingStep> Dispatcher::CollectByUrgency(
    std::set<jobs::StepRef>* steps, base::TimePoint now) {
  std::vector<WaitingStep> items;
  for (auto it = steps->begin(); it != steps->end();) {
    std::optional<WaitingStep> item = context_.MakeWaitingStep(*it, now);
    if (!item) {
      if (jobs_->Find(it->job) == nullptr) {
        last_logged_.erase(*it);
        advice_.Remove(*it);
        locality_.Remove(*it);
      }
      fleet_fit_.Remove(*it);
      overdue_turns_.Remove(*it);
      ForgetLastTry(*it);
      it = steps->erase(it);
      continue;
    }
    if (steps == &waiting_ &&
        item->urgency.deadline_status != placement::DeadlineStatus::kOnTime) {
      overdue_.insert(*it);
      it = steps->erase(it);
      continue;
    }
    if (steps == &overdue_ && overdue_turns_.IsTurnOf(*it)) {
      ++it;  // It was tried before all others.
      continue;
    }
    item->blocked_by = WhyBlocked(*item);
    items.push_back(std::move(*item));
    ++it;
  }
  effort_.steps_ranked += items.size();
  std::sort(items.begin(), items.end(),
            [](const WaitingStep& a, const WaitingStep& b) {
              return a.urgency != b.urgency ? a.urgency < b.urgency
                                            : a.step < b.step;
            });
  return items;
}

void Dispatcher::UpdateFleetUsage(base::TimePoint now) {
  if (now < next_usage_update_) {
    load_shedder_.BeginPass(fleet_usage_);
    return;
  }
  next_usage_update_ =
      now + context_.settings.usage_interval_per_worker *
                static_cast<base::Duration::rep>(fleet_->workers().size());
  largest_free_ = base::Resources();
  base::Resources reserved;
  base::Resources capacity;
  base::Resources orphan_usage;
  for (const auto& [id, worker] : fleet_->workers()) {
    if (worker.has_orphans() && !fleet_->unreconciled().contains(id)) {
      orphan_usage += worker.largest_capacity();
    }
    if (!worker.CanAcceptWork(now)) {
      if (worker.AcceptsWorkIfIsolated()) {
        RecordFreeResources(worker);
      }
      continue;
    }
    reserved += worker.reserved();
    capacity += worker.listing().capacity;
    RecordFreeResources(worker);
  }
  fleet_reserved_ = reserved;
  context_.fleet_usage = base::DominantFraction(reserved, capacity);
  context_.fleet_capacity = capacity;
  caps_.set_orphan_usage(orphan_usage);
  load_shedder_.BeginPass(fleet_usage_);
}

void Dispatcher::RecordFreeResources(const workers::Worker& worker) {
  largest_free_ = base::GreaterOf(largest_free_, worker.FreeResources());
}

void Dispatcher::RunPass(base::TimePoint now, std::vector<Action>* actions) {
  context_.pass_began = now;
  gang_holds_.BeginPass(fleet_->workers().size() - fleet_->evacuated_workers());
  UpdateFleetUsage(now);
  locality_.BeginPass();
  UpdateRacks(now);
  context_.containment.BeginPass(fleet_->workers().size(), fleet_usage_);
  caps_.BeginPass(waiting_, overdue_, now);
  has_waiting_work_ = false;
  jobs_in_preparation_ = 0;
  capped_.clear();
  BeginPreemptionPass(now);
  RequestAdviceOutOfTurn(now, actions);
  PlaceStepInTurn(now, actions);
  PlaceAll(CollectByUrgency(&waiting_, now), nullptr, now, actions);
  if (now >= next_overdue_pass_) {
    next_overdue_pass_ = now + context_.settings.overdue_pass_interval;
    PlaceAll(CollectByUrgency(&overdue_, now), &overdue_rotation_, now,
             actions);
  }
  StartCopies(now, actions);
}

void Dispatcher::PlaceStepInTurn(base::TimePoint now,
                                 std::vector<Action>* actions) {
  const std::optional<jobs::StepRef> before = overdue_turns_.current();
  overdue_turns_.Update(now);
  const std::optional<jobs::StepRef> step = overdue_turns_.current();
  if (!step) {
    return;
  }
  std::optional<WaitingStep> item = context_.MakeWaitingStep(*step, now);
  if (!item || !overdue_.contains(*step)) {
    overdue_turns_.Remove(*step);
    return;
  }
  if (step != before) {
    // Workers were chosen beside those that are held for more urgent gangs.
    ForgetLastTry(*step);
    telemetry_.counters->Increment("overdue_turns", "begun");
    telemetry_.log->Write("overdue_turn", {{"step", jobs::ToString(*step)}});
  }
  item->blocked_by = WhyBlocked(*item);
  item->has_turn = true;
  item->yields = false;
  std::vector<WaitingStep> items;
  items.push_back(std::move(*item));
  PlaceAll(std::move(items), nullptr, now, actions);
}

double Dispatcher::ShareOf(const WaitingStep& item, std::size_t tasks) const {
  const base::Resources needs =
      item.job->SpecOf(item.step).needs * static_cast<std::int64_t>(tasks);
  const desired::Organisation* organisation =
      context_.desired->FindOrganisation(item.job->organisation);
  return std::max(base::DominantFraction(needs, context_.fleet_capacity),
                  organisation == nullptr
                      ? 0.0
                      : base::DominantFraction(needs, organisation->cap));
}

bool Dispatcher::IsLightlyLoadedFor(const WaitingStep& item) const {
  using placement::OverdueTurns;
  const base::OrganisationId& id = item.job->organisation;
  const desired::Organisation* organisation =
      context_.desired->FindOrganisation(id);
  return fleet_usage_ < OverdueTurns::kLightUse &&
         (organisation == nullptr ||
          base::DominantFraction(caps_.UsageOf(id), organisation->cap) <
              OverdueTurns::kLightUse);
}

void Dispatcher::RecordOverdueWait(const WaitingStep& item, WaitReason reason,
                                   base::TimePoint now) {
  switch (reason) {
    case WaitReason::kFreeResources:
    case WaitReason::kCap:
    case WaitReason::kLocalWorker:
      overdue_turns_.RecordWaiting(item.step, IsLightlyLoadedFor(item), now);
      break;
    case WaitReason::kFleetTooSmall:
    case WaitReason::kCapTooSmall:
      overdue_turns_.Remove(item.step);
      break;
    default:
      break;
  }
}

std::set<jobs::StepRef> Dispatcher::ChooseOutOfTurn(
    const std::vector<WaitingStep>& items, std::size_t first,
    jobs::StepRef* rotation) const {
  std::set<jobs::StepRef> remaining;
  for (std::size_t i = first; i < items.size(); ++i) {
    remaining.insert(items[i].step);
  }
  std::set<jobs::StepRef> chosen;
  auto next = remaining.upper_bound(*rotation);
  while (chosen.size() <
         std::min(context_.settings.rotating_steps, remaining.size())) {
    if (next == remaining.end()) {
      next = remaining.begin();
    }
    *rotation = *next;
    chosen.insert(*next++);
  }
  return chosen;
}

void Dispatcher::PlaceAll(std::vector<WaitingStep> items,
                          jobs::StepRef* rotation, base::TimePoint now,
                          std::vector<Action>* actions) {
  int unplaced_steps = 0;
  std::optional<std::set<jobs::StepRef>> out_of_turn;
  for (std::size_t i = 0; i < items.size(); ++i) {
    WaitingStep& item = items[i];
    const bool is_budget_used =
        unplaced_steps >= context_.settings.max_unplaced_steps;
    if (is_budget_used && !out_of_turn) {
      out_of_turn = rotation == nullptr ? std::set<jobs::StepRef>()
                                        : ChooseOutOfTurn(items, i, rotation);
    }
    // Once too many steps were found without free resources, most of the
    // remaining ones are not tried, only reported to the overload guard.
    const bool is_tried = !is_budget_used || out_of_turn->contains(item.step);
    const std::optional<WaitReason> reason =
        is_tried ? Place(&item, now, actions)
                 : std::optional(WhyUntriedWaits(item));
    effort_.steps_tried += is_tried ? 1 : 0;
    if (!reason) {
      ++effort_.steps_placed;
      continue;
    }
    if (is_tried && (rotation != nullptr || item.has_turn)) {
      RecordOverdueWait(item, *reason, now);
    }
    jobs_in_preparation_ += IsInPreparation(item, *reason) ? 1 : 0;
    RecordUsedSlack(item, *reason, now);
    RecordWaitingSlack(item, *reason, now);
    if (is_tried) {
      LogWait(item, *reason, now);
      ConsiderPreemption(item, *reason, now, actions);
    }
    unplaced_steps += *reason == WaitReason::kFreeResources ? 1 : 0;
    if (*reason == WaitReason::kCap && copies_.watched() > 0) {
      capped_.insert(item.job->organisation);
    }
    has_waiting_work_ |=
        item.urgency.deadline_status == placement::DeadlineStatus::kOnTime &&
        *reason == WaitReason::kFreeResources;
  }
  for (const WaitingStep* item : std::exchange(needing_more_advice_, {})) {
    if (item->queue->advice && CanRequestAdvice(*item, now)) {
      RequestMoreAdvice(*item, now, actions);
    }
  }
}

void Dispatcher::ForgetLastTry(const jobs::StepRef& step) {
  room_waits_.Remove(step);
  capped_gangs_.erase(step);
  const auto unplaced = unplaced_gangs_.find(step);
  if (unplaced == unplaced_gangs_.end()) {
    return;
  }
  for (const auto& [worker, remainder] : unplaced->second.held) {
    gang_holds_.ForgetBackfill(worker);
  }
  unplaced_gangs_.erase(unplaced);
}

bool Dispatcher::KeepsWaitingForRoom(const WaitingStep& item,
                                     base::TimePoint now) {
  const base::Resources needs = item.job->SpecOf(item.step).Reservation();
  const advice::StepAdvice* advice = advice_.Find(item.step);
  return room_waits_.KeepsWaiting(
      item.step, now, [&](workers::WorkerNumber number) {
        const workers::Worker* worker = fleet_->FindByNumber(number);
        return worker != nullptr && needs.FitsIn(worker->FreeResources()) &&
               (!item.queue->advice ||
                (advice != nullptr && advice->allowed.contains(number)));
      });
}

bool Dispatcher::IsInPreparation(const WaitingStep& item, WaitReason reason) {
  return item.urgency.deadline_status == placement::DeadlineStatus::kOnTime &&
         item.job->state == jobs::JobState::kQueued && item.step.step == 0 &&
         (reason == WaitReason::kStoring || reason == WaitReason::kAdvice);
}

std::optional<WaitReason> Dispatcher::Place(WaitingStep* item,
                                            base::TimePoint now,
                                            std::vector<Action>* actions) {
  const jobs::StepSpec& spec = item->job->SpecOf(item->step);
  if (item->blocked_by) {
    // Requests the advice meanwhile: it takes about as long as the write to the
    // store that the step waits for.
    if (item->queue->advice && !advice_.FindOrAdd(item->step).has_answer) {
      FindCandidates(item, now, actions);
    }
    return item->blocked_by;
  }
  if (const auto impossible = WhyImpossible(*item)) {
    return impossible;
  }
  // Gangs are not stopped here by the cap: they request advice while they wait
  // for it, and reserve it before less urgent work.
  if (!spec.gang && !caps_.IsWithinCap(*item, 1)) {
    if (item->has_turn) {
      ReserveCap(*item, 1);
    }
    return WaitReason::kCap;
  }
  if (!MayFit(*item)) {
    return WaitReason::kFreeResources;
  }
  if (spec.gang || item->has_turn) {
    if (spec.gang && WaitsForCap(item, now)) {
      return WaitReason::kCap;
    }
    if (KeepHoldingFor(*item, now)) {
      return IsWaitingForRack(item->step) ? WaitReason::kLocalWorker
                                          : WaitReason::kFreeResources;
    }
  } else if (KeepsWaitingForLocal(*item)) {
    return WaitReason::kLocalWorker;
  } else if (KeepsWaitingForRoom(*item, now)) {
    return WaitReason::kFreeResources;
  }
  if (!FindCandidates(item, now, actions)) {
    return WaitReason::kAdvice;
  }
  const bool is_placed = spec.gang ? PlaceGang(*item, now, actions)
                                   : PlaceTasks(item, now, actions);
  if (is_placed) {
    return std::nullopt;
  }
  const WaitReason reason = WaitReasonOf(*item);
  if (!spec.gang && reason == WaitReason::kFreeResources) {
    room_waits_.RecordUnplaced(
        item->step,
        item->urgency.deadline_status != placement::DeadlineStatus::kOnTime,
        now);
  }
  return reason;
}

std::optional<WaitReason> Dispatcher::WhyImpossible(const WaitingStep& item) {
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  if (!caps_.CanEverFitCap(item, spec.SmallestStart())) {
    return WaitReason::kCapTooSmall;
  }
  // Members of a gang may run on workers that take no more.
  const bool is_begun = spec.gang && !runs_->RunsOfStep(item.step).empty();
  return is_begun || fleet_fit_.CanHold(item, pass_began_)
             ? std::nullopt
             : std::optional(WaitReason::kFleetTooSmall);
}

WaitReason Dispatcher::WhyUntriedWaits(const WaitingStep& item) {
  const bool is_on_time =
      item.urgency.deadline_status == placement::DeadlineStatus::kOnTime;
  const std::optional<WaitReason> impossible =
      is_on_time ? WhyImpossible(item) : std::nullopt;
  return impossible.value_or(WaitReasonOf(item));
}

WaitReason Dispatcher::WaitReasonOf(const WaitingStep& item) const {
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  const bool fits_cap =
      spec.gang ? caps_.FitsCap(item, caps_.UsageOf(item.job->organisation),
                                spec.tasks)
                : caps_.IsWithinCap(item, 1);
  if (!fits_cap) {
    return WaitReason::kCap;
  }
  if (item.waits_for_isolation) {
    return WaitReason::kIsolation;
  }
  if (item.waits_for_local || (spec.gang && IsWaitingForRack(item.step))) {
    return WaitReason::kLocalWorker;
  }
  return spec.gang && !runs_->RunsOfStep(item.step).empty()
             ? WaitReason::kOrphanedMembers
             : WaitReason::kFreeResources;
}

void Dispatcher::LogWait(const WaitingStep& item, WaitReason reason,
                         base::TimePoint now) {
  if (reason == WaitReason::kStoring) {
    return;
  }
  const auto [logged, is_new] =
      last_logged_.try_emplace(item.step, LoggedWait{reason, now});
  if (!is_new && logged->second.reason == reason) {
    return;
  }
  logged->second = {reason, now};
  const advice::StepAdvice* advice = advice_.Find(item.step);
  telemetry_.log->Write(
      "step_waits",
      {{"step", jobs::ToString(item.step)},
       {"for", ToString(reason)},
       {"tasks", static_cast<std::int64_t>(item.job->SpecOf(item.step).tasks)},
       {"allowed", static_cast<std::int64_t>(
                       advice == nullptr ? 0 : advice->allowed.size())},
       {"with_room", static_cast<std::int64_t>(item.candidates.size())},
       {"asked_about",
        static_cast<std::int64_t>(
            advice == nullptr ? 0 : advice->queried_workers.size())},
       {"slack_ms",
        (item.urgency.latest_start - now) / std::chrono::milliseconds(1)}});
}

void Dispatcher::RecordUsedSlack(const WaitingStep& item, WaitReason reason,
                                 base::TimePoint now) {
  const base::Duration slack =
      item.urgency.latest_start - item.job->accepted_at;
  if (item.urgency.deadline_status != placement::DeadlineStatus::kOnTime ||
      item.step.step != 0 || slack <= base::Duration(0)) {
    return;
  }
  const base::Duration waited = now - item.job->accepted_at;
  const double used =
      static_cast<double>(waited.count()) / static_cast<double>(slack.count());
  if (reason == WaitReason::kCap) {
    load_shedder_.RecordCapped(item.job->organisation, used);
  } else if (reason == WaitReason::kFreeResources && !item.urgency.over_share) {
    load_shedder_.RecordWaiting(item.queue->id, item.queue->priority, used);
  }
}

bool Dispatcher::MayFit(const WaitingStep& item) const {
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  return ((spec.gang || item.has_turn) && gang_holds_.CanHold()) ||
         spec.Reservation().FitsIn(largest_free_);
}

bool Dispatcher::FillCandidates(WaitingStep* item, base::TimePoint now) const {
  const jobs::StepSpec& spec = item->job->SpecOf(item->step);
  const base::Resources reservation = spec.Reservation();
  std::vector<Candidate>& candidates = item->candidates;
  candidates.clear();
  item->has_only_isolated = false;
  bool any_accepts_work = false;
  const std::optional<placement::SpeedPreference> speed =
      run_times_.has_uneven_workers()
          ? std::optional(SpeedPreferenceOf(*item, now))
          : std::nullopt;
  // Workers can be held for these before they have free resources.
  const bool lists_full = spec.gang || item->has_turn;
  const auto add = [&](const workers::Worker& worker, bool has_ticket) {
    // A cheap check first, because most workers are full when many steps wait.
    base::Resources room = RoomFor(item->step, worker);
    const bool is_full = !lists_full && !reservation.FitsIn(room);
    if ((is_full && any_accepts_work) ||
        !(item->has_only_isolated ? MayRunIfIsolated(worker, *item)
                                  : MayRunOn(worker, *item, now))) {
      return;
    }
    any_accepts_work = true;
    if (worker.quarantine.IsProbed(now) && !spec.gang) {
      room = base::LesserOf(room, reservation);
    }
    if (!is_full && worker.quarantine.AdmitsStart(now)) {
      candidates.push_back(
          {&worker, room, 0, gang_holds_.IsOrWasHeld(worker.number()),
           has_ticket, worker.WasLostJustNow(now),
           speed ? speed->CostOn(run_times_.LogSlownessOf(worker.number()))
                 : 0.0});
    }
  };
  const advice::StepAdvice* advice =
      item->queue->advice ? advice_.Find(item->step) : nullptr;
  if (item->queue->advice && advice == nullptr) {
    return false;
  }
  const auto add_all = [&] {
    if (advice == nullptr) {
      for (const auto& [id, worker] : fleet_->workers()) {
        add(worker, true);
      }
      return;
    }
    for (const auto& [number, ticket] : advice->allowed) {
      if (const workers::Worker* worker = fleet_->FindByNumber(number)) {
        add(*worker, now < ticket.valid_until);
      }
    }
  };
  add_all();
  if (!any_accepts_work && !HasOpenWorker(*item, now)) {
    item->has_only_isolated = true;
    add_all();
  }
  if (spec.max_per_worker > 0) {
    for (const PlacedRun& run : runs_->RunsOfStep(item->step)) {
      for (Candidate& candidate : candidates) {
        candidate.tasks_of_step += candidate.worker->id() == run.worker ? 1 : 0;
      }
    }
  }
  return any_accepts_work;
}

bool Dispatcher::HasOpenWorker(const WaitingStep& item,
                               base::TimePoint now) const {
  const advice::StepAdvice* advice =
      item.queue->advice ? advice_.Find(item.step) : nullptr;
  return std::any_of(
      fleet_->workers().begin(), fleet_->workers().end(),
      [&](const auto& entry) {
        const workers::Worker& worker = entry.second;
        return MayRunOn(worker, item, now) &&
               (advice == nullptr ||
                advice->allowed.contains(worker.number()) ||
                !advice->queried_workers.contains(worker.number()));
      });
}

bool Dispatcher::IsRetryDue(const jobs::Task& task, base::TimePoint now) {
  return now >= task.failed_at + workers::Quarantine::RetryDelay(
                                     task.failed_attempts.size());
}

bool Dispatcher::PlaceTasks(WaitingStep* waiting, base::TimePoint now,
                            std::vector<Action>* actions) {
  const WaitingStep& item = *waiting;
  const jobs::Step& step = *item.job->FindStep(item.step);
  std::vector<Candidate> candidates = item.candidates;
  // Avoids workers that are kept free for more urgent gangs and, if this work
  // can wait, all workers that such a gang could use.
  std::erase_if(candidates, [&](const Candidate& candidate) {
    const workers::WorkerNumber number = candidate.worker->number();
    return (item.yields && gang_holds_.IsWanted(number)) ||
           MustAvoidPreempted(item, number);
  });
  KeepRoomForGangs(item, &candidates);
  std::vector<Candidate> suspects_candidates = candidates;
  std::erase_if(candidates, [&](const Candidate& candidate) {
    return suspects_.IsKeptForSuspect(*candidate.worker, now);
  });
  const bool waits_for_first =
      item.urgency.latest_start - now >
          placement::CrashContainment::kMinSlackToWait &&
      suspects_.IsUnproven(item, now);
  std::vector<Choice> choices;
  for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
    const jobs::Task& task = step.tasks[index];
    if (task.done || task.may_be_running ||
        (item.has_only_isolated && !IsRetryDue(task, now))) {
      continue;
    }
    if (!caps_.IsWithinCap(item,
                           static_cast<std::uint32_t>(choices.size()) + 1)) {
      break;
    }
    if (waits_for_first && (step.possibly_running > 0 || !choices.empty())) {
      waiting->waits_for_isolation = true;
      break;
    }
    const workers::Worker* best = suspects_.ChooseForTask(
        waiting, index, &candidates, &suspects_candidates, now);
    if (best == nullptr &&
        suspects_.NeedsAnnouncement(item, task, task.crashes)) {
      continue;
    }
    if (best == nullptr ||
        !MayPlaceOn(*best,
                    step.waiting() - static_cast<std::uint32_t>(choices.size()),
                    candidates, task, waiting, now)) {
      break;
    }
    choices.push_back({index, best->id()});
  }
  if (choices.empty() && (item.waits_for_isolation || item.waits_for_local) &&
      !item.candidates.empty()) {
    // It doesn't lack allowed workers.
    return false;
  }
  if (choices.empty()) {
    if (item.has_turn) {
      HoldWorkersFor(item, now);
    }
    needing_more_advice_.push_back(&item);
    return false;
  }
  Commit(item, std::move(choices), jobs::Attempt(0), now, actions);
  return true;
}

void Dispatcher::Commit(const WaitingStep& item, std::vector<Choice> choices,
                        jobs::Attempt attempt, base::TimePoint now,
                        std::vector<Action>* actions) {
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  const auto needs_ticket = [&](const Choice& choice) {
    return !TicketFor(item, choice.worker, now).has_value();
  };
  std::vector<base::BackendId> without_ticket;
  if (std::any_of(choices.begin(), choices.end(), needs_ticket)) {
    // The request also names workers whose tickets would expire before it is
    // answered.
    const base::TimePoint answered_at =
        now +
        advice::ExpectedCallDuration(*item.queue->advice, choices.size()) +
        context_.settings.ticket_margin;
    for (const Choice& choice : choices) {
      if (!TicketFor(item, choice.worker, answered_at)) {
        without_ticket.push_back(choice.worker);
      }
    }
  }
  if (!without_ticket.empty() &&
      !SendAdviceRequest(item, without_ticket, now, actions)) {
    // No entry host is free for the request, so tasks that need a ticket wait
    // without reserved resources.
    if (spec.gang) {
      return;
    }
    std::erase_if(choices, needs_ticket);
  }
  const std::vector<PlacedRun> placed =
      ReserveRuns(item, choices, attempt, now);
  if (placed.empty()) {
    return;
  }
  telemetry_.Observe("placement_wait", now - item.job->accepted_at);
  telemetry_.log->Write(
      "placed",
      {{"step", jobs::ToString(item.step)},
       {"tasks", static_cast<std::int64_t>(placed.size())},
       {"attempt", static_cast<std::int64_t>(placed.front().attempt.value())},
       {"first_worker", placed.front().worker.value()},
       {"waited_ms",
        (now - item.job->accepted_at) / std::chrono::milliseconds(1)},
       {"stale_tickets", static_cast<std::int64_t>(without_ticket.size())}});
  if (spec.gang && !without_ticket.empty()) {
    return;
  }
  for (const PlacedRun& run : placed) {
    if (const auto ticket = TicketFor(item, run.worker, now)) {
      StartRun(item, run, *ticket, now, actions);
    }
  }
}

std::vector<PlacedRun> Dispatcher::ReserveRuns(
    const WaitingStep& item, const std::vector<Choice>& choices,
    jobs::Attempt attempt, base::TimePoint now) {
  const jobs::Step& step = *item.job->FindStep(item.step);
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  overdue_turns_.OnPlaced(item.step, ShareOf(item, choices.size()),
                          spec.estimate, now);
  std::vector<PlacedRun> placed;
  for (const Choice& choice : choices) {
    const jobs::TaskRef task{item.step, choice.index};
    const jobs::Attempt number =
        attempt.value() > 0 ? attempt : NextAttempt(step, choice.index);
    workers::Run run = workers::MakeReservedRun(*item.job, task, number, now);
    run.has_slack = item.yields || item.has_turn;
    run.expected_run_time = ExpectedRunTimeOn(item, choice.worker);
    if (HasLocality(spec) &&
        !IsLocal(spec, spec.gang ? choices : std::vector<Choice>{choice})) {
      run.estimate = placement::ScaleDuration(run.estimate,
                                              context_.settings.remote_factor);
      run.expected_run_time = placement::ScaleDuration(
          run.expected_run_time, context_.settings.remote_factor);
    }
    const jobs::CrashHistory& crashes = *item.job->CrashesOf(task);
    run.is_suspect = crashes.is_suspect();
    run.was_lost_before = crashes.was_lost_before();
    run.was_announced = crashes.announced_start() == number;
    fleet_->Reserve(choice.worker, run);
    runs_->Add(choice.worker, run);
    workers::Worker* reserved_on = fleet_->Find(choice.worker);
    if (reserved_on->quarantine.IsProbed(now)) {
      reserved_on->quarantine.OnStart(now);
      telemetry_.counters->Increment(
          "quarantine_probes", item.has_only_isolated ? "no_other" : "due");
    }
    const workers::WorkerNumber worker = reserved_on->number();
    kept_rooms_.OnPlaced(item.step, worker);
    if (gang_holds_.IsHeld(worker) &&
        !kept_rooms_.IsKeptFor(item.step, worker)) {
      gang_holds_.RecordBackfill(worker, LikelyEnd(item, worker));
      telemetry_.counters->Increment("tasks_backfilled",
                                     spec.gang ? "gang" : "single");
    }
    jobs_begun_ += item.job->state == jobs::JobState::kQueued ? 1 : 0;
    item.job->RecordRun(task, number);
    placed.push_back({choice.worker, task, number});
    if (spec.may_have_copies()) {
      copies_.Watch(
          {placed.back(), step.tasks[choice.index].checkpoint.empty()},
          now + placement::StragglerPolicy::FirstLookAfter(
                    run_times_.ExpectedRunTime(item.queue->id, spec.estimate)));
    }
  }
  if (HasLocality(spec)) {
    RecordLocality(item, choices, now);
  }
  return placed;
}

void Dispatcher::StartRun(const WaitingStep& item, const PlacedRun& run,
                          const std::string& ticket, base::TimePoint now,
                          std::vector<Action>* actions) {
  const jobs::Task* task = item.job->FindTask(run.task);
  fleet_->Start(run.worker, run.key(), item.job->spec.payload, task->checkpoint,
                ticket, now, actions);
}

}  // namespace dotterelbarrow::core::scheduler
