// Logs once a second how the owner spends its processor time, so that an
// overloaded owner can later be told from a fleet without free capacity.
#ifndef DOTTERELBARROW_SRC_MEMBER_OWNER_TIMES_H_
#define DOTTERELBARROW_SRC_MEMBER_OWNER_TIMES_H_

#include <cstdint>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/admission/saturation_gate.h"
#include "dotterelbarrow/core/scheduler/decision_log.h"

namespace dotterelbarrow::member {

class OwnerTimes {
 public:
  // Time between two log lines.
  static constexpr base::Duration kPeriod = std::chrono::seconds(1);

  explicit OwnerTimes(core::scheduler::DecisionLog* log) : log_(log) {}

  // Records a scheduling pass that began `lag` after it was due, took `placing`
  // to place tasks, and `ordering` to send its commands to workers.
  void RecordPass(base::Duration lag, base::Duration placing,
                  base::Duration ordering);
  // Records a write that took `latency` from the encoding of its batch to the
  // answer of the store.
  void RecordWrite(base::Duration latency);
  // Writes the log line if it is due. The fields `passes` and `writes` are
  // counts, `accepted_permille` is the fraction of new jobs that `gate`
  // accepts; the others are in microseconds.
  void LogIfDue(const core::admission::SaturationGate& gate,
                base::TimePoint now);

 private:
  core::scheduler::DecisionLog* log_;
  base::TimePoint written_at_;
  std::int64_t passes_ = 0;
  base::Duration placing_{0};
  base::Duration ordering_{0};
  base::Duration max_lag_{0};
  std::int64_t writes_ = 0;
  base::Duration writing_{0};
};

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_OWNER_TIMES_H_
