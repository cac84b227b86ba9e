// Follows the desired state and the evacuations of availability zones in the
// store, and tracks how recently the desired state was confirmed to be the
// newest.
//
// Load pattern: a desired state of a megabyte, and hosts whose links carry that
// in a second. The state is therefore transferred once for each change; to
// confirm it costs the same whatever its size.
#ifndef DOTTERELBARROW_SRC_MEMBER_DESIRED_WATCH_H_
#define DOTTERELBARROW_SRC_MEMBER_DESIRED_WATCH_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/desired/confirmation.h"
#include "dotterelbarrow/core/desired/desired_state.h"
#include "dotterelbarrow/core/desired/evacuations.h"
#include "dotterelbarrow/core/scheduler/decision_log.h"
#include "dotterelbarrow/wire/event_loop.h"
#include "platform/store_client.h"

namespace dotterelbarrow::member {

class DesiredWatch {
 public:
  using Changed =
      std::function<void(std::shared_ptr<const core::desired::DesiredState>)>;

  using Zones = std::set<base::AvailabilityZone>;
  using ZonesChanged = std::function<void(const Zones&)>;

  // Reads at once, and then asks for changes every `period`. Calls `changed`
  // with each newer state, and `zones_changed` with the evacuated zones
  // whenever they have changed. `loop`, `store` and what `telemetry` points to
  // must outlive this.
  DesiredWatch(const wire::EventLoop& loop, platform::StoreClient* store,
               core::scheduler::Telemetry telemetry, base::Duration period,
               Changed changed, ZonesChanged zones_changed);

  // Null until the first state has been read.
  const std::shared_ptr<const core::desired::DesiredState>& current() const {
    return current_;
  }
  // Returns how long ago the current state was last confirmed to be the newest;
  // nullopt if it never was.
  std::optional<base::Duration> ConfirmationAge() const;
  // Returns how long ago the last read that the store answered with the current
  // state was sent; nullopt if there was none.
  std::optional<base::Duration> TimeSinceRead() const;

  // The encoded text of the current state; empty until the first has been read.
  const std::string& text() const { return text_; }
  // Reads the evacuated zones from the store, however long it takes, and then
  // calls `done` with them. They are as new as this call or newer.
  void ReadEvacuations(const ZonesChanged& done);
  // Sets whether to ask the store every period, even while another host
  // confirms the desired state, and to read the evacuations alone while the
  // desired state takes long to arrive. Owners do so, since another host's
  // answer says nothing about evacuations.
  void set_always_asks(bool always_asks);

  // Handles another host's answer to a call sent at `sent_at`: its `version`
  // was confirmed to be the newest `age` before it answered. If that version is
  // newer than the current one, reads it from the store at once. Returns true
  // if the caller should fetch the text from that host instead, because the
  // store doesn't answer this one.
  bool OnPeerVersion(base::ConfigVersion version, base::TimePoint sent_at,
                     base::Duration age);
  // Applies the text of another host's desired state, confirmed `age` before it
  // answered a call sent at `sent_at`.
  void OnPeerText(const std::string& text, base::TimePoint sent_at,
                  base::Duration age);

 private:
  // Asks the store for changes, unless another host has confirmed the state
  // within the last period and the store has recently answered.
  void AskIfDue();
  // Asks the store for changes, or reads the state if it follows none.
  void Ask();
  // Reads the state and the evacuations.
  void Read();
  void OnRead(const platform::ReadResult& result, base::TimePoint sent_at);
  // Asks for changes since `followed_version_`.
  void ReadChanges();
  void OnChanges(const platform::FeedResult& result, base::TimePoint sent_at);
  // Handles an answer or its absence, and schedules the next call.
  void OnOutcome(platform::StoreOutcome outcome, std::size_t received_bytes,
                 base::TimePoint sent_at);
  // Reads the evacuations alone if that is due.
  void OnEvacuationsTimer();
  // Reads the evacuations alone, for all `evacuation_readers_`.
  void SendEvacuationRead();
  // Applies a read of all rows of evacuations.
  void ApplyEvacuations(const platform::ReadResult& result,
                        base::TimePoint sent_at);
  // Applies a change of the row of an evacuation. Returns whether the evacuated
  // zones have changed.
  bool ApplyEvacuationChange(const platform::FeedResult::Change& change);
  // Returns whether the row can be read; logs each version of a row that can't
  // be once.
  bool IsReadable(const platform::Row& row);
  // Applies what the store holds as of `followed_version_`.
  void OnStoredText(const std::string& text);
  // Records that the store's answer to a call sent at `sent_at` was complete.
  // It confirms the current state if that is what the store holds.
  void Confirm(base::TimePoint sent_at);
  // Logs when answered reads become slow and when they become fast again.
  void RecordReadLatency(base::Duration latency);
  // Returns whether `text` is that of the current state.
  bool IsCurrent(const std::string& text) const;
  // Makes `text` the current state unless it is malformed or older. Returns
  // whether it is current now.
  bool Apply(const std::string& text);

  platform::StoreClient* store_;
  core::scheduler::Telemetry telemetry_;
  base::Duration period_;
  Changed changed_;
  ZonesChanged zones_changed_;
  core::desired::Evacuations evacuations_;
  // The versions of the rows of evacuations that were logged as unreadable.
  std::map<std::string, base::RowVersion> unreadable_;
  bool always_asks_ = false;
  std::shared_ptr<const core::desired::DesiredState> current_;
  // The encoded text of `current_`.
  std::string text_;
  core::desired::Confirmation confirmation_;
  // The store's version up to which this host knows the row of the desired
  // state and those of evacuations; nullopt before the first read, and when a
  // read costs less than the changes since.
  std::optional<base::RowVersion> followed_version_;
  // The version of the desired state in that row; nullopt if it can't be used.
  std::optional<base::ConfigVersion> stored_version_;
  bool is_store_unavailable_ = false;
  // Whether a call to the store is pending.
  bool is_reading_ = false;
  bool is_slow_ = false;
  wire::Timer timer_;
  // When the last answered read or feed was sent that included evacuations.
  base::TimePoint evacuations_read_at_;
  bool is_reading_evacuations_ = false;
  // Repeats a read of the evacuations that failed; an owner's checks whether
  // one is due.
  wire::Timer evacuations_timer_;
  // Those who wait for a read of the evacuations that hasn't been sent.
  std::vector<ZonesChanged> evacuation_readers_;
};

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_DESIRED_WATCH_H_
