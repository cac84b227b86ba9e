// What the decisions of a scheduling pass have in common: the services that
// they use, and the state that more than one of them reads.
#ifndef DOTTERELBARROW_CORE_SCHEDULER_DISPATCHER_CONTEXT_H_
#define DOTTERELBARROW_CORE_SCHEDULER_DISPATCHER_CONTEXT_H_

#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/desired/desired_state.h"
#include "dotterelbarrow/core/jobs/job.h"
#include "dotterelbarrow/core/placement/crash_containment.h"
#include "dotterelbarrow/core/placement/gang_holds.h"
#include "dotterelbarrow/core/placement/run_time_model.h"
#include "dotterelbarrow/core/scheduler/decision_log.h"
#include "dotterelbarrow/core/scheduler/dispatcher_settings.h"
#include "dotterelbarrow/core/scheduler/fleet.h"
#include "dotterelbarrow/core/scheduler/job_registry.h"
#include "dotterelbarrow/core/scheduler/run_index.h"
#include "dotterelbarrow/core/scheduler/waiting_step.h"

namespace dotterelbarrow::core::scheduler {

// Owned by `Dispatcher`, which outlives the decisions that point to it.
struct DispatcherContext {
  // Returns the current rules of the queue or, if it was dropped, its last
  // ones; null if the queue was never known.
  const desired::Queue* FindQueue(const desired::QueueId& id) const;
  // Returns nullopt if the step has nothing to place.
  std::optional<WaitingStep> MakeWaitingStep(const jobs::StepRef& ref,
                                             base::TimePoint now) const;
  // Returns the number for the task's next attempt.
  jobs::Attempt NextAttempt(const jobs::Step& step, std::uint32_t index) const;

  DispatcherSettings settings;
  Telemetry telemetry;
  // Never null.
  JobRegistry* jobs = nullptr;
  Fleet* fleet = nullptr;
  RunIndex* runs = nullptr;
  // Null before the first configuration is known.
  std::shared_ptr<const desired::DesiredState> desired{};
  // All queues known so far, with their latest rules. Jobs of a queue that was
  // dropped continue under its last rules.
  std::unordered_map<desired::QueueId, desired::Queue> known_queues{};
  // The lowest attempt number of this owner, which is above those of all
  // previous owners.
  jobs::Attempt first_attempt = jobs::Attempt(1);
  // Jobs accepted by previous owners.
  std::unordered_set<jobs::JobKey> inherited{};
  // Jobs accepted beyond their organisation's share.
  std::unordered_set<jobs::JobKey> over_share{};
  placement::RunTimeModel run_times{};
  placement::CrashContainment containment{};
  placement::GangHolds gang_holds{};
  // When this owner was last certain to be the owner (see Fleet::Tick).
  base::TimePoint confirmed_at{};
  // When the current pass began.
  base::TimePoint pass_began{};
  // The fraction of the fleet in use, and the capacity of the workers that
  // accept work.
  double fleet_usage = 0;
  base::Resources fleet_capacity{};
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_DISPATCHER_CONTEXT_H_
