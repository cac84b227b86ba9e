// Limits the rate of new jobs by the rate at which jobs could be begun.
#include "dotterelbarrow/core/admission/saturation_gate.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace dotterelbarrow::core::admission {
namespace {

// A longer lag counts as this one: it is too long in any case, and the mean
// must fall below the target soon after it.
constexpr base::Duration kMaxCountedLag = 3 * SaturationGate::kMaxLag;
// A longer time between two samples counts as this one: the process was paused,
// which tells nothing about the load.
constexpr base::Duration kMaxSampleInterval = std::chrono::milliseconds(200);
// The lowest limit, in jobs a second.
constexpr double kMinLimit = 20;
// On time, the limit grows by this fraction a second, or by the second one
// while it is below kFarBelow of what the owner did on time lately.
constexpr double kGrowth = 0.1;
constexpr double kFastGrowth = 1.5;
constexpr double kFarBelow = 0.8;
// The fraction of that rate which is forgotten a second.
constexpr double kForgetting = 0.02;
// The limit ends after this time in which it refused nothing.
constexpr base::Duration kMinEffectInterval = std::chrono::seconds(1);
// A rate of begun jobs is a measure of the owner's capacity only after this
// time: a new owner lags while it claims its workers and begins nothing.
constexpr base::Duration kMinRateHistory = std::chrono::seconds(2);
// Jobs may be accepted together that the limit allows in this time.
constexpr double kBurstSeconds = 0.1;

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double WeightOf(base::Duration interval, base::Duration time_constant) {
  return 1 - std::exp(-Seconds(interval) / Seconds(time_constant));
}

}  // namespace

double SaturationGate::BacklogOf(std::uint64_t jobs_in_preparation) const {
  return std::max(0.0, static_cast<double>(jobs_in_preparation) -
                           begun_per_second_ * Seconds(kTypicalPreparation));
}

void SaturationGate::UpdateLimit(std::uint64_t jobs_in_preparation,
                                 base::Duration interval, base::TimePoint now) {
  const bool is_rate_known =
      first_begun_at_ && now - *first_begun_at_ >= kMinRateHistory;
  if (mean_lag_ > kTargetLag) {
    // Fewer jobs aren't why the timers are late: even the lowest limit would
    // accept as many.
    const bool has_jobs = static_cast<double>(jobs_in_preparation) >
                          kMinLimit * Seconds(kTypicalPreparation);
    const double backlog = BacklogOf(jobs_in_preparation);
    const bool is_due = !limit_ || mean_lag_ > kHighLag;
    if (is_rate_known && has_jobs && backlog > 0 && is_due) {
      limit_ = std::max(begun_per_second_ - backlog / Seconds(kDrainTime),
                        kMinLimit);
      last_effect_at_ = now;
    }
    return;
  }
  on_time_per_second_ = std::max(on_time_per_second_, begun_per_second_);
  if (limit_) {
    const bool is_far_below = *limit_ < kFarBelow * on_time_per_second_;
    *limit_ *= 1 + (is_far_below ? kFastGrowth : kGrowth) * Seconds(interval);
    if (now - last_effect_at_ >= kMinEffectInterval) {
      limit_.reset();
    }
  }
}

void SaturationGate::Update(base::Duration lag, const Progress& progress,
                            base::TimePoint now) {
  const base::Duration interval = std::clamp(
      now - updated_at_.value_or(now), base::Duration(0), kMaxSampleInterval);
  updated_at_ = now;
  if (interval == base::Duration(0)) {
    return;
  }
  mean_lag_ += std::chrono::duration_cast<base::Duration>(
      (std::clamp(lag, base::Duration(0), kMaxCountedLag) - mean_lag_) *
      WeightOf(interval, kLagTimeConstant));
  begun_per_second_ +=
      (static_cast<double>(progress.jobs_begun) / Seconds(interval) -
       begun_per_second_) *
      WeightOf(interval, kRateTimeConstant);
  if (progress.jobs_begun > 0 && !first_begun_at_) {
    first_begun_at_ = now;
  }
  if (std::exchange(has_refused_, false)) {
    last_effect_at_ = now;
  }
  on_time_per_second_ *= 1 - kForgetting * Seconds(interval);
  UpdateLimit(progress.jobs_in_preparation, interval, now);
  if (limit_) {
    tokens_ = std::min(tokens_ + *limit_ * Seconds(interval),
                       std::max(1.0, *limit_ * kBurstSeconds));
  }
}

bool SaturationGate::TryAcquire() {
  if (!limit_) {
    return true;
  }
  if (mean_lag_ > kMaxLag || tokens_ < 1) {
    has_refused_ = true;
    return false;
  }
  tokens_ -= 1;
  return true;
}

double SaturationGate::stretch() const {
  return std::clamp(Seconds(mean_lag_) / Seconds(kTargetLag), 1.0, kMaxStretch);
}

}  // namespace dotterelbarrow::core::admission
