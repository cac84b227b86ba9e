// What the scheduling pass concludes from the speeds of workers.
#include <algorithm>
#include <chrono>

#include "dotterelbarrow/core/scheduler/dispatcher.h"

namespace dotterelbarrow::core::scheduler {
namespace {

// Time of a job that neither waits nor runs: the caller's request on its way to
// the owner, the start command, the poll that reports the end, and the write of
// the result. Lookups of a day without load took 100 to 150 ms beside their
// run, of which half were over when they were placed.
constexpr base::Duration kRemainingOverhead = std::chrono::milliseconds(80);
// Part of the order in which the advisor is asked that a worker's speed can
// change. The rest is free processor time, as without speeds.
constexpr double kSpeedInRank = 0.5;

}  // namespace

placement::SpeedPreference Dispatcher::SpeedPreferenceOf(
    const WaitingStep& item, base::TimePoint now) const {
  const base::Duration expected = run_times_.ExpectedRunTime(
      item.queue->id, item.job->SpecOf(item.step).estimate);
  const base::Duration time_left = item.urgency.latest_start + expected +
                                   placement::AdviceTime(*item.queue) - now -
                                   kRemainingOverhead;
  return {time_left, expected, run_times_.SpreadOf(item.queue->id)};
}

std::int64_t Dispatcher::AdviceRank(
    const workers::Worker& worker,
    const placement::SpeedPreference& preference) const {
  const std::int64_t free = worker.FreeResources().cpu.value();
  if (!run_times_.has_uneven_workers()) {
    return free;
  }
  const double cost =
      preference.CostOn(run_times_.LogSlownessOf(worker.number()));
  return static_cast<std::int64_t>(
      static_cast<double>(free) *
      (1 - kSpeedInRank * std::clamp(cost, -1.0, 1.0)));
}

base::Duration Dispatcher::ExpectedRunTimeOn(
    const WaitingStep& item, const base::BackendId& worker) const {
  const workers::Worker* target = fleet_->Find(worker);
  const double slowness =
      target == nullptr ? 1 : run_times_.SlownessOf(target->number());
  if (slowness == 1 && !run_times_.IsKnown(item.queue->id)) {
    return base::Duration(0);
  }
  const base::Duration expected = run_times_.ExpectedRunTime(
      item.queue->id, item.job->SpecOf(item.step).estimate);
  return base::Duration(static_cast<base::Duration::rep>(
      static_cast<double>(expected.count()) * slowness));
}

}  // namespace dotterelbarrow::core::scheduler
