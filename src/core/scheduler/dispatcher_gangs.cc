// Placement of gangs: all tasks of a gang are placed at once, or workers are
// kept free until they fit.
#include <algorithm>
#include <map>
#include <numeric>
#include <utility>

#include "dotterelbarrow/core/scheduler/dispatcher.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using placement::Candidate;

// Of runs that have outlived their expectation: the remaining time is this
// fraction of the time so far. The logarithm of run times has a spread of about
// 0.4, and 3% of them take 7 times as long.
constexpr int kOverdueFraction = 4;
// A gang is tried this many times while it uses up its slack, or at this many
// times the minimum interval: with a backlog of gangs, trying all of them takes
// most of the time of the passes.
constexpr int kTriesPerSlack = 16;
constexpr int kMaxRetryFactor = 12;
// Interval at which a task is tried again for which a worker is held.
constexpr base::Duration kTaskRetryInterval = std::chrono::milliseconds(250);

// Chooses a worker for each of `tasks` identical tasks, the best one in turn.
// Returns nothing if they do not all fit.
std::vector<const workers::Worker*> ChooseWorkers(
    const std::vector<Candidate>& candidates, const jobs::StepSpec& spec,
    std::size_t tasks) {
  std::size_t capacity = 0;
  for (const Candidate& candidate : candidates) {
    capacity += placement::CountFittingTasks(candidate, spec,
                                             static_cast<std::uint32_t>(tasks));
  }
  if (capacity < tasks) {
    return {};
  }
  std::vector<Candidate> left = candidates;
  std::vector<const workers::Worker*> chosen;
  while (chosen.size() < tasks) {
    const workers::Worker* best = placement::AllocateOnBest(&left, spec, {});
    if (best == nullptr) {
      return {};
    }
    chosen.push_back(best);
  }
  return chosen;
}

// The same, on one rack if the tasks prefer that and fit there.
std::vector<const workers::Worker*> ChooseOnRacks(
    const std::vector<Candidate>& candidates, const jobs::StepSpec& spec,
    std::size_t tasks, const std::string& preferred_rack) {
  if (spec.prefers_one_rack) {
    std::map<std::string, std::vector<Candidate>> racks;
    for (const Candidate& candidate : candidates) {
      racks[candidate.worker->listing().rack].push_back(candidate);
    }
    if (const auto preferred = racks.find(preferred_rack);
        preferred != racks.end()) {
      std::vector<const workers::Worker*> chosen =
          ChooseWorkers(preferred->second, spec, tasks);
      if (!chosen.empty()) {
        return chosen;
      }
    }
    for (const auto& [rack, of_rack] : racks) {
      std::vector<const workers::Worker*> chosen =
          ChooseWorkers(of_rack, spec, tasks);
      if (!chosen.empty()) {
        return chosen;
      }
    }
  }
  return ChooseWorkers(candidates, spec, tasks);
}

// The time at which one more task of a gang is expected to fit on a worker.
struct Opening {
  base::TimePoint at;
  workers::WorkerNumber worker;
};

// When the run is expected to end. One that has outlived its expectation takes
// about a quarter more of the time that it has taken so far.
base::TimePoint ExpectedEnd(const workers::Run& run, base::TimePoint now) {
  const bool is_known = run.expected_run_time > base::Duration(0);
  const base::TimePoint end =
      run.started_at + (is_known ? run.expected_run_time : run.estimate);
  if (end > now || !is_known) {
    return std::max(now, end);
  }
  return now + (now - run.started_at) / kOverdueFraction;
}

// Appends the times at which up to `max_openings` tasks will fit on the worker,
// provided that its runs end when they are estimated to.
void AppendOpenings(const Candidate& candidate, const jobs::StepSpec& spec,
                    std::size_t max_openings, base::TimePoint now,
                    std::vector<Opening>* openings) {
  std::vector<std::pair<base::TimePoint, base::Resources>> ends;
  for (const auto& [key, run] : candidate.worker->runs()) {
    if (!run.is_long_running) {
      ends.emplace_back(ExpectedEnd(run, now), run.reserved);
    }
  }
  std::sort(ends.begin(), ends.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  Candidate later = candidate;
  base::TimePoint at = now;
  std::size_t found = 0;
  auto next = ends.begin();
  while (found < max_openings) {
    if (placement::HasCapacityFor(later, spec)) {
      openings->push_back({at, candidate.worker->number()});
      placement::AllocateTask(&later, spec);
      ++found;
    } else if (next != ends.end()) {
      at = next->first;
      later.free += next->second;
      ++next;
    } else {
      return;
    }
  }
}

// Returns what a gang that starts on these openings, given in the order of
// time, leaves of their workers.
std::map<workers::WorkerNumber, placement::GangHolds::Remainder> RemaindersOf(
    const std::vector<Opening>& openings,
    const std::vector<Candidate>& candidates, const jobs::StepSpec& spec) {
  std::map<workers::WorkerNumber, std::int64_t> tasks;
  for (const Opening& opening : openings) {
    ++tasks[opening.worker];
  }
  std::map<workers::WorkerNumber, placement::GangHolds::Remainder> remainders;
  for (const Candidate& candidate : candidates) {
    const auto on_worker = tasks.find(candidate.worker->number());
    if (on_worker == tasks.end()) {
      continue;
    }
    placement::GangHolds::Remainder& remainder = remainders[on_worker->first];
    remainder.starts_at = openings.back().at;
    const base::Resources needs = spec.Reservation() * on_worker->second;
    if (needs.FitsIn(candidate.free)) {
      remainder.unneeded = candidate.free - needs;
    }
  }
  return remainders;
}

}  // namespace

std::vector<Dispatcher::Choice> Dispatcher::ChooseForGang(
    const WaitingStep& item, const std::vector<std::uint32_t>& members) const {
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  const jobs::Step& step = *item.job->FindStep(item.step);
  // The worker on which a member's start was lost has closed this attempt and
  // would refuse it, also from another member.
  const auto has_closed_attempt = [&](const workers::Worker& worker) {
    return members.size() < step.tasks.size() &&
           std::any_of(members.begin(), members.end(), [&](std::uint32_t i) {
             return step.tasks[i].stopped_before_start_on == worker.id();
           });
  };
  std::vector<Candidate> candidates = item.candidates;
  std::erase_if(candidates, [&](const Candidate& candidate) {
    return IsKeptForSuspect(*candidate.worker, pass_began_) ||
           has_closed_attempt(*candidate.worker);
  });
  KeepRoomForGangs(item, &candidates);
  const std::string preferred_rack =
      HasLocality(spec) ? PreferredRackOf(item) : std::string();
  std::vector<const workers::Worker*> chosen;
  if (run_times_.has_uneven_workers()) {
    std::vector<Candidate> without_slow = candidates;
    std::erase_if(without_slow, [this](const Candidate& candidate) {
      return placement::WastesGang(
          run_times_.SlownessOf(candidate.worker->number()));
    });
    // If they don't all fit without slow workers, being on one rack matters
    // more than speed.
    if (without_slow.size() < candidates.size()) {
      chosen =
          ChooseOnRacks(without_slow, spec, members.size(), preferred_rack);
    }
  }
  if (chosen.empty()) {
    chosen = ChooseOnRacks(candidates, spec, members.size(), preferred_rack);
  }
  std::vector<Choice> choices;
  for (std::size_t i = 0; i < chosen.size(); ++i) {
    choices.push_back({members[i], chosen[i]->id()});
  }
  return choices;
}

bool Dispatcher::CouldHoldCapped(WaitingStep* item, base::TimePoint now) {
  CappedGang& capped = capped_gangs_[item->step];
  if (now >= capped.next_check) {
    FillCandidates(item, now);
    capped.could_hold =
        CouldHold(item->candidates, item->job->SpecOf(item->step));
    capped.next_check = now + GangRetryInterval(*item, now);
  }
  return capped.could_hold;
}

bool Dispatcher::WaitsForCap(WaitingStep* waiting, base::TimePoint now) {
  const WaitingStep& item = *waiting;
  const jobs::Step& step = *item.job->FindStep(item.step);
  const auto tasks = static_cast<std::uint32_t>(step.tasks.size());
  const advice::StepAdvice* advice = advice_.Find(item.step);
  const bool needs_advice =
      item.queue->advice && (advice == nullptr || !advice->has_answer);
  if (needs_advice || step.waiting() < tasks ||
      !runs_->RunsOfStep(item.step).empty() || IsWithinCap(item, tasks)) {
    return false;
  }
  if (CouldHoldCapped(waiting, now)) {
    ReserveCap(item, tasks);
  }
  return true;
}

base::Duration Dispatcher::GangRetryInterval(const WaitingStep& item,
                                             base::TimePoint now) const {
  const base::Duration least =
      context_.settings.gang_retry_interval_per_worker *
      static_cast<base::Duration::rep>(fleet_->workers().size());
  const base::Duration most = least * kMaxRetryFactor;
  const base::Duration slack = item.urgency.latest_start - now;
  return slack > base::Duration(0)
             ? std::clamp(slack / kTriesPerSlack, least, most)
             : most;
}

Dispatcher::UnplacedGang& Dispatcher::RecordUnplacedGang(
    const WaitingStep& item, base::TimePoint now) {
  UnplacedGang& unplaced = unplaced_gangs_[item.step];
  unplaced = UnplacedGang();
  unplaced.next_try =
      now + (item.job->SpecOf(item.step).gang ? GangRetryInterval(item, now)
                                              : kTaskRetryInterval);
  return unplaced;
}

bool Dispatcher::KeepHoldingFor(const WaitingStep& item, base::TimePoint now) {
  const auto unplaced = unplaced_gangs_.find(item.step);
  if (unplaced == unplaced_gangs_.end()) {
    return false;
  }
  if (now >= unplaced->second.next_try) {
    ForgetLastTry(item.step);
    return false;
  }
  for (const workers::WorkerNumber worker : unplaced->second.wanted) {
    gang_holds_.MarkWanted(worker);
  }
  if (unplaced->second.could_hold) {
    ReserveCap(item, item.job->SpecOf(item.step).SmallestStart());
  }
  if (!unplaced->second.held.empty() && gang_holds_.CanHold()) {
    for (const auto& [worker, remainder] : unplaced->second.held) {
      gang_holds_.Hold(worker, remainder);
    }
    gang_holds_.EndGang();
  }
  return true;
}

bool Dispatcher::PlaceGang(const WaitingStep& item, base::TimePoint now,
                           std::vector<Action>* actions) {
  const jobs::Step& step = *item.job->FindStep(item.step);
  if (step.waiting() < step.tasks.size()) {
    return PlaceMissingMembers(item, now, actions);
  }
  // Members of an earlier attempt may still be running.
  if (!runs_->RunsOfStep(item.step).empty()) {
    return false;
  }
  if (item.has_only_isolated &&
      !std::all_of(
          step.tasks.begin(), step.tasks.end(),
          [now](const jobs::Task& task) { return IsRetryDue(task, now); })) {
    return false;
  }
  std::vector<std::uint32_t> members(step.tasks.size());
  std::iota(members.begin(), members.end(), 0);
  std::vector<Choice> choices = ChooseForGang(item, members);
  if (choices.empty()) {
    HoldWorkersFor(item, now);
    needing_more_advice_.push_back(&item);
    return false;
  }
  if (!item.has_turn && WaitsForRack(item, choices, now)) {
    return false;
  }
  jobs::Attempt attempt = first_attempt_;
  for (const std::uint32_t index : members) {
    attempt = std::max(attempt, NextAttempt(step, index));
  }
  const jobs::TaskRef first{item.step, 0};
  if (suspects_.WaitsForEvidence(first, step.gang_crashes, now) ||
      (NeedsAnnouncement(item, step.tasks.front(), step.gang_crashes) &&
       !IsStartAnnounced(item.job, first, attempt, nullptr, now))) {
    return false;
  }
  suspects_.RecordStart(first);
  Commit(item, std::move(choices), attempt, now, actions);
  return true;
}

bool Dispatcher::PlaceMissingMembers(const WaitingStep& item,
                                     base::TimePoint now,
                                     std::vector<Action>* actions) {
  const jobs::Step& step = *item.job->FindStep(item.step);
  std::vector<std::uint32_t> missing;
  jobs::Attempt attempt;
  for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
    attempt = std::max(attempt, step.tasks[i].last_attempt);
    if (!step.tasks[i].may_be_running) {
      missing.push_back(i);
    }
  }
  for (const PlacedRun& run : runs_->RunsOfStep(item.step)) {
    const workers::Worker* worker = fleet_->Find(run.worker);
    const auto it = worker->runs().find(run.key());
    // Members can be added only to a gang that is still starting: all its runs
    // belong to the latest attempt, and none is being stopped.
    if (run.attempt != attempt || it == worker->runs().end() ||
        it->second.state == workers::RunState::kStopping) {
      return false;
    }
  }
  if (!IsWithinCap(item, static_cast<std::uint32_t>(missing.size()))) {
    return false;
  }
  std::vector<Choice> choices = ChooseForGang(item, missing);
  if (!choices.empty()) {
    telemetry_.counters->Increment("gang_members", "placed_again");
    Commit(item, std::move(choices), attempt, now, actions);
    return true;
  }
  return false;
}

void Dispatcher::HoldWorkersFor(const WaitingStep& item, base::TimePoint now) {
  StopWaitingForRack(item.step);
  UnplacedGang& unplaced = RecordUnplacedGang(item, now);
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  unplaced.could_hold = CouldHold(item.candidates, spec);
  if (!unplaced.could_hold) {
    // A turn would be of no use to it now.
    overdue_turns_.Remove(item.step);
    return;
  }
  ReserveCap(item, spec.SmallestStart());
  for (const Candidate& candidate : item.candidates) {
    gang_holds_.MarkWanted(candidate.worker->number());
    unplaced.wanted.push_back(candidate.worker->number());
  }
  // Room that is kept for the gang needs no worker as a whole.
  if (!gang_holds_.CanHold() || kept_rooms_.IsKeptFor(item.step)) {
    return;
  }
  if (spec.gang) {
    for (const workers::WorkerNumber worker : RackWorkersToHold(item, now)) {
      unplaced.held.try_emplace(worker);
    }
  }
  if (!unplaced.held.empty()) {
    return;
  }
  const std::uint32_t tasks = spec.SmallestStart();
  std::vector<Opening> openings;
  for (const Candidate& candidate : item.candidates) {
    if (!gang_holds_.IsHeld(candidate.worker->number())) {
      AppendOpenings(candidate, spec, tasks, now, &openings);
    }
  }
  if (openings.size() < tasks) {
    return;
  }
  std::stable_sort(
      openings.begin(), openings.end(),
      [](const Opening& a, const Opening& b) { return a.at < b.at; });
  openings.resize(tasks);
  unplaced.held = RemaindersOf(openings, item.candidates, spec);
  for (const auto& [worker, remainder] : unplaced.held) {
    gang_holds_.Hold(worker, remainder);
  }
  gang_holds_.EndGang();
}

base::Resources Dispatcher::RoomBesideGang(const WaitingStep& item,
                                           const workers::Worker& worker,
                                           const base::Resources& free) const {
  const workers::WorkerNumber number = worker.number();
  return !gang_holds_.IsHeld(number) || kept_rooms_.IsKeptFor(item.step, number)
             ? free
             : gang_holds_.RoomBesideGang(number, free,
                                          LikelyEnd(item, number));
}

void Dispatcher::KeepRoomForGangs(const WaitingStep& item,
                                  std::vector<Candidate>* candidates) const {
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  std::erase_if(*candidates, [&](Candidate& candidate) {
    if (!gang_holds_.IsHeld(candidate.worker->number())) {
      return false;
    }
    candidate.free = RoomBesideGang(item, *candidate.worker, candidate.free);
    return !spec.Reservation().FitsIn(candidate.free);
  });
}

base::TimePoint Dispatcher::LikelyEnd(const WaitingStep& item,
                                      workers::WorkerNumber worker) const {
  return pass_began_ +
         placement::ScaleDuration(
             run_times_.HighRunTime(item.queue->id,
                                    item.job->SpecOf(item.step).estimate),
             run_times_.SlownessOf(worker));
}

}  // namespace dotterelbarrow::core::scheduler
