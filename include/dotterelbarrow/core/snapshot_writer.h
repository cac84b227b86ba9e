// Stores a partition's snapshots and deletes what each replaces.
//
// A snapshot takes four steps, each of which may be done twice without harm:
// the object is written; the pointer row names it, on condition that the epoch
// row is still this manager's; the flushes that it replaces are deleted, under
// the same condition; the former snapshot's object is deleted.
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

// What the pointer row says: an object, and the flush up to which it holds
// everything. The object's name is empty while there is no snapshot.
struct SnapshotPointer {
  std::string object;
  std::uint64_t sequence = 0;
};

// Returns the pointer row's text, and what such a text says.
std::string EncodePointer(const SnapshotPointer& pointer);
SnapshotPointer DecodePointer(const std::string& text);

class SnapshotWriter {
 public:
  // All arguments must outlive this.
  SnapshotWriter(const JournalKeys* keys, Outbox* outbox, Counters* counters)
      : keys_(keys), outbox_(outbox), counters_(counters) {}
  SnapshotWriter(const SnapshotWriter&) = delete;
  SnapshotWriter& operator=(const SnapshotWriter&) = delete;

  // What was there when the partition was taken over: the snapshot in force,
  // and the last flush that is surely deleted.
  void Restore(SnapshotPointer latest, std::uint64_t trimmed) {
    latest_ = std::move(latest);
    trimmed_ = trimmed;
  }
  const SnapshotPointer& latest() const { return latest_; }

  // Whether a snapshot is being stored.
  bool is_busy() const { return job_.has_value(); }
  // Stores `value` as the snapshot up to `sequence`, by the right of `epoch`,
  // which `condition` checks. None may be under way.
  void Begin(std::string value, const base::Epoch& epoch,
             RowCondition condition, std::uint64_t sequence);
  void Tick(base::TimePoint now);
  // Return whether the result belonged to a call of this writer.
  bool OnTableResult(const TableResult& result, base::TimePoint now);
  bool OnObjectResult(const ObjectResult& result, base::TimePoint now);

 private:
  enum class Step { kObject, kPointer, kTrim, kDeleteFormer };
  struct Job {
    // Lets std::optional see before the class ends that it can be made.
    Job() {}
    Step step = Step::kObject;
    SnapshotPointer pointer;
    std::string value;
    RowCondition condition;
    // The snapshot that this one replaces.
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
  // The last flush that was deleted.
  std::uint64_t trimmed_ = 0;
  std::optional<Job> job_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_SNAPSHOT_WRITER_H_
