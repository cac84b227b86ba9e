// Begins and ends evacuations of availability zones.
#include <algorithm>
#include <map>
#include <variant>
#include <vector>

#include "dotterelbarrow/core/scheduler/scheduler.h"

namespace dotterelbarrow::core::scheduler {

void Scheduler::SetEvacuatedZones(const std::set<base::AvailabilityZone>& zones,
                                  base::TimePoint now) {
  now_ = now;
  fleet_.SetEvacuatedZones(zones);
  dispatcher_.ForgetFleetState();
  WithdrawEvacuatedStarts();
  ReleaseEvacuatedRuns();
  evacuations_.UpdateNow(fleet_, now);
}

void Scheduler::WithdrawEvacuatedStarts() {
  std::erase_if(actions_, [this](const Action& action) {
    const auto* start = std::get_if<StartTask>(&action);
    workers::Worker* worker =
        start == nullptr ? nullptr : fleet_.Find(start->worker.id);
    if (worker == nullptr || !worker->is_evacuated()) {
      return false;
    }
    workers::Run* run = worker->FindRun(start->task, start->attempt);
    if (run != nullptr && run->state == workers::RunState::kStarting) {
      run->state = workers::RunState::kReserved;
    }
    return true;
  });
}

void Scheduler::ReleaseEvacuatedRuns() {
  const auto is_reserved = [this](const PlacedRun& run) {
    workers::Worker* worker = fleet_.Find(run.worker);
    const workers::Run* found =
        worker == nullptr ? nullptr : worker->FindRun(run.task, run.attempt);
    return found != nullptr && found->state == workers::RunState::kReserved;
  };
  std::map<jobs::StepRef, std::vector<PlacedRun>> evacuated;
  for (const auto& [id, worker] : fleet_.workers()) {
    if (!worker.is_evacuated()) {
      continue;
    }
    for (const auto& [key, run] : worker.runs()) {
      if (run.state == workers::RunState::kReserved) {
        evacuated[run.task.step].push_back({id, run.task, run.attempt});
      }
    }
  }
  for (auto& [step, released] : evacuated) {
    const std::set<PlacedRun>& runs = runs_.RunsOfStep(step);
    const jobs::Job* job = jobs_.Find(step.job);
    const bool is_gang = job != nullptr && job->SpecOf(step).gang;
    if (is_gang && std::all_of(runs.begin(), runs.end(), is_reserved)) {
      // No member waits for the others yet, so the gang is placed as a whole.
      released.assign(runs.begin(), runs.end());
    }
    telemetry_.counters->Increment("runs_released", "evacuated",
                                   released.size());
    for (const PlacedRun& run : released) {
      // No start was sent, so the worker hasn't closed the attempt.
      const jobs::Task* before = FindTask(run.task);
      const base::BackendId closed_on = before == nullptr
                                            ? base::BackendId()
                                            : before->stopped_before_start_on;
      fleet_.Stop(run.worker, run.key(), now_, &actions_);
      if (jobs::Task* after = FindTask(run.task)) {
        after->stopped_before_start_on = closed_on;
      }
    }
  }
}

jobs::Task* Scheduler::FindTask(const jobs::TaskRef& task) {
  jobs::Job* job = jobs_.Find(task.step.job);
  return job == nullptr ? nullptr : job->FindTask(task);
}

}  // namespace dotterelbarrow::core::scheduler
