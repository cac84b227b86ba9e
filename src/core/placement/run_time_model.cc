// Separates the speeds of workers from the run times of queues' tasks.
#include "dotterelbarrow/core/placement/run_time_model.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>

#include "dotterelbarrow/core/placement/speed_preference.h"

namespace dotterelbarrow::core::placement {
namespace {

// Estimates are up to 45% too low.
constexpr int kHighRunTimeFactor = 2;
// The 95% quantile of the normal distribution.
constexpr double kHighDeviations = 1.645;
// The spread at which twice the estimate is the 95% quantile.
constexpr double kUnknownSpread = 0.4214;
// The variance of the tasks of one step.
constexpr double kTaskVariance = 0.25 * 0.25;
// The same for all tasks of a step on one worker, which may hinder each other.
constexpr double kWorkerVariance = 0.1 * 0.1;
// Deviation from the median of a step's runs beyond which a run hardly counts:
// a task that takes 7 times as long is 1.95 away. And the same from the
// expectation while the step has fewer than three runs, because the estimate is
// off as well.
constexpr double kOutlierInStep = 1.2;
constexpr double kClipToPrior = 1.0;
constexpr double kOutlierWeight = 0.1;
// Limit of the deviations of which the variance within steps is computed.
constexpr double kClipNoise = 0.6;
constexpr std::size_t kMinRunsForMedian = 3;
// Runs of a step that are compared with each other. Bounds the time per sample;
// the mean of 24 others adds little to the variance of one run.
constexpr std::size_t kComparedRuns = 24;
// The runs of a step end within seconds of each other.
constexpr base::Duration kStepMemory = std::chrono::seconds(15);
constexpr std::size_t kMaxSteps = 4096;
constexpr base::Duration kDecayPeriod = std::chrono::seconds(1);

double ToLog(base::Duration duration) {
  return std::log(std::chrono::duration<double>(duration).count());
}

base::Duration FromLog(double log_seconds) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(std::exp(log_seconds)));
}

}  // namespace

double RunTimeModel::LogSlownessOf(workers::WorkerNumber worker) const {
  const auto index = static_cast<std::size_t>(worker.value());
  return index < speeds_.size() && speeds_[index].is_known()
             ? speeds_[index].log_slowness()
             : 0;
}

WorkerSpeed& RunTimeModel::SpeedOf(workers::WorkerNumber worker) {
  const auto index = static_cast<std::size_t>(worker.value());
  if (index >= speeds_.size()) {
    speeds_.resize(index + 1);
  }
  return speeds_[index];
}

void RunTimeModel::RecordRun(const RunSample& sample, base::TimePoint now) {
  if (sample.estimate <= base::Duration(0) ||
      sample.run_time <= base::Duration(0)) {
    return;
  }
  Decay(now);
  RemoveOldSteps(now);
  const double log_estimate = ToLog(sample.estimate);
  Step& step = FindOrAddStep(sample, log_estimate, now);
  const double log_run_time = ToLog(sample.run_time);
  const bool is_first = step.runs.empty();
  AddToStep(&step, sample, now);
  QueueRunTimes& queue = queues_[step.queue];
  QueueRunTimes::StepTimes times{log_estimate, 0};
  if (step.is_gang) {
    // The members end together, after the slowest of them.
    step.slowest_member = is_first
                              ? SpeedOf(sample.worker).log_slowness()
                              : std::max(step.slowest_member,
                                         SpeedOf(sample.worker).log_slowness());
    times.log_run_time = log_run_time - step.slowest_member;
  } else {
    times.log_run_time = Reevaluate(&step, now);
    if (!is_first) {
      const double deviation =
          std::clamp(log_run_time - SpeedOf(sample.worker).log_slowness() -
                         times.log_run_time,
                     -kClipNoise, kClipNoise);
      queue.AddNoise(deviation * deviation);
    }
  }
  if (is_first) {
    queue.Add(times, step.first_end, now);
  } else {
    queue.Replace(step.times, times, step.first_end, now);
  }
  step.times = times;
}

RunTimeModel::Step& RunTimeModel::FindOrAddStep(const RunSample& sample,
                                                double log_estimate,
                                                base::TimePoint now) {
  const auto [it, is_new] = steps_.try_emplace(sample.task.step);
  Step& step = it->second;
  if (is_new) {
    step.queue = sample.queue;
    step.is_gang = sample.is_gang_member;
    step.first_end = now;
    step.prior = queues_[sample.queue].Predict(log_estimate);
    step_order_.emplace_back(now, sample.task.step);
  }
  return step;
}

void RunTimeModel::AddToStep(Step* step, const RunSample& sample,
                             base::TimePoint now) {
  const workers::WorkerNumber worker = sample.worker;
  if (step->runs.size() >= kComparedRuns) {
    return;
  }
  auto on_worker = std::find_if(
      step->on_workers.begin(), step->on_workers.end(),
      [worker](const StepOnWorker& other) { return other.worker == worker; });
  if (on_worker == step->on_workers.end()) {
    step->on_workers.push_back({worker,
                                SpeedOf(worker).generation(),
                                {now - sample.run_time, now},
                                WorkerSpeed::Sample()});
    on_worker = std::prev(step->on_workers.end());
  }
  step->runs.push_back({static_cast<std::size_t>(
                            std::distance(step->on_workers.begin(), on_worker)),
                        ToLog(sample.run_time)});
}

double RunTimeModel::CenterOf(const Step& step) const {
  if (step.runs.size() < kMinRunsForMedian) {
    return step.prior.log_run_time;
  }
  std::vector<double> typical;
  typical.reserve(step.runs.size());
  for (const EndedRun& run : step.runs) {
    typical.push_back(run.log_run_time -
                      LogSlownessOf(step.on_workers[run.on_worker].worker));
  }
  const auto middle =
      typical.begin() + static_cast<std::ptrdiff_t>(typical.size() / 2);
  std::nth_element(typical.begin(), middle, typical.end());
  return *middle;
}

double RunTimeModel::Reevaluate(Step* step, base::TimePoint now) {
  // The mean of the runs on one worker.
  struct Mean {
    double weight = 0;
    double sum = 0;
    // Variance of the mean of the runs, and of that with the worker's speed.
    double variance = 0;
    double log_run_time = 0;
    double typical_weight = 0;
    double typical = 0;
  };
  const double center = CenterOf(*step);
  const double limit =
      step->runs.size() < kMinRunsForMedian ? kClipToPrior : kOutlierInStep;
  std::vector<Mean> means(step->on_workers.size());
  for (const EndedRun& run : step->runs) {
    const double expected =
        center + LogSlownessOf(step->on_workers[run.on_worker].worker);
    const double deviation = run.log_run_time - expected;
    const double weight = std::abs(deviation) > limit ? kOutlierWeight : 1;
    means[run.on_worker].weight += weight;
    means[run.on_worker].sum +=
        weight * (expected + std::clamp(deviation, -limit, limit));
  }
  double weight = 1 / step->prior.step_variance;
  double sum = weight * step->prior.log_run_time;
  double weight_of_runs = 0;
  double sum_of_runs = 0;
  for (std::size_t i = 0; i < means.size(); ++i) {
    Mean& mean = means[i];
    const WorkerSpeed& speed = SpeedOf(step->on_workers[i].worker);
    mean.log_run_time = mean.sum / mean.weight;
    mean.variance = kTaskVariance / mean.weight + kWorkerVariance;
    mean.typical = mean.log_run_time - speed.log_slowness();
    mean.typical_weight = 1 / (mean.variance + speed.variance());
    weight_of_runs += mean.typical_weight;
    sum_of_runs += mean.typical_weight * mean.typical;
  }
  weight += weight_of_runs;
  sum += sum_of_runs;
  for (std::size_t i = 0; i < means.size(); ++i) {
    const Mean& mean = means[i];
    StepOnWorker& on_worker = step->on_workers[i];
    WorkerSpeed& speed = SpeedOf(on_worker.worker);
    if (on_worker.generation != speed.generation()) {
      continue;
    }
    // Compares the runs with those of the step on other workers, and with the
    // expectation for the step as far as there are few of these.
    const double weight_of_others = weight - mean.typical_weight;
    const double others =
        (sum - mean.typical_weight * mean.typical) / weight_of_others;
    const WorkerSpeed::Sample sample =
        speed.Clip({mean.log_run_time - others,
                    1 / (mean.variance + 1 / weight_of_others)});
    speed.Replace(on_worker.sample, sample, on_worker.first_run, now);
    on_worker.sample = sample;
  }
  return sum_of_runs / weight_of_runs;
}

void RunTimeModel::RemoveOldSteps(base::TimePoint now) {
  while (!step_order_.empty() &&
         (now - step_order_.front().first > kStepMemory ||
          step_order_.size() > kMaxSteps)) {
    steps_.erase(step_order_.front().second);
    step_order_.pop_front();
  }
}

void RunTimeModel::Decay(base::TimePoint now) {
  if (now < next_decay_) {
    return;
  }
  next_decay_ = now + kDecayPeriod;
  for (WorkerSpeed& speed : speeds_) {
    speed.DecayTo(now);
  }
  Center();
}

void RunTimeModel::Center() {
  double sum = 0;
  known_workers_ = 0;
  uneven_workers_ = 0;
  for (const WorkerSpeed& speed : speeds_) {
    if (speed.is_known()) {
      sum += speed.log_slowness();
      ++known_workers_;
      uneven_workers_ +=
          std::abs(speed.log_slowness()) > SpeedPreference::kDeadZone ? 1 : 0;
    }
  }
  const std::size_t workers = std::max(known_workers_, restored_workers_);
  if (known_workers_ >= restored_workers_) {
    restored_workers_ = 0;
  }
  if (workers == 0) {
    return;
  }
  const double mean = sum / static_cast<double>(workers);
  for (WorkerSpeed& speed : speeds_) {
    speed.Shift(-mean);
  }
  // What was derived from the speeds before changes by the same amount.
  for (auto& [id, queue] : queues_) {
    queue.Shift(mean);
  }
  for (auto& [ref, step] : steps_) {
    step.times.log_run_time += mean;
    step.prior.log_run_time += mean;
    for (StepOnWorker& on_worker : step.on_workers) {
      on_worker.sample.log_slowness -= mean;
    }
  }
}

double RunTimeModel::SlownessOf(workers::WorkerNumber worker) const {
  return std::exp(LogSlownessOf(worker));
}

bool RunTimeModel::IsKnown(const desired::QueueId& queue) const {
  const auto it = queues_.find(queue);
  return it != queues_.end() && it->second.is_known();
}

base::Duration RunTimeModel::ExpectedRunTime(const desired::QueueId& queue,
                                             base::Duration estimate) const {
  const auto it = queues_.find(queue);
  return it == queues_.end() || !it->second.is_known() ||
                 estimate <= base::Duration(0)
             ? estimate
             : FromLog(it->second.Predict(ToLog(estimate)).log_run_time);
}

double RunTimeModel::SpreadOf(const desired::QueueId& queue) const {
  const auto it = queues_.find(queue);
  return it == queues_.end() || !it->second.is_known()
             ? kUnknownSpread
             : std::sqrt(it->second.Predict(0).task_variance);
}

base::Duration RunTimeModel::HighRunTime(const desired::QueueId& queue,
                                         base::Duration estimate) const {
  const auto it = queues_.find(queue);
  if (it == queues_.end() || !it->second.is_known() ||
      estimate <= base::Duration(0)) {
    return estimate * kHighRunTimeFactor;
  }
  const QueueRunTimes::Prediction prediction =
      it->second.Predict(ToLog(estimate));
  return FromLog(prediction.log_run_time +
                 kHighDeviations * std::sqrt(prediction.task_variance));
}

void RunTimeModel::Forget(workers::WorkerNumber worker) {
  const auto index = static_cast<std::size_t>(worker.value());
  if (index < speeds_.size()) {
    speeds_[index].Clear();
  }
}

void RunTimeModel::RestoreWorker(workers::WorkerNumber worker,
                                 double log_slowness, double weight,
                                 base::TimePoint now) {
  WorkerSpeed& speed = SpeedOf(worker);
  if (speed.weight() < weight) {
    speed.Restore({log_slowness, weight}, now);
    uneven_workers_ +=
        std::abs(log_slowness) > SpeedPreference::kDeadZone ? 1 : 0;
  }
}

void RunTimeModel::RestoreQueue(const desired::QueueId& queue,
                                const QueueRunTimes::Moments& moments,
                                base::TimePoint now) {
  queues_.try_emplace(queue, moments, now);
}

}  // namespace dotterelbarrow::core::placement
