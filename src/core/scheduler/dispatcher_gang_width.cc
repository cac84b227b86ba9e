// Whether gangs fit on this owner's part of the fleet.
#include <algorithm>

#include "dotterelbarrow/core/scheduler/dispatcher.h"

namespace dotterelbarrow::core::scheduler {

bool Dispatcher::IsGangTooWide(const desired::Queue& queue,
                               const jobs::JobSpec& spec) const {
  return std::any_of(spec.steps.begin(), spec.steps.end(),
                     [&](const jobs::StepSpec& step) {
                       return step.gang && !HasRoomForGang(queue, step);
                     });
}

bool Dispatcher::HasRoomForGang(const desired::Queue& queue,
                                const jobs::StepSpec& step) const {
  double workers = 0;
  double tasks = 0;
  for (const auto& [id, worker] : fleet_->workers()) {
    const workers::Listing& listing = worker.listing();
    if (listing.service != queue.service || !worker.is_listed()) {
      continue;
    }
    const placement::Candidate empty{.worker = &worker,
                                     .free = listing.capacity};
    ++workers;
    tasks += placement::CountFittingTasks(empty, step, step.tasks);
  }
  if (workers == 0) {
    return true;  // The list of workers hasn't been read yet.
  }
  return step.tasks <=
         gang_width_.MostUsable(queue.id, workers) * (tasks / workers);
}

}  // namespace dotterelbarrow::core::scheduler
