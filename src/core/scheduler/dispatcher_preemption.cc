// Preemption: stops runs of a lower priority so that a waiting step can start
// in time, and keeps the room for it.
#include <algorithm>
#include <utility>

#include "dotterelbarrow/core/scheduler/dispatcher.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using placement::PreemptibleRun;
using placement::PreemptionPlan;
using placement::PreemptionPlanner;

// Bounds for the time that preemption takes. A lookup that is about to be late
// is so for PreemptionPlanner::kLeadTime, in which 40 steps are
// considered.
constexpr base::Duration kPassInterval = std::chrono::milliseconds(20);
constexpr int kMaxStepsPerPass = 8;
constexpr base::Duration kRetryDelay = std::chrono::milliseconds(40);
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

}  // namespace

void Dispatcher::BeginPreemptionPass(base::TimePoint now) {
  if (!kept_rooms_.empty()) {
    kept_rooms_.ReleaseIf(
        [&](const jobs::StepRef& step) {
          const std::optional<WaitingStep> item =
              context_.MakeWaitingStep(step, now);
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
             : base::LesserOf(free, free + worker.BeingFreed() - kept);
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
  if (has_suspects || suspects_.IsUnproven(item, now) ||
      (spec.gang && step.waiting() < step.tasks.size())) {
    return false;
  }
  return std::any_of(context_.known_queues.begin(), context_.known_queues.end(),
                     [&item](const auto& entry) {
                       return entry.second.priority > item.queue->priority;
                     });
}

void Dispatcher::RecordWaitingSlack(const WaitingStep& item, WaitReason reason,
                                    base::TimePoint now) {
  if (!context_.settings.preemption.is_enabled() || item.urgency.over_share ||
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
  if (!context_.settings.preemption.is_enabled() ||
      preemption_tries_left_ == 0 ||
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
  if (PreemptionPlanner(context_.settings.preemption)
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
      caps_.IsWithinCap(item, 1) && CanRequestAdvice(item, now)) {
    SendAdviceRequests(item, WorkersToRequestFirst(item, RoomNeeded::kNo, now),
                       now, actions);
  }
}

const char* Dispatcher::TryToPreempt(const WaitingStep& item,
                                     std::uint32_t tasks_ahead,
                                     base::TimePoint now,
                                     std::vector<Action>* actions) {
  const PreemptionPlanner planner(context_.settings.preemption);
  if (const auto refusal = planner.CheckTime(item.urgency.latest_start, now)) {
    return ToString(*refusal);
  }
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  const std::uint32_t tasks = item.job->FindStep(item.step)->waiting();
  const bool fits_cap =
      spec.gang
          ? caps_.FitsCap(item, caps_.UsageOf(item.job->organisation), tasks)
          : caps_.IsWithinCap(item, tasks);
  if (!fits_cap) {
    return "cap";
  }
  preemption_limits_.Refill(
      static_cast<double>(fleet_reserved_.cpu.value()) / kMillicoresPerCore,
      now);
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
      now + std::min(context_.settings.preemption.stop_timeout + run_time +
                         kYieldTime,
                     kMaxYieldTime);
  for (const PreemptionPlan::Stop& stop : plan.stops) {
    preempted_workers_[stop.worker] = {item.queue->priority, until};
  }
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
