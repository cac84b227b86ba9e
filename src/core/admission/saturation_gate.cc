// The accepted fraction falls in proportion to the mean lag.
#include "dotterelbarrow/core/admission/saturation_gate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "dotterelbarrow/base/hash.h"

namespace dotterelbarrow::core::admission {
namespace {

// A longer lag counts as this one: it is too long in any case, and the mean
// must fall below the target soon after it.
constexpr base::Duration kMaxCountedLag = 2 * SaturationGate::kMaxLag;
// A longer time between two samples counts as this one: the process was paused,
// which tells nothing about the load.
constexpr base::Duration kMaxSampleInterval = std::chrono::milliseconds(200);
constexpr double kHashRange = 18446744073709551616.0;  // 2^64

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void SaturationGate::OnLag(base::Duration lag, base::TimePoint now) {
  const base::Duration interval =
      std::clamp(now - updated_at_, base::Duration(0), kMaxSampleInterval);
  updated_at_ = now;
  const double weight =
      1 - std::exp(-Seconds(interval) / Seconds(kTimeConstant));
  mean_lag_ += std::chrono::duration_cast<base::Duration>(
      (std::clamp(lag, base::Duration(0), kMaxCountedLag) - mean_lag_) *
      weight);
}

double SaturationGate::fraction() const {
  return std::clamp(
      1 - Seconds(mean_lag_ - kTargetLag) / Seconds(kMaxLag - kTargetLag),
      kMinFraction, 1.0);
}

double SaturationGate::stretch() const {
  const double of_target = Seconds(mean_lag_) / Seconds(kTargetLag);
  return std::clamp(of_target, 1.0, kMaxStretch);
}

bool SaturationGate::Admits(std::uint64_t job_key, base::TimePoint now) const {
  const double accepted = fraction();
  if (accepted >= 1.0) {
    return true;
  }
  const auto second = static_cast<std::uint64_t>(now.time_since_epoch() /
                                                 std::chrono::seconds(1));
  const std::uint64_t hash = base::MixBits(job_key ^ base::MixBits(second));
  return static_cast<double>(hash) < accepted * kHashRange;
}

}  // namespace dotterelbarrow::core::admission
