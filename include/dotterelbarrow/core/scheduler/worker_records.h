// What the store holds of each worker, so that the next owner knows which ones
// to claim, and which of them can't run anything any more.
//
// Load pattern: workers leave or fall silent, and the owner is lost seconds
// later. The next owner can't claim those workers, and doesn't know what was
// started there; without more all that waits would wait until any lease that
// the former owner may have given has lapsed. So a silent worker's record names
// the end of its leases, and the owner gives it no other before a record
// without an end is stored: the next owner goes by that end, which has often
// passed by then.
#ifndef DOTTERELBARROW_CORE_SCHEDULER_WORKER_RECORDS_H_
#define DOTTERELBARROW_CORE_SCHEDULER_WORKER_RECORDS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "dotterelbarrow/core/scheduler/fleet.h"
#include "dotterelbarrow/core/scheduler/job_book.h"
#include "dotterelbarrow/core/workers/worker_record.h"

namespace dotterelbarrow::core::scheduler {

class WorkerRecords : public sigc::trackable {
 public:
  // Both must outlive this.
  WorkerRecords(JobBook* jobs, Fleet* fleet);
  WorkerRecords(const WorkerRecords&) = delete;
  WorkerRecords& operator=(const WorkerRecords&) = delete;

  // Hands a worker of a former owner over to the fleet. `store_now_ms` is at
  // most what the store's clock shows.
  void Inherit(const workers::WorkerRecord& record, std::int64_t store_now_ms,
               base::TimePoint now);
  // The fleet took these listings: records new workers, and drops the records
  // of those it forgot.
  void Update(const std::vector<workers::Listing>& listings);
  // The store's clock showed at most `at_most_ms` at `now`. Before this is
  // known no record names an end.
  void NoteStoreClock(std::int64_t at_most_ms, base::TimePoint now) {
    store_clock_ = StoreClock{at_most_ms, now};
  }
  // The store holds the batch.
  void OnStored(const StoredBatch& batch, base::TimePoint now);

 private:
  struct StoreClock {
    std::int64_t at_most_ms = 0;
    base::TimePoint read_at;
  };
  struct State {
    // Whether the last record that was noted names an end of the leases.
    bool names_end = false;
    // Whether it says to drop the record: the worker was forgotten.
    bool is_dropped = false;
    // Records that were noted and aren't stored yet.
    int unstored = 0;
  };

  void OnSilent(const workers::Worker& worker, base::TimePoint leases_end);
  void OnAnswersAgain(const workers::Worker& worker, base::TimePoint now);
  void Note(const base::BackendId& worker,
            std::optional<workers::WorkerRecord> record);

  JobBook* jobs_;
  Fleet* fleet_;
  std::optional<StoreClock> store_clock_;
  std::map<base::BackendId, State> states_;
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_WORKER_RECORDS_H_
