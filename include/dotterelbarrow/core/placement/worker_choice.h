// Which of the workers that may run a task gets it.
#ifndef DOTTERELBARROW_CORE_PLACEMENT_WORKER_CHOICE_H_
#define DOTTERELBARROW_CORE_PLACEMENT_WORKER_CHOICE_H_

#include <cstdint>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/jobs/job.h"
#include "dotterelbarrow/core/workers/worker.h"

namespace dotterelbarrow::core::placement {

// What of a worker matters while one step is placed.
struct Candidate {
  const workers::Worker* worker = nullptr;
  // Room that is left, less what this placement has taken so far.
  base::Resources free;
  // Tasks of the step there.
  std::uint32_t of_step = 0;
  // Kept free for a gang that waits; others take it only where nothing else
  // fits.
  bool is_held = false;
  // Whether the advisor's ticket for it still holds.
  bool has_ticket = true;
};

// Returns whether the worker could ever run a task of the step.
bool IsSuitable(const workers::Worker& worker, const jobs::StepSpec& step);

// Returns whether one more task of the step can go there now.
bool HasRoom(const Candidate& candidate, const jobs::StepSpec& step);

// Returns how many more tasks of the step can go there now, at most `most`.
std::uint32_t RoomFor(const Candidate& candidate, const jobs::StepSpec& step,
                      std::uint32_t most);

// Returns how badly the task would sit there; the least is best.
//
// Load pattern: a steady stream of small tasks beside gangs that need large
// holes at one moment. Small tasks go where the least is left over, so that
// other workers keep room for gangs. Tasks that fill idle processor time go
// where the most of it is. A worker whose ticket ran out costs a call to the
// advisor. Data on another rack, a worker on which the task
// failed before, and one that is cold cost more than any packing gains.
double Badness(const Candidate& candidate, const jobs::StepSpec& step,
               const base::BackendId& failed_on);

// Takes the room of one more task of the step from the candidate.
void TakeRoom(Candidate* candidate, const jobs::StepSpec& step);

// Takes the room of one more task where it sits best; returns that worker, or
// null if none has room.
const workers::Worker* TakeBest(std::vector<Candidate>* candidates,
                                const jobs::StepSpec& step,
                                const base::BackendId& failed_on);

}  // namespace dotterelbarrow::core::placement

#endif  // DOTTERELBARROW_CORE_PLACEMENT_WORKER_CHOICE_H_
