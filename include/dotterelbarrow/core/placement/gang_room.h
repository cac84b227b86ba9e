// Which workers are left alone because gangs wait for room on them.
//
// Load pattern: gangs need large holes at one moment, on the quarter of the
// workers that may run them, in a fleet that is four fifths full. Beside them
// comes a stream of small tasks, some due within a second, most of them patient
// for many seconds; it fills each hole as it opens. So the workers on which a
// gang will fit soonest are kept for it, and patient work stays off all that
// waiting gangs could use, until it has been waiting for a good part of its
// slack itself.
#ifndef DOTTERELBARROW_CORE_PLACEMENT_GANG_ROOM_H_
#define DOTTERELBARROW_CORE_PLACEMENT_GANG_ROOM_H_

#include <cstddef>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/placement/urgency.h"
#include "dotterelbarrow/core/workers/worker_set.h"

namespace dotterelbarrow::core::placement {

class GangRoom {
 public:
  // Workers that are kept, as a part of the fleet; more would empty it. At
  // least `kLeastGangs` gangs are served that way.
  static constexpr double kMostKept = 0.25;
  static constexpr int kLeastGangs = 2;
  // Work yields to gangs until this part of its slack is used up: what is left
  // covers an estimate that is off by half.
  static constexpr double kYieldShare = 0.5;
  // Work with less slack than this in all doesn't yield: gangs' tasks run for
  // as long.
  static constexpr base::Duration kLeastSlack = std::chrono::milliseconds(3000);

  // Begins a new look at all waiting work. Work is to be looked at in the order
  // of its urgency: it yields to gangs that are more urgent.
  void BeginPass(std::size_t workers);

  // Whether workers may be kept for one more gang.
  bool CanKeep() const;
  // The workers of one gang: `Keep` for each, `EndGang` at the end.
  void Keep(workers::WorkerNumber worker) { kept_.insert(worker); }
  void EndGang() { ++gangs_; }
  // Some gang that waits could use the worker.
  void Want(workers::WorkerNumber worker) { wanted_.insert(worker); }

  bool IsKept(workers::WorkerNumber worker) const {
    return kept_.contains(worker);
  }
  // Whether the worker was kept in this pass or the one before.
  bool IsOrWasKept(workers::WorkerNumber worker) const {
    return IsKept(worker) || kept_before_.contains(worker);
  }
  bool IsWanted(workers::WorkerNumber worker) const {
    return wanted_.contains(worker);
  }
  std::size_t kept() const { return kept_.size(); }

  // Whether work that was accepted at `accepted_at` stays off wanted workers.
  static bool Yields(const Urgency& urgency, base::TimePoint accepted_at,
                     base::TimePoint now);

 private:
  std::size_t workers_ = 0;
  int gangs_ = 0;
  workers::WorkerSet kept_;
  workers::WorkerSet kept_before_;
  workers::WorkerSet wanted_;
};

}  // namespace dotterelbarrow::core::placement

#endif  // DOTTERELBARROW_CORE_PLACEMENT_GANG_ROOM_H_
