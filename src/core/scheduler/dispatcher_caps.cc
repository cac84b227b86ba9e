// Caps of organisations: limits on the resources that their runs may use,
// untracked runs included.
#include <algorithm>

#include "dotterelbarrow/core/scheduler/dispatcher.h"

namespace dotterelbarrow::core::scheduler {
namespace {

bool FitsUnderCap(std::int64_t used, std::int64_t cap) {
  return cap == 0 || used <= cap;
}

}  // namespace

void Dispatcher::UpdateInheritedUsage(base::TimePoint now) {
  unreconciled_capacity_ = base::Resources();
  inherited_demand_.clear();
  if (fleet_->unreconciled().empty()) {
    inherited_copies_.clear();
    return;
  }
  for (const base::BackendId& id : fleet_->unreconciled()) {
    unreconciled_capacity_ += fleet_->Find(id)->largest_capacity();
  }
  for (const std::set<jobs::StepRef>* steps : {&waiting_, &overdue_}) {
    for (const jobs::StepRef& ref : *steps) {
      const std::optional<WaitingStep> item = inherited_.contains(ref.job)
                                                  ? MakeWaitingStep(ref, now)
                                                  : std::nullopt;
      if (!item) {
        continue;
      }
      inherited_demand_[item->job->organisation] +=
          item->job->SpecOf(ref).needs * item->job->FindStep(ref)->waiting();
    }
  }
  UpdateInheritedCopies(now);
}

base::Resources Dispatcher::UntrackedUsageOf(
    const base::OrganisationId& organisation) const {
  base::Resources usage = orphan_usage_ + InheritedCopiesOf(organisation);
  if (const auto it = inherited_demand_.find(organisation);
      it != inherited_demand_.end()) {
    usage.cpu += std::min(it->second.cpu, unreconciled_capacity_.cpu);
    usage.memory += std::min(it->second.memory, unreconciled_capacity_.memory);
    usage.accelerators +=
        std::min(it->second.accelerators, unreconciled_capacity_.accelerators);
  }
  return usage;
}

base::Resources Dispatcher::UsageOf(
    const base::OrganisationId& organisation) const {
  return runs_->UsageOf(organisation) + UntrackedUsageOf(organisation);
}

bool Dispatcher::FitsCap(const WaitingStep& item, const base::Resources& used,
                         std::uint32_t tasks) const {
  const desired::Organisation* organisation =
      desired_->FindOrganisation(item.job->organisation);
  if (organisation == nullptr) {
    return true;
  }
  const base::Resources total =
      used + item.job->SpecOf(item.step).needs * tasks;
  const base::Resources& cap = organisation->cap;
  return FitsUnderCap(total.cpu.value(), cap.cpu.value()) &&
         FitsUnderCap(total.memory.value(), cap.memory.value()) &&
         FitsUnderCap(total.accelerators.value(), cap.accelerators.value());
}

bool Dispatcher::IsWithinCap(const WaitingStep& item,
                             std::uint32_t tasks) const {
  base::Resources used = UsageOf(item.job->organisation);
  if (const auto it = reserved_caps_.find(item.job->organisation);
      it != reserved_caps_.end()) {
    used += it->second;
  }
  return FitsCap(item, used, tasks) &&
         (!item.yields || LeavesHeadroom(item, tasks));
}

bool Dispatcher::LeavesHeadroom(const WaitingStep& item,
                                std::uint32_t tasks) const {
  const desired::Organisation* organisation =
      desired_->FindOrganisation(item.job->organisation);
  return organisation == nullptr ||
         FitsCap(item,
                 runs_->UsageWithSlackOf(organisation->id) +
                     cap_headroom_.HeadroomOf(organisation->id,
                                              organisation->cap, pass_began_),
                 tasks);
}

void Dispatcher::RecordArrival(jobs::Job* job, const desired::Queue& queue,
                               base::TimePoint now) {
  const placement::Urgency urgency =
      placement::UrgencyOf(job, 0, queue, run_times_, false, now);
  if (placement::GangHolds::MustYield(urgency, job->accepted_at, now)) {
    return;
  }
  for (const jobs::StepSpec& step : job->spec.steps) {
    cap_headroom_.RecordUrgent(job->organisation, step.needs * step.tasks,
                               step.estimate, now);
  }
}

void Dispatcher::ReserveCap(const WaitingStep& item, std::uint32_t tasks) {
  if (!CanEverFitCap(item, tasks)) {
    return;
  }
  reserved_caps_.try_emplace(item.job->organisation,
                             item.job->SpecOf(item.step).needs * tasks);
}

bool Dispatcher::CanEverFitCap(const WaitingStep& item,
                               std::uint32_t tasks) const {
  return FitsCap(item, base::Resources(), tasks);
}

}  // namespace dotterelbarrow::core::scheduler
