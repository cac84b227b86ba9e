#include "dotterelbarrow/core/scheduler/dispatcher_context.h"

#include <algorithm>

namespace dotterelbarrow::core::scheduler {

const desired::Queue* DispatcherContext::FindQueue(
    const desired::QueueId& id) const {
  const auto it = known_queues.find(id);
  return it == known_queues.end() ? nullptr : &it->second;
}

std::optional<WaitingStep> DispatcherContext::MakeWaitingStep(
    const jobs::StepRef& ref, base::TimePoint now) const {
  WaitingStep item;
  item.step = ref;
  item.job = jobs->Find(ref.job);
  jobs::Step* step = item.job == nullptr ? nullptr : item.job->FindStep(ref);
  if (step == nullptr || step->waiting() == 0 ||
      !item.job->IsUnblocked(item.job->occurrences.at(ref.occurrence),
                             ref.step)) {
    return std::nullopt;
  }
  item.queue = FindQueue(item.job->queue);
  if (item.queue == nullptr) {
    return std::nullopt;
  }
  item.urgency =
      placement::UrgencyOf(item.job, ref.step, *item.queue, run_times,
                           over_share.contains(ref.job), now);
  item.yields =
      placement::GangHolds::MustYield(item.urgency, item.job->accepted_at, now);
  return item;
}

jobs::Attempt DispatcherContext::NextAttempt(const jobs::Step& step,
                                             std::uint32_t index) const {
  return std::max(first_attempt, step.tasks[index].last_attempt.next());
}

}  // namespace dotterelbarrow::core::scheduler
