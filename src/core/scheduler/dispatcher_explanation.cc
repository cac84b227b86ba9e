// Explains where the steps of a job would be placed now, without changing
// anything: all functions are const and work on a copy of the job.
#include <algorithm>
#include <numeric>

#include "dotterelbarrow/core/scheduler/dispatcher.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using placement::Candidate;

}  // namespace

std::vector<StepExplanation> Dispatcher::Explain(jobs::Job job,
                                                 bool is_submitted,
                                                 base::TimePoint now) const {
  std::vector<StepExplanation> steps;
  const desired::Queue* queue = FindQueue(job.queue);
  if (queue == nullptr) {
    return steps;
  }
  for (auto& [number, occurrence] : job.occurrences) {
    for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i) {
      WaitingStep item;
      item.step = {job.key, number, i};
      item.job = &job;
      item.queue = queue;
      item.urgency =
          placement::UrgencyOf(&job, i, *queue, run_times_,
                               context_.over_share.contains(job.key), now);
      item.yields =
          placement::GangHolds::MustYield(item.urgency, job.accepted_at, now);
      const jobs::Step& step = occurrence.steps[i];
      StepExplanation explained;
      explained.step = item.step;
      explained.tasks = static_cast<std::uint32_t>(step.tasks.size());
      explained.done = step.done;
      explained.possibly_running = step.possibly_running;
      explained.is_unblocked = job.IsUnblocked(occurrence, i);
      explained.slack = item.urgency.latest_start - now;
      if (step.waiting() > 0 && explained.is_unblocked) {
        ExplainWait(item, is_submitted, now, &explained);
        ExplainWorkers(&item, now, &explained);
        ExplainChoices(item, &explained);
      }
      steps.push_back(std::move(explained));
    }
  }
  return steps;
}

void Dispatcher::ExplainWait(const WaitingStep& item, bool is_submitted,
                             base::TimePoint now,
                             StepExplanation* explained) const {
  if (const auto logged = last_logged_.find(item.step);
      logged != last_logged_.end()) {
    explained->waits_for = ToString(logged->second.reason);
    explained->waits_since = now - logged->second.since;
  } else if (is_submitted && !jobs_->IsStored(item.step.job)) {
    explained->waits_for = ToString(WaitReason::kStoring);
  } else if (!caps_.CanEverFitCap(
                 item, item.job->SpecOf(item.step).SmallestStart())) {
    explained->waits_for = ToString(WaitReason::kCapTooSmall);
  } else if (!fleet_fit_.Compute(item)) {
    explained->waits_for = ToString(WaitReason::kFleetTooSmall);
  } else if (!caps_.IsWithinCap(item, 1)) {
    explained->waits_for = ToString(WaitReason::kCap);
  }
}

const char* Dispatcher::RuleOut(const workers::Worker& worker,
                                const WaitingStep& item,
                                base::TimePoint now) const {
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  const workers::Listing& listing = worker.listing();
  if (listing.service != item.queue->service) {
    return "other_service";
  }
  if (!spec.required_label.empty() &&
      std::find(listing.labels.begin(), listing.labels.end(),
                spec.required_label) == listing.labels.end()) {
    return "lacks_label";
  }
  if (!placement::IsSuitable(worker, spec)) {
    return "too_small";
  }
  if (listing.draining) {
    return "draining";
  }
  if (worker.quarantine.IsIsolated(now)) {
    return "quarantined";
  }
  if (!worker.CanAcceptWork(now)) {
    return "accepts_no_work";
  }
  if (worker.has_suspects()) {
    return "runs_suspect";
  }
  if (const advice::StepAdvice* advice = advice_.Find(item.step);
      item.queue->advice && advice != nullptr &&
      advice->queried_workers.contains(worker.number()) &&
      !advice->allowed.contains(worker.number())) {
    return "not_allowed";
  }
  const bool is_held = gang_holds_.IsHeld(worker.number());
  if (is_held && !spec.Reservation().FitsIn(
                     RoomBesideGang(item, worker, worker.FreeResources()))) {
    return "held_for_gang";
  }
  if (!spec.gang && item.yields && !is_held &&
      gang_holds_.IsWanted(worker.number())) {
    return "wanted_by_gang";
  }
  if (suspects_.IsKeptForSuspect(worker, now)) {
    return "kept_for_suspect";
  }
  if (!spec.Reservation().FitsIn(worker.FreeResources())) {
    return "no_room";
  }
  Candidate candidate{&worker, worker.FreeResources()};
  for (const PlacedRun& run : runs_->RunsOfStep(item.step)) {
    candidate.tasks_of_step += run.worker == worker.id() ? 1 : 0;
  }
  if (!placement::HasCapacityFor(candidate, spec)) {
    return "max_per_server_or_serving";
  }
  return nullptr;
}

void Dispatcher::ExplainWorkers(WaitingStep* item, base::TimePoint now,
                                StepExplanation* explained) const {
  const advice::StepAdvice* advice = advice_.Find(item->step);
  for (const auto& [id, worker] : fleet_->workers()) {
    if (const char* reason = RuleOut(worker, *item, now)) {
      RuledOutWorkers& ruled_out = explained->ruled_out[reason];
      if (++ruled_out.count == 1) {
        ruled_out.example = id;
      }
      continue;
    }
    ++explained->candidates;
    explained->not_asked +=
        item->queue->advice &&
                (advice == nullptr ||
                 !advice->queried_workers.contains(worker.number()))
            ? 1
            : 0;
    Candidate candidate{&worker, worker.FreeResources(), 0,
                        gang_holds_.IsOrWasHeld(worker.number())};
    candidate.was_lost_just_now = worker.WasLostJustNow(now);
    for (const PlacedRun& run : runs_->RunsOfStep(item->step)) {
      candidate.tasks_of_step += run.worker == id ? 1 : 0;
    }
    item->candidates.push_back(candidate);
  }
}

void Dispatcher::ExplainChoices(const WaitingStep& item,
                                StepExplanation* explained) const {
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  const jobs::Step& step = *item.job->FindStep(item.step);
  std::vector<base::BackendId> chosen;
  if (spec.gang) {
    std::vector<std::uint32_t> members(step.tasks.size());
    std::iota(members.begin(), members.end(), 0);
    for (const Choice& choice : ChooseForGang(item, members)) {
      chosen.push_back(choice.worker);
    }
  } else {
    std::vector<Candidate> candidates = item.candidates;
    for (const jobs::Task& task : step.tasks) {
      const auto placed = static_cast<std::uint32_t>(chosen.size());
      if (task.done || task.may_be_running) {
        continue;
      }
      const workers::Worker* best =
          caps_.IsWithinCap(item, placed + 1)
              ? placement::AllocateOnBest(&candidates, spec, task.failed_on)
              : nullptr;
      if (best == nullptr) {
        break;
      }
      chosen.push_back(best->id());
    }
  }
  for (const base::BackendId& worker : chosen) {
    const auto known = std::find_if(
        explained->choices.begin(), explained->choices.end(),
        [&](const ExplainedChoice& choice) { return choice.worker == worker; });
    if (known != explained->choices.end()) {
      ++known->tasks;
    } else {
      explained->choices.push_back(
          {worker, fleet_->Find(worker)->listing().rack, 1});
    }
  }
}

}  // namespace dotterelbarrow::core::scheduler
