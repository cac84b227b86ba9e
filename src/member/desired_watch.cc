// Reads the rows of the desired state and of evacuations in one read, then
// polls the feed of their changes. Each answer of the feed comes at once and is
// linearizable: one without a change of the row of the desired state confirms
// it as of the time at which it was requested.
#include "src/member/desired_watch.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <utility>

#include "platform/operator_records.h"
#include "src/member/clock.h"

namespace dotterelbarrow::member {
namespace {

constexpr base::Duration kRetryDelay = std::chrono::milliseconds(150);
// While the owner confirms the state, this host reads the store only once in
// this many periods.
constexpr int kPeriodsPerOwnRead = 4;
// An owner reads the evacuations alone if it has had no answer with them for
// this many periods: a large desired state takes seconds on a slow link.
constexpr int kPeriodsPerEvacuationRead = 2;
// Many times the usual latency of an answer.
constexpr base::Duration kSlowReadLatency = std::chrono::milliseconds(60);
// A slow store begins to answer within a quarter of a second. A call without a
// further byte for much longer is given up and sent again.
constexpr base::Duration kReadTimeout = std::chrono::milliseconds(900);

// Reads all rows of the range. Calls `done` with the rows of all pages and the
// version of the first one: changes since that version may be in the rows of
// later pages, and are applied once more when they are read from the feed.
void ReadRows(platform::StoreClient* store, const platform::RowRange& range,
              std::function<void(const platform::ReadResult&)> done,
              const std::shared_ptr<platform::ReadResult>& earlier = nullptr) {
  store->Read(range, kReadTimeout,
              [store, range, done = std::move(done),
               earlier](const platform::ReadResult& page) {
                const auto rows = std::make_shared<platform::ReadResult>(page);
                if (earlier != nullptr) {
                  rows->version = earlier->version;
                  rows->received_bytes += earlier->received_bytes;
                  rows->rows.insert(rows->rows.begin(), earlier->rows.begin(),
                                    earlier->rows.end());
                }
                if (page.outcome != platform::StoreOutcome::kDone ||
                    !page.has_more || page.rows.empty()) {
                  done(*rows);
                  return;
                }
                platform::RowRange rest = range;
                rest.from = platform::KeyAfter(page.rows.back().key.key);
                ReadRows(store, rest, done, rows);
              });
}

}  // namespace

DesiredWatch::DesiredWatch(const wire::EventLoop& loop,
                           platform::StoreClient* store,
                           core::scheduler::Telemetry telemetry,
                           base::Duration period, Changed changed,
                           ZonesChanged zones_changed)
    : store_(store),
      telemetry_(telemetry),
      period_(period),
      changed_(std::move(changed)),
      zones_changed_(std::move(zones_changed)),
      timer_(loop, [this] { AskIfDue(); }),
      evacuations_timer_(loop, [this] { OnEvacuationsTimer(); }) {
  Read();
}

std::optional<base::Duration> DesiredWatch::ConfirmationAge() const {
  return confirmation_.Age(Now());
}

std::optional<base::Duration> DesiredWatch::TimeSinceRead() const {
  return confirmation_.TimeSinceRead(Now());
}

bool DesiredWatch::OnPeerVersion(base::ConfigVersion version,
                                 base::TimePoint sent_at, base::Duration age) {
  const base::ConfigVersion own =
      current_ == nullptr ? base::ConfigVersion() : current_->version();
  confirmation_.OnPeerVersion(own, version, sent_at, age);
  if (version <= own) {
    return false;
  }
  if (!is_store_unavailable_) {
    Read();
  }
  return is_store_unavailable_;
}

void DesiredWatch::OnPeerText(const std::string& text, base::TimePoint sent_at,
                              base::Duration age) {
  if (IsCurrent(text) || Apply(text)) {
    confirmation_.OnPeerVersion(current_->version(), current_->version(),
                                sent_at, age);
  }
}

void DesiredWatch::AskIfDue() {
  const base::TimePoint now = Now();
  const auto age = confirmation_.Age(now);
  const auto since_read = confirmation_.TimeSinceRead(now);
  if (!always_asks_ && age && *age < period_ && since_read &&
      *since_read < period_ * kPeriodsPerOwnRead && !is_store_unavailable_) {
    timer_.StartOnce(period_ - *age);
    return;
  }
  Ask();
}

void DesiredWatch::Ask() {
  // Version 0 means that the store has told none.
  if (followed_version_.value_or(base::RowVersion()) != base::RowVersion()) {
    ReadChanges();
  } else {
    Read();
  }
}

void DesiredWatch::Read() {
  if (is_reading_) {
    return;
  }
  is_reading_ = true;
  ReadRows(store_, platform::OperatorRows(),
           [this, sent_at = Now()](const platform::ReadResult& result) {
             OnRead(result, sent_at);
           });
}

void DesiredWatch::OnRead(const platform::ReadResult& result,
                          base::TimePoint sent_at) {
  OnOutcome(result.outcome, result.received_bytes, sent_at);
  if (result.outcome != platform::StoreOutcome::kDone) {
    return;
  }
  followed_version_ = result.version;
  stored_version_.reset();
  for (const platform::Row& row : result.rows) {
    if (row.key == platform::DesiredStateRow()) {
      OnStoredText(row.value);
    }
  }
  ApplyEvacuations(result, sent_at);
  Confirm(sent_at);
}

void DesiredWatch::set_always_asks(bool always_asks) {
  always_asks_ = always_asks;
  evacuations_timer_.StartOnce(period_);
}

void DesiredWatch::OnEvacuationsTimer() {
  const bool is_late = always_asks_ && Now() - evacuations_read_at_ >
                                           period_ * kPeriodsPerEvacuationRead;
  if (!evacuation_readers_.empty() || (is_late && !is_reading_evacuations_)) {
    SendEvacuationRead();
  }
  if (always_asks_) {
    evacuations_timer_.StartOnce(period_);
  }
}

void DesiredWatch::ReadEvacuations(const ZonesChanged& done) {
  evacuation_readers_.push_back(done);
  SendEvacuationRead();
}

void DesiredWatch::SendEvacuationRead() {
  is_reading_evacuations_ = true;
  // Each reader is answered by a read that began after its call.
  ReadRows(store_, platform::EvacuationRows(),
           [this, readers = std::exchange(evacuation_readers_, {}),
            sent_at = Now()](const platform::ReadResult& result) {
             is_reading_evacuations_ = false;
             if (result.outcome != platform::StoreOutcome::kDone) {
               evacuation_readers_.insert(evacuation_readers_.end(),
                                          readers.begin(), readers.end());
               evacuations_timer_.StartOnce(kRetryDelay);
               return;
             }
             ApplyEvacuations(result, sent_at);
             for (const ZonesChanged& done : readers) {
               done(evacuations_.zones());
             }
           });
}

void DesiredWatch::ApplyEvacuations(const platform::ReadResult& result,
                                    base::TimePoint sent_at) {
  evacuations_read_at_ = std::max(evacuations_read_at_, sent_at);
  Zones zones;
  for (const platform::Row& row : result.rows) {
    if (platform::IsEvacuationRow(row.key) && IsReadable(row)) {
      zones.insert(platform::EvacuatedZoneOf(row.key));
    }
  }
  if (evacuations_.OnRead(zones, result.version)) {
    zones_changed_(evacuations_.zones());
  }
}

bool DesiredWatch::ApplyEvacuationChange(
    const platform::FeedResult::Change& change) {
  const bool is_evacuated = !change.is_deleted && IsReadable(change.row);
  return evacuations_.OnChange(platform::EvacuatedZoneOf(change.row.key),
                               is_evacuated, change.row.version);
}

bool DesiredWatch::IsReadable(const platform::Row& row) {
  base::Failure reason;
  if (platform::CheckEvacuation(row.key, row.value, &reason)) {
    return true;
  }
  const auto [logged, is_new] = unreadable_.try_emplace(row.key.key);
  if (is_new || logged->second != row.version) {
    logged->second = row.version;
    telemetry_.log->Write("evacuation_unreadable",
                          {{"row", row.key.key}, {"detail", reason.detail}});
  }
  return false;
}

void DesiredWatch::ReadChanges() {
  if (is_reading_) {
    return;
  }
  is_reading_ = true;
  store_->ReadFeed(platform::DesiredStateRow().table, *followed_version_,
                   base::Duration(0), kReadTimeout,
                   [this, sent_at = Now()](const platform::FeedResult& result) {
                     OnChanges(result, sent_at);
                   });
}

void DesiredWatch::OnChanges(const platform::FeedResult& result,
                             base::TimePoint sent_at) {
  if (result.outcome == platform::StoreOutcome::kHistoryGone) {
    is_reading_ = false;
    followed_version_.reset();
    Read();
    return;
  }
  OnOutcome(result.outcome, result.received_bytes, sent_at);
  if (result.outcome != platform::StoreOutcome::kDone) {
    // The feed lists every state of the time that was missed; together they may
    // take longer than a call may. A read returns one.
    followed_version_.reset();
    return;
  }
  followed_version_ = result.version;
  bool have_zones_changed = false;
  for (const auto& change : result.changes) {
    if (platform::IsEvacuationRow(change.row.key)) {
      have_zones_changed |= ApplyEvacuationChange(change);
    }
  }
  evacuations_.AdvanceTo(result.version);
  evacuations_read_at_ = std::max(evacuations_read_at_, sent_at);
  if (have_zones_changed) {
    zones_changed_(evacuations_.zones());
  }
  int changes = 0;
  // Only the last change of the row counts.
  for (auto change = result.changes.rbegin(); change != result.changes.rend();
       ++change) {
    if (change->row.key == platform::DesiredStateRow() && ++changes == 1) {
      OnStoredText(change->row.value);
    }
  }
  if (changes > 1) {
    // The state changes faster than this host asks.
    followed_version_.reset();
  }
  if (!result.has_more) {
    Confirm(sent_at);
  } else if (!result.changes.empty()) {
    Ask();
  }
}

void DesiredWatch::OnOutcome(platform::StoreOutcome outcome,
                             std::size_t received_bytes,
                             base::TimePoint sent_at) {
  is_reading_ = false;
  const bool is_good = outcome == platform::StoreOutcome::kDone;
  if (is_good) {
    RecordReadLatency(store_->read_latency());
  }
  timer_.StartOnce(is_good ? period_ : kRetryDelay);
  if (is_good == is_store_unavailable_) {
    is_store_unavailable_ = !is_good;
    telemetry_.log->Write(
        is_good ? "desired_regained" : "desired_lost",
        {{"outcome", platform::ToString(outcome)},
         {"waited_ms", (Now() - sent_at) / std::chrono::milliseconds(1)},
         {"received_bytes", static_cast<std::int64_t>(received_bytes)}});
  }
}

void DesiredWatch::OnStoredText(const std::string& text) {
  stored_version_.reset();
  if (IsCurrent(text) || Apply(text)) {
    stored_version_ = current_->version();
  }
}

void DesiredWatch::Confirm(base::TimePoint sent_at) {
  if (current_ != nullptr && stored_version_ == current_->version()) {
    confirmation_.OnRead(sent_at);
  }
}

bool DesiredWatch::IsCurrent(const std::string& text) const {
  return current_ != nullptr && text == text_;
}

void DesiredWatch::RecordReadLatency(base::Duration latency) {
  const bool is_slow = latency >= kSlowReadLatency;
  if (is_slow != is_slow_) {
    is_slow_ = is_slow;
    telemetry_.log->Write(
        is_slow ? "store_slow" : "store_fast_again",
        {{"read_ms", latency / std::chrono::milliseconds(1)}});
  }
}

bool DesiredWatch::Apply(const std::string& text) {
  base::Failure reason;
  auto state = platform::ReadDesiredState(text, &reason);
  if (!state) {
    telemetry_.log->Write("desired_unreadable", {{"detail", reason.detail}});
    return false;
  }
  // Versions in the store never decrease, but answers may arrive out of order.
  if (current_ != nullptr && state->version() < current_->version()) {
    return false;
  }
  text_ = text;
  current_ =
      std::make_shared<const core::desired::DesiredState>(std::move(*state));
  telemetry_.log->Write(
      "desired_applied",
      {{"version", static_cast<std::int64_t>(current_->version().value())},
       {"queues", static_cast<std::int64_t>(current_->queues().size())}});
  changed_(current_);
  return true;
}

}  // namespace dotterelbarrow::member
