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
#ifndef DOTTERELBARROW_CORE_PLACEMENT_GANG_HOLDS_H_
#define DOTTERELBARROW_CORE_PLACEMENT_GANG_HOLDS_H_

#include <cstddef>

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

  // Begins a scheduling pass over all waiting work in a fleet of this many
  // workers. The caller must go through the work in order of urgency: work
  // yields only to gangs that came before it in the pass.
  void BeginPass(std::size_t workers);

  // Returns whether workers may be held for one more gang in this pass.
  bool CanHold() const;
  // Holds a worker for the current gang. Call `EndGang` after the last worker
  // of each gang.
  void Hold(workers::WorkerNumber worker) { held_.insert(worker); }
  void EndGang() { ++gang_count_; }
  // Records that some waiting gang could use the worker.
  void MarkWanted(workers::WorkerNumber worker) { wanted_.insert(worker); }

  bool IsHeld(workers::WorkerNumber worker) const {
    return held_.contains(worker);
  }
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
  workers::WorkerSet previously_held_;
  workers::WorkerSet wanted_;
};

}  // namespace dotterelbarrow::core::placement

#endif  // DOTTERELBARROW_CORE_PLACEMENT_GANG_HOLDS_H_
