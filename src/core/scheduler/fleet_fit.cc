// Counts the tasks of a step that would fit on empty workers.
#include "dotterelbarrow/core/scheduler/fleet_fit.h"

#include <cstdint>

namespace dotterelbarrow::core::scheduler {
namespace {

using placement::Candidate;

// Returns how many tasks of the step the worker could hold in `room`, without
// those that it has, at most `most`.
std::uint32_t CountTasksIn(const base::Resources& room,
                           const workers::Worker& worker,
                           const jobs::StepSpec& spec, std::uint32_t most) {
  return placement::CountFittingTasks({.worker = &worker, .free = room}, spec,
                                      most);
}

}  // namespace

bool CouldHold(const std::vector<Candidate>& candidates,
               const jobs::StepSpec& spec) {
  std::uint32_t missing = spec.SmallestStart();
  for (const Candidate& candidate : candidates) {
    const workers::Worker& worker = *candidate.worker;
    missing -=
        CountTasksIn(worker.listing().capacity - worker.long_running_reserved(),
                     worker, spec, missing);
    if (missing == 0) {
      return true;
    }
  }
  return false;
}

bool FleetFit::Compute(const WaitingStep& item) const {
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  std::uint32_t missing = spec.SmallestStart();
  bool is_any_listed = false;
  for (const auto& [id, worker] : fleet_->workers()) {
    const workers::Listing& listing = worker.listing();
    if (!worker.is_listed() || worker.is_evacuated() || listing.draining ||
        listing.service != item.queue->service) {
      continue;
    }
    is_any_listed = true;
    if (placement::IsSuitable(worker, spec)) {
      missing -= CountTasksIn(listing.capacity, worker, spec, missing);
    }
    if (missing == 0) {
      return true;
    }
  }
  return !is_any_listed;
}

bool FleetFit::CanHold(const WaitingStep& item, base::TimePoint now) {
  Answer& answer = answers_[item.step];
  if (now >= answer.until) {
    answer.can_hold = Compute(item);
    answer.until = now + (answer.can_hold ? kMaxAge : kMaxAgeIfTooSmall);
  }
  return answer.can_hold;
}

}  // namespace dotterelbarrow::core::scheduler
