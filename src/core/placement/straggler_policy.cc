// Compares a run with the expected run time and with its siblings.
#include "dotterelbarrow/core/placement/straggler_policy.h"

#include <algorithm>

namespace dotterelbarrow::core::placement {
namespace {

using Verdict = CopyDecision::Verdict;

// A slow run takes this many times as long as usual (the platform states 7).
constexpr double kSlowRunFactor = 7;
// Run times of one step differ by up to 1.6 between workers, which are not all
// known; twice the median is beyond that.
constexpr double kMedianFactor = 2;
// One in twenty runs exceeds the high run time by its definition, so that the
// threshold has to be well above it: with a copy for each of those, most copies
// would be of usual runs.
constexpr double kHighFactor = 1.5;
// Siblings tell more than estimates once this fraction of them is done: the
// median can't be that of slow runs then.
constexpr double kMinFractionMeasured = 0.5;
// Above this usage the free workers are those on which little fits, and a burst
// would find nothing free.
constexpr double kMaxUsage = 0.9;
// Above this usage, only runs that would make their job late get a copy.
constexpr double kMaxUsageWithSlack = 0.7;
// A run that may be a usual one is looked at this many times before it can be a
// straggler, because siblings may end meanwhile.
constexpr int kLooksBeforeThreshold = 4;
constexpr base::Duration kMinLookInterval = std::chrono::milliseconds(20);

base::Duration Scale(base::Duration duration, double factor) {
  return base::Duration(static_cast<base::Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

bool KnowsSiblings(const RunInProgress& run) {
  return run.median && run.tasks_measured >= kMinFractionMeasured *
                                                 static_cast<double>(run.tasks);
}

// Returns the usual run time on a worker of typical speed.
base::Duration UsualRunTime(const RunInProgress& run) {
  return KnowsSiblings(run) ? *run.median : run.expected;
}

// Returns the run time from which the run counts as slow.
base::Duration Threshold(const RunInProgress& run) {
  return KnowsSiblings(run) ? Scale(*run.median, kMedianFactor * run.slowness)
                            : Scale(run.high, kHighFactor * run.slowness);
}

// Returns how much longer a slow run is expected to take.
base::Duration RemainingTime(const RunInProgress& run) {
  const base::Duration total =
      Scale(UsualRunTime(run), kSlowRunFactor * run.slowness);
  // A run that takes even longer than a slow one says that the estimate was
  // wrong, or that it doesn't advance. It is expected to last as long again.
  return run.active_for < total ? total - run.active_for : run.active_for;
}

CopyDecision NotYet(CopyReason reason, base::Duration look_again_in) {
  return {Verdict::kNotYet, reason, std::max(look_again_in, kMinLookInterval)};
}

CopyDecision Never(CopyReason reason) {
  return {Verdict::kNever, reason, base::Duration(0)};
}

}  // namespace

const char* ToString(CopyReason reason) {
  switch (reason) {
    case CopyReason::kStraggler:
      return "straggler";
    case CopyReason::kWithinRunTime:
      return "within_run_time";
    case CopyReason::kEndsSoon:
      return "ends_soon";
    case CopyReason::kHasCopy:
      return "has_copy";
    case CopyReason::kWaitingWork:
      return "waiting_work";
    case CopyReason::kFleetBusy:
      return "fleet_busy";
    case CopyReason::kShareUsed:
      return "share_used";
    case CopyReason::kOnAlert:
      return "on_alert";
    case CopyReason::kCap:
      return "cap";
    case CopyReason::kNoWorker:
      return "no_worker";
    case CopyReason::kCrashSuspect:
      return "crash_suspect";
    case CopyReason::kCopiesUsedUp:
      return "copies_used_up";
    case CopyReason::kAttemptsUsedUp:
      return "attempts_used_up";
    case CopyReason::kExpired:
      return "expired";
  }
  return "unknown";
}

base::Duration StragglerPolicy::FirstLookAfter(base::Duration expected) {
  return std::max(expected, kMinLookInterval);
}

bool StragglerPolicy::EndsBefore(const RunInProgress& run,
                                 double slowness_of_copy) {
  return run.start_delay + Scale(UsualRunTime(run), slowness_of_copy) <
         RemainingTime(run);
}

CopyDecision StragglerPolicy::Decide(const RunInProgress& run,
                                     const CopyRoom& room) {
  if (run.deadline_status == DeadlineStatus::kExpired) {
    return Never(CopyReason::kExpired);
  }
  if (run.is_crash_suspect) {
    return Never(CopyReason::kCrashSuspect);
  }
  // Both runs may fail.
  if (run.failed_attempts + 2 > run.max_attempts) {
    return Never(CopyReason::kAttemptsUsedUp);
  }
  const base::Duration threshold = Threshold(run);
  if (run.has_copy) {
    return NotYet(CopyReason::kHasCopy, threshold / kLooksBeforeThreshold);
  }
  if (run.copies_started >= kMaxCopiesOfTask) {
    return Never(CopyReason::kCopiesUsedUp);
  }
  if (run.active_for < threshold) {
    return NotYet(CopyReason::kWithinRunTime,
                  std::min(threshold - run.active_for,
                           threshold / kLooksBeforeThreshold));
  }
  if (!EndsBefore(run, 1)) {
    return NotYet(CopyReason::kEndsSoon, RemainingTime(run));
  }
  const bool is_in_time = RemainingTime(run) <= run.time_left;
  if (room.has_waiting_work) {
    return NotYet(CopyReason::kWaitingWork, kRetryInterval);
  }
  if (room.fleet_usage >= (is_in_time ? kMaxUsageWithSlack : kMaxUsage)) {
    return NotYet(CopyReason::kFleetBusy, kRetryInterval);
  }
  // A small fleet may have one copy, however large.
  if (room.copies > 0 &&
      room.copies_usage > StragglerPolicy::kMaxShareOfCopies) {
    return NotYet(CopyReason::kShareUsed, kRetryInterval);
  }
  if (run.is_on_alert) {
    return NotYet(CopyReason::kOnAlert, kRetryInterval);
  }
  return {Verdict::kCopy, CopyReason::kStraggler, base::Duration(0)};
}

}  // namespace dotterelbarrow::core::placement
