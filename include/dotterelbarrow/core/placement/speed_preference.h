// Which of several workers of different speeds a task should take.
//
// Load pattern: some workers take 1.6 times as long as others. Lookups that are
// due after 1.5 times their work are late there even if they never wait, while
// batch work has time for it. Work that would probably be late on a worker
// avoids it, and all other work prefers the slower of the workers on which it
// will be in time, so that the fast ones stay free for urgent work.
#ifndef DOTTERELBARROW_CORE_PLACEMENT_SPEED_PREFERENCE_H_
#define DOTTERELBARROW_CORE_PLACEMENT_SPEED_PREFERENCE_H_

#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core::placement {

class SpeedPreference {
 public:
  // For work that must end within `time_left` to be in time, and that runs for
  // `expected` on a worker of typical speed. `spread` is that of the logarithm
  // of its run time.
  SpeedPreference(base::Duration time_left, base::Duration expected,
                  double spread);

  // Slowness whose logarithm is not further from 0 is not told from noise, and
  // treated as typical speed: a factor of 1.2.
  static constexpr double kDeadZone = 0.18;

  // Returns the cost of a worker of this logarithm of slowness, compared with a
  // worker of typical speed: 0 for one of typical speed, less for a better one.
  double CostOn(double log_slowness) const;

 private:
  double ProbabilityLate(double log_slowness) const;

  // The logarithm of the slowness at which the work is late as often as not,
  // and the spread around it; not set if the work is late in any case.
  bool may_be_in_time_ = false;
  double log_limit_ = 0;
  double spread_ = 1;
  double late_on_typical_ = 1;
};

// Returns whether a gang should rather have no member on a worker of this
// slowness: all members run at the speed of the slowest, so one slow worker
// wastes the time of all others.
bool WastesGang(double slowness);

}  // namespace dotterelbarrow::core::placement

#endif  // DOTTERELBARROW_CORE_PLACEMENT_SPEED_PREFERENCE_H_
