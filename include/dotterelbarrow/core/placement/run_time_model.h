// Estimates how long tasks run, from the run times of tasks that completed.
//
// Load pattern: callers' estimates are off by up to a factor of two, and some
// workers take 1.6 times as long as others for the same task. Work that is due
// within a second is late on a slow worker even if it never waits, and
// capacity is expected to become free at the wrong time.
#ifndef DOTTERELBARROW_CORE_PLACEMENT_RUN_TIME_MODEL_H_
#define DOTTERELBARROW_CORE_PLACEMENT_RUN_TIME_MODEL_H_

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/desired/desired_state.h"
#include "dotterelbarrow/core/jobs/job_spec.h"
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
};

}  // namespace dotterelbarrow::core::placement

#endif  // DOTTERELBARROW_CORE_PLACEMENT_RUN_TIME_MODEL_H_
