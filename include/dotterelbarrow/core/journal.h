// The durable journal of one partition, kept in the table service.
//
// Rows, under "partition/<number>/":
//   epoch             the manager that may append; written only by a claim
//   journal/<seq>     one flush: a JSON array of records, in order
//   snapshot          the pointer: the name of the snapshot object and the
//                     sequence number of the last flush that it includes
//
// A manager claims a journal by a conditional write of the epoch row, which
// acts as its fencing token, and then replays it. A flush writes one row on
// condition that the epoch row is unchanged since the claim and that the
// journal row is absent. Therefore a late write of a previous manager fails,
// and a flush that is sent twice takes effect once: an unanswered flush is sent
// again, and after a conflict the journal row is read back to learn which flush
// wrote it.
#ifndef DOTTERELBARROW_CORE_JOURNAL_H_
#define DOTTERELBARROW_CORE_JOURNAL_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/core/journal_keys.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/outbox.h"
#include "dotterelbarrow/core/settings.h"
#include "dotterelbarrow/core/snapshot_writer.h"

namespace dotterelbarrow::core {

// The number of a record among those appended under one claim, from 1 up; 0 is
// before the first.
using JournalPosition = base::NumberId<struct JournalPositionTag>;

class Journal {
 public:
  enum class State {
    kClaiming,   // Trying to become the writer.
    kReplaying,  // Reading the snapshot and the records of previous managers.
    kReady,      // Replayed; accepts new records.
    kLost,       // Another manager has claimed the partition.
  };

  // All pointers must outlive the journal. The first Tick starts the claim.
  Journal(const NodeSettings* settings, Outbox* outbox, Counters* counters,
          base::PartitionId partition);
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  void Tick(base::TimePoint now);
  // Each returns whether the result answers a call of this journal.
  bool OnTableResult(const TableResult& result, base::TimePoint now);
  bool OnTableRows(const TableRows& rows, base::TimePoint now);
  bool OnObjectResult(const ObjectResult& result, base::TimePoint now);

  State state() const { return state_; }
  // The epoch under which this manager holds the partition; valid from
  // kReplaying on.
  const base::Epoch& epoch() const { return epoch_; }
  // The snapshot's text (empty if there is none) and the records after it, in
  // order. Valid once kReady; the caller may move them out.
  std::string& snapshot() { return snapshot_; }
  std::vector<std::string>& replayed() { return replayed_; }

  // Queues one record, a JSON text, for the next flush. The record is durable
  // once durable() has reached the returned position.
  JournalPosition Append(std::string record);
  JournalPosition durable() const { return durable_; }
  // Removes a record if it is certain that it has not been written and will not
  // be. Returns whether the record was removed.
  bool Withdraw(JournalPosition position);

  // Whether the last call to the table was refused or not answered.
  bool is_store_unavailable() const { return store_unavailable_; }

  // Whether enough records have been written since the last snapshot to make a
  // new one.
  bool WantsSnapshot() const;
  // Stores `snapshot`, and then deletes the rows and the object that it
  // replaces. The snapshot must include at least every record that is durable
  // now. It may also include records that are still being written, because
  // applying a record twice has no further effect.
  void BeginSnapshot(std::string snapshot);
  bool IsIdle() const { return pending_.empty() && !flush_; }

 private:
  struct Record {
    JournalPosition position;
    std::string text;
  };
  struct Flush {
    Flush() {}  // User-provided: std::optional must see before the enclosing
                // class is complete that Flush can be default-constructed.
    std::vector<Record> records;
    std::string value;
    base::CallId call;
    // Whether the journal row is being read back to learn the outcome.
    bool reading_back = false;
    // Whether a write got no answer, so the row may exist.
    bool may_be_written = false;
    base::TimePoint retry_at;
    bool in_flight = false;
  };
  enum class Step {
    kReadEpoch,
    kWriteEpoch,
    kConfirmEpoch,
    kReadPointer,
    kReadObject,
    kReadRows,
  };

  RowCondition EpochCondition() const;
  void MarkLost();
  void Retry(base::TimePoint now);
  // Reads the epoch row periodically, so that a manager that has nothing to
  // write still learns that another manager has claimed the partition.
  void VerifyClaim(base::TimePoint now);
  void OnVerified(const TableRows& rows);
  void StartStep(base::TimePoint now);
  void OnEpochRow(const std::vector<Row>& rows, base::TimePoint now);
  void OnPointerRow(const std::vector<Row>& rows, base::TimePoint now);
  void OnJournalRows(const TableRows& rows, base::TimePoint now);
  void ReplayRow(const Row& row);
  void StartFlush(base::TimePoint now);
  void SendFlush(base::TimePoint now);
  void OnFlushResult(TableStatus status, base::TimePoint now);
  void OnFlushReadBack(const TableRows& rows, base::TimePoint now);
  void FinishFlush();

  const NodeSettings* settings_;
  Outbox* outbox_;
  Counters* counters_;
  const JournalKeys keys_;
  SnapshotWriter snapshots_;
  State state_ = State::kClaiming;
  Step step_ = Step::kReadEpoch;
  bool store_unavailable_ = false;

  // The pending call of the current claim, replay or verification step, if any.
  std::optional<base::CallId> call_;
  base::TimePoint retry_at_;
  base::Epoch epoch_;
  base::RowVersion epoch_version_;
  // Identifies this claim in the epoch row.
  std::string claim_id_;

  SnapshotPointer pointer_;
  std::string snapshot_;
  std::vector<std::string> replayed_;
  // Sequence number of the first journal row found in the replay, if any.
  std::optional<std::uint64_t> first_row_;
  std::string replay_after_;
  // Sequence number of the last journal row known to be written.
  std::uint64_t sequence_ = 0;
  std::uint64_t records_since_snapshot_ = 0;

  std::deque<Record> pending_;
  JournalPosition appended_;
  JournalPosition durable_;
  base::TimePoint next_flush_;
  base::TimePoint next_verification_;
  std::optional<Flush> flush_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_JOURNAL_H_
