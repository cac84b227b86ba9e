// Whether workers could hold a step if nothing else ran on them, now or later.
//
// Load pattern: some jobs need more than any worker has, a label that none has,
// or more workers than there are. What is withheld from other work for such a
// step can't be used by it, and would be withheld for ever.
#ifndef DOTTERELBARROW_CORE_SCHEDULER_FLEET_FIT_H_
#define DOTTERELBARROW_CORE_SCHEDULER_FLEET_FIT_H_

#include <chrono>
#include <unordered_map>
#include <vector>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/placement/worker_choice.h"
#include "dotterelbarrow/core/scheduler/fleet.h"
#include "dotterelbarrow/core/scheduler/waiting_step.h"

namespace dotterelbarrow::core::scheduler {

// Returns whether the smallest part of the step that can start would fit on
// these workers without the runs that end: all of a gang, otherwise one task.
bool CouldHold(const std::vector<placement::Candidate>& candidates,
               const jobs::StepSpec& spec);

// Remembers for a short time which steps the listed workers could hold.
class FleetFit {
 public:
  // Workers come and go. An answer is computed again after these times.
  static constexpr base::Duration kMaxAgeIfTooSmall =
      std::chrono::milliseconds(250);
  static constexpr base::Duration kMaxAge = std::chrono::seconds(1);

  // `fleet` must outlive this object.
  explicit FleetFit(const Fleet* fleet) : fleet_(fleet) {}

  // Returns whether the workers that are listed, and neither drain nor are
  // evacuated, could hold the smallest part of the step that can start. True if
  // none of its service is listed: then nothing is known about the fleet.
  bool CanHold(const WaitingStep& item, base::TimePoint now);
  // The same, without remembering it.
  bool Compute(const WaitingStep& item) const;
  // The step waits no more.
  void Remove(const jobs::StepRef& step) { answers_.erase(step); }

 private:
  struct Answer {
    bool can_hold = true;
    base::TimePoint until;
  };

  const Fleet* fleet_;
  std::unordered_map<jobs::StepRef, Answer> answers_;
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_FLEET_FIT_H_
