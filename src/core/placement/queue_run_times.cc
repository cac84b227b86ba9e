// Regresses the logarithm of run times on that of estimates.
#include "dotterelbarrow/core/placement/queue_run_times.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace dotterelbarrow::core::placement {
namespace {

// A queue sees a gang about every four seconds, so that about fifteen are
// remembered.
constexpr double kDecaySeconds = 60;
// Number of steps as good as the assumption that estimates are right.
constexpr double kPriorSteps = 4;
// The same for the assumption that a doubled estimate means a doubled run time,
// and the variance of estimates of such steps.
constexpr double kPriorSlopeSteps = 8;
constexpr double kPriorEstimateVariance = 0.15;
// Variance of the logarithm of estimates that are uniformly between 45% too low
// and 90% too high.
constexpr double kPriorStepVariance = 0.13;
// Makes twice the estimate the 95% quantile: (ln 2 / 1.645)^2.
constexpr double kPriorTaskVariance = 0.1776;
// A prediction is used from this many steps on.
constexpr double kMinSteps = 3;
// Fraction by which one run moves the variance within steps.
constexpr double kNoiseGain = 0.02;

}  // namespace

QueueRunTimes::QueueRunTimes(const Moments& moments, base::TimePoint now)
    : weight_(moments.weight),
      sum_estimate_(moments.weight * moments.estimate),
      sum_run_time_(moments.weight * moments.run_time),
      sum_estimate_squared_(moments.weight * moments.estimate_squared),
      sum_run_time_squared_(moments.weight * moments.run_time_squared),
      sum_product_(moments.weight * moments.product),
      decayed_to_(now),
      noise_(moments.noise) {}

void QueueRunTimes::DecayTo(base::TimePoint now) {
  const double factor =
      std::exp(-std::chrono::duration<double>(now - decayed_to_).count() /
               kDecaySeconds);
  weight_ *= factor;
  sum_estimate_ *= factor;
  sum_run_time_ *= factor;
  sum_estimate_squared_ *= factor;
  sum_run_time_squared_ *= factor;
  sum_product_ *= factor;
  decayed_to_ = now;
}

void QueueRunTimes::AddWeighted(const StepTimes& step, double weight) {
  weight_ += weight;
  sum_estimate_ += weight * step.log_estimate;
  sum_run_time_ += weight * step.log_run_time;
  sum_estimate_squared_ += weight * step.log_estimate * step.log_estimate;
  sum_run_time_squared_ += weight * step.log_run_time * step.log_run_time;
  sum_product_ += weight * step.log_estimate * step.log_run_time;
}

void QueueRunTimes::Add(const StepTimes& step, base::TimePoint ended_at,
                        base::TimePoint now) {
  DecayTo(now);
  AddWeighted(step,
              std::exp(-std::chrono::duration<double>(now - ended_at).count() /
                       kDecaySeconds));
}

void QueueRunTimes::Replace(const StepTimes& old_times,
                            const StepTimes& new_times,
                            base::TimePoint ended_at, base::TimePoint now) {
  DecayTo(now);
  const double weight = std::exp(
      -std::chrono::duration<double>(now - ended_at).count() / kDecaySeconds);
  AddWeighted(old_times, -weight);
  AddWeighted(new_times, weight);
}

void QueueRunTimes::Shift(double offset) {
  sum_run_time_squared_ +=
      2 * offset * sum_run_time_ + offset * offset * weight_;
  sum_product_ += offset * sum_estimate_;
  sum_run_time_ += offset * weight_;
}

void QueueRunTimes::AddNoise(double squared_deviation) {
  noise_ += kNoiseGain * (squared_deviation - noise_);
}

bool QueueRunTimes::is_known() const { return weight_ >= kMinSteps; }

QueueRunTimes::Moments QueueRunTimes::moments() const {
  if (weight_ <= 0) {
    return {.noise = noise_};
  }
  return {.weight = weight_,
          .estimate = sum_estimate_ / weight_,
          .run_time = sum_run_time_ / weight_,
          .estimate_squared = sum_estimate_squared_ / weight_,
          .run_time_squared = sum_run_time_squared_ / weight_,
          .product = sum_product_ / weight_,
          .noise = noise_};
}

QueueRunTimes::Prediction QueueRunTimes::Predict(double log_estimate) const {
  const Moments m = moments();
  const double estimate_variance =
      std::max(0.0, m.estimate_squared - m.estimate * m.estimate);
  const double covariance = m.product - m.estimate * m.run_time;
  const double run_time_variance =
      std::max(0.0, m.run_time_squared - m.run_time * m.run_time);
  const double prior = kPriorSlopeSteps * kPriorEstimateVariance;
  const double slope = std::clamp(
      (m.weight * covariance + prior) / (m.weight * estimate_variance + prior),
      0.0, 1.0);
  const double trust = m.weight / (m.weight + kPriorSteps);
  const double residual_variance =
      std::max(0.0, run_time_variance - 2 * slope * covariance +
                        slope * slope * estimate_variance);
  Prediction prediction;
  prediction.log_run_time =
      log_estimate + trust * (m.run_time - m.estimate -
                              (1 - slope) * (log_estimate - m.estimate));
  prediction.step_variance =
      trust * residual_variance + (1 - trust) * kPriorStepVariance;
  prediction.task_variance =
      trust * (residual_variance + m.noise) + (1 - trust) * kPriorTaskVariance;
  return prediction;
}

}  // namespace dotterelbarrow::core::placement
