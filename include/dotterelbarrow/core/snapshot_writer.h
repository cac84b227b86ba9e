// Stores the snapshots of a partition and deletes the rows and the object that
// each snapshot replaces.
//
// Storing a snapshot takes four idempotent steps:
//   1. Write the object.
//   2. Write its name to the pointer row, on condition that the epoch row is
//      still the one of this manager.
//   3. Delete the flushes that the snapshot includes, on the same condition.
//   4. Delete the object of the previous snapshot.
#ifndef DOTTERELBARROW_CORE_SNAPSHOT_WRITER_H_
#define DOTTERELBARROW_CORE_SNAPSHOT_WRITER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/core/journal_keys.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/outbox.h"

namespace dotterelbarrow::core {

// The contents of the pointer row: the object's name, and the sequence number
// of the last flush that the object includes. The name is empty if there is no
// snapshot.
struct SnapshotPointer {
  std::string object;
  std::uint64_t sequence = 0;
};

// Encode and decode the text of the pointer row.
std::string EncodePointer(const SnapshotPointer& pointer);
SnapshotPointer DecodePointer(const std::string& text);

class SnapshotWriter {
 public:
  // All pointers must outlive the writer.
  SnapshotWriter(const JournalKeys* keys, Outbox* outbox, Counters* counters)
      : keys_(keys), outbox_(outbox), counters_(counters) {}
  SnapshotWriter(const SnapshotWriter&) = delete;
  SnapshotWriter& operator=(const SnapshotWriter&) = delete;

  // Sets the state found when the partition was claimed: the latest snapshot,
  // and the sequence number of the last flush that is certain to be deleted.
  void Restore(SnapshotPointer latest, std::uint64_t trimmed) {
    latest_ = std::move(latest);
    trimmed_ = trimmed;
  }
  const SnapshotPointer& latest() const { return latest_; }

  // Whether a snapshot is being stored.
  bool is_busy() const { return job_.has_value(); }
  // Starts to store `value` as the snapshot of all flushes up to `sequence`, as
  // the manager with `epoch`; `condition` checks that this epoch is still
  // current. No other snapshot may be in progress.
  void Begin(std::string value, const base::Epoch& epoch,
             RowCondition condition, std::uint64_t sequence);
  void Tick(base::TimePoint now);
  // Each returns whether the result answers a call of this writer.
  bool OnTableResult(const TableResult& result, base::TimePoint now);
  bool OnObjectResult(const ObjectResult& result, base::TimePoint now);

 private:
  enum class Step { kObject, kPointer, kTrim, kDeletePrevious };
  struct Job {
    // User-provided: std::optional must see before the enclosing class is
    // complete that Job can be default-constructed.
    Job() {}
    Step step = Step::kObject;
    SnapshotPointer pointer;
    std::string value;
    RowCondition condition;
    // The previous snapshot, which this one replaces.
    SnapshotPointer former;
    base::CallId call;
    bool in_flight = false;
    base::TimePoint retry_at;
  };

  void Send();
  void SendTrim();
  bool OnResult(base::CallId call, TableStatus status, base::TimePoint now);
  void NextStep();

  const JournalKeys* keys_;
  Outbox* outbox_;
  Counters* counters_;
  SnapshotPointer latest_;
  // Sequence number of the last flush that was deleted.
  std::uint64_t trimmed_ = 0;
  std::optional<Job> job_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_SNAPSHOT_WRITER_H_
