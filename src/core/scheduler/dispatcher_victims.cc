// Collects what the preemption planner needs to know about workers and runs.
#include <algorithm>
#include <map>
#include <utility>

#include "dotterelbarrow/core/scheduler/dispatcher.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using placement::PreemptibleRun;
using placement::PreemptionCandidate;
using placement::PreemptionPlanner;

// Bounds the time that one step takes. A quarter of 350 workers may run a gang.
constexpr std::size_t kMaxCandidates = 96;
constexpr double kMillicoresPerCore = 1000;

}  // namespace

std::vector<PreemptionCandidate> Dispatcher::PreemptionCandidatesFor(
    const WaitingStep& item, const placement::PreemptionRequest& request,
    base::TimePoint now) {
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  const PreemptionPlanner planner(context_.settings.preemption);
  const auto unplaced = unplaced_gangs_.find(item.step);
  std::map<base::BackendId, std::uint32_t> tasks_of_step;
  if (spec.max_per_worker > 0) {
    for (const PlacedRun& run : runs_->RunsOfStep(item.step)) {
      ++tasks_of_step[run.worker];
    }
  }
  std::vector<PreemptionCandidate> candidates;
  const auto add = [&](const workers::Worker& worker) {
    const bool is_own_hold = unplaced != unplaced_gangs_.end() &&
                             unplaced->second.held.contains(worker.number());
    if (candidates.size() >= kMaxCandidates || !MayRunOn(worker, item, now) ||
        suspects_.IsKeptForSuspect(worker, now) ||
        (gang_holds_.IsHeld(worker.number()) && !is_own_hold)) {
      return;
    }
    PreemptionCandidate candidate;
    candidate.worker = worker.number();
    candidate.free = worker.FreeResources() + worker.BeingFreed() -
                     kept_rooms_.KeptForOthers(item.step, worker.number());
    if (spec.max_per_worker > 0) {
      const std::uint32_t present = tasks_of_step[worker.id()];
      candidate.max_tasks =
          spec.max_per_worker - std::min(spec.max_per_worker, present);
    }
    candidate.fits_at =
        ExpectedToFitAt(worker, spec.Reservation(), candidate.free, now);
    candidate.runs = PreemptibleRunsOf(worker, now);
    std::erase_if(candidate.runs, [&](const PreemptibleRun& run) {
      return !planner.IsVictim(run, request, now);
    });
    if (!candidate.runs.empty() || candidate.fits_at) {
      candidates.push_back(std::move(candidate));
    }
  };
  if (!item.queue->advice) {
    for (const auto& [id, worker] : fleet_->workers()) {
      add(worker);
    }
  } else if (const advice::StepAdvice* advice = advice_.Find(item.step)) {
    for (const auto& [number, ticket] : advice->allowed) {
      if (const workers::Worker* worker = fleet_->FindByNumber(number)) {
        add(*worker);
      }
    }
  }
  return candidates;
}

std::vector<PreemptibleRun> Dispatcher::PreemptibleRunsOf(
    const workers::Worker& worker, base::TimePoint now) {
  std::vector<PreemptibleRun> runs;
  for (const auto& [key, run] : worker.runs()) {
    // Most runs are ruled out before their jobs are looked up.
    if (run.state != workers::RunState::kRunning || run.is_gang_member ||
        run.is_orphan || run.is_suspect) {
      continue;
    }
    jobs::Job* job = jobs_->Find(run.task.step.job);
    const desired::Queue* queue =
        job == nullptr ? nullptr : FindQueue(job->queue);
    if (queue == nullptr || jobs::IsFinal(job->state) ||
        job->FindTask(run.task) == nullptr ||
        job->FindTask(run.task)->active_attempts.size() > 1) {
      // Of two copies neither is worth stopping for its checkpoint.
      continue;
    }
    const jobs::StepSpec& spec = job->SpecOf(run.task.step);
    PreemptibleRun victim;
    victim.task = run.task;
    victim.attempt = run.attempt;
    victim.priority = queue->priority;
    victim.reserved = run.reserved;
    victim.writes_checkpoints = spec.checkpoints;
    victim.has_checkpoint = !run.checkpoint.empty();
    victim.is_gang_member = spec.gang;
    victim.is_running = true;
    victim.is_exempt = run.is_serving || run.fills_idle_cpu ||
                       run.was_lost_before || spec.long_running ||
                       job->spec.is_scheduled();
    victim.age = now - run.started_at;
    victim.remaining = RemainingTimeOf(worker, run, queue->id, now);
    // The latest start of a step accounts for a whole run of each of its tasks.
    victim.resume_by = placement::UrgencyOf(job, run.task.step.step, *queue,
                                            run_times_, false, now)
                           .latest_start +
                       run_times_.ExpectedRunTime(queue->id, spec.estimate) -
                       victim.remaining -
                       context_.settings.preemption.restore_time;
    if (const auto least = previous_least_waiting_slack_.find(queue->priority);
        least != previous_least_waiting_slack_.end()) {
      victim.least_waiting_slack = least->second;
    }
    const placement::PreemptionLimits::Preemptions before =
        preemption_limits_.Of(run.task);
    victim.preemptions = before.count;
    victim.last_preempted_at = before.last;
    victim.job_core_seconds = CoreSecondsOf(*job);
    runs.push_back(victim);
  }
  return runs;
}

std::optional<base::TimePoint> Dispatcher::ExpectedToFitAt(
    const workers::Worker& worker, const base::Resources& needs,
    base::Resources free, base::TimePoint now) const {
  if (needs.FitsIn(free)) {
    return now;
  }
  std::vector<std::pair<base::Duration, base::Resources>> ends;
  for (const auto& [key, run] : worker.runs()) {
    const jobs::Job* job = jobs_->Find(run.task.step.job);
    const base::Duration remaining =
        job == nullptr ? base::Duration(0)
                       : RemainingTimeOf(worker, run, job->queue, now);
    // The end of a run that exceeds its expected run time can't be predicted.
    if (run.state != workers::RunState::kStopping &&
        remaining > base::Duration(0)) {
      ends.emplace_back(remaining, run.reserved);
    }
  }
  std::sort(ends.begin(), ends.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  for (const auto& [remaining, reserved] : ends) {
    free += reserved;
    if (needs.FitsIn(free)) {
      return now + remaining;
    }
  }
  return std::nullopt;
}

base::Duration Dispatcher::RemainingTimeOf(const workers::Worker& worker,
                                           const workers::Run& run,
                                           const desired::QueueId& queue,
                                           base::TimePoint now) const {
  const auto expected = std::chrono::duration_cast<base::Duration>(
      run_times_.ExpectedRunTime(queue, run.estimate) *
      run_times_.SlownessOf(worker.number()));
  return std::max(base::Duration(0), run.started_at + expected - now);
}

double Dispatcher::CoreSecondsOf(const jobs::Job& job) const {
  double core_seconds = 0;
  for (const jobs::StepSpec& step : job.spec.steps) {
    core_seconds += static_cast<double>(step.tasks) *
                    static_cast<double>(step.needs.cpu.value()) /
                    kMillicoresPerCore *
                    std::chrono::duration<double>(
                        run_times_.ExpectedRunTime(job.queue, step.estimate))
                        .count();
  }
  return core_seconds;
}

}  // namespace dotterelbarrow::core::scheduler
