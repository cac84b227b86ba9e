// Returns the callers' estimates; runs are not evaluated yet.
#include "dotterelbarrow/core/placement/run_time_model.h"

namespace dotterelbarrow::core::placement {
namespace {

// Estimates are up to 45% too low.
constexpr int kHighRunTimeFactor = 2;

}  // namespace

void RunTimeModel::RecordRun(const RunSample& /*sample*/,
                             base::TimePoint /*now*/) {}

double RunTimeModel::SlownessOf(workers::WorkerNumber /*worker*/) const {
  return 1;
}

base::Duration RunTimeModel::ExpectedRunTime(const desired::QueueId& /*queue*/,
                                             base::Duration estimate) const {
  return estimate;
}

base::Duration RunTimeModel::HighRunTime(const desired::QueueId& /*queue*/,
                                         base::Duration estimate) const {
  return estimate * kHighRunTimeFactor;
}

void RunTimeModel::Forget(workers::WorkerNumber /*worker*/) {}

}  // namespace dotterelbarrow::core::placement
