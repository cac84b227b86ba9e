// Implements look-ups of runs by step and of usage by organisation.
#include "dotterelbarrow/core/scheduler/run_index.h"

namespace dotterelbarrow::core::scheduler {

void RunIndex::Add(const base::BackendId& worker, const workers::Run& run) {
  const bool added = by_step_[run.task.step]
                         .insert(PlacedRun{worker, run.task, run.attempt})
                         .second;
  if (added) {
    usage_[run.organisation] += run.needs;
    if (run.has_slack) {
      usage_with_slack_[run.organisation] += run.needs;
    }
  }
}

void RunIndex::Remove(const base::BackendId& worker, const workers::Run& run) {
  const auto it = by_step_.find(run.task.step);
  if (it == by_step_.end() ||
      it->second.erase(PlacedRun{worker, run.task, run.attempt}) == 0) {
    return;
  }
  usage_[run.organisation] -= run.needs;
  if (run.has_slack) {
    usage_with_slack_[run.organisation] -= run.needs;
  }
  if (it->second.empty()) {
    by_step_.erase(it);
  }
}

const std::set<PlacedRun>& RunIndex::RunsOfStep(
    const jobs::StepRef& step) const {
  static const std::set<PlacedRun> none;
  const auto it = by_step_.find(step);
  return it == by_step_.end() ? none : it->second;
}

base::Resources RunIndex::UsageOf(
    const base::OrganisationId& organisation) const {
  const auto it = usage_.find(organisation);
  return it == usage_.end() ? base::Resources() : it->second;
}

base::Resources RunIndex::UsageWithSlackOf(
    const base::OrganisationId& organisation) const {
  const auto it = usage_with_slack_.find(organisation);
  return it == usage_with_slack_.end() ? base::Resources() : it->second;
}

}  // namespace dotterelbarrow::core::scheduler
