// A waiting step as a scheduling pass sees it, and why it waits.
#ifndef DOTTERELBARROW_CORE_SCHEDULER_WAITING_STEP_H_
#define DOTTERELBARROW_CORE_SCHEDULER_WAITING_STEP_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/desired/desired_state.h"
#include "dotterelbarrow/core/jobs/job.h"
#include "dotterelbarrow/core/placement/urgency.h"
#include "dotterelbarrow/core/placement/worker_choice.h"
#include "dotterelbarrow/core/workers/worker.h"

namespace dotterelbarrow::core::scheduler {

// Why a step whose dependencies are met is not started.
enum class WaitReason {
  kStoring,        // The acceptance of its job is not stored yet.
  kUntrackedRuns,  // A worker of a previous owner may have an untracked run of
                   // it.
  kUnconfirmedOwner,  // A task was lost with its worker, and this owner may
                      // have been replaced since.
  kAdvice,            // The advisor has not said which workers may run it.
  kFreeResources,     // The allowed workers lack free resources.
  kCap,               // Its organisation has reached its cap.
  kOrphanedMembers,   // Members of its last attempt may still be running.
  kIsolation,      // Its tasks may crash workers, and no worker is apart from
                   // others.
  kLocalWorker,    // A place near its data, or on one rack, is worth the wait.
  kFleetTooSmall,  // The listed workers couldn't hold it if they were empty.
  kCapTooSmall,    // It needs more than its organisation's cap.
};

const char* ToString(WaitReason reason);

// A waiting step, as one pass sees it.
struct WaitingStep {
  placement::Urgency urgency;
  jobs::StepRef step;
  jobs::Job* job = nullptr;
  const desired::Queue* queue = nullptr;
  // Whether the step has so much slack left that it yields capacity to gangs
  // and to urgent work.
  bool yields = false;
  // Whether it is the step's turn to go before all other work (see
  // placement::OverdueTurns).
  bool has_turn = false;
  // Why no task of the step may start yet, even if resources are free.
  std::optional<WaitReason> blocked_by{};
  // Allowed workers that accept new work; filled in once the advice is known.
  // Steps other than gangs list only workers with free resources for a task.
  // Gangs list the others too, since resources may be freed there later.
  std::vector<placement::Candidate> candidates{};
  // Whether these workers are isolated, because no others could run the step.
  bool has_only_isolated = false;
  // Whether a task waits for a worker on which it can be told apart.
  bool waits_for_isolation = false;
  // How many more tasks are placed away from their data in this pass; not set
  // before a task fits on no local worker.
  std::optional<std::uint32_t> remote_tasks{};
  // Whether a task waits for a local worker.
  bool waits_for_local = false;
};

// A worker chosen for one task.
struct TaskChoice {
  std::uint32_t index = 0;
  base::BackendId worker;
};

// Returns whether the worker accepts new work and is suitable for the step's
// tasks.
bool MayRunOn(const workers::Worker& worker, const WaitingStep& item,
              base::TimePoint now);
// The same for a step that no other worker could run: it may also use a worker
// that is isolated because everything fails there.
bool MayRunIfIsolated(const workers::Worker& worker, const WaitingStep& item);

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_WAITING_STEP_H_
