// Caps of organisations: limits on the resources that their runs may use,
// untracked runs included.
#include "dotterelbarrow/core/scheduler/dispatcher_caps.h"

#include <algorithm>
#include <optional>

#include "dotterelbarrow/core/placement/straggler_policy.h"
#include "dotterelbarrow/core/placement/urgency.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using placement::StragglerPolicy;

// Interval at which the possible copies of inherited jobs are summed up, while
// some workers are not reconciled. Goes through all inherited jobs; the sum
// only decreases.
constexpr base::Duration kInheritedCopiesInterval =
    std::chrono::milliseconds(50);

bool FitsUnderCap(std::int64_t used, std::int64_t cap) {
  return cap == 0 || used <= cap;
}

}  // namespace

void DispatcherCaps::BeginPass(const std::set<jobs::StepRef>& waiting,
                               const std::set<jobs::StepRef>& overdue,
                               base::TimePoint now) {
  reserved_caps_.clear();
  UpdateInheritedUsage(waiting, overdue, now);
}

void DispatcherCaps::UpdateInheritedUsage(
    const std::set<jobs::StepRef>& waiting,
    const std::set<jobs::StepRef>& overdue, base::TimePoint now) {
  unreconciled_capacity_ = base::Resources();
  inherited_demand_.clear();
  if (context_->fleet->unreconciled().empty()) {
    inherited_copies_.clear();
    return;
  }
  for (const base::BackendId& id : context_->fleet->unreconciled()) {
    unreconciled_capacity_ += context_->fleet->Find(id)->largest_capacity();
  }
  for (const std::set<jobs::StepRef>* steps : {&waiting, &overdue}) {
    for (const jobs::StepRef& ref : *steps) {
      const std::optional<WaitingStep> item =
          context_->inherited.contains(ref.job)
              ? context_->MakeWaitingStep(ref, now)
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

base::Resources DispatcherCaps::UntrackedUsageOf(
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

base::Resources DispatcherCaps::UsageOf(
    const base::OrganisationId& organisation) const {
  return context_->runs->UsageOf(organisation) + UntrackedUsageOf(organisation);
}

bool DispatcherCaps::FitsCap(const WaitingStep& item,
                             const base::Resources& used,
                             std::uint32_t tasks) const {
  const desired::Organisation* organisation =
      context_->desired->FindOrganisation(item.job->organisation);
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

bool DispatcherCaps::IsWithinCap(const WaitingStep& item,
                                 std::uint32_t tasks) const {
  base::Resources used = UsageOf(item.job->organisation);
  if (const auto it = reserved_caps_.find(item.job->organisation);
      it != reserved_caps_.end()) {
    used += it->second;
  }
  return FitsCap(item, used, tasks) &&
         (!item.yields || LeavesHeadroom(item, tasks));
}

bool DispatcherCaps::LeavesHeadroom(const WaitingStep& item,
                                    std::uint32_t tasks) const {
  const desired::Organisation* organisation =
      context_->desired->FindOrganisation(item.job->organisation);
  return organisation == nullptr ||
         FitsCap(item,
                 context_->runs->UsageWithSlackOf(organisation->id) +
                     HeadroomBeside(item, *organisation),
                 tasks);
}

base::Resources DispatcherCaps::HeadroomBeside(
    const WaitingStep& item, const desired::Organisation& organisation) const {
  const base::Resources headroom = cap_headroom_.HeadroomOf(
      organisation.id, organisation.cap, context_->pass_began);
  if (item.urgency.deadline_status == placement::DeadlineStatus::kOnTime) {
    return headroom;
  }
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  return base::LesserOf(headroom,
                        organisation.cap - spec.needs * spec.SmallestStart());
}

void DispatcherCaps::RecordArrival(jobs::Job* job, const desired::Queue& queue,
                                   base::TimePoint now) {
  const placement::Urgency urgency =
      placement::UrgencyOf(job, 0, queue, context_->run_times, false, now);
  if (placement::GangHolds::MustYield(urgency, job->accepted_at, now)) {
    return;
  }
  for (const jobs::StepSpec& step : job->spec.steps) {
    cap_headroom_.RecordUrgent(job->organisation, step.needs * step.tasks,
                               step.estimate, now);
  }
}

void DispatcherCaps::ReserveCap(const WaitingStep& item, std::uint32_t tasks) {
  if (!CanEverFitCap(item, tasks)) {
    return;
  }
  reserved_caps_.try_emplace(item.job->organisation,
                             item.job->SpecOf(item.step).needs * tasks);
}

bool DispatcherCaps::CanEverFitCap(const WaitingStep& item,
                                   std::uint32_t tasks) const {
  return FitsCap(item, base::Resources(), tasks);
}

void DispatcherCaps::UpdateInheritedCopies(base::TimePoint now) {
  if (now < next_inherited_copies_update_ && !inherited_copies_.empty()) {
    return;
  }
  next_inherited_copies_update_ = now + kInheritedCopiesInterval;
  inherited_copies_.clear();
  for (const jobs::JobKey key : context_->inherited) {
    const jobs::Job* job = context_->jobs->Find(key);
    if (job == nullptr) {
      continue;
    }
    for (const auto& [number, occurrence] : job->occurrences) {
      for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i) {
        const jobs::StepSpec& spec = job->spec.steps[i];
        const jobs::Step& step = occurrence.steps[i];
        if (!spec.may_have_copies() || step.is_done()) {
          continue;
        }
        InheritedCopies& copies = inherited_copies_[job->organisation];
        copies.needs +=
            spec.needs * (static_cast<std::int64_t>(step.tasks.size()) -
                          static_cast<std::int64_t>(step.done));
        copies.largest = base::GreaterOf(copies.largest, spec.needs);
      }
    }
  }
}

base::Resources DispatcherCaps::InheritedCopiesOf(
    const base::OrganisationId& organisation) const {
  const auto it = inherited_copies_.find(organisation);
  if (it == inherited_copies_.end()) {
    return {};
  }
  // The previous owner kept to the share of the fleet that copies may use.
  const base::Resources fleet =
      context_->fleet_capacity + unreconciled_capacity_;
  const auto share = [](std::int64_t whole) {
    return static_cast<std::int64_t>(static_cast<double>(whole) *
                                     StragglerPolicy::kMaxShareOfCopies);
  };
  const base::Resources most =
      base::GreaterOf(it->second.largest,
                      {base::Millicores(share(fleet.cpu.value())),
                       base::Mebibytes(share(fleet.memory.value())),
                       base::Accelerators(share(fleet.accelerators.value())),
                       base::Slots(share(fleet.slots.value()))});
  return base::LesserOf(base::LesserOf(it->second.needs, most),
                        unreconciled_capacity_);
}

}  // namespace dotterelbarrow::core::scheduler
