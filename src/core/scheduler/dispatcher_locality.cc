// Delay scheduling: steps whose run time depends on the rack wait for a local
// worker while that pays.
#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

#include "dotterelbarrow/core/scheduler/dispatcher.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using placement::Candidate;
using placement::LocalityWaits;

// Racks change only when workers are added, so a quarter of a second is early
// enough.
constexpr base::Duration kRacksInterval = std::chrono::milliseconds(250);

}  // namespace

bool Dispatcher::HasLocality(const jobs::StepSpec& spec) const {
  return context_.settings.remote_factor > 1 && !spec.long_running &&
         (!spec.data_rack.empty() || (spec.gang && spec.prefers_one_rack));
}

bool Dispatcher::IsLocal(const jobs::StepSpec& spec,
                         const std::vector<Choice>& choices) const {
  std::optional<std::string> rack;
  if (!spec.data_rack.empty()) {
    rack = spec.data_rack;
  }
  for (const Choice& choice : choices) {
    const workers::Worker* worker = fleet_->Find(choice.worker);
    if (worker == nullptr) {
      continue;
    }
    if (!rack) {
      rack = worker->listing().rack;
    }
    if (worker->listing().rack != *rack) {
      return false;
    }
  }
  return true;
}

void Dispatcher::UpdateRacks(base::TimePoint now) {
  if (context_.settings.remote_factor <= 1 || now < next_racks_update_) {
    return;
  }
  next_racks_update_ = now + kRacksInterval;
  racks_.clear();
  for (const auto& [id, worker] : fleet_->workers()) {
    racks_[worker.listing().rack].push_back(worker.number());
  }
}

base::Duration Dispatcher::RunTimeOf(const WaitingStep& item, double slowness,
                                     bool is_local) const {
  const base::Duration typical = run_times_.ExpectedRunTime(
      item.queue->id, item.job->SpecOf(item.step).estimate);
  return placement::ScaleDuration(
      typical,
      is_local ? slowness : slowness * context_.settings.remote_factor);
}

void Dispatcher::AppendExpectedPlaces(
    Candidate candidate, const jobs::StepSpec& spec, std::size_t most,
    base::Duration run_time, base::TimePoint horizon, base::TimePoint now,
    std::vector<ExpectedPlace>* places) const {
  const workers::Worker& worker = *candidate.worker;
  const double slowness = run_times_.SlownessOf(worker.number());
  std::multimap<base::TimePoint, base::Resources> ends;
  for (const auto& [key, run] : worker.runs()) {
    const jobs::Job* job = jobs_->Find(run.task.step.job);
    if (run.is_orphan || job == nullptr ||
        job->SpecOf(run.task.step).long_running) {
      continue;
    }
    const base::TimePoint started =
        run.started_at == base::TimePoint() ? now : run.started_at;
    ends.emplace(
        placement::ExpectedEnd(
            started,
            placement::ScaleDuration(
                run_times_.ExpectedRunTime(job->queue, run.estimate), slowness),
            placement::ScaleDuration(
                run_times_.HighRunTime(job->queue, run.estimate), slowness),
            now),
        run.reserved);
  }
  for (const LocalityWaits::Claim& claim :
       locality_.ClaimsOn(worker.number())) {
    candidate.free -= claim.needs;
    ends.emplace(claim.until, claim.needs);
  }
  const base::Duration stays = placement::ScaleDuration(run_time, slowness);
  base::TimePoint at = now;
  std::size_t found = 0;
  while (found < most && at <= horizon) {
    if (placement::HasCapacityFor(candidate, spec)) {
      places->push_back({at, worker.number(), at + stays});
      placement::AllocateTask(&candidate, spec);
      ++found;
      if (run_time > base::Duration(0)) {
        ends.emplace(at + stays, spec.Reservation());
      }
    } else if (!ends.empty()) {
      at = ends.begin()->first;
      candidate.free += ends.begin()->second;
      ends.erase(ends.begin());
    } else {
      return;
    }
  }
}

bool Dispatcher::KeepsWaitingForLocal(const WaitingStep& item) {
  const LocalityWaits::Wait* wait = locality_.Find(item.step);
  if (wait == nullptr ||
      wait->tasks < item.job->FindStep(item.step)->waiting() ||
      pass_began_ >= wait->decide_again_at) {
    return false;
  }
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  const base::Resources needs = spec.Reservation();
  const advice::StepAdvice* advice = advice_.Find(item.step);
  const auto rack = racks_.find(spec.data_rack);
  if (rack != racks_.end()) {
    for (const workers::WorkerNumber number : rack->second) {
      const workers::Worker* worker = fleet_->FindByNumber(number);
      const bool is_allowed =
          !item.queue->advice ||
          (advice != nullptr && advice->allowed.contains(number));
      if (worker != nullptr && is_allowed && !gang_holds_.IsHeld(number) &&
          worker->CanAcceptWork(pass_began_) &&
          needs.FitsIn(worker->FreeResources())) {
        return false;
      }
    }
  }
  for (const auto& [worker, until] : wait->places) {
    locality_.AddClaim(worker, {needs, until});
  }
  return true;
}

bool Dispatcher::MayPlaceOn(const workers::Worker& worker, std::uint32_t left,
                            const std::vector<Candidate>& candidates,
                            const jobs::Task& task, WaitingStep* item,
                            base::TimePoint now) {
  const jobs::StepSpec& spec = item->job->SpecOf(item->step);
  if (!HasLocality(spec) || worker.listing().rack == spec.data_rack ||
      task.crashes.is_suspect() || item->has_turn) {
    return true;
  }
  if (!item->remote_tasks) {
    // Tasks that the cap doesn't allow wait for that, not for a local worker.
    const std::uint32_t chosen =
        item->job->FindStep(item->step)->waiting() - left;
    std::uint32_t within_cap = 1;
    while (within_cap < left &&
           caps_.IsWithinCap(*item, chosen + within_cap + 1)) {
      ++within_cap;
    }
    item->remote_tasks = CountRemoteTasks(*item, within_cap, worker,
                                          task.failed_on, candidates, now);
  }
  if (*item->remote_tasks == 0) {
    item->waits_for_local = true;
    return false;
  }
  --*item->remote_tasks;
  return true;
}

std::vector<Candidate> Dispatcher::LocalCandidates(
    const WaitingStep& item, const base::BackendId& failed_on,
    const std::vector<Candidate>& candidates, base::TimePoint now) const {
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  const advice::StepAdvice* advice = advice_.Find(item.step);
  std::vector<Candidate> local;
  const auto rack = racks_.find(spec.data_rack);
  if (rack == racks_.end()) {
    return local;
  }
  for (const workers::WorkerNumber number : rack->second) {
    const workers::Worker* worker = fleet_->FindByNumber(number);
    // Workers that a waiting gang could use are listed even if the step yields
    // them now: it does so only for a part of its slack, and the gang takes few
    // of them.
    if (worker == nullptr || worker->id() == failed_on ||
        worker->listing().rack != spec.data_rack ||
        !MayRunOn(*worker, item, now) || gang_holds_.IsHeld(number) ||
        suspects_.IsKeptForSuspect(*worker, now)) {
      continue;
    }
    if (item.queue->advice &&
        (advice == nullptr || !advice->allowed.contains(number))) {
      continue;
    }
    const auto known =
        std::find_if(candidates.begin(), candidates.end(),
                     [&](const Candidate& c) { return c.worker == worker; });
    if (known == candidates.end()) {
      local.push_back({worker, worker->FreeResources()});
    } else if (!placement::HasCapacityFor(*known, spec)) {
      // If the task fits there now, the remote worker was preferred for another
      // reason.
      local.push_back(*known);
    }
  }
  return local;
}

std::uint32_t Dispatcher::CountRemoteTasks(
    const WaitingStep& item, std::uint32_t tasks, const workers::Worker& remote,
    const base::BackendId& failed_on, const std::vector<Candidate>& candidates,
    base::TimePoint now) {
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  placement::LocalityInput input;
  input.now = now;
  input.remote_run_time =
      RunTimeOf(item, run_times_.SlownessOf(remote.number()), false);
  input.waiting_since = locality_.FindOrAdd(item.step, now).since;
  input.latest_start = item.urgency.latest_start;
  input.confidence = LocalityRecordOf(spec).Confidence(now);
  input.fleet_usage = fleet_usage_;
  const std::vector<Candidate> local =
      LocalCandidates(item, failed_on, candidates, now);
  std::vector<ExpectedPlace> expected;
  for (const Candidate& candidate : local) {
    AppendExpectedPlaces(candidate, spec, tasks, RunTimeOf(item, 1, true),
                         now + input.remote_run_time, now, &expected);
  }
  std::stable_sort(expected.begin(), expected.end(), ExpectedPlace::IsEarlier);
  std::vector<ExpectedPlace> places;
  placement::LocalityDecision decided;
  base::Duration extra{0};
  for (std::uint32_t i = 0; i < tasks; ++i) {
    double slowness = 1;
    if (i < expected.size()) {
      input.local_place_at = expected[i].at;
      slowness = run_times_.SlownessOf(expected[i].worker);
    } else if (!local.empty()) {
      input.local_place_at = base::TimePoint::max();
    } else {
      input.local_place_at.reset();
    }
    input.local_run_time = RunTimeOf(item, slowness, true);
    extra = input.remote_run_time - input.local_run_time;
    const placement::LocalityDecision decision =
        placement::DecideLocality(input);
    if (i == 0 || !decision.waits) {
      decided = decision;
    }
    if (!decision.waits) {
      break;
    }
    decided.decide_again_at =
        std::min(decided.decide_again_at, decision.decide_again_at);
    places.push_back(expected[i]);
    locality_.AddClaim(expected[i].worker,
                       {spec.Reservation(), expected[i].until});
  }
  RecordLocalityDecision(item, places, decided, tasks, extra, now);
  return tasks - static_cast<std::uint32_t>(places.size());
}

void Dispatcher::RecordLocalityDecision(
    const WaitingStep& item, const std::vector<ExpectedPlace>& places,
    const placement::LocalityDecision& decided, std::uint32_t tasks,
    base::Duration extra, base::TimePoint now) {
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  LocalityWaits::Wait& wait = locality_.FindOrAdd(item.step, now);
  const auto waiting = static_cast<std::uint32_t>(places.size());
  placement::LocalityRecord& record = LocalityRecordOf(spec);
  // A gang succeeds or fails as a whole.
  const std::uint32_t waited = std::min(wait.tasks, tasks);
  const std::uint32_t given_up = waited > waiting ? waited - waiting : 0;
  for (std::uint32_t i = 0; i < (spec.gang ? std::min(given_up, 1U) : given_up);
       ++i) {
    record.Record(false, now);
  }
  wait.tasks = waiting;
  wait.decide_again_at = decided.decide_again_at;
  wait.places.clear();
  for (const ExpectedPlace& place : places) {
    wait.places.emplace_back(place.worker, place.until);
  }
  if (waiting < tasks) {
    wait.remote_reason = decided.reason;
  }
  if (waiting > 0 && !wait.has_begun) {
    wait.has_begun = true;
    wait.begun_at = now;
    wait.placed_locally = 0;
    wait.placed_remotely = 0;
    telemetry_.log->Write(
        "locality_wait",
        {{"step", jobs::ToString(item.step)},
         {"rack", spec.data_rack.empty() ? "any" : spec.data_rack},
         {"tasks", static_cast<std::int64_t>(waiting)},
         {"expected_ms",
          (places.back().at - now) / std::chrono::milliseconds(1)},
         {"remote_costs_ms", extra / std::chrono::milliseconds(1)},
         {"confidence_percent",
          static_cast<std::int64_t>(record.Confidence(now) * 100)}});
  }
}

void Dispatcher::RecordLocality(const WaitingStep& item,
                                const std::vector<Choice>& choices,
                                base::TimePoint now) {
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  LocalityWaits::Wait* wait = locality_.Find(item.step);
  // Tasks that were placed in the pass in which others began to wait have not
  // waited.
  const bool has_waited =
      wait != nullptr && wait->has_begun && wait->begun_at < now;
  std::uint32_t local = 0;
  if (spec.gang) {
    local =
        IsLocal(spec, choices) ? static_cast<std::uint32_t>(choices.size()) : 0;
  } else {
    local = static_cast<std::uint32_t>(std::count_if(
        choices.begin(), choices.end(),
        [&](const Choice& choice) { return IsLocal(spec, {choice}); }));
  }
  const auto remote = static_cast<std::uint32_t>(choices.size()) - local;
  if (local > 0) {
    telemetry_.counters->Increment(
        "locality", has_waited ? "waited_then_local" : "local", local);
  }
  if (remote > 0) {
    telemetry_.counters->Increment(
        "locality_remote",
        wait != nullptr && wait->remote_reason
            ? placement::ToString(*wait->remote_reason)
            : "not_decided",
        remote);
  }
  if (!has_waited) {
    return;
  }
  for (std::uint32_t i = 0; i < (spec.gang ? std::min(local, 1U) : local);
       ++i) {
    LocalityRecordOf(spec).Record(true, now);
  }
  wait->placed_locally += local;
  wait->placed_remotely += remote;
  if (item.job->FindStep(item.step)->waiting() > 0 && wait->tasks > 0) {
    return;
  }
  wait->has_begun = false;
  wait->tasks = 0;
  telemetry_.log->Write(
      "locality_wait_ended",
      {{"step", jobs::ToString(item.step)},
       {"rack", spec.data_rack.empty() ? "any" : spec.data_rack},
       {"local", static_cast<std::int64_t>(wait->placed_locally)},
       {"remote", static_cast<std::int64_t>(wait->placed_remotely)},
       {"why", wait->placed_remotely > 0 && wait->remote_reason
                   ? placement::ToString(*wait->remote_reason)
                   : "local_worker"},
       {"waited_ms", (now - wait->begun_at) / std::chrono::milliseconds(1)}});
}

placement::LocalityRecord& Dispatcher::LocalityRecordOf(
    const jobs::StepSpec& spec) {
  return locality_.RecordOf(spec.data_rack);
}

}  // namespace dotterelbarrow::core::scheduler
