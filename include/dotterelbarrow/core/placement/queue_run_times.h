// The run times of one queue's tasks compared with their callers' estimates.
//
// Load pattern: the tasks of one job take about the same time, but its estimate
// is up to 45% too low or 90% too high. If the queue's run times vary less than
// its estimates are off, its typical run time says more than an estimate.
#ifndef DOTTERELBARROW_CORE_PLACEMENT_QUEUE_RUN_TIMES_H_
#define DOTTERELBARROW_CORE_PLACEMENT_QUEUE_RUN_TIMES_H_

#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core::placement {

// All times are natural logarithms of seconds, on a worker of typical speed.
class QueueRunTimes {
 public:
  // What is known about the tasks of one step: its caller's estimate, and the
  // mean of those that have completed.
  struct StepTimes {
    double log_estimate = 0;
    double log_run_time = 0;
  };
  // The expected value of a run time and the variance around it.
  struct Prediction {
    double log_run_time = 0;
    // Of the mean of a step's tasks, and of a single task.
    double step_variance = 0;
    double task_variance = 0;
  };
  // The parameters of the regression of run times on estimates, each a decaying
  // weighted mean.
  struct Moments {
    double weight = 0;
    double estimate = 0;
    double run_time = 0;
    double estimate_squared = 0;
    double run_time_squared = 0;
    double product = 0;
    // Variance of the tasks of one step.
    double noise = 0;
  };

  QueueRunTimes() = default;
  QueueRunTimes(const Moments& moments, base::TimePoint now);

  // Adds a step whose first run ended at `ended_at`.
  void Add(const StepTimes& step, base::TimePoint ended_at,
           base::TimePoint now);
  // Replaces what was added for a step, after another of its runs has ended.
  void Replace(const StepTimes& old_times, const StepTimes& new_times,
               base::TimePoint ended_at, base::TimePoint now);
  // Adds `offset` to all run times, because the speed that counts as typical
  // has changed.
  void Shift(double offset);
  // Adds the squared deviation of a run from its step's mean.
  void AddNoise(double squared_deviation);

  // Whether enough steps were seen for a prediction to differ from the
  // estimate.
  bool is_known() const;
  Prediction Predict(double log_estimate) const;
  Moments moments() const;

 private:
  // Adds `weight` times the step to the sums.
  void AddWeighted(const StepTimes& step, double weight);
  void DecayTo(base::TimePoint now);

  // Decaying sums over steps.
  double weight_ = 0;
  double sum_estimate_ = 0;
  double sum_run_time_ = 0;
  double sum_estimate_squared_ = 0;
  double sum_run_time_squared_ = 0;
  double sum_product_ = 0;
  base::TimePoint decayed_to_;
  double noise_ = kInitialNoise;

  // Tasks of one step vary by 15 to 30%.
  static constexpr double kInitialNoise = 0.25 * 0.25;
};

}  // namespace dotterelbarrow::core::placement

#endif  // DOTTERELBARROW_CORE_PLACEMENT_QUEUE_RUN_TIMES_H_
