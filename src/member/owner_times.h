// Logs once a second how the owner spends its processor time, so that an
// overloaded owner can later be told from a fleet without free capacity.
#ifndef DOTTERELBARROW_SRC_MEMBER_OWNER_TIMES_H_
#define DOTTERELBARROW_SRC_MEMBER_OWNER_TIMES_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/admission/saturation_gate.h"
#include "dotterelbarrow/core/scheduler/decision_log.h"
#include "dotterelbarrow/core/scheduler/pass_effort.h"
#include "dotterelbarrow/core/shards/shard_plan.h"

namespace dotterelbarrow::member {

// The inputs that an owner handles between its passes.
enum class OwnerInput {
  kCall,      // Calls of callers, through entry hosts.
  kStarted,   // Answers to start commands.
  kStopped,   // Answers to stop commands.
  kPolled,    // Answers to polls of workers.
  kAdvice,    // Answers of the placement advisor.
  kListings,  // Changes of the list of workers.
  kStored,    // Answers to writes.
  kLoading,   // Records that a previous owner stored.
  kTick,
};

// How long a scheduling pass waited and took.
struct PassTimes {
  // How long it was kept back after the pass before it.
  base::Duration paused{0};
  // How much later than its due time it began.
  base::Duration lag{0};
  base::Duration placing{0};
  // For sending its commands, and the batch of changes, if one was due.
  base::Duration sending{0};
};

class OwnerTimes {
 public:
  // Time between two log lines.
  static constexpr base::Duration kPeriod = std::chrono::seconds(1);

  OwnerTimes(core::scheduler::DecisionLog* log, core::shards::ShardNumber shard)
      : log_(log), shard_(shard) {}

  void RecordPass(const PassTimes& pass);
  // Records that one input of this kind was handled in `elapsed`.
  void RecordInput(OwnerInput input, base::Duration elapsed);
  // Records a write that took `latency` from the encoding of its batch to the
  // answer of the store.
  void RecordWrite(base::Duration latency);
  // Returns whether the log line is due.
  bool IsDue(base::TimePoint now) const { return now - written_at_ >= kPeriod; }
  // Writes the log line. `effort` is what the passes of the period did. Fields
  // that end with `_us` are in microseconds, those with `_per_s` are rates, the
  // others are counts.
  void Log(const core::admission::SaturationGate& gate,
           const core::scheduler::PassEffort& effort, base::TimePoint now);

 private:
  static constexpr std::size_t kInputs =
      static_cast<std::size_t>(OwnerInput::kTick) + 1;

  core::scheduler::DecisionLog* log_;
  core::shards::ShardNumber shard_;
  base::TimePoint written_at_;
  std::int64_t passes_ = 0;
  base::Duration paused_{0};
  base::Duration placing_{0};
  base::Duration sending_{0};
  std::array<base::Duration, kInputs> inputs_{};
  base::Duration max_lag_{0};
  std::int64_t writes_ = 0;
  base::Duration writing_{0};
};

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_OWNER_TIMES_H_
