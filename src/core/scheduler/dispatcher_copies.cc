// Copies of runs that take far longer than expected.
#include <algorithm>
#include <limits>

#include "dotterelbarrow/core/scheduler/dispatcher.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using placement::Candidate;
using placement::CopyReason;
using placement::StragglerPolicy;

// Cost of a copy on the rack of the slow run, which may share its cause, and of
// a worker that is twice as slow as typical. Both outweigh packing, which costs
// at most 1; a worker 1.6 times slower than typical costs more than the rack.
constexpr double kSameRackPenalty = 2;
constexpr double kSlownessPenalty = 4;
// The time from the start command to the start, beside that of the advice.
constexpr base::Duration kStartTime = std::chrono::milliseconds(50);
// How much longer a run takes that resumes from a checkpoint (250 to 600 ms).
constexpr base::Duration kRestoreTime = std::chrono::milliseconds(600);

const char* ToString(CopyOutcome outcome) {
  switch (outcome) {
    case CopyOutcome::kNone:
      return "none";
    case CopyOutcome::kWon:
      return "won";
    case CopyOutcome::kLost:
      return "lost";
    case CopyOutcome::kTookOver:
      return "took_over";
  }
  return "unknown";
}

std::int64_t Milliseconds(base::Duration duration) {
  return duration / std::chrono::milliseconds(1);
}

}  // namespace

void Dispatcher::OnRunAdopted(const base::BackendId& worker,
                              const workers::Run& run, base::TimePoint now) {
  jobs::Job* job = jobs_->Find(run.task.step.job);
  if (!job->SpecOf(run.task.step).may_have_copies()) {
    return;
  }
  copies_.Watch(
      {{worker, run.task, run.attempt}, false},
      now + StragglerPolicy::FirstLookAfter(
                run_times_.ExpectedRunTime(job->queue, run.estimate)));
  if (job->FindTask(run.task)->active_attempts.size() > 1) {
    // Which of the two is the copy makes no difference from here on.
    copies_.AddCopy(run.task, run.attempt, run.needs);
    telemetry_.counters->Increment("copies", "adopted");
  }
}

void Dispatcher::OnRunEnded(const workers::Worker& worker,
                            const workers::Run& run, jobs::RunEnd end,
                            base::TimePoint now) {
  RecordFreeResources(worker);
  room_waits_.RecordRelease(worker.number());
  const auto [is_full_run, outcome] =
      copies_.OnRunEnded({worker.id(), run.task, run.attempt}, end);
  if (outcome != CopyOutcome::kNone) {
    telemetry_.counters->Increment("copies", ToString(outcome));
    telemetry_.log->Write(
        "copy_ended",
        {{"task", jobs::ToString(run.task)},
         {"attempt", static_cast<std::int64_t>(run.attempt.value())},
         {"worker", worker.id().value()},
         {"end", jobs::ToString(end)},
         {"outcome", ToString(outcome)}});
  }
  jobs::Job* job = jobs_->Find(run.task.step.job);
  jobs::Step* step = job == nullptr ? nullptr : job->FindStep(run.task.step);
  if (!is_full_run || end != jobs::RunEnd::kDone || step == nullptr) {
    return;
  }
  const base::Duration typical(static_cast<base::Duration::rep>(
      static_cast<double>((now - run.started_at).count()) /
      run_times_.SlownessOf(worker.number())));
  step->run_times.insert(
      std::upper_bound(step->run_times.begin(), step->run_times.end(), typical),
      typical);
}

void Dispatcher::StartCopies(base::TimePoint now,
                             std::vector<Action>* actions) {
  for (int i = 0; i < context_.settings.max_copy_looks; ++i) {
    std::optional<CopyTracker::WatchedRun> watched = copies_.TakeDue(now);
    if (!watched) {
      return;
    }
    if (const auto next_look = LookAtRun(&*watched, now, actions)) {
      copies_.Watch(std::move(*watched), *next_look);
    }
  }
}

std::optional<base::TimePoint> Dispatcher::LookAtRun(
    CopyTracker::WatchedRun* watched, base::TimePoint now,
    std::vector<Action>* actions) {
  const PlacedRun& placed = watched->run;
  workers::Worker* worker = fleet_->Find(placed.worker);
  const workers::Run* run = worker == nullptr
                                ? nullptr
                                : worker->FindRun(placed.task, placed.attempt);
  WaitingStep item;
  item.step = placed.task.step;
  item.job = jobs_->Find(placed.task.step.job);
  item.queue = item.job == nullptr ? nullptr : FindQueue(item.job->queue);
  const jobs::Task* task =
      item.job == nullptr ? nullptr : item.job->FindTask(placed.task);
  if (run == nullptr || item.queue == nullptr || task == nullptr ||
      task->done || run->state == workers::RunState::kStopping) {
    return std::nullopt;
  }
  // The loss of an unresponsive worker is waited for, because its runs may have
  // caused it.
  if (run->state != workers::RunState::kRunning || worker->failed_polls > 0) {
    return now + StragglerPolicy::kRetryInterval;
  }
  item.urgency =
      placement::UrgencyOf(item.job, item.step.step, *item.queue, run_times_,
                           context_.over_share.contains(item.job->key), now);
  // Copies leave capacity and caps to gangs and to urgent work.
  item.yields = true;
  const placement::RunInProgress progress =
      DescribeRun(item, *worker, *run, now);
  placement::CopyDecision decision =
      StragglerPolicy::Decide(progress, RoomForCopy(item));
  if (decision.verdict == placement::CopyDecision::Verdict::kCopy) {
    decision.reason = PlaceCopy(&item, placed, progress, now, actions);
    decision.look_again_in = StragglerPolicy::kRetryInterval;
  }
  LogWithheld(watched, decision.reason, progress);
  return decision.verdict == placement::CopyDecision::Verdict::kNever
             ? base::TimePoint::max()
             : now + decision.look_again_in;
}

placement::RunInProgress Dispatcher::DescribeRun(const WaitingStep& item,
                                                 const workers::Worker& worker,
                                                 const workers::Run& run,
                                                 base::TimePoint now) const {
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  const jobs::Step& step = *item.job->FindStep(item.step);
  const jobs::Task& task = step.tasks[run.task.index];
  placement::RunInProgress progress;
  progress.active_for = now - run.started_at;
  progress.expected = run_times_.ExpectedRunTime(item.queue->id, spec.estimate);
  progress.high = run_times_.HighRunTime(item.queue->id, spec.estimate);
  progress.slowness = run_times_.SlownessOf(worker.number());
  progress.tasks = spec.tasks;
  progress.tasks_measured = static_cast<std::uint32_t>(step.run_times.size());
  if (!step.run_times.empty()) {
    progress.median = step.run_times[step.run_times.size() / 2];
  }
  progress.start_delay =
      kStartTime + placement::AdviceTime(*item.queue) +
      (run.checkpoint.empty() ? base::Duration(0) : kRestoreTime);
  progress.time_left = item.urgency.latest_start +
                       placement::AdviceTime(*item.queue) + spec.estimate - now;
  progress.deadline_status = item.urgency.deadline_status;
  // An inherited task may have another run on a worker that was not heard of
  // yet.
  progress.has_copy = task.active_attempts.size() > 1 ||
                      (context_.inherited.contains(item.job->key) &&
                       !fleet_->unreconciled().empty());
  progress.copies_started = task.copies_started;
  progress.failed_attempts =
      static_cast<std::uint32_t>(task.failed_attempts.size());
  progress.max_attempts = item.queue->max_attempts;
  progress.is_crash_suspect =
      task.crashes.is_suspect() || !task.crashes.empty();
  progress.is_on_alert = context_.containment.IsOnAlert(item.queue->id, now);
  return progress;
}

placement::CopyRoom Dispatcher::RoomForCopy(const WaitingStep& item) const {
  const base::Resources needs = item.job->SpecOf(item.step).needs;
  return {.has_waiting_work =
              has_waiting_work_ || capped_.contains(item.job->organisation),
          .fleet_usage = fleet_usage_,
          .copies_usage = base::DominantFraction(copies_.usage() + needs,
                                                 context_.fleet_capacity),
          .copies = copies_.copies()};
}

placement::CopyReason Dispatcher::PlaceCopy(
    WaitingStep* item, const PlacedRun& run,
    const placement::RunInProgress& progress, base::TimePoint now,
    std::vector<Action>* actions) {
  if (!caps_.IsWithinCap(*item, 1)) {
    return CopyReason::kCap;
  }
  if (item->queue->advice && !advice_.FindOrAdd(item->step).has_answer) {
    // The run was adopted, so the advice is not known to this owner.
    FindCandidates(item, now, actions);
    return CopyReason::kNoWorker;
  }
  FillCandidates(item, now);
  const workers::Worker* chosen = ChooseForCopy(*item, run, progress, now);
  if (chosen == nullptr) {
    if (item->queue->advice && CanRequestAdvice(*item, now)) {
      RequestMoreAdvice(*item, now, actions);
    }
    return CopyReason::kNoWorker;
  }
  const auto ticket = TicketFor(*item, chosen->id(), now);
  if (!ticket && !SendAdviceRequest(*item, {chosen->id()}, now, actions)) {
    return CopyReason::kNoWorker;
  }
  jobs::Task* task = item->job->FindTask(run.task);
  const workers::Run* first =
      fleet_->Find(run.worker)->FindRun(run.task, run.attempt);
  if (!first->checkpoint.empty()) {
    task->checkpoint = first->checkpoint;
  }
  ++task->copies_started;
  const PlacedRun copy = ReserveRuns(*item, {{run.task.index, chosen->id()}},
                                     jobs::Attempt(0), now)
                             .front();
  copies_.AddCopy(copy.task, copy.attempt, item->job->SpecOf(item->step).needs);
  telemetry_.counters->Increment("copies", "started");
  telemetry_.log->Write(
      "copy_started",
      {{"task", jobs::ToString(run.task)},
       {"attempt", static_cast<std::int64_t>(copy.attempt.value())},
       {"worker", copy.worker.value()},
       {"first_worker", run.worker.value()},
       {"active_ms", Milliseconds(progress.active_for)},
       {"expected_ms", Milliseconds(progress.expected)},
       {"median_ms", Milliseconds(progress.median.value_or(base::Duration(0)))},
       {"saved", task->checkpoint.empty() ? "no" : "yes"}});
  if (ticket) {
    StartRun(*item, copy, *ticket, now, actions);
  }
  return CopyReason::kStraggler;
}

const workers::Worker* Dispatcher::ChooseForCopy(
    const WaitingStep& item, const PlacedRun& run,
    const placement::RunInProgress& progress, base::TimePoint now) const {
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  const std::string& rack = fleet_->Find(run.worker)->listing().rack;
  const base::BackendId& failed_on = item.job->FindTask(run.task)->failed_on;
  const workers::Worker* best = nullptr;
  double lowest_cost = std::numeric_limits<double>::max();
  for (const Candidate& candidate : item.candidates) {
    const workers::Worker& worker = *candidate.worker;
    const double slowness = run_times_.SlownessOf(worker.number());
    if (worker.id() == run.worker || gang_holds_.IsHeld(worker.number()) ||
        gang_holds_.IsWanted(worker.number()) ||
        suspects_.IsKeptForSuspect(worker, now) ||
        !placement::HasCapacityFor(candidate, spec) ||
        !StragglerPolicy::EndsBefore(progress, slowness)) {
      continue;
    }
    const double cost =
        placement::PlacementCost(candidate, spec, failed_on) +
        kSlownessPenalty * slowness +
        (!rack.empty() && worker.listing().rack == rack ? kSameRackPenalty : 0);
    if (cost < lowest_cost) {
      lowest_cost = cost;
      best = &worker;
    }
  }
  return best;
}

void Dispatcher::LogWithheld(CopyTracker::WatchedRun* watched,
                             CopyReason reason,
                             const placement::RunInProgress& progress) {
  if (reason == CopyReason::kStraggler || reason == CopyReason::kHasCopy ||
      reason == CopyReason::kWithinRunTime || watched->withheld_by == reason) {
    return;
  }
  watched->withheld_by = reason;
  telemetry_.counters->Increment("copies_withheld",
                                 placement::ToString(reason));
  telemetry_.log->Write(
      "copy_withheld",
      {{"task", jobs::ToString(watched->run.task)},
       {"attempt", static_cast<std::int64_t>(watched->run.attempt.value())},
       {"reason", placement::ToString(reason)},
       {"active_ms", Milliseconds(progress.active_for)},
       {"expected_ms", Milliseconds(progress.expected)}});
}

}  // namespace dotterelbarrow::core::scheduler
