// Finds the runs of a step, and the resources that the runs of an organisation
// use.
#ifndef DOTTERELBARROW_CORE_SCHEDULER_RUN_INDEX_H_
#define DOTTERELBARROW_CORE_SCHEDULER_RUN_INDEX_H_

#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/jobs/job_spec.h"
#include "dotterelbarrow/core/workers/worker.h"

namespace dotterelbarrow::core::scheduler {

// A run and its worker.
struct PlacedRun {
  base::BackendId worker;
  jobs::TaskRef task;
  jobs::Attempt attempt;

  std::pair<jobs::TaskRef, jobs::Attempt> key() const {
    return {task, attempt};
  }
  friend auto operator<=>(const PlacedRun&, const PlacedRun&) = default;
};

class RunIndex {
 public:
  void Add(const base::BackendId& worker, const workers::Run& run);
  void Remove(const base::BackendId& worker, const workers::Run& run);

  // Returns the runs of a step, orphaned ones included; empty if there are
  // none.
  const std::set<PlacedRun>& RunsOfStep(const jobs::StepRef& step) const;
  // Returns the resources of all runs of an organisation that may be running.
  base::Resources UsageOf(const base::OrganisationId& organisation) const;
  // Returns the resources of those that had much slack when they were placed.
  base::Resources UsageWithSlackOf(
      const base::OrganisationId& organisation) const;

 private:
  std::unordered_map<jobs::StepRef, std::set<PlacedRun>> by_step_;
  std::unordered_map<base::OrganisationId, base::Resources> usage_;
  std::unordered_map<base::OrganisationId, base::Resources> usage_with_slack_;
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_RUN_INDEX_H_
