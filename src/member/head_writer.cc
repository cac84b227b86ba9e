// Sends a transaction until its outcome is known.
#include "src/member/head_writer.h"

#include <algorithm>
#include <utility>

#include "src/member/clock.h"
#include "src/member/store_layout.h"

namespace dotterelbarrow::member {
namespace {

// An answer that takes this many times the usual is taken for lost: the write
// is sent again, which is harmless.
constexpr int kTimeoutFactor = 8;
constexpr base::Duration kLeastTimeout = std::chrono::milliseconds(150);
constexpr base::Duration kMostTimeout = std::chrono::milliseconds(2000);
// Between two tries where the store refuses.
constexpr base::Duration kRetryDelay = std::chrono::milliseconds(80);
// Refusals, and silence, that last as long are not a passing trouble.
constexpr base::Duration kFailingRefused = std::chrono::milliseconds(250);
constexpr base::Duration kFailingSilent = std::chrono::milliseconds(1000);
// Weight of the last answer in the usual latency: one in this many.
constexpr int kLatencyWindow = 8;

}  // namespace

HeadWriter::HeadWriter(const wire::EventLoop& loop,
                       platform::StoreClient* store,
                       core::leadership::Leadership* leadership,
                       core::scheduler::Telemetry telemetry)
    : store_(store),
      leadership_(leadership),
      telemetry_(telemetry),
      timeout_(kLeastTimeout),
      retry_timer_(loop, [this] { Send(); }) {}

void HeadWriter::Write(
    const core::leadership::HeadWrite& head,
    const std::vector<core::scheduler::RecordChange>& changes, Done done) {
  platform::Transaction transaction;
  transaction.conditions.push_back({HeadRow(), head.expected});
  transaction.puts.push_back(
      {HeadRow(), core::leadership::EncodeHead(head.head), {}});
  for (const core::scheduler::RecordChange& change : changes) {
    platform::RowKey row{TableOf(change.table), kCellPart, change.key};
    if (change.value) {
      transaction.puts.push_back({std::move(row), *change.value, {}});
    } else {
      transaction.removals.push_back(std::move(row));
    }
  }
  transaction_ = std::move(transaction);
  done_ = std::move(done);
  begun_at_ = Now();
  was_refused_ = false;
  timeout_ = std::clamp(usual_latency_ * kTimeoutFactor, kLeastTimeout,
                        kMostTimeout);
  ++generation_;
  Send();
}

bool HeadWriter::IsFailing(base::TimePoint now) const {
  return transaction_ &&
         now - begun_at_ >= (was_refused_ ? kFailingRefused : kFailingSilent);
}

void HeadWriter::Cancel() {
  transaction_.reset();
  done_ = nullptr;
  retry_timer_.Cancel();
  ++generation_;
}

void HeadWriter::Send() {
  if (!transaction_) {
    return;
  }
  store_->Write(*transaction_, timeout_,
                [this, generation = generation_,
                 sent_at = Now()](const platform::WriteResult& result) {
                  if (generation == generation_) {
                    OnAnswer(result, sent_at);
                  }
                });
}

void HeadWriter::OnAnswer(const platform::WriteResult& result,
                          base::TimePoint sent_at) {
  const base::TimePoint now = Now();
  switch (result.outcome) {
    case platform::StoreOutcome::kDone:
      LearnLatency(now - sent_at);
      leadership_->OnWritten(result.version, now);
      End(HeadWriteEnd::kStored, result.now_ms);
      return;
    case platform::StoreOutcome::kConflict:
      LearnLatency(now - sent_at);
      OnConflict(result);
      return;
    case platform::StoreOutcome::kUnanswered:
      timeout_ = std::min(timeout_ * 2, kMostTimeout);
      Send();
      break;
    case platform::StoreOutcome::kMalformed:
      // The store will never take it; a new term begins with what is stored.
      telemetry_.log->Write("store_write_rejected", {});
      leadership_->Abandon();
      End(HeadWriteEnd::kReplaced, 0);
      return;
    case platform::StoreOutcome::kRefused:
    case platform::StoreOutcome::kNotSent:
      was_refused_ = true;
      retry_timer_.StartOnce(kRetryDelay);
      break;
  }
  telemetry_.log->Write(
      "store_write_retried",
      {{"outcome", platform::ToString(result.outcome)},
       {"since_ms", (now - begun_at_) / std::chrono::milliseconds(1)}});
}

void HeadWriter::OnConflict(const platform::WriteResult& result) {
  std::optional<core::leadership::Head> head;
  base::RowVersion version;
  for (const platform::Row& row : result.rows) {
    base::Failure reason;
    if (row.key == HeadRow()) {
      head = core::leadership::DecodeHead(row.value, &reason);
      version = row.version;
    }
  }
  const bool took_effect =
      leadership_->OnConflict(head, version, Now()) ==
      core::leadership::ConflictMeaning::kTookEffect;
  End(took_effect ? HeadWriteEnd::kStored : HeadWriteEnd::kReplaced,
      result.now_ms);
}

void HeadWriter::End(HeadWriteEnd end, std::int64_t store_now_ms) {
  transaction_.reset();
  const Done done = std::exchange(done_, nullptr);
  if (done) {
    done(end, store_now_ms);
  }
}

void HeadWriter::LearnLatency(base::Duration latency) {
  usual_latency_ += (latency - usual_latency_) / kLatencyWindow;
}

}  // namespace dotterelbarrow::member
