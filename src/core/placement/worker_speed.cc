// A weighted mean of clipped samples, and a test for changes.
#include "dotterelbarrow/core/placement/worker_speed.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace dotterelbarrow::core::placement {
namespace {

// Long enough for fifty runs, which give the slowness to within 10%. A change
// is found by a test of its own.
constexpr double kMemorySeconds = 25;
// Inverse of the variance of workers' log slowness; the standard deviation is
// 0.22 if a quarter of them is 1.6 times slower or faster.
constexpr double kPriorWeight = 12;
// About three runs whose step has several others.
constexpr double kMinWeight = 8;
// A worker that is 1.6 times slower is 0.47 from the typical one, and the tasks
// of a step vary by up to 0.3. A task that takes 7 times as long is 1.95 away.
constexpr double kClip = 0.7;
constexpr double kOutlier = 1.2;
constexpr double kOutlierWeight = 0.3;
// The allowance and the threshold of the test for a change, in standard
// deviations. A worker that becomes 1.6 times slower is 1.5 of them off, so
// that five runs show it, and one that becomes twice as slow or slower three or
// four. Without a change the test fails once in about 170 runs, in each
// direction.
constexpr double kDriftAllowance = 0.5;
constexpr double kDriftThreshold = 4;
// The threshold towards the typical speed for some time after a change: most
// workers whose speed changes are slow for a few seconds only. For all workers
// at all times it gave 86.5% of lookups on time instead of 86.9%
// (uneven-workers.json, seeds 1 to 6).
constexpr double kRecoveryThreshold = 2.5;
constexpr base::Duration kTemporary = std::chrono::seconds(15);
// Limits how much one long task counts.
constexpr double kMaxDeviation = 2;
constexpr double kMinChange = 0.25;

double DecayFactor(base::Duration age) {
  return std::exp(-std::chrono::duration<double>(age).count() / kMemorySeconds);
}

double Deviation(const WorkerSpeed::Sample& sample, double estimate) {
  return std::clamp((sample.log_slowness - estimate) * std::sqrt(sample.weight),
                    -kMaxDeviation, kMaxDeviation);
}

}  // namespace

WorkerSpeed::Sample WorkerSpeed::Clip(const Sample& sample) const {
  const double distance = sample.log_slowness - log_slowness();
  return {
      log_slowness() + std::clamp(distance, -kClip, kClip),
      sample.weight * (std::abs(distance) > kOutlier ? kOutlierWeight : 1.0)};
}

void WorkerSpeed::DecayTo(base::TimePoint now) {
  if (now <= decayed_to_) {
    return;
  }
  sums_.Scale(DecayFactor(now - decayed_to_));
  decayed_to_ = now;
}

bool WorkerSpeed::HasChanged(Drift* drift, double sign, double estimate,
                             const Sample& old_sample, const Sample& new_sample,
                             const Interval& interval, bool may_recover,
                             base::TimePoint now) {
  const bool speaks_against =
      sign * Deviation(new_sample, estimate) < kDriftAllowance;
  if (interval.ended_at < drift->since ||
      (drift->sum > 0 && speaks_against &&
       interval.started_at < drift->first_start)) {
    return false;
  }
  if (drift->sum <= 0) {
    drift->first_start = interval.started_at;
  }
  drift->sum += sign * Deviation(new_sample, estimate);
  if (old_sample.weight > 0) {
    drift->sum -= sign * Deviation(old_sample, estimate);
  } else {
    drift->sum -= kDriftAllowance;
  }
  if (drift->sum <= 0) {
    *drift = {.sum = 0, .samples = {}, .since = now, .first_start = now};
    return false;
  }
  drift->samples.Add(old_sample, -1);
  drift->samples.Add(new_sample, 1);
  const double threshold = may_recover && sign * estimate < -kMinChange
                               ? kRecoveryThreshold
                               : kDriftThreshold;
  return drift->sum > threshold &&
         sign * (drift->samples.product / drift->samples.weight - estimate) >
             kMinChange;
}

void WorkerSpeed::Replace(const Sample& old_sample, const Sample& new_sample,
                          const Interval& interval, base::TimePoint now) {
  DecayTo(now);
  const double estimate = log_slowness();
  const double factor = DecayFactor(now - interval.ended_at);
  sums_.Add(old_sample, -factor);
  sums_.Add(new_sample, factor);
  for (const auto& [drift, sign] :
       {std::pair(&slower_, 1.0), std::pair(&faster_, -1.0)}) {
    if (HasChanged(drift, sign, estimate, old_sample, new_sample, interval,
                   now < recovers_until_, now)) {
      recovers_until_ = now + kTemporary;
      sums_ = drift->samples;
      slower_ = {.sum = 0, .samples = {}, .since = now, .first_start = now};
      faster_ = slower_;
      ++generation_;
      return;
    }
  }
}

void WorkerSpeed::Shift(double offset) {
  sums_.product += offset * sums_.weight;
  slower_.samples.product += offset * slower_.samples.weight;
  faster_.samples.product += offset * faster_.samples.weight;
}

void WorkerSpeed::Clear() {
  sums_ = Sums();
  slower_ = Drift();
  faster_ = Drift();
  ++generation_;
}

void WorkerSpeed::Restore(const Sample& sample, base::TimePoint now) {
  sums_.weight = sample.weight;
  sums_.product = sample.log_slowness * (sample.weight + kPriorWeight);
  decayed_to_ = now;
}

double WorkerSpeed::log_slowness() const {
  return sums_.product / (sums_.weight + kPriorWeight);
}

double WorkerSpeed::variance() const {
  return 1 / (sums_.weight + kPriorWeight);
}

bool WorkerSpeed::is_known() const { return sums_.weight >= kMinWeight; }

}  // namespace dotterelbarrow::core::placement
