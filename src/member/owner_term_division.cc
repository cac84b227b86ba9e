// Divides a cell into shards.
#include <utility>
#include <vector>

#include "src/member/owner_term.h"

namespace dotterelbarrow::member {

void OwnerTerm::DivideCellIfIdle(base::TimePoint now) {
  const bool has_jobs = !scheduler_.has_no_jobs();
  if (parts_.plan->count() > 1 || is_resigning_ ||
      !division_trigger_.ShouldPlan(
          {.workers = scheduler_.fleet().workers().size(),
           .has_jobs = has_jobs,
           .can_hosts_follow = !has_jobs && parts_.can_divide_cell()},
          now)) {
    return;
  }
  std::vector<const core::workers::Listing*> workers;
  for (const auto& [id, worker] : scheduler_.fleet().workers()) {
    workers.push_back(&worker.listing());
  }
  core::shards::ShardPlan plan = core::shards::PlanShards(
      workers, scheduler_.desired().organisations(), token_, parts_.planner);
  if (plan.count() == 1) {
    return;
  }
  parts_.telemetry.log->Write(
      "cell_divided",
      {{"shards", static_cast<std::int64_t>(plan.count())},
       {"workers", static_cast<std::int64_t>(workers.size())},
       {"organisations",
        static_cast<std::int64_t>(plan.assignments().organisations.size())},
       {"racks", static_cast<std::int64_t>(plan.assignments().racks.size())}});
  next_plan_ = std::move(plan);
  Resign();
}

}  // namespace dotterelbarrow::member
