// Decides when the next scheduling pass begins.
//
// Load pattern: after a burst a thousand steps wait, and a pass over them takes
// tens of milliseconds. A job needs several passes: for its advice, for its
// place, for what has ended before it. Whatever keeps passes apart although the
// processor is free makes every job wait longer, so that more of them wait and
// the next pass takes longer still. The pause must only leave enough time for
// everything else that the owner does: two thirds of it.
#ifndef DOTTERELBARROW_CORE_SCHEDULER_PASS_PACER_H_
#define DOTTERELBARROW_CORE_SCHEDULER_PASS_PACER_H_

#include <algorithm>
#include <optional>

#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core::scheduler {

class PassPacer {
 public:
  // After a pass the next one waits this many times as long as the pass took.
  static constexpr int kPauseFactor = 2;

  // Requests a pass `delay` from `now`. Returns how long to wait before it
  // begins; nullopt if one was requested before and has not begun.
  std::optional<base::Duration> Request(base::TimePoint now,
                                        base::Duration delay) {
    if (is_requested_) {
      return std::nullopt;
    }
    is_requested_ = true;
    wanted_at_ = now + delay;
    due_at_ = std::max(wanted_at_, earliest_);
    return due_at_ - now;
  }
  // The requested pass begins.
  void OnBegun() { is_requested_ = false; }
  // The pass placed tasks from `begun` to `ended`.
  void OnEnded(base::TimePoint begun, base::TimePoint ended) {
    earliest_ = ended + (ended - begun) * kPauseFactor;
  }

  // When the last requested pass was due.
  base::TimePoint due_at() const { return due_at_; }
  // How long it was kept back because of the pass before it.
  base::Duration paused() const { return due_at_ - wanted_at_; }

 private:
  bool is_requested_ = false;
  base::TimePoint wanted_at_;
  base::TimePoint due_at_;
  // The next pass doesn't begin before this time.
  base::TimePoint earliest_;
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_PASS_PACER_H_
