// Writes the ownership record of a shard to the store, one write at a time, and
// retries each until its outcome is known.
#ifndef DOTTERELBARROW_SRC_MEMBER_OWNERSHIP_WRITER_H_
#define DOTTERELBARROW_SRC_MEMBER_OWNERSHIP_WRITER_H_

#include <functional>
#include <optional>
#include <vector>

#include "dotterelbarrow/core/leadership/leadership.h"
#include "dotterelbarrow/core/leadership/store_timeout_policy.h"
#include "dotterelbarrow/core/scheduler/decision_log.h"
#include "dotterelbarrow/core/scheduler/job_registry.h"
#include "dotterelbarrow/core/shards/shard_plan.h"
#include "dotterelbarrow/wire/event_loop.h"
#include "platform/store_client.h"

namespace dotterelbarrow::member {

// Outcome of a write of the ownership record.
enum class OwnershipWriteOutcome {
  kStored,
  kReplaced,  // Another entry host has written the record.
};

class OwnershipWriter {
 public:
  using Done =
      std::function<void(OwnershipWriteOutcome, std::int64_t store_now_ms)>;

  // All arguments must outlive this.
  OwnershipWriter(const wire::EventLoop& loop, platform::StoreClient* store,
                  core::shards::ShardNumber shard,
                  core::leadership::Leadership* leadership,
                  core::scheduler::Telemetry telemetry);

  bool is_busy() const { return transaction_.has_value(); }
  // Returns how the store has behaved since the current write began; nullopt if
  // no write is in progress.
  std::optional<core::leadership::StoreHealth> Signs(base::TimePoint now) const;

  // Writes the ownership record together with `changes` in one transaction, and
  // retries until it is stored or the record turns out to be another host's.
  // Then calls `done`. Precondition: not busy.
  void Write(const core::leadership::OwnershipWrite& head,
             const std::vector<core::scheduler::RecordChange>& changes,
             Done done);
  // Abandons the current write without calling its `done`. The write may still
  // take effect.
  void Cancel();

 private:
  void Send();
  // Waits for the answer anew because the connection has taken bytes of a copy.
  void OnProgress(bool is_first_copy);
  // Sends another copy of the current write if its answer seems lost.
  void Resend();
  // Reads the ownership record while the write is in progress: an answered read
  // tells a slow store from an unresponsive one.
  void ProbeStore();
  // Returns how long to wait for an answer before it counts as lost.
  base::Duration ResendTimeout() const;
  void OnAnswer(const platform::WriteResult& result, base::TimePoint sent_at);
  void OnConflict(const platform::WriteResult& result);
  void Finish(OwnershipWriteOutcome end, std::int64_t store_now_ms);
  void UpdateUsualLatency(base::Duration latency);

  platform::StoreClient* store_;
  core::shards::ShardNumber shard_;
  core::leadership::Leadership* leadership_;
  core::scheduler::Telemetry telemetry_;
  std::optional<platform::Transaction> transaction_;
  Done done_;
  base::TimePoint begun_at_;
  // When the connection took the last bytes of the first copy so far.
  base::TimePoint sent_at_;
  // Whether a copy of the current write was refused, couldn't be sent, or lost
  // its connection.
  bool has_failed_ = false;
  // Distinguishes answers to the current write from those to earlier ones.
  std::uint64_t generation_ = 0;
  base::Duration usual_latency_ = std::chrono::milliseconds(20);
  // Copies of the current write that are still unanswered.
  int unanswered_copies_ = 0;
  int copies_sent_ = 0;
  wire::Timer retry_timer_;
};

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_OWNERSHIP_WRITER_H_
