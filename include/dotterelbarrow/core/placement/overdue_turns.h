// Lets overdue work that has found no room for long go first, one step at a
// time.
//
// Load pattern: overdue work takes what all other work leaves. A large step
// among it finds no worker, or no part of its organisation's cap, that is free
// as a whole as long as small tasks that can be on time take each part that
// becomes free. Such a step is given a turn: it is placed before all other
// work, and what it lacks is kept free for it meanwhile.
//
// Turns delay work that can still be on time. Each ends after some seconds, and
// where the fleet or the cap is well in use, they are rare: together they use a
// small share of the fleet.
#ifndef DOTTERELBARROW_CORE_PLACEMENT_OVERDUE_TURNS_H_
#define DOTTERELBARROW_CORE_PLACEMENT_OVERDUE_TURNS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/jobs/job_spec.h"

namespace dotterelbarrow::core::placement {

class OverdueTurns {
 public:
  // A step gets a turn after it has waited for this long.
  static constexpr base::Duration kPatience = std::chrono::seconds(20);
  // The same while less than `kLightUse` of the fleet and of the step's cap is
  // in use: such a step must not be left without a run for seconds.
  static constexpr base::Duration kPatienceIfLight = std::chrono::seconds(2);
  static constexpr double kLightUse = 0.5;
  // A turn ends after this time even if nothing could be placed: other work
  // that could run meanwhile must not wait for seconds. Each further turn of
  // the step lasts longer by as much, up to the maximum.
  static constexpr base::Duration kFirstTurn = std::chrono::milliseconds(2900);
  static constexpr base::Duration kMaxTurn = std::chrono::seconds(10);
  // No turn begins for so long after one in vain.
  static constexpr base::Duration kRest = std::chrono::seconds(1);
  // The share of the fleet's capacity, or of the step's cap, over time, that
  // the tasks placed in turns may use while more than `kLightUse` is in use.
  static constexpr double kMaxShare = 0.1;

  // An overdue step waits, for free resources or for its cap. Only the first
  // call since its last tasks were placed begins its wait. `is_light` tells
  // whether less than `kLightUse` of the fleet and of its cap is in use.
  void RecordWaiting(const jobs::StepRef& step, bool is_light,
                     base::TimePoint now) {
    waits_.try_emplace(step, Wait{now}).first->second.is_light = is_light;
  }
  // The step waits no more. Ends its turn.
  void Remove(const jobs::StepRef& step);
  // Tasks of the step were placed, which use `share` of the fleet or of their
  // cap for about `run_time`.
  void OnPlaced(const jobs::StepRef& step, double share,
                base::Duration run_time, base::TimePoint now);
  // Ends the turn if its time is over, and begins another one if that may be:
  // of the steps that have waited for long, that of the one which has had fewer
  // pairs of turns and has waited longest. In a second turn on end it gets what
  // was nearly free at the end of the first.
  void Update(base::TimePoint now);
  // Returns the step whose turn it is.
  const std::optional<jobs::StepRef>& current() const { return current_; }
  bool IsTurnOf(const jobs::StepRef& step) const { return current_ == step; }

 private:
  struct Wait {
    base::TimePoint since;
    // The turns in which nothing was placed.
    int vain_turns = 0;
    bool is_light = false;

    int pairs_of_turns() const { return vain_turns / 2; }
  };

  bool IsDue(const Wait& wait, base::TimePoint now) const;

  std::unordered_map<jobs::StepRef, Wait> waits_;
  // Invariant: a step in `waits_`.
  std::optional<jobs::StepRef> current_;
  base::TimePoint turn_ends_;
  // After a turn in vain, no turn begins before this time.
  base::TimePoint next_turn_;
  // When the share of turns admits another one.
  base::TimePoint next_within_share_;
};

}  // namespace dotterelbarrow::core::placement

#endif  // DOTTERELBARROW_CORE_PLACEMENT_OVERDUE_TURNS_H_
