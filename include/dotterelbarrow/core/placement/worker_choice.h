// Selects the worker for a task among the workers that may run it.
#ifndef DOTTERELBARROW_CORE_PLACEMENT_WORKER_CHOICE_H_
#define DOTTERELBARROW_CORE_PLACEMENT_WORKER_CHOICE_H_

#include <cstdint>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/jobs/job.h"
#include "dotterelbarrow/core/workers/worker.h"

namespace dotterelbarrow::core::placement {

// A worker considered for the tasks of one step.
struct Candidate {
  const workers::Worker* worker = nullptr;
  // Free resources, less what the current placement has allocated so far.
  base::Resources free;
  // Number of the step's tasks on the worker.
  std::uint32_t tasks_of_step = 0;
  // Held for a waiting gang; other work uses the worker only if no other worker
  // fits.
  bool is_held_for_gang = false;
  // Whether the placement advisor's ticket for the worker is still valid.
  bool has_valid_ticket = true;
  // Whether the worker was lost a short time ago and answers again.
  bool was_lost_just_now = false;
  // The cost of the worker's speed for the step, see `SpeedPreference`.
  double speed_cost = 0;
};

// How much of the fleet a task may endanger.
enum class Exposure {
  kOrdinary,
  // The task may crash its worker, so it avoids gangs.
  kContained,
};

// Returns whether the worker, when empty, could run a task of the step.
bool IsSuitable(const workers::Worker& worker, const jobs::StepSpec& step);

// Returns whether one more task of the step fits on the worker now.
bool HasCapacityFor(const Candidate& candidate, const jobs::StepSpec& step);

// Returns how many more tasks of the step fit on the worker now, at most
// `most`.
std::uint32_t CountFittingTasks(const Candidate& candidate,
                                const jobs::StepSpec& step, std::uint32_t most);

// Returns the cost of placing a task of the step on the worker; the lowest cost
// is best. `failed_on` is the worker on which the task failed before, if any.
//
// Load pattern: a steady stream of small tasks beside gangs that need large
// amounts of free capacity at one moment. Small tasks go to the worker on which
// the least is left over, so that other workers keep free capacity for gangs.
// Tasks that only fill idle processor time go to the worker with the most of
// it. A worker whose ticket has expired costs another call to the advisor. Data
// on another rack, a worker on which the task failed before or that was lost
// just now, and a worker that is still cold after its start cost more than the
// best packing gains. A worker that was lost has no runs, so it would often be
// the best one, and is often lost again. The
// speed of the worker counts beside the packing, more if the step would be
// late.
double PlacementCost(const Candidate& candidate, const jobs::StepSpec& step,
                     const base::BackendId& failed_on,
                     Exposure exposure = Exposure::kOrdinary);

// Returns the fraction of the worker's processors that members of gangs use. If
// it crashed, these would be lost with all members of their gangs elsewhere.
double GangFraction(const workers::Worker& worker);

// Allocates the resources of one more task of the step on the candidate.
// Precondition: the task fits (see `HasCapacityFor`).
void AllocateTask(Candidate* candidate, const jobs::StepSpec& step);

// Allocates one more task of the step on the candidate with the lowest cost.
// Returns its worker, or null if the task fits on none.
const workers::Worker* AllocateOnBest(std::vector<Candidate>* candidates,
                                      const jobs::StepSpec& step,
                                      const base::BackendId& failed_on,
                                      Exposure exposure = Exposure::kOrdinary);

}  // namespace dotterelbarrow::core::placement

#endif  // DOTTERELBARROW_CORE_PLACEMENT_WORKER_CHOICE_H_
