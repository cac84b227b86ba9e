// Room on workers that is kept for the waiting steps for which it was made.
//
// Load pattern: runs are stopped for a lookup, and before the last of them has
// ended, other tasks that wait take the resources that are free already. The
// part of a worker that a step needs is therefore kept for it, for about as
// long as a stop takes; the rest of the worker remains usable.
#ifndef DOTTERELBARROW_CORE_PLACEMENT_KEPT_ROOMS_H_
#define DOTTERELBARROW_CORE_PLACEMENT_KEPT_ROOMS_H_

#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/jobs/job_spec.h"
#include "dotterelbarrow/core/workers/worker_set.h"

namespace dotterelbarrow::core::placement {

class KeptRooms {
 public:
  // Keeps room for one task of the step on each of `workers`, which may name a
  // worker more than once, until the given time. Replaces what was kept for the
  // step.
  void Keep(const jobs::StepRef& step,
            const std::vector<workers::WorkerNumber>& workers,
            const base::Resources& room_per_task, base::TimePoint until);
  // Releases the room of one task, which was placed on `worker`. If the worker
  // has none for the step, releases one elsewhere.
  void OnPlaced(const jobs::StepRef& step, workers::WorkerNumber worker);
  // Releases the rooms whose time has passed, and those of the steps for which
  // `is_obsolete` returns true.
  void ReleaseIf(const std::function<bool(const jobs::StepRef&)>& is_obsolete,
                 base::TimePoint now);

  bool empty() const { return by_step_.empty(); }
  // Returns whether room is kept for the step, anywhere or on the worker.
  bool IsKeptFor(const jobs::StepRef& step) const {
    return by_step_.contains(step);
  }
  bool IsKeptFor(const jobs::StepRef& step, workers::WorkerNumber worker) const;
  // Returns what is kept on the worker for other steps.
  base::Resources KeptForOthers(const jobs::StepRef& step,
                                workers::WorkerNumber worker) const;

 private:
  struct Rooms {
    std::vector<workers::WorkerNumber> workers;
    base::Resources room_per_task;
    base::TimePoint until;
  };

  void Release(const Rooms& rooms);

  // Invariant: no entry is without workers.
  std::map<jobs::StepRef, Rooms> by_step_;
  // Invariant: for each worker, the sum of its rooms in `by_step_`.
  std::unordered_map<workers::WorkerNumber, base::Resources> by_worker_;
};

}  // namespace dotterelbarrow::core::placement

#endif  // DOTTERELBARROW_CORE_PLACEMENT_KEPT_ROOMS_H_
