// Preemption: stops runs of a lower priority so that a waiting step can start
// in time, and keeps the room for it.
#include <algorithm>
#include <numeric>
#include <utility>

#include "dotterelbarrow/core/scheduler/dispatcher.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using placement::PreemptibleRun;
using placement::PreemptionCandidate;
using placement::PreemptionPlan;
using placement::PreemptionPlanner;

// Bounds for the time that preemption takes. A lookup that is about to be late
// is so for PreemptionPlanner::kLeadTime, in which more than 50 steps are
// considered. A quarter of 350 workers may run a gang.
constexpr base::Duration kPassInterval = std::chrono::milliseconds(20);
constexpr int kMaxStepsPerPass = 8;
constexpr base::Duration kRetryDelay = std::chrono::milliseconds(40);
constexpr std::size_t kMaxCandidates = 96;
// A step that was not considered for this long has left, or has another chance.
constexpr base::Duration kTryRetention = std::chrono::seconds(2);
constexpr std::size_t kMaxTries = 256;
constexpr double kMillicoresPerCore = 1000;
// How long after the expected end of the tasks for which runs were stopped
// other work with much slack still avoids the worker. Covers a pause in a
// burst.
constexpr base::Duration kYieldTime = std::chrono::milliseconds(500);
// That work doesn't wait longer than this for it, however long they run.
constexpr base::Duration kMaxYieldTime = std::chrono::milliseconds(2500);

std::int64_t Millis(base::Duration duration) {
  return duration / std::chrono::milliseconds(1);
}

// Returns the resources of the runs that are being stopped on the worker.
base::Resources BeingFreedOn(const workers::Worker& worker) {
  base::Resources freed;
  for (const auto& [key, run] : worker.runs()) {
    if (run.state == workers::RunState::kStopping) {
      freed += run.reserved;
    }
  }
  return freed;
}

base::Resources LesserOf(const base::Resources& a, const base::Resources& b) {
  return {std::min(a.cpu, b.cpu), std::min(a.memory, b.memory),
          std::min(a.accelerators, b.accelerators), std::min(a.slots, b.slots)};
}

}  // namespace

void Dispatcher::BeginPreemptionPass(base::TimePoint now) {
  if (!kept_rooms_.empty()) {
    kept_rooms_.ReleaseIf(
        [&](const jobs::StepRef& step) {
          const std::optional<WaitingStep> item = MakeWaitingStep(step, now);
          return !item || item->urgency.deadline_status !=
                              placement::DeadlineStatus::kOnTime;
        },
        now);
  }
  if (preemption_tries_.size() > kMaxTries) {
    std::erase_if(preemption_tries_, [now](const auto& entry) {
      return now - entry.second.next_try > kTryRetention;
    });
  }
  preemption_tries_left_ = now >= next_preemption_pass_ ? kMaxStepsPerPass : 0;
  tasks_without_room_ = 0;
  previous_least_waiting_slack_ = std::exchange(least_waiting_slack_, {});
  std::erase_if(preempted_workers_,
                [now](const auto& entry) { return now >= entry.second.until; });
}

base::Resources Dispatcher::RoomFor(const jobs::StepRef& step,
                                    const workers::Worker& worker) const {
  const base::Resources free = worker.FreeResources();
  if (kept_rooms_.empty()) {
    return free;
  }
  const base::Resources kept = kept_rooms_.KeptForOthers(step, worker.number());
  return kept == base::Resources()
             ? free
             : LesserOf(free, free + BeingFreedOn(worker) - kept);
}

bool Dispatcher::IsHeldForOthers(const jobs::StepRef& step,
                                 workers::WorkerNumber worker) const {
  return gang_holds_.IsHeld(worker) && !kept_rooms_.IsKeptFor(step, worker);
}

bool Dispatcher::MustAvoidPreempted(const WaitingStep& item,
                                    workers::WorkerNumber worker) const {
  if (!item.yields || preempted_workers_.empty()) {
    return false;
  }
  const auto it = preempted_workers_.find(worker);
  return it != preempted_workers_.end() &&
         item.queue->priority > it->second.for_priority;
}

bool Dispatcher::MayPreemptFor(const WaitingStep& item,
                               base::TimePoint now) const {
  const jobs::Job& job = *item.job;
  const jobs::Step& step = *item.job->FindStep(item.step);
  const jobs::StepSpec& spec = job.SpecOf(item.step);
  if (item.blocked_by || item.urgency.over_share ||
      item.urgency.deadline_status != placement::DeadlineStatus::kOnTime ||
      job.spec.is_scheduled() || job.spec.has_long_running_step() ||
      spec.fills_idle_cpu) {
    return false;
  }
  // Tasks that may crash their workers need workers apart from others.
  const bool has_suspects =
      step.gang_crashes.is_suspect() ||
      std::any_of(step.tasks.begin(), step.tasks.end(),
                  [](const jobs::Task& task) {
                    return !task.done && task.crashes.is_suspect();
                  });
  if (has_suspects || IsUnproven(item, now) ||
      (spec.gang && step.waiting() < step.tasks.size())) {
    return false;
  }
  return std::any_of(known_queues_.begin(), known_queues_.end(),
                     [&item](const auto& entry) {
                       return entry.second.priority > item.queue->priority;
                     });
}

void Dispatcher::RecordWaitingSlack(const WaitingStep& item, WaitReason reason,
                                    base::TimePoint now) {
  if (!settings_.preemption.is_enabled() || item.urgency.over_share ||
      reason != WaitReason::kFreeResources ||
      item.urgency.deadline_status != placement::DeadlineStatus::kOnTime) {
    return;
  }
  const base::Duration slack = item.urgency.latest_start - now;
  const auto [least, is_first] =
      least_waiting_slack_.try_emplace(item.queue->priority, slack);
  least->second = std::min(least->second, slack);
}

void Dispatcher::ConsiderPreemption(const WaitingStep& item, WaitReason reason,
                                    base::TimePoint now,
                                    std::vector<Action>* actions) {
  if (!settings_.preemption.is_enabled() || preemption_tries_left_ == 0 ||
      (reason != WaitReason::kFreeResources && reason != WaitReason::kAdvice) ||
      kept_rooms_.IsKeptFor(item.step)) {
    return;
  }
  const std::uint32_t tasks_ahead = tasks_without_room_;
  tasks_without_room_ += item.job->FindStep(item.step)->waiting();
  // A step that was found without room may not know yet which workers it may
  // use. It requests that earlier by twice the time that the advisor takes.
  const advice::StepAdvice* advice = advice_.Find(item.step);
  const bool needs_advice =
      item.queue->advice && (advice == nullptr || !advice->has_answer);
  const base::Duration lead =
      needs_advice ? 2 * placement::AdviceTime(*item.queue) : base::Duration(0);
  if (PreemptionPlanner(settings_.preemption)
          .CheckTime(item.urgency.latest_start - lead, now) ==
      placement::PreemptionRefusal::kNotDue) {
    return;
  }
  PreemptionTry& last = preemption_tries_[item.step];
  if (now < last.next_try || !MayPreemptFor(item, now)) {
    return;
  }
  last.next_try = now + kRetryDelay;
  next_preemption_pass_ = now + kPassInterval;
  --preemption_tries_left_;
  if (needs_advice) {
    RequestAdviceToPreempt(item, now, actions);
  } else {
    RecordPreemptionRefusal(item, TryToPreempt(item, tasks_ahead, now, actions),
                            &last);
  }
}

void Dispatcher::RequestAdviceToPreempt(const WaitingStep& item,
                                        base::TimePoint now,
                                        std::vector<Action>* actions) {
  const advice::StepAdvice& advice = advice_.FindOrAdd(item.step);
  if (advice.calls_in_flight == 0 && now >= advice.retry_at &&
      IsWithinCap(item, 1) && CanRequestAdvice(item, now)) {
    SendAdviceRequests(item, WorkersToRequestFirst(item, now), now, actions);
  }
}

const char* Dispatcher::TryToPreempt(const WaitingStep& item,
                                     std::uint32_t tasks_ahead,
                                     base::TimePoint now,
                                     std::vector<Action>* actions) {
  const PreemptionPlanner planner(settings_.preemption);
  if (const auto refusal = planner.CheckTime(item.urgency.latest_start, now)) {
    return ToString(*refusal);
  }
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  const std::uint32_t tasks = item.job->FindStep(item.step)->waiting();
  const bool fits_cap =
      spec.gang ? FitsCap(item, UsageOf(item.job->organisation), tasks)
                : IsWithinCap(item, tasks);
  if (!fits_cap) {
    return "cap";
  }
  const base::Resources in_use = std::accumulate(
      fleet_->workers().begin(), fleet_->workers().end(), base::Resources(),
      [](const base::Resources& sum, const auto& entry) {
        return sum + entry.second.reserved();
      });
  preemption_limits_.Refill(
      static_cast<double>(in_use.cpu.value()) / kMillicoresPerCore, now);
  if (!preemption_limits_.HasBudget()) {
    return "too_many";
  }
  placement::PreemptionRequest request{
      .priority = item.queue->priority,
      .latest_start = item.urgency.latest_start,
      .tasks = tasks,
      .needs = spec.Reservation(),
      .is_gang = spec.gang,
      .run_time = run_times_.ExpectedRunTime(item.queue->id, spec.estimate),
      .tasks_ahead = tasks_ahead,
      .job_core_seconds = CoreSecondsOf(*item.job)};
  request.candidates = PreemptionCandidatesFor(item, request, now);
  const PreemptionPlan plan = planner.Plan(request, now);
  if (plan.refusal) {
    return ToString(*plan.refusal);
  }
  Preempt(item, plan, now, actions);
  return nullptr;
}

void Dispatcher::Preempt(const WaitingStep& item, const PreemptionPlan& plan,
                         base::TimePoint now, std::vector<Action>* actions) {
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  for (const PreemptionPlan::Stop& stop : plan.stops) {
    const workers::Worker& worker = *fleet_->FindByNumber(stop.worker);
    const PreemptibleRun& run = stop.run;
    telemetry_.counters->Increment("runs_preempted",
                                   spec.gang ? "for_gang" : "for_tasks");
    telemetry_.log->Write(
        "run_preempted",
        {{"task", jobs::ToString(run.task)},
         {"attempt", static_cast<std::int64_t>(run.attempt.value())},
         {"worker", worker.id().value()},
         {"for_step", jobs::ToString(item.step)},
         {"priority", run.priority},
         {"for_priority", item.queue->priority},
         {"ran_ms", Millis(run.age)},
         {"remaining_ms", Millis(run.remaining)},
         {"slack_ms", Millis(run.resume_by - now)},
         {"step_slack_ms", Millis(item.urgency.latest_start - now)},
         {"preempted_before", run.preemptions},
         {"gain", static_cast<std::int64_t>(plan.gain)},
         {"cost", static_cast<std::int64_t>(plan.cost)}});
    preemption_limits_.Record(
        run.task,
        static_cast<double>(run.reserved.cpu.value()) / kMillicoresPerCore,
        now);
    fleet_->Stop(worker.id(), {run.task, run.attempt}, now, actions);
  }
  kept_rooms_.Keep(item.step, plan.rooms, spec.Reservation(),
                   item.urgency.latest_start);
  const base::Duration run_time =
      run_times_.ExpectedRunTime(item.queue->id, spec.estimate);
  const base::TimePoint until =
      now + std::min(settings_.preemption.stop_timeout + run_time + kYieldTime,
                     kMaxYieldTime);
  for (const PreemptionPlan::Stop& stop : plan.stops) {
    preempted_workers_[stop.worker] = {item.queue->priority, until};
  }
}

std::vector<PreemptionCandidate> Dispatcher::PreemptionCandidatesFor(
    const WaitingStep& item, const placement::PreemptionRequest& request,
    base::TimePoint now) {
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  const PreemptionPlanner planner(settings_.preemption);
  const auto unplaced = unplaced_gangs_.find(item.step);
  std::map<base::BackendId, std::uint32_t> tasks_of_step;
  if (spec.max_per_worker > 0) {
    for (const PlacedRun& run : runs_->RunsOfStep(item.step)) {
      ++tasks_of_step[run.worker];
    }
  }
  std::vector<PreemptionCandidate> candidates;
  const auto add = [&](const workers::Worker& worker) {
    const bool is_own_hold =
        unplaced != unplaced_gangs_.end() &&
        std::find(unplaced->second.held.begin(), unplaced->second.held.end(),
                  worker.number()) != unplaced->second.held.end();
    if (candidates.size() >= kMaxCandidates || !MayRunOn(worker, item, now) ||
        IsKeptForSuspect(worker, now) ||
        (gang_holds_.IsHeld(worker.number()) && !is_own_hold)) {
      return;
    }
    PreemptionCandidate candidate;
    candidate.worker = worker.number();
    candidate.free = worker.FreeResources() + BeingFreedOn(worker) -
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
        job->FindTask(run.task) == nullptr) {
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
    victim.resume_by =
        placement::UrgencyOf(job, run.task.step.step, *queue, false, now)
            .latest_start +
        run.estimate - victim.remaining - settings_.preemption.restore_time;
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

void Dispatcher::RecordPreemptionRefusal(const WaitingStep& item,
                                         const char* refusal,
                                         PreemptionTry* last) {
  const bool is_new = refusal != nullptr && refusal != last->refusal;
  last->refusal = refusal;
  if (!is_new) {
    return;
  }
  telemetry_.counters->Increment("preemptions_refused", refusal);
  telemetry_.log->Write(
      "preemption_refused",
      {{"step", jobs::ToString(item.step)},
       {"reason", refusal},
       {"slack_ms", Millis(item.urgency.latest_start - pass_began_)}});
}

}  // namespace dotterelbarrow::core::scheduler
