// Claims, replays and appends to a partition's journal.
#include "dotterelbarrow/core/journal.h"

#include <json/json.h>

#include <utility>

#include "dotterelbarrow/core/json_text.h"

namespace dotterelbarrow::core {
namespace {

constexpr base::Duration kRetryPeriod = std::chrono::milliseconds(500);
constexpr std::uint32_t kReplayRowsPerRead = 500;
// How often a manager checks that it still holds the partition.
constexpr base::Duration kVerifyPeriod = std::chrono::seconds(2);
// The low bits of an epoch's counter, which a manager may increment without a
// write to the table.
constexpr int kLocalCounterBits = 20;

}  // namespace

Journal::Journal(const NodeSettings* settings, Outbox* outbox,
                 Counters* counters, base::PartitionId partition)
    : settings_(settings),
      outbox_(outbox),
      counters_(counters),
      keys_(partition),
      snapshots_(&keys_, outbox, counters) {}

RowCondition Journal::EpochCondition() const {
  return {keys_.Epoch(), epoch_version_};
}

void Journal::Tick(base::TimePoint now) {
  if (state_ == State::kClaiming || state_ == State::kReplaying) {
    if (!call_ && now >= retry_at_) {
      StartStep(now);
    }
    return;
  }
  if (state_ != State::kReady) {
    return;
  }
  if (flush_ && !flush_->in_flight && now >= flush_->retry_at) {
    SendFlush(now);
  } else if (!flush_ && !pending_.empty() && now >= next_flush_) {
    StartFlush(now);
  }
  snapshots_.Tick(now);
  if (now >= next_verification_) {
    VerifyClaim(now);
  }
}

void Journal::VerifyClaim(base::TimePoint now) {
  next_verification_ = now + kVerifyPeriod;
  call_ = outbox_->NextCall();
  outbox_->Send(TableRead{*call_, keys_.Epoch(), "", 1});
}

void Journal::OnVerified(const TableRows& rows) {
  const bool answered = rows.status == TableStatus::kCommitted;
  if (!answered) {
    store_unavailable_ = true;
    return;
  }
  if (rows.rows.empty() || rows.rows.front().version != epoch_version_) {
    MarkLost();
  } else if (!flush_) {
    store_unavailable_ = false;
  }
}

void Journal::MarkLost() {
  counters_->Increment("journal", "lost_to_another_manager");
  state_ = State::kLost;
  // The answer to a pending verification no longer matters.
  call_.reset();
}

void Journal::Retry(base::TimePoint now) {
  store_unavailable_ = true;
  retry_at_ = now + kRetryPeriod;
  counters_->Increment("store_retries", "journal_claim");
}

void Journal::StartStep(base::TimePoint /*now*/) {
  call_ = outbox_->NextCall();
  switch (step_) {
    case Step::kReadEpoch:
    case Step::kConfirmEpoch:
      outbox_->Send(TableRead{*call_, keys_.Epoch(), "", 1});
      break;
    case Step::kWriteEpoch: {
      Json::Value value;
      value["counter"] =
          static_cast<Json::UInt64>(epoch_.counter >> kLocalCounterBits);
      value["claim"] = claim_id_;
      outbox_->Send(TableTransaction{
          *call_, {EpochCondition()}, {{keys_.Epoch(), ToText(value)}}});
      break;
    }
    case Step::kReadPointer:
      outbox_->Send(TableRead{*call_, keys_.Pointer(), "", 1});
      break;
    case Step::kReadObject:
      outbox_->Send(ObjectRead{*call_, pointer_.object});
      break;
    case Step::kReadRows:
      outbox_->Send(TableRead{*call_, keys_.FlushPrefix(), replay_after_,
                              kReplayRowsPerRead});
      break;
  }
}

bool Journal::OnTableResult(const TableResult& result, base::TimePoint now) {
  if (call_ && result.call == *call_) {
    call_.reset();
    // Whatever the result, the row names the manager that holds the partition.
    step_ = result.status == TableStatus::kUnavailable ? Step::kWriteEpoch
                                                       : Step::kConfirmEpoch;
    if (result.status == TableStatus::kUnavailable) {
      Retry(now);
    }
    return true;
  }
  if (flush_ && flush_->in_flight && result.call == flush_->call) {
    OnFlushResult(result.status, now);
    return true;
  }
  return snapshots_.OnTableResult(result, now);
}

bool Journal::OnTableRows(const TableRows& rows, base::TimePoint now) {
  if (flush_ && flush_->in_flight && rows.call == flush_->call) {
    OnFlushReadBack(rows, now);
    return true;
  }
  if (!call_ || rows.call != *call_) {
    return false;
  }
  call_.reset();
  if (state_ == State::kReady) {
    OnVerified(rows);
    return true;
  }
  if (rows.status != TableStatus::kCommitted) {
    Retry(now);
    return true;
  }
  store_unavailable_ = false;
  switch (step_) {
    case Step::kReadEpoch:
    case Step::kConfirmEpoch:
      OnEpochRow(rows.rows, now);
      break;
    case Step::kReadPointer:
      OnPointerRow(rows.rows, now);
      break;
    case Step::kReadRows:
      OnJournalRows(rows, now);
      break;
    case Step::kWriteEpoch:
    case Step::kReadObject:
      break;
  }
  return true;
}

void Journal::OnEpochRow(const std::vector<Row>& rows, base::TimePoint now) {
  const Json::Value value =
      rows.empty() ? Json::Value() : ParseText(rows.front().value);
  const base::RowVersion version =
      rows.empty() ? base::RowVersion(0) : rows.front().version;
  const std::uint64_t counter = value["counter"].asUInt64();
  if (step_ == Step::kConfirmEpoch && value["claim"].asString() == claim_id_) {
    epoch_version_ = version;
    state_ = State::kReplaying;
    step_ = Step::kReadPointer;
  } else {
    epoch_ = {(counter + 1) << kLocalCounterBits, settings_->self};
    epoch_version_ = version;
    claim_id_ = settings_->self.value() + "/" +
                std::to_string(settings_->incarnation.value()) + "/" +
                std::to_string(counter + 1);
    step_ = Step::kWriteEpoch;
  }
  retry_at_ = now;
}

void Journal::OnPointerRow(const std::vector<Row>& rows, base::TimePoint now) {
  step_ = Step::kReadRows;
  if (!rows.empty()) {
    pointer_ = DecodePointer(rows.front().value);
    sequence_ = pointer_.sequence;
    step_ = Step::kReadObject;
  }
  retry_at_ = now;
}

bool Journal::OnObjectResult(const ObjectResult& result, base::TimePoint now) {
  if (snapshots_.OnObjectResult(result, now)) {
    return true;
  }
  if (!call_ || result.call != *call_) {
    return false;
  }
  call_.reset();
  if (result.status == TableStatus::kConflict) {
    // A previous manager has replaced and deleted the snapshot since the
    // pointer was read.
    step_ = Step::kReadPointer;
  }
  if (result.status != TableStatus::kCommitted) {
    Retry(now);
    return true;
  }
  snapshot_ = result.value;
  step_ = Step::kReadRows;
  retry_at_ = now;
  return true;
}

void Journal::OnJournalRows(const TableRows& rows, base::TimePoint now) {
  for (const Row& row : rows.rows) {
    replay_after_ = row.key;
    ReplayRow(row);
  }
  if (rows.more) {
    retry_at_ = now;
    return;
  }
  snapshots_.Restore(pointer_, first_row_.value_or(sequence_ + 1) - 1);
  state_ = State::kReady;
  next_flush_ = now;
  next_verification_ = now + kVerifyPeriod;
}

void Journal::ReplayRow(const Row& row) {
  const std::uint64_t sequence = keys_.SequenceOf(row.key);
  if (sequence == 0) {
    counters_->Increment("journal", "malformed_key");
    return;
  }
  first_row_ = first_row_.value_or(sequence);
  if (sequence <= pointer_.sequence) {
    return;  // Not deleted yet, or written again by a delayed duplicate.
  }
  sequence_ = sequence;
  const Json::Value value = ParseText(row.value);
  for (const Json::Value& record : value["records"]) {
    replayed_.push_back(ToText(record));
    ++records_since_snapshot_;
  }
}

JournalPosition Journal::Append(std::string record) {
  appended_ = appended_.next();
  pending_.push_back({appended_, std::move(record)});
  return appended_;
}

bool Journal::Withdraw(JournalPosition position) {
  for (auto it = pending_.begin(); it != pending_.end(); ++it) {
    if (it->position == position) {
      pending_.erase(it);
      return true;
    }
  }
  if (!flush_ || flush_->in_flight || flush_->may_be_written) {
    return false;
  }
  // The table reported that it wrote nothing, so records can be removed from
  // the flush.
  for (auto it = flush_->records.begin(); it != flush_->records.end(); ++it) {
    if (it->position == position) {
      flush_->records.erase(it);
      pending_.insert(pending_.begin(), flush_->records.begin(),
                      flush_->records.end());
      flush_.reset();
      return true;
    }
  }
  return false;
}

void Journal::StartFlush(base::TimePoint now) {
  next_flush_ = now + settings_->journal_flush_period;
  flush_.emplace();
  std::string value =
      "{\"claim\":" + ToText(Json::Value(claim_id_)) +
      ",\"first\":" + std::to_string(pending_.front().position.value()) +
      ",\"records\":[";
  for (Record& record : pending_) {
    if (!flush_->records.empty()) {
      value += ',';
    }
    value += record.text;
    flush_->records.push_back(std::move(record));
  }
  pending_.clear();
  flush_->value = value + "]}";
  SendFlush(now);
}

void Journal::SendFlush(base::TimePoint /*now*/) {
  flush_->call = outbox_->NextCall();
  flush_->in_flight = true;
  const std::string key = keys_.Flush(sequence_ + 1);
  if (flush_->reading_back) {
    outbox_->Send(TableRead{flush_->call, key, "", 1});
    return;
  }
  outbox_->Send(TableTransaction{
      flush_->call, {EpochCondition(), {key, {}}}, {{key, flush_->value}}});
}

void Journal::OnFlushResult(TableStatus status, base::TimePoint now) {
  flush_->in_flight = false;
  flush_->retry_at = now;
  switch (status) {
    case TableStatus::kCommitted:
      FinishFlush();
      break;
    case TableStatus::kConflict:
      flush_->reading_back = true;
      break;
    case TableStatus::kUnknown:
      flush_->may_be_written = true;
      [[fallthrough]];
    case TableStatus::kUnavailable:
      store_unavailable_ = true;
      flush_->retry_at = now + kRetryPeriod;
      counters_->Increment("store_retries", "journal_flush");
      break;
  }
}

void Journal::OnFlushReadBack(const TableRows& rows, base::TimePoint now) {
  flush_->in_flight = false;
  if (rows.status != TableStatus::kCommitted) {
    store_unavailable_ = true;
    flush_->retry_at = now + kRetryPeriod;
    return;
  }
  if (!rows.rows.empty() && rows.rows.front().value == flush_->value) {
    FinishFlush();
    return;
  }
  MarkLost();
}

void Journal::FinishFlush() {
  store_unavailable_ = false;
  ++sequence_;
  records_since_snapshot_ += flush_->records.size();
  durable_ = flush_->records.back().position;
  counters_->Increment("journal", "flushes");
  counters_->Increment("journal", "records", flush_->records.size());
  flush_.reset();
}

bool Journal::WantsSnapshot() const {
  return state_ == State::kReady && !snapshots_.is_busy() &&
         !store_unavailable_ &&
         records_since_snapshot_ >= settings_->journal_records_per_snapshot;
}

void Journal::BeginSnapshot(std::string snapshot) {
  records_since_snapshot_ = 0;
  snapshots_.Begin(std::move(snapshot), epoch_, EpochCondition(), sequence_);
}

}  // namespace dotterelbarrow::core
