// Sends a transaction repeatedly until its outcome is known.
#include "src/member/ownership_writer.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "src/member/clock.h"
#include "src/member/store_layout.h"

namespace dotterelbarrow::member {
namespace {

// An answer counts as lost after this many times the usual write latency or the
// read latency, whichever is longer, since the last bytes of a copy were taken.
// Another copy is then sent, which is harmless because the write is
// conditional. The read latency counts so that a slow store gets no copies:
// they would only queue up behind the write.
constexpr int kWriteLatencyFactor = 8;
constexpr int kReadLatencyFactor = 10;
constexpr base::Duration kMinResendTimeout = std::chrono::milliseconds(150);
// Time-out of a single copy without progress.
constexpr base::Duration kCopyTimeout = std::chrono::milliseconds(3000);
constexpr int kMaxCopies = 3;
// Delay before a retry when the store refuses the write or connections break.
constexpr base::Duration kRetryDelay = std::chrono::milliseconds(40);
// The usual latency is a moving average in which the last answer has a weight
// of one in this many.
constexpr int kLatencyWindow = 8;

}  // namespace

OwnershipWriter::OwnershipWriter(const wire::EventLoop& loop,
                                 platform::StoreClient* store,
                                 core::shards::ShardNumber shard,
                                 core::leadership::Leadership* leadership,
                                 core::scheduler::Telemetry telemetry)
    : store_(store),
      shard_(shard),
      leadership_(leadership),
      telemetry_(telemetry),
      retry_timer_(loop, [this] { Resend(); }) {}

void OwnershipWriter::Write(
    const core::leadership::OwnershipWrite& head,
    const std::vector<core::scheduler::RecordChange>& changes, Done done) {
  platform::Transaction transaction;
  transaction.conditions.push_back({OwnershipRow(shard_), head.expected});
  transaction.puts.push_back(
      {OwnershipRow(shard_),
       core::leadership::EncodeOwnershipRecord(head.record),
       {}});
  for (const core::scheduler::RecordChange& change : changes) {
    platform::RowKey row{TableOf(change.table), PartOf(shard_), change.key};
    if (change.value) {
      transaction.puts.push_back({std::move(row), *change.value, {}});
    } else {
      transaction.removals.push_back(std::move(row));
    }
  }
  transaction_ = std::move(transaction);
  done_ = std::move(done);
  begun_at_ = Now();
  sent_at_ = begun_at_;
  has_failed_ = false;
  unanswered_copies_ = 0;
  copies_sent_ = 0;
  ++generation_;
  Send();
}

std::optional<core::leadership::StoreHealth> OwnershipWriter::Signs(
    base::TimePoint now) const {
  if (!transaction_) {
    return std::nullopt;
  }
  return core::leadership::StoreHealth{.write_age = now - sent_at_,
                                       .has_failed = has_failed_,
                                       .read_latency = store_->read_latency(),
                                       .oldest_read = store_->OldestReadAge()};
}

void OwnershipWriter::Cancel() {
  transaction_.reset();
  done_ = nullptr;
  retry_timer_.Cancel();
  ++generation_;
}

base::Duration OwnershipWriter::ResendTimeout() const {
  const base::Duration timeout =
      std::max({kMinResendTimeout, usual_latency_ * kWriteLatencyFactor,
                std::max(store_->read_latency(), store_->OldestReadAge()) *
                    kReadLatencyFactor});
  return timeout * (1 << std::min(copies_sent_, kMaxCopies));
}

void OwnershipWriter::Send() {
  ++unanswered_copies_;
  ++copies_sent_;
  // Shared by both callbacks: when the store can have begun to answer.
  const auto sent_at = std::make_shared<base::TimePoint>(Now());
  store_->Write(
      *transaction_, kCopyTimeout,
      [this, generation = generation_,
       sent_at](const platform::WriteResult& result) {
        if (generation == generation_) {
          --unanswered_copies_;
          OnAnswer(result, *sent_at);
        }
      },
      [this, generation = generation_, is_first = copies_sent_ == 1, sent_at] {
        *sent_at = Now();
        if (generation == generation_) {
          OnProgress(is_first);
        }
      });
  retry_timer_.StartOnce(ResendTimeout());
}

void OwnershipWriter::OnProgress(bool is_first_copy) {
  // Later copies don't make the write younger: the store has left the first
  // one unanswered.
  if (is_first_copy) {
    sent_at_ = Now();
  }
  retry_timer_.StartOnce(ResendTimeout());
}

void OwnershipWriter::Resend() {
  if (!transaction_) {
    return;
  }
  if (unanswered_copies_ >= kMaxCopies) {
    retry_timer_.StartOnce(ResendTimeout());
    return;
  }
  telemetry_.log->Write(
      "store_write_repeated",
      {{"copies", copies_sent_},
       {"since_ms", (Now() - begun_at_) / std::chrono::milliseconds(1)}});
  ProbeStore();
  Send();
}

void OwnershipWriter::ProbeStore() {
  if (copies_sent_ == 1) {
    store_->Read(platform::SingleRowRange(OwnershipRow(shard_)), kCopyTimeout,
                 [](const platform::ReadResult&) {});
  }
}

void OwnershipWriter::OnAnswer(const platform::WriteResult& result,
                               base::TimePoint sent_at) {
  const base::TimePoint now = Now();
  switch (result.outcome) {
    case platform::StoreOutcome::kDone:
      UpdateUsualLatency(now - sent_at);
      telemetry_.Observe("store_write", now - begun_at_);
      leadership_->OnWritten(result.version, now);
      Finish(OwnershipWriteOutcome::kStored, result.now_ms);
      return;
    case platform::StoreOutcome::kConflict:
      UpdateUsualLatency(now - sent_at);
      OnConflict(result);
      return;
    case platform::StoreOutcome::kHistoryGone:  // Not an answer to a write.
    case platform::StoreOutcome::kMalformed:
      // The store will never accept this write. The term ends, and a new one
      // starts from what is stored.
      telemetry_.log->Write("store_write_rejected", {});
      leadership_->StepDown();
      Finish(OwnershipWriteOutcome::kReplaced, 0);
      return;
    case platform::StoreOutcome::kUnanswered:
    case platform::StoreOutcome::kRefused:
    case platform::StoreOutcome::kNotSent:
      has_failed_ = true;
      if (unanswered_copies_ == 0) {
        retry_timer_.StartOnce(kRetryDelay);
      }
      break;
  }
  telemetry_.log->Write(
      "store_write_failed",
      {{"outcome", platform::ToString(result.outcome)},
       {"since_ms", (now - begun_at_) / std::chrono::milliseconds(1)}});
}

void OwnershipWriter::OnConflict(const platform::WriteResult& result) {
  std::optional<core::leadership::OwnershipRecord> record;
  base::RowVersion version;
  for (const platform::Row& row : result.rows) {
    base::Failure reason;
    if (row.key == OwnershipRow(shard_)) {
      record = core::leadership::DecodeOwnershipRecord(row.value, &reason);
      version = row.version;
    }
  }
  const bool took_effect = leadership_->OnConflict(record, version, Now()) ==
                           core::leadership::ConflictOutcome::kTookEffect;
  Finish(took_effect ? OwnershipWriteOutcome::kStored
                     : OwnershipWriteOutcome::kReplaced,
         result.now_ms);
}

void OwnershipWriter::Finish(OwnershipWriteOutcome end,
                             std::int64_t store_now_ms) {
  transaction_.reset();
  retry_timer_.Cancel();
  ++generation_;
  const Done done = std::exchange(done_, nullptr);
  if (done) {
    done(end, store_now_ms);
  }
}

void OwnershipWriter::UpdateUsualLatency(base::Duration latency) {
  usual_latency_ += (latency - usual_latency_) / kLatencyWindow;
}

}  // namespace dotterelbarrow::member
