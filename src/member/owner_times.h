// Tells, once a second, what the owner's processor time goes into, so that a
// slow second can be told from a full fleet afterwards.
#ifndef DOTTERELBARROW_SRC_MEMBER_OWNER_TIMES_H_
#define DOTTERELBARROW_SRC_MEMBER_OWNER_TIMES_H_

#include <cstdint>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/scheduler/decision_log.h"

namespace dotterelbarrow::member {

class OwnerTimes {
 public:
  // Time between two lines.
  static constexpr base::Duration kPeriod = std::chrono::seconds(1);

  explicit OwnerTimes(core::scheduler::DecisionLog* log) : log_(log) {}

  // A pass began `lag` after it was due, placed for `placing`, and had its
  // orders sent for `ordering`.
  void NotePass(base::Duration lag, base::Duration placing,
                base::Duration ordering);
  // The store took `latency` for a batch, from its encoding to its answer.
  void NoteWrite(base::Duration latency);
  // Writes the line if it is due.
  // Its fields: passes and writes, how many; the others in microseconds.
  void WriteIfDue(base::TimePoint now);

 private:
  core::scheduler::DecisionLog* log_;
  base::TimePoint written_at_;
  // Of the process, when the last line was written.
  std::int64_t processor_us_ = 0;
  std::int64_t passes_ = 0;
  base::Duration placing_{0};
  base::Duration ordering_{0};
  base::Duration most_lag_{0};
  std::int64_t writes_ = 0;
  base::Duration writing_{0};
};

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_OWNER_TIMES_H_
