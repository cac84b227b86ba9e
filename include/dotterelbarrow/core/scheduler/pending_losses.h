// The tasks that were lost with workers of which nobody knows whether they have
// crashed, by the incarnations of those workers, so that later news of one of
// them is found to concern its tasks.
#ifndef DOTTERELBARROW_CORE_SCHEDULER_PENDING_LOSSES_H_
#define DOTTERELBARROW_CORE_SCHEDULER_PENDING_LOSSES_H_

#include <functional>
#include <vector>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/jobs/job.h"
#include "dotterelbarrow/core/jobs/worker_incarnation.h"

namespace dotterelbarrow::core::scheduler {

class PendingLosses {
 public:
  struct Loss {
    // A gang is named by any of its members.
    jobs::TaskRef task;
    jobs::WorkerIncarnation worker;
    // When this owner learnt of it.
    base::TimePoint noted_at;
  };

  void Add(const jobs::TaskRef& task, const jobs::WorkerIncarnation& worker,
           base::TimePoint now);
  // Returns the losses with this incarnation, and forgets them.
  std::vector<Loss> TakeOf(const jobs::WorkerIncarnation& worker);
  // Returns the losses with incarnations that `worker` proves to have ended,
  // and forgets them.
  std::vector<Loss> TakeSucceededBy(const jobs::WorkerIncarnation& worker);
  // Returns the losses with this incarnation that were noted before `time`, and
  // forgets them.
  std::vector<Loss> TakeNotedBefore(const jobs::WorkerIncarnation& worker,
                                    base::TimePoint time);
  // Forgets the losses for which the function returns true.
  void EraseIf(const std::function<bool(const Loss&)>& is_obsolete) {
    std::erase_if(losses_, is_obsolete);
  }

 private:
  std::vector<Loss> TakeIf(const std::function<bool(const Loss&)>& is_wanted);

  // Few: each is of a run that had just begun when its worker fell silent.
  std::vector<Loss> losses_;
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_PENDING_LOSSES_H_
