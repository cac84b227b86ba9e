// Tracks which workers are held free for waiting gangs, and decides which other
// work must avoid workers that a waiting gang could use.
//
// Load pattern: a gang needs large amounts of free capacity at one moment, and
// only a quarter of the workers may run it, in a fleet that is four fifths
// full. At the same time small tasks arrive continuously, a few due within a
// second, most with many seconds of slack, and take free capacity as soon as it
// appears. The workers on which a gang will fit soonest are therefore held for
// it, and work with enough slack avoids every worker that a waiting gang could
// use until a large part of its own slack is used up.
//
// A held worker is empty for seconds while the last members of its gang wait
// for room elsewhere. Other work may fill it in the meantime (backfilling): if
// it is expected to end before the gang starts, or if it fits beside the gang.
// Without that, a backlog of gangs leaves a fifth of the fleet idle.
#ifndef DOTTERELBARROW_CORE_PLACEMENT_GANG_HOLDS_H_
#define DOTTERELBARROW_CORE_PLACEMENT_GANG_HOLDS_H_

#include <cstddef>
#include <unordered_map>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/placement/urgency.h"
#include "dotterelbarrow/core/workers/worker_set.h"

namespace dotterelbarrow::core::placement {

class GangHolds {
 public:
  // Upper bound on held workers as a fraction of the fleet; holding more would
  // leave too much of the fleet idle. The first `kMinGangs` gangs of a pass may
  // hold workers regardless of this bound.
  static constexpr double kMaxHeldFraction = 0.25;
  static constexpr int kMinGangs = 2;
  // Other work yields to gangs until it has used up this fraction of its slack.
  // What remains covers an estimate that is off by half.
  static constexpr double kYieldSlackFraction = 0.5;
  // Work with less total slack than this doesn't yield, because a gang's tasks
  // may occupy the workers for that long.
  static constexpr base::Duration kMinYieldingSlack =
      std::chrono::milliseconds(3000);

  // What a gang leaves to other work of a worker that is held for it.
  struct Remainder {
    // When the gang is expected to start; runs that end before don't delay it.
    base::TimePoint starts_at = base::TimePoint::min();
    // The resources that are free on the worker beyond what the gang needs.
    base::Resources unneeded{};
  };

  // Begins a scheduling pass over all waiting work in a fleet of this many
  // workers. The caller must go through the work in order of urgency: work
  // yields only to gangs that came before it in the pass.
  void BeginPass(std::size_t workers);

  // Returns whether workers may be held for one more gang in this pass.
  bool CanHold() const;
  // Holds a worker for the current gang, as a whole but for the remainder. Call
  // `EndGang` after the last worker of each gang.
  void Hold(workers::WorkerNumber worker, const Remainder& remainder);
  void Hold(workers::WorkerNumber worker) { Hold(worker, Remainder()); }
  void EndGang() { ++gang_count_; }
  // Records that some waiting gang could use the worker.
  void MarkWanted(workers::WorkerNumber worker) { wanted_.insert(worker); }

  bool IsHeld(workers::WorkerNumber worker) const {
    return held_.contains(worker);
  }
  // Returns the part of the `free` resources of a worker that a task may use
  // which is not of the gang and ends by `end`: all of it if the worker isn't
  // held.
  base::Resources RoomBesideGang(workers::WorkerNumber worker,
                                 const base::Resources& free,
                                 base::TimePoint end) const;
  // Records that tasks were placed on the held worker which end by `end`. If
  // that is after the start of the gang, no more such tasks are placed there
  // before `ForgetBackfill`.
  void RecordBackfill(workers::WorkerNumber worker, base::TimePoint end);
  // The workers to hold are chosen anew, with what was placed there.
  void ForgetBackfill() { filled_.clear(); }
  // The same for one worker.
  void ForgetBackfill(workers::WorkerNumber worker) { filled_.erase(worker); }
  // Returns whether the worker is held in this pass or was held in the previous
  // one.
  bool IsOrWasHeld(workers::WorkerNumber worker) const {
    return IsHeld(worker) || previously_held_.contains(worker);
  }
  bool IsWanted(workers::WorkerNumber worker) const {
    return wanted_.contains(worker);
  }
  std::size_t held_count() const { return held_.size(); }

  // Returns whether work that was accepted at `accepted_at` must avoid workers
  // that a waiting gang could use (see `IsWanted`).
  static bool MustYield(const Urgency& urgency, base::TimePoint accepted_at,
                        base::TimePoint now);

 private:
  std::size_t worker_count_ = 0;
  int gang_count_ = 0;
  workers::WorkerSet held_;
  // Invariant: has no entry for a worker that is not held.
  std::unordered_map<workers::WorkerNumber, Remainder> remainders_;
  // Held workers whose remainder is used up.
  workers::WorkerSet filled_;
  workers::WorkerSet previously_held_;
  workers::WorkerSet wanted_;
};

}  // namespace dotterelbarrow::core::placement

#endif  // DOTTERELBARROW_CORE_PLACEMENT_GANG_HOLDS_H_
