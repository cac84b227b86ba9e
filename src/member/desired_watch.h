// Keeps the newest desired state, and knows how old the proof is that it is
// the newest.
#ifndef DOTTERELBARROW_SRC_MEMBER_DESIRED_WATCH_H_
#define DOTTERELBARROW_SRC_MEMBER_DESIRED_WATCH_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/desired/desired_state.h"
#include "dotterelbarrow/core/desired/proof.h"
#include "dotterelbarrow/core/scheduler/decision_log.h"
#include "dotterelbarrow/wire/event_loop.h"
#include "platform/store_client.h"

namespace dotterelbarrow::member {

class DesiredWatch {
 public:
  using Changed =
      std::function<void(std::shared_ptr<const core::desired::DesiredState>)>;

  // Reads at once, and then each `period`.
  DesiredWatch(const wire::EventLoop& loop, platform::StoreClient* store,
               core::scheduler::Telemetry telemetry, base::Duration period,
               Changed changed);

  // Null until the first was read.
  const std::shared_ptr<const core::desired::DesiredState>& current() const {
    return current_;
  }
  // Returns how long ago the state was surely the newest; nullopt if it never
  // was.
  std::optional<base::Duration> ProofAge() const;
  // Returns how long ago the store was last asked with success.
  std::optional<base::Duration> TimeSinceRead() const;

  // The text of the current state; empty until the first was read.
  const std::string& text() const { return text_; }
  // Another host says, to a call sent at `sent_at`, that its version was the
  // newest `age` ago. A newer one is read at once. Returns whether its text is
  // wanted here, as the store doesn't answer this host.
  bool OnRelayed(base::ConfigVersion version, base::TimePoint sent_at,
                 base::Duration age);
  // The same, with its text.
  void OnRelayedText(const std::string& text, base::TimePoint sent_at,
                     base::Duration age);

 private:
  // Reads, unless others have just proved the state.
  void ReadIfDue();
  void Read();
  void OnRead(const platform::ReadResult& result, base::TimePoint sent_at);
  // Logs when answered reads become slow, and when they are fast again.
  void NoteLatency(base::Duration latency);
  // Returns whether `text` is in force now.
  bool Take(const std::string& text);

  platform::StoreClient* store_;
  core::scheduler::Telemetry telemetry_;
  base::Duration period_;
  Changed changed_;
  std::shared_ptr<const core::desired::DesiredState> current_;
  // The text of `current_`.
  std::string text_;
  core::desired::Confirmation proof_;
  bool is_silent_ = false;
  bool is_reading_ = false;
  bool is_slow_ = false;
  wire::Timer timer_;
};

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_DESIRED_WATCH_H_
