// Runs the steps of storing a snapshot.
#include "dotterelbarrow/core/snapshot_writer.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "dotterelbarrow/core/json_text.h"

namespace dotterelbarrow::core {
namespace {

constexpr base::Duration kRetryPeriod = std::chrono::milliseconds(500);
// The most rows that one transaction deletes.
constexpr std::uint64_t kMaxRowsPerTrim = 200;

}  // namespace

std::string EncodePointer(const SnapshotPointer& pointer) {
  Json::Value value;
  value["object"] = pointer.object;
  value["sequence"] = static_cast<Json::UInt64>(pointer.sequence);
  return ToText(value);
}

SnapshotPointer DecodePointer(const std::string& text) {
  const Json::Value value = ParseText(text);
  return {value["object"].asString(), value["sequence"].asUInt64()};
}

void SnapshotWriter::Begin(std::string value, const base::Epoch& epoch,
                           RowCondition condition, std::uint64_t sequence) {
  job_.emplace();
  job_->pointer = {keys_->Snapshot(epoch, sequence), sequence};
  job_->value = std::move(value);
  job_->condition = std::move(condition);
  job_->former = latest_;
  Send();
}

void SnapshotWriter::Tick(base::TimePoint now) {
  if (job_ && !job_->in_flight && now >= job_->retry_at) {
    Send();
  }
}

void SnapshotWriter::Send() {
  job_->call = outbox_->NextCall();
  job_->in_flight = true;
  switch (job_->step) {
    case Step::kObject:
      outbox_->Send(ObjectWrite{job_->call, job_->pointer.object, job_->value});
      break;
    case Step::kPointer:
      outbox_->Send(
          TableTransaction{job_->call,
                           {job_->condition},
                           {{keys_->Pointer(), EncodePointer(job_->pointer)}}});
      break;
    case Step::kTrim:
      SendTrim();
      break;
    case Step::kDeletePrevious:
      outbox_->Send(ObjectWrite{job_->call, job_->former.object, ""});
      break;
  }
}

void SnapshotWriter::SendTrim() {
  TableTransaction trim{job_->call, {job_->condition}, {}};
  const std::uint64_t end =
      std::min(job_->pointer.sequence, trimmed_ + kMaxRowsPerTrim);
  for (std::uint64_t row = trimmed_ + 1; row <= end; ++row) {
    trim.writes.push_back({keys_->Flush(row), ""});
  }
  outbox_->Send(std::move(trim));
}

bool SnapshotWriter::OnTableResult(const TableResult& result,
                                   base::TimePoint now) {
  return OnResult(result.call, result.status, now);
}

bool SnapshotWriter::OnObjectResult(const ObjectResult& result,
                                    base::TimePoint now) {
  return OnResult(result.call, result.status, now);
}

bool SnapshotWriter::OnResult(base::CallId call, TableStatus status,
                              base::TimePoint now) {
  if (!job_ || !job_->in_flight || call != job_->call) {
    return false;
  }
  job_->in_flight = false;
  job_->retry_at = now;
  if (status == TableStatus::kConflict) {
    job_.reset();  // Another manager has claimed the partition.
  } else if (status == TableStatus::kCommitted) {
    NextStep();
  } else {
    job_->retry_at = now + kRetryPeriod;
    counters_->Increment("store_retries", "snapshot");
  }
  return true;
}

void SnapshotWriter::NextStep() {
  switch (job_->step) {
    case Step::kObject:
      job_->step = Step::kPointer;
      return;
    case Step::kPointer:
      job_->step = Step::kTrim;
      latest_ = job_->pointer;
      counters_->Increment("journal", "snapshots");
      return;
    case Step::kTrim:
      trimmed_ = std::min(job_->pointer.sequence, trimmed_ + kMaxRowsPerTrim);
      if (trimmed_ < job_->pointer.sequence) {
        return;
      }
      job_->step = Step::kDeletePrevious;
      // A manager that died before it wrote the pointer may have left its
      // object behind. An object that the pointer names is never deleted.
      if (job_->former.object.empty() ||
          job_->former.object == job_->pointer.object) {
        job_.reset();
      }
      return;
    case Step::kDeletePrevious:
      job_.reset();
      return;
  }
}

}  // namespace dotterelbarrow::core
