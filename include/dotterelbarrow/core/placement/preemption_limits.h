// Limits how often a task is preempted, and how much of the running work is
// preempted per second.
//
// Load pattern: a burst of lookups lasts some seconds and could stop all batch
// work one run after the other. The limits let batch work make progress
// meanwhile. They are lost when the owner changes.
#ifndef DOTTERELBARROW_CORE_PLACEMENT_PREEMPTION_LIMITS_H_
#define DOTTERELBARROW_CORE_PLACEMENT_PREEMPTION_LIMITS_H_

#include <map>
#include <optional>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/jobs/job_spec.h"

namespace dotterelbarrow::core::placement {

class PreemptionLimits {
 public:
  // The fraction of the running work, by cores, that may be preempted per
  // second. The bursts of the plan's customers need another 3% of the fleet per
  // second.
  static constexpr double kMaxFractionPerSecond = 0.1;

  // What is known about one task.
  struct Preemptions {
    int count = 0;
    std::optional<base::TimePoint> last;
  };

  // Refills the budget, given the cores that are reserved by running work.
  void Refill(double cores_in_use, base::TimePoint now);
  // Returns whether any run may be stopped now. The last run stopped may exceed
  // the budget, so that a small fleet can preempt at all; what it exceeds is
  // made up for before the next one.
  bool HasBudget() const { return budget_cores_ > 0; }
  // Records that a run of the task, which reserves `cores`, is stopped.
  void Record(const jobs::TaskRef& task, double cores, base::TimePoint now);
  Preemptions Of(const jobs::TaskRef& task) const;
  // Drops what is known about the tasks of the job.
  void RemoveJob(jobs::JobKey job);

 private:
  double budget_cores_ = 0;
  std::optional<base::TimePoint> refilled_at_;
  std::map<jobs::TaskRef, Preemptions> tasks_;
};

}  // namespace dotterelbarrow::core::placement

#endif  // DOTTERELBARROW_CORE_PLACEMENT_PREEMPTION_LIMITS_H_
