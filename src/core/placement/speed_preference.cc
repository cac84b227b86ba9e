// Weighs being in time against leaving fast workers to urgent work.
#include "dotterelbarrow/core/placement/speed_preference.h"

#include <algorithm>
#include <cmath>

namespace dotterelbarrow::core::placement {
namespace {

// On the scale of the packing cost, which is between 0 and 1: a worker on which
// the work is certainly late costs more than any packing gains.
constexpr double kLateCost = 3;
// A worker that is 1.6 times slower costs 0.24 less than a typical one, which
// is as much as half a worker's difference in packing.
constexpr double kFastCost = 0.1;
// Approximates the normal distribution by the logistic one.
constexpr double kLogisticScale = 1.702;
constexpr double kMinSpread = 0.1;
// From 1.25 on, a gang that avoids the worker wins more than a fifth of the
// time of all its members.
constexpr double kGangLimit = 1.25;

}  // namespace

SpeedPreference::SpeedPreference(base::Duration time_left,
                                 base::Duration expected, double spread)
    : may_be_in_time_(time_left > base::Duration(0) &&
                      expected > base::Duration(0)),
      spread_(std::max(spread, kMinSpread)) {
  if (may_be_in_time_) {
    log_limit_ = std::log(static_cast<double>(time_left.count()) /
                          static_cast<double>(expected.count()));
  }
  late_on_typical_ = ProbabilityLate(0);
}

double SpeedPreference::ProbabilityLate(double log_slowness) const {
  return may_be_in_time_
             ? 1 / (1 + std::exp(kLogisticScale * (log_limit_ - log_slowness) /
                                 spread_))
             : 1;
}

double SpeedPreference::CostOn(double log_slowness) const {
  if (std::abs(log_slowness) < kDeadZone) {
    return 0;
  }
  return kLateCost * (ProbabilityLate(log_slowness) - late_on_typical_) -
         kFastCost * log_slowness;
}

bool WastesGang(double slowness) { return slowness > kGangLimit; }

}  // namespace dotterelbarrow::core::placement
