// Records since when each task has been waiting to be placed, across its
// attempts. Each time an owner has no free resources for a task, the task's
// manager requests its placement again as a new attempt.
#ifndef DOTTERELBARROW_CORE_WAITING_TIMES_H_
#define DOTTERELBARROW_CORE_WAITING_TIMES_H_

#include <cstddef>
#include <unordered_map>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core {

class WaitingTimes {
 public:
  // Records a placement request. Returns the time of the first request for this
  // task, which is `now` if the task is new.
  base::TimePoint OnAsked(const base::TaskId& task, base::TimePoint now);
  // Records that the task no longer waits.
  void OnServed(const base::TaskId& task);
  // Removes tasks whose placement has not been requested again for some time.
  void Tick(base::TimePoint now);

 private:
  struct Wait {
    base::TimePoint since;
    base::TimePoint last_requested;
  };

  // Keyed by the hash of the task id without its attempt.
  std::unordered_map<std::size_t, Wait> waits_;
  base::TimePoint next_sweep_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_WAITING_TIMES_H_
