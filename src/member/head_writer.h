// Carries out writes of the head, one at a time, until their outcome is known.
#ifndef DOTTERELBARROW_SRC_MEMBER_HEAD_WRITER_H_
#define DOTTERELBARROW_SRC_MEMBER_HEAD_WRITER_H_

#include <functional>
#include <optional>
#include <vector>

#include "dotterelbarrow/core/leadership/leadership.h"
#include "dotterelbarrow/core/leadership/store_patience.h"
#include "dotterelbarrow/core/scheduler/decision_log.h"
#include "dotterelbarrow/core/scheduler/job_book.h"
#include "dotterelbarrow/wire/event_loop.h"
#include "platform/store_client.h"

namespace dotterelbarrow::member {

// What became of a write of the head.
enum class HeadWriteEnd {
  kStored,
  kReplaced,  // Another entry host has put the head.
};

class HeadWriter {
 public:
  using Done = std::function<void(HeadWriteEnd, std::int64_t store_now_ms)>;

  // All must outlive this.
  HeadWriter(const wire::EventLoop& loop, platform::StoreClient* store,
             core::leadership::Leadership* leadership,
             core::scheduler::Telemetry telemetry);

  bool is_busy() const { return transaction_.has_value(); }
  // What the store shows of itself; nullopt without a write under way.
  std::optional<core::leadership::StoreHealth> Signs(base::TimePoint now) const;

  // Writes the head with `changes`, again and again until it is stored or the
  // head turns out to be another's. Precondition: not busy.
  void Write(const core::leadership::OwnershipWrite& head,
             const std::vector<core::scheduler::RecordChange>& changes,
             Done done);
  // Forgets the write under way; it may still take effect.
  void Cancel();

 private:
  void Send();
  // Sends a copy of the write under way where its answer seems lost.
  void SendAgain();
  // Reads the head beside the write: whether that is answered tells a slow
  // store from a silent one.
  void Probe();
  // How long an answer may take before it seems lost.
  base::Duration Patience() const;
  void OnAnswer(const platform::WriteResult& result, base::TimePoint sent_at);
  void OnConflict(const platform::WriteResult& result);
  void End(HeadWriteEnd end, std::int64_t store_now_ms);
  void LearnLatency(base::Duration latency);

  platform::StoreClient* store_;
  core::leadership::Leadership* leadership_;
  core::scheduler::Telemetry telemetry_;
  std::optional<platform::Transaction> transaction_;
  Done done_;
  base::TimePoint begun_at_;
  // Whether a copy of the write under way was refused, couldn't be sent or met
  // a connection that broke.
  bool has_failed_ = false;
  // Tells answers of forgotten writes from the current one's.
  std::uint64_t generation_ = 0;
  base::Duration usual_latency_ = std::chrono::milliseconds(20);
  // Copies of the write under way without an answer.
  int copies_ = 0;
  int copies_sent_ = 0;
  wire::Timer retry_timer_;
};

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_HEAD_WRITER_H_
