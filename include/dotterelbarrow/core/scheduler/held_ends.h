// Holds back the acknowledgement of run ends that the store holds already.
//
// A start command without an answer may be executed seconds later. If a copy's
// start is still unanswered when the task is done by its first run, that end is
// acknowledged only after the copy can't start any more.
#ifndef DOTTERELBARROW_CORE_SCHEDULER_HELD_ENDS_H_
#define DOTTERELBARROW_CORE_SCHEDULER_HELD_ENDS_H_

#include <cstdint>
#include <functional>
#include <map>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/core/jobs/job_spec.h"

namespace dotterelbarrow::core::scheduler {

class HeldEnds {
 public:
  struct End {
    jobs::TaskRef task;
    // Whether previous owners may have started another run of the task.
    bool is_inherited = false;
  };

  // Holds the end of this number, which the incarnation of the worker that
  // began at `born_ms` has reported.
  void Hold(const base::BackendId& worker, std::int64_t born_ms,
            std::uint64_t number, const End& end);
  bool IsHolding(const base::BackendId& worker) const {
    return workers_.contains(worker);
  }
  // The store holds the ends up to `number` of this incarnation of the worker.
  // Returns up to which number they may be acknowledged.
  std::uint64_t OnStored(const base::BackendId& worker, std::int64_t born_ms,
                         std::uint64_t number);
  // Releases the ends for which `can_release` returns true. Calls `acknowledge`
  // for each worker with its incarnation and the number up to which its ends
  // may be acknowledged.
  void Release(const std::function<bool(const base::BackendId&, std::int64_t,
                                        const End&)>& can_release,
               const std::function<void(const base::BackendId&, std::int64_t,
                                        std::uint64_t)>& acknowledge);

 private:
  struct Held {
    std::int64_t born_ms = 0;
    // The store holds the ends up to this number.
    std::uint64_t stored = 0;
    // Invariant: not empty.
    std::map<std::uint64_t, End> ends;
  };

  std::map<base::BackendId, Held> workers_;
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_HELD_ENDS_H_
