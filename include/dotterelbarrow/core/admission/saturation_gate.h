// Decides which part of the new jobs an owner accepts when its own processor
// can't keep up.
//
// Load pattern: a burst brings twice as many jobs as the owner's processor can
// handle, whatever capacity the workers have. Each accepted job costs processor
// time for about a second: starts, polls, ends. Without a limit all answers are
// late, commands time out and are repeated, and hardly any job is done in time.
// The owner therefore watches how late its timers run, accepts a smaller part
// of the new jobs until they run on time, and refuses the others at once, which
// costs little. As the backlog is short, the part grows again as soon as the
// burst is over.
#ifndef DOTTERELBARROW_CORE_ADMISSION_SATURATION_GATE_H_
#define DOTTERELBARROW_CORE_ADMISSION_SATURATION_GATE_H_

#include <cstdint>

#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core::admission {

class SaturationGate {
 public:
  // Timers that are this late on the mean show that the processor is just
  // saturated. A job takes a dozen exchanges, each of which waits for a turn of
  // the loop, so the lag must be small against its slack of half a second.
  static constexpr base::Duration kTargetLag = std::chrono::milliseconds(12);
  // From this lag on almost nothing is accepted. In between the fraction falls
  // evenly, so that the lag settles where what is accepted can just be handled.
  // A fraction that rises and falls by steps would swing, as a job causes most
  // of its cost after it was accepted.
  static constexpr base::Duration kMaxLag = std::chrono::milliseconds(70);
  // Time constant of the mean: as long as the time in which a processor's
  // allotment may be used up and given again.
  static constexpr base::Duration kTimeConstant =
      std::chrono::milliseconds(100);
  // Some jobs are accepted at any lag, so that none is refused by mistake for
  // long.
  static constexpr double kMinFraction = 0.05;
  static constexpr double kMaxStretch = 4.0;

  // Records that a periodic timer ran `lag` after it was due.
  void OnLag(base::Duration lag, base::TimePoint now);
  // Returns whether to accept the job with this key. A job that was refused has
  // a new chance a second later.
  bool Admits(std::uint64_t job_key, base::TimePoint now) const;
  // The fraction of new jobs that is accepted, from kMinFraction to 1.
  double fraction() const;
  base::Duration mean_lag() const { return mean_lag_; }
  // By which factor to stretch the intervals of periodic work that may be done
  // less often, from 1 without lag to kMaxStretch.
  double stretch() const;

 private:
  base::Duration mean_lag_{0};
  base::TimePoint updated_at_;
};

}  // namespace dotterelbarrow::core::admission

#endif  // DOTTERELBARROW_CORE_ADMISSION_SATURATION_GATE_H_
