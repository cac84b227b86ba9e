// Gangs that run fast only on one rack: whether they wait for one, and which
// workers are held for them meanwhile.
#include <algorithm>
#include <utility>

#include "dotterelbarrow/core/scheduler/dispatcher.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using placement::Candidate;
using placement::LocalityWaits;

}  // namespace

std::string Dispatcher::PreferredRackOf(const WaitingStep& item) const {
  const std::string& rack = item.job->SpecOf(item.step).data_rack;
  const std::set<PlacedRun>& runs = runs_->RunsOfStep(item.step);
  return rack.empty() && !runs.empty()
             ? fleet_->Find(runs.begin()->worker)->listing().rack
             : rack;
}

bool Dispatcher::IsWaitingForRack(const jobs::StepRef& step) const {
  const LocalityWaits::Wait* wait = locality_.Find(step);
  return wait != nullptr && wait->tasks > 0;
}

void Dispatcher::StopWaitingForRack(const jobs::StepRef& step) {
  if (LocalityWaits::Wait* wait = locality_.Find(step)) {
    wait->tasks = 0;
  }
}

std::vector<Dispatcher::ExpectedPlace> Dispatcher::FindRackForGang(
    const WaitingStep& item, base::TimePoint horizon,
    base::TimePoint now) const {
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  std::map<std::string, std::vector<ExpectedPlace>> racks;
  for (const Candidate& candidate : item.candidates) {
    const std::string& rack = candidate.worker->listing().rack;
    if ((spec.data_rack.empty() || rack == spec.data_rack) &&
        !gang_holds_.IsHeld(candidate.worker->number()) &&
        !IsKeptForSuspect(*candidate.worker, now)) {
      AppendExpectedPlaces(candidate, spec, spec.tasks, base::Duration(0),
                           horizon, now, &racks[rack]);
    }
  }
  std::vector<ExpectedPlace> best;
  for (auto& [rack, places] : racks) {
    if (places.size() < spec.tasks) {
      continue;
    }
    std::stable_sort(places.begin(), places.end(), ExpectedPlace::IsEarlier);
    places.resize(spec.tasks);
    if (best.empty() || places.back().at < best.back().at) {
      best = std::move(places);
    }
  }
  return best;
}

bool Dispatcher::WaitsForRack(const WaitingStep& item,
                              const std::vector<Choice>& choices,
                              base::TimePoint now) {
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  if (!HasLocality(spec) || IsLocal(spec, choices)) {
    return false;
  }
  // All members end together, so that the slowest worker counts.
  const auto slowest = [this](double a, workers::WorkerNumber worker) {
    return std::max(a, run_times_.SlownessOf(worker));
  };
  double remote_slowness = 0;
  for (const Choice& choice : choices) {
    remote_slowness =
        slowest(remote_slowness, fleet_->Find(choice.worker)->number());
  }
  placement::LocalityInput input;
  input.now = now;
  input.remote_run_time = RunTimeOf(item, remote_slowness, false);
  input.local_run_time = RunTimeOf(item, 1, true);
  input.waiting_since = locality_.FindOrAdd(item.step, now).since;
  input.latest_start = item.urgency.latest_start;
  input.confidence = LocalityRecordOf(spec).Confidence(now);
  input.fleet_usage = fleet_usage_;
  std::vector<ExpectedPlace> places;
  // Without held workers, other work would take each place that becomes free on
  // the rack.
  if (gang_holds_.CanHold()) {
    places = FindRackForGang(item, now + input.remote_run_time, now);
  }
  if (!places.empty()) {
    input.local_place_at = places.back().at;
    double slowness = 0;
    for (const ExpectedPlace& place : places) {
      slowness = slowest(slowness, place.worker);
    }
    input.local_run_time = RunTimeOf(item, slowness, true);
  }
  const placement::LocalityDecision decision = placement::DecideLocality(input);
  if (!decision.waits) {
    places.clear();
  }
  RecordLocalityDecision(item, places, decision, spec.tasks,
                         input.remote_run_time - input.local_run_time, now);
  if (!decision.waits) {
    return false;
  }
  ReserveCap(item, spec.tasks);
  UnplacedGang& unplaced = RecordUnplacedGang(item, now);
  for (const ExpectedPlace& place : places) {
    gang_holds_.Hold(place.worker);
    unplaced.held.try_emplace(place.worker);
  }
  gang_holds_.EndGang();
  return true;
}

std::vector<workers::WorkerNumber> Dispatcher::RackWorkersToHold(
    const WaitingStep& item, base::TimePoint now) {
  std::vector<workers::WorkerNumber> held;
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  if (!HasLocality(spec)) {
    return held;
  }
  const base::Duration local = RunTimeOf(item, 1, true);
  const base::Duration remote = RunTimeOf(item, 1, false);
  std::vector<ExpectedPlace> anywhere;
  for (const Candidate& candidate : item.candidates) {
    if (!gang_holds_.IsHeld(candidate.worker->number())) {
      AppendExpectedPlaces(candidate, spec, spec.tasks, base::Duration(0),
                           base::TimePoint::max(), now, &anywhere);
    }
  }
  if (anywhere.size() < spec.tasks) {
    return held;
  }
  std::nth_element(anywhere.begin(), anywhere.begin() + (spec.tasks - 1),
                   anywhere.end(), ExpectedPlace::IsEarlier);
  const base::TimePoint remote_end = anywhere[spec.tasks - 1].at + remote;
  const std::vector<ExpectedPlace> places =
      FindRackForGang(item, remote_end - local, now);
  if (places.empty() || places.back().at + local >= remote_end) {
    return held;
  }
  for (const ExpectedPlace& place : places) {
    gang_holds_.Hold(place.worker);
    held.push_back(place.worker);
  }
  gang_holds_.EndGang();
  return held;
}

}  // namespace dotterelbarrow::core::scheduler
