// Decides how many new jobs an owner accepts when its own processor can't keep
// up.
//
// Load pattern: a burst brings twice as many jobs as the owner's processor can
// handle, whatever capacity the workers have. An accepted job costs little at
// once and most of its processor time in the second after it: starts, polls,
// ends. Without a limit all answers are late, commands time out and are
// repeated, and hardly any job is done in time.
//
// The owner watches how late its timers run. As soon as they do, it accepts
// only as many jobs a second as it has been able to begin, and refuses the
// others at once, which costs little. What it accepts follows what it does, not
// how late it is: a job's cost shows so late that a limit which follows the lag
// swings between all and nothing. While the timers run on time the limit rises
// slowly, and it ends once it has refused nothing for a second.
#ifndef DOTTERELBARROW_CORE_ADMISSION_SATURATION_GATE_H_
#define DOTTERELBARROW_CORE_ADMISSION_SATURATION_GATE_H_

#include <cstdint>
#include <optional>

#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core::admission {

class SaturationGate {
 public:
  // Timers that are this late on the mean show that the processor is just
  // saturated. A job takes a dozen exchanges, each of which waits for a turn of
  // the loop, so the lag must be small against its slack of half a second.
  static constexpr base::Duration kTargetLag = std::chrono::milliseconds(12);
  // From this lag on nothing new is accepted, until what was accepted before
  // has caused its cost.
  static constexpr base::Duration kMaxLag = std::chrono::milliseconds(100);
  // Time constant of the mean lag: as long as the time in which a processor's
  // allotment may be used up and given again.
  static constexpr base::Duration kLagTimeConstant =
      std::chrono::milliseconds(100);
  // Time constant of the rate of begun jobs: about a job's life.
  static constexpr base::Duration kRateTimeConstant = std::chrono::seconds(1);
  // The upper bound of `stretch`.
  static constexpr double kMaxStretch = 4.0;

  // Records that a periodic timer ran `lag` after it was due, and that
  // `jobs_begun` jobs have had their first task started since the last call.
  void Update(base::Duration lag, std::uint64_t jobs_begun,
              base::TimePoint now);
  // Returns whether to accept one more job.
  bool TryAcquire();

  base::Duration mean_lag() const { return mean_lag_; }
  // The mean rate at which jobs have been begun.
  double begun_per_second() const { return begun_per_second_; }
  // The number of jobs accepted a second; nullopt if there is no limit.
  std::optional<double> limit() const { return limit_; }
  // By which factor to stretch the intervals of periodic work that may be done
  // less often, from 1 without lag to kMaxStretch.
  double stretch() const;

 private:
  base::Duration mean_lag_{0};
  // The mean rate of begun jobs, and when the first one began.
  double begun_per_second_ = 0;
  std::optional<base::TimePoint> first_begun_at_;
  std::optional<double> limit_;
  // Jobs that may be accepted at once under the limit.
  double tokens_ = 0;
  // When the limit was set or last refused a job.
  base::TimePoint last_effect_at_;
  bool has_refused_ = false;
  std::optional<base::TimePoint> updated_at_;
};

}  // namespace dotterelbarrow::core::admission

#endif  // DOTTERELBARROW_CORE_ADMISSION_SATURATION_GATE_H_
