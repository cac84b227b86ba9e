// Estimates how long tasks run, from the run times of tasks that completed.
//
// Load pattern: callers' estimates are off by up to a factor of two, and some
// workers take 1.6 times as long as others for the same task. Work that is due
// within a second is late on a slow worker even if it never waits, and
// capacity is expected to become free at the wrong time.
#ifndef DOTTERELBARROW_CORE_PLACEMENT_RUN_TIME_MODEL_H_
#define DOTTERELBARROW_CORE_PLACEMENT_RUN_TIME_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/desired/desired_state.h"
#include "dotterelbarrow/core/jobs/job_spec.h"
#include "dotterelbarrow/core/placement/queue_run_times.h"
#include "dotterelbarrow/core/placement/worker_speed.h"
#include "dotterelbarrow/core/workers/worker_set.h"

namespace dotterelbarrow::core::placement {

// A run that was started from the beginning and completed its task.
struct RunSample {
  workers::WorkerNumber worker;
  desired::QueueId queue;
  jobs::TaskRef task;
  bool is_gang_member = false;
  // The caller's estimate of the run time, and the run time itself.
  base::Duration estimate{0};
  base::Duration run_time{0};
};

class RunTimeModel {
 public:
  // Records a completed run.
  void RecordRun(const RunSample& sample, base::TimePoint now);
  // Returns a run's duration on the worker relative to a worker of typical
  // speed; 1 if unknown.
  double SlownessOf(workers::WorkerNumber worker) const;
  // Returns the run time of a task on a worker of typical speed, given its
  // caller's estimate.
  base::Duration ExpectedRunTime(const desired::QueueId& queue,
                                 base::Duration estimate) const;
  // Returns an upper bound of the run time of most such tasks, about 19 of 20,
  // on a worker of typical speed.
  base::Duration HighRunTime(const desired::QueueId& queue,
                             base::Duration estimate) const;
  // Discards what is known about the worker, because it has a new incarnation.
  void Forget(workers::WorkerNumber worker);

  // Returns the logarithm of SlownessOf.
  double LogSlownessOf(workers::WorkerNumber worker) const;
  // Returns whether enough runs of the queue ended for ExpectedRunTime to
  // differ from the estimate.
  bool IsKnown(const desired::QueueId& queue) const;
  // Returns the spread of the logarithm of a task's run time around
  // ExpectedRunTime.
  double SpreadOf(const desired::QueueId& queue) const;
  // Whether any worker is known to be faster or slower than the typical one.
  bool has_uneven_workers() const { return uneven_workers_ > 0; }

  // Lets old data lose weight, once a second at most; a worker that has had no
  // runs for a while becomes one of typical speed.
  void Decay(base::TimePoint now);

  // For the summary that the next owner reads.
  const std::vector<WorkerSpeed>& speeds() const { return speeds_; }
  const std::unordered_map<desired::QueueId, QueueRunTimes>& queues() const {
    return queues_;
  }
  // Number of workers of which the speed is known.
  std::size_t known_workers() const { return known_workers_; }
  // Restore what a previous owner knew. Data of this owner is not replaced.
  // `known_workers` is the number of workers whose speed was known, including
  // those that the summary omits because their speed is typical.
  void RestoreWorker(workers::WorkerNumber worker, double log_slowness,
                     double weight, base::TimePoint now);
  void RestoreQueue(const desired::QueueId& queue,
                    const QueueRunTimes::Moments& moments, base::TimePoint now);
  void set_restored_workers(std::size_t known_workers) {
    restored_workers_ = known_workers;
  }

 private:
  // The completed runs of a step on one worker, and what they added to its
  // speed. Packing often puts many tasks of a step on one worker, and these say
  // nothing about it by comparison with each other.
  struct StepOnWorker {
    workers::WorkerNumber worker;
    std::uint64_t generation = 0;
    WorkerSpeed::Interval first_run;
    WorkerSpeed::Sample sample;
  };
  struct EndedRun {
    // Index in `Step::on_workers`.
    std::size_t on_worker = 0;
    double log_run_time = 0;
  };
  // A step of which some runs have completed.
  struct Step {
    desired::QueueId queue;
    bool is_gang = false;
    base::TimePoint first_end;
    // What was expected before the first run ended.
    QueueRunTimes::Prediction prior;
    QueueRunTimes::StepTimes times;
    std::vector<StepOnWorker> on_workers;
    std::vector<EndedRun> runs;
    // Of a gang: the largest known logarithm of a member's slowness.
    double slowest_member = 0;
  };

  WorkerSpeed& SpeedOf(workers::WorkerNumber worker);
  Step& FindOrAddStep(const RunSample& sample, double log_estimate,
                      base::TimePoint now);
  void AddToStep(Step* step, const RunSample& sample, base::TimePoint now);
  // Returns the median run time of the step's tasks on a worker of typical
  // speed; the expectation for the step if it has few runs.
  double CenterOf(const Step& step) const;
  // Compares the runs of the step with each other again, and corrects what they
  // added to their workers' speeds. Returns the mean run time of the step's
  // tasks on a worker of typical speed.
  double Reevaluate(Step* step, base::TimePoint now);
  void RemoveOldSteps(base::TimePoint now);
  // Keeps the mean logarithm of the workers' slowness at zero.
  void Center();

  // By worker number.
  std::vector<WorkerSpeed> speeds_;
  std::unordered_map<desired::QueueId, QueueRunTimes> queues_;
  std::unordered_map<jobs::StepRef, Step> steps_;
  // The steps in the order in which their first runs ended.
  std::deque<std::pair<base::TimePoint, jobs::StepRef>> step_order_;
  std::size_t known_workers_ = 0;
  std::size_t restored_workers_ = 0;
  int uneven_workers_ = 0;
  base::TimePoint next_decay_;
};

}  // namespace dotterelbarrow::core::placement

#endif  // DOTTERELBARROW_CORE_PLACEMENT_RUN_TIME_MODEL_H_
