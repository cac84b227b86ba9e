// Caps of organisations: limits on the resources that their runs may use,
// untracked runs included.
#ifndef DOTTERELBARROW_CORE_SCHEDULER_DISPATCHER_CAPS_H_
#define DOTTERELBARROW_CORE_SCHEDULER_DISPATCHER_CAPS_H_

#include <cstdint>
#include <set>
#include <unordered_map>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/desired/desired_state.h"
#include "dotterelbarrow/core/jobs/job.h"
#include "dotterelbarrow/core/placement/cap_headroom.h"
#include "dotterelbarrow/core/scheduler/dispatcher_context.h"
#include "dotterelbarrow/core/scheduler/waiting_step.h"

namespace dotterelbarrow::core::scheduler {

// Tells how many tasks of a step may run under its organisation's cap. Until
// all workers of previous owners are reconciled, untracked runs there count
// with the most that they may use.
class DispatcherCaps {
 public:
  // `context` must outlive this object and have a configuration before any
  // function but RecordArrival is called.
  explicit DispatcherCaps(const DispatcherContext* context)
      : context_(context) {}

  // Records that the job has arrived, so that room under its organisation's cap
  // is kept for urgent jobs like it.
  void RecordArrival(jobs::Job* job, const desired::Queue& queue,
                     base::TimePoint now);
  // Replaces the capacity of reconciled workers that have orphaned runs.
  void set_orphan_usage(const base::Resources& usage) { orphan_usage_ = usage; }
  // Begins a scheduling pass over these steps: drops the reservations of the
  // previous pass, and computes upper bounds of the resources that untracked
  // runs may use.
  void BeginPass(const std::set<jobs::StepRef>& waiting,
                 const std::set<jobs::StepRef>& overdue, base::TimePoint now);

  // Returns whether `tasks` more tasks of the step fit under the organisation's
  // cap, next to what is reserved there for a gang and, if the step yields, for
  // urgent work.
  bool IsWithinCap(const WaitingStep& item, std::uint32_t tasks) const;
  // Returns whether `tasks` tasks of the step fit under the cap on top of
  // `used`.
  bool FitsCap(const WaitingStep& item, const base::Resources& used,
               std::uint32_t tasks) const;
  // Returns whether these tasks fit under the cap if nothing else runs.
  bool CanEverFitCap(const WaitingStep& item, std::uint32_t tasks) const;
  // Reserves a part of the organisation's cap for a waiting gang, unless a more
  // urgent gang has such a reservation in this pass.
  void ReserveCap(const WaitingStep& item, std::uint32_t tasks);
  // Returns an upper bound of the resources that the organisation's runs use.
  base::Resources UsageOf(const base::OrganisationId& organisation) const;

 private:
  // What one more run of each task of an organisation needs that may have a
  // copy, and the needs of the largest of these.
  struct InheritedCopies {
    base::Resources needs;
    base::Resources largest;
  };

  // Computes upper bounds of the resources that untracked runs may use on
  // workers of previous owners that are not claimed yet: for each organisation
  // no more than its inherited tasks that wait.
  void UpdateInheritedUsage(const std::set<jobs::StepRef>& waiting,
                            const std::set<jobs::StepRef>& overdue,
                            base::TimePoint now);
  // Does the same for untracked second runs of the tasks of inherited jobs.
  void UpdateInheritedCopies(base::TimePoint now);
  base::Resources InheritedCopiesOf(
      const base::OrganisationId& organisation) const;
  // Returns an upper bound of what its untracked runs use.
  base::Resources UntrackedUsageOf(
      const base::OrganisationId& organisation) const;
  // Returns whether `tasks` more tasks of a step that yields leave enough of
  // the organisation's cap to its urgent work.
  bool LeavesHeadroom(const WaitingStep& item, std::uint32_t tasks) const;
  // Returns what the step must leave free for urgent work. Late work yields
  // until it is started, so it leaves no more than what the least part of it
  // that can start leaves of the whole cap.
  base::Resources HeadroomBeside(
      const WaitingStep& item, const desired::Organisation& organisation) const;

  const DispatcherContext* context_;
  placement::CapHeadroom cap_headroom_;
  // Capacity of reconciled workers that have orphaned runs. Such runs, whose
  // job is unknown, may belong to any organisation.
  base::Resources orphan_usage_;
  // Capacity of workers that are not reconciled yet. The bounds below it are
  // empty if there are none.
  base::Resources unreconciled_capacity_;
  // What each organisation's inherited waiting tasks need.
  std::unordered_map<base::OrganisationId, base::Resources> inherited_demand_;
  // The same for their untracked copies.
  std::unordered_map<base::OrganisationId, InheritedCopies> inherited_copies_;
  base::TimePoint next_inherited_copies_update_;
  // What the most urgent waiting gang of an organisation needs. Less urgent
  // work of the organisation leaves this part of the cap free; otherwise small
  // tasks would take up each part of it that becomes free.
  std::unordered_map<base::OrganisationId, base::Resources> reserved_caps_;
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_DISPATCHER_CAPS_H_
