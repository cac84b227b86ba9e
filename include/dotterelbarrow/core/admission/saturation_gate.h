// Decides how many new jobs an owner accepts when its own processor can't keep
// up.
//
// Load pattern: a burst brings twice as many jobs as the owner's processor can
// handle, whatever capacity the workers have. An accepted job costs little at
// once and most of its processor time in the second after it: starts, polls,
// ends. Without a limit all answers are late, commands time out and are
// repeated, and hardly any job is done in time.
//
// The owner watches how late its timers run. As soon as they are late, and
// accepted jobs wait for it, it accepts only as many jobs a second as it has
// been able to begin, less what has to wait for longer than usual, and refuses
// the others at once, which costs little. What it accepts follows what it does,
// not how late it is: a job's cost shows so late that a limit which follows the
// lag swings between all and nothing. While the timers are only a little late,
// the limit stays as it is: an owner begins a few jobs fewer than it accepts,
// so that a limit which always follows it falls to nothing. On time the limit
// rises, fast while it is far below what the owner did on time lately, and it
// ends once it has refused nothing for a second.
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
  // From this lag on the limit follows the jobs that are begun.
  static constexpr base::Duration kHighLag = 2 * kTargetLag;
  // From this lag on nothing new is accepted, until what was accepted before
  // has caused its cost.
  static constexpr base::Duration kMaxLag = std::chrono::milliseconds(100);
  // Time constant of the mean lag: as long as the time in which a processor's
  // allotment may be used up and given again.
  static constexpr base::Duration kLagTimeConstant =
      std::chrono::milliseconds(100);
  // Time constant of the rate of begun jobs: about a job's life.
  static constexpr base::Duration kRateTimeConstant = std::chrono::seconds(1);
  // How long a job takes from its acceptance to its first start when the
  // processor can keep up: a write and a call to the advisor. The jobs that
  // are accepted in that time are no backlog.
  static constexpr base::Duration kTypicalPreparation =
      std::chrono::milliseconds(150);
  // The time in which a backlog is to end.
  static constexpr base::Duration kDrainTime = std::chrono::seconds(1);
  // The upper bound of `stretch`.
  static constexpr double kMaxStretch = 4.0;

  // What the owner has done and has yet to do.
  struct Progress {
    // Jobs whose first task was placed since the last call.
    std::uint64_t jobs_begun = 0;
    // Accepted jobs that wait for the owner, not for the fleet, before their
    // first task can be placed.
    std::uint64_t jobs_in_preparation = 0;
  };

  // Records that a periodic timer ran `lag` after it was due.
  void Update(base::Duration lag, const Progress& progress,
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
  // Returns how many jobs wait for longer than kTypicalPreparation.
  double BacklogOf(std::uint64_t jobs_in_preparation) const;
  // Adapts the limit to the lag after an `interval`.
  void UpdateLimit(std::uint64_t jobs_in_preparation, base::Duration interval,
                   base::TimePoint now);

  base::Duration mean_lag_{0};
  // The mean rate of begun jobs, and when the first one began.
  double begun_per_second_ = 0;
  std::optional<base::TimePoint> first_begun_at_;
  // The highest such rate while the timers were on time, which is forgotten
  // slowly.
  double on_time_per_second_ = 0;
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
