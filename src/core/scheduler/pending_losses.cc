// Finds the tasks that the news of a worker concerns.
#include "dotterelbarrow/core/scheduler/pending_losses.h"

#include <algorithm>
#include <iterator>

namespace dotterelbarrow::core::scheduler {

void PendingLosses::Add(const jobs::TaskRef& task,
                        const jobs::WorkerIncarnation& worker,
                        base::TimePoint now) {
  losses_.push_back({task, worker, now});
}

std::vector<PendingLosses::Loss> PendingLosses::TakeOf(
    const jobs::WorkerIncarnation& worker) {
  return TakeIf([&worker](const Loss& loss) {
    return jobs::IsSameIncarnation(loss.worker, worker);
  });
}

std::vector<PendingLosses::Loss> PendingLosses::TakeSucceededBy(
    const jobs::WorkerIncarnation& worker) {
  return TakeIf([&worker](const Loss& loss) {
    return jobs::IsSuccessor(worker, loss.worker);
  });
}

std::vector<PendingLosses::Loss> PendingLosses::TakeNotedBefore(
    const jobs::WorkerIncarnation& worker, base::TimePoint time) {
  return TakeIf([&](const Loss& loss) {
    return jobs::IsSameIncarnation(loss.worker, worker) && loss.noted_at < time;
  });
}

std::vector<PendingLosses::Loss> PendingLosses::TakeIf(
    const std::function<bool(const Loss&)>& is_wanted) {
  const auto first_wanted =
      std::stable_partition(losses_.begin(), losses_.end(),
                            [&](const Loss& loss) { return !is_wanted(loss); });
  std::vector<Loss> taken(std::make_move_iterator(first_wanted),
                          std::make_move_iterator(losses_.end()));
  losses_.erase(first_wanted, losses_.end());
  return taken;
}

}  // namespace dotterelbarrow::core::scheduler
