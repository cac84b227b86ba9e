// Holds back the acknowledgement of ends of tasks that may have another run.
#include <algorithm>

#include "dotterelbarrow/core/scheduler/scheduler.h"

namespace dotterelbarrow::core::scheduler {

void Scheduler::HoldEnd(const workers::Worker& worker,
                        const jobs::TaskRef& task) {
  const jobs::Job* job = jobs_.Find(task.step.job);
  if (job == nullptr ? !has_inherited_copies_
                     : task.step.step >= job->spec.steps.size() ||
                           !job->SpecOf(task.step).may_have_copies()) {
    return;
  }
  // The job may have ended before this owner's term.
  const HeldEnds::End end{task,
                          job == nullptr || dispatcher_.IsInherited(job->key)};
  if (CanRelease(end)) {
    return;
  }
  // The end is the last one that was received from the worker.
  held_ends_.Hold(worker.id(), worker.listing().born_ms, worker.ends_received,
                  end);
  fleet_.SetHasHeldEnds(worker.id(), true);
  telemetry_.counters->Increment("run_ends", "held");
  telemetry_.log->Write("run_end_held", {{"task", jobs::ToString(task)},
                                         {"worker", worker.id().value()}});
}

bool Scheduler::CanRelease(const HeldEnds::End& end) {
  // A claimed worker carries out no more starts of previous owners. Waiting for
  // its list of ends to be complete could take forever, because the ends that
  // are held are listed first.
  const auto is_unclaimed = [this](const base::BackendId& id) {
    const workers::Worker* worker = fleet_.Find(id);
    return worker != nullptr && !worker->is_claimed;
  };
  if (end.is_inherited &&
      std::any_of(fleet_.unreconciled().begin(), fleet_.unreconciled().end(),
                  is_unclaimed)) {
    return false;
  }
  const std::set<PlacedRun>& runs = runs_.RunsOfStep(end.task.step);
  return std::none_of(runs.begin(), runs.end(), [&](const PlacedRun& placed) {
    workers::Worker* worker = fleet_.Find(placed.worker);
    const workers::Run* run =
        placed.task != end.task || worker == nullptr
            ? nullptr
            : worker->FindRun(placed.task, placed.attempt);
    return run != nullptr && run->state != workers::RunState::kReserved &&
           run->start_confirmed_ms == 0 && !run->awaits_end;
  });
}

void Scheduler::ReleaseEnds() {
  held_ends_.Release(
      [this](const base::BackendId& id, std::int64_t born_ms,
             const HeldEnds::End& end) {
        const workers::Worker* worker = fleet_.Find(id);
        return worker == nullptr || worker->listing().born_ms != born_ms ||
               CanRelease(end);
      },
      [this](const base::BackendId& id, std::int64_t born_ms,
             std::uint64_t number) {
        const workers::Worker* worker = fleet_.Find(id);
        if (worker == nullptr || worker->listing().born_ms != born_ms) {
          return;
        }
        fleet_.SetHasHeldEnds(id, held_ends_.IsHolding(id));
        fleet_.OnEndsStored(id, born_ms, number, now_);
      });
}

}  // namespace dotterelbarrow::core::scheduler
