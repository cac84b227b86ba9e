// Keeps a record of each worker in the store. It tells the next owner which
// workers to claim, and which of them can no longer run anything.
//
// Guards against this case: workers leave or become unresponsive, and the owner
// is lost seconds later. The next owner can't claim those workers and doesn't
// know what was started on them. Without the records, every waiting task would
// wait until any lease that the previous owner may have granted has expired.
// The record of an unresponsive worker therefore names the end of its leases,
// and the owner grants the worker no further lease until a record without such
// an end is stored. The next owner relies on that end, which has often passed
// by then.
#ifndef DOTTERELBARROW_CORE_SCHEDULER_WORKER_RECORDS_H_
#define DOTTERELBARROW_CORE_SCHEDULER_WORKER_RECORDS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "dotterelbarrow/core/scheduler/fleet.h"
#include "dotterelbarrow/core/scheduler/job_registry.h"
#include "dotterelbarrow/core/workers/worker_record.h"

namespace dotterelbarrow::core::scheduler {

class WorkerRecords : public sigc::trackable {
 public:
  // `jobs` and `fleet` must outlive this object.
  WorkerRecords(JobRegistry* jobs, Fleet* fleet);
  WorkerRecords(const WorkerRecords&) = delete;
  WorkerRecords& operator=(const WorkerRecords&) = delete;

  // Adds a worker of a previous owner to the fleet. `store_now_ms` is a lower
  // bound of the time on the store's clock.
  void Inherit(const workers::WorkerRecord& record, std::int64_t store_now_ms,
               base::TimePoint now);
  // Removes the record of a worker that isn't this owner's with the next update
  // of the list.
  void Discard(const workers::WorkerRecord& record) {
    worker_states_[record.listing.id] = {
        .recorded_born_ms = record.recorded_born_ms,
        .recorded_capacity = record.listing.capacity};
  }
  // Enqueues records of new workers, of those whose capacity exceeds the
  // recorded one, and of those whose carried leases aren't recorded, and
  // removals of the records of workers that the fleet no longer holds. Call it
  // after the fleet has applied `listings`, which holds at least the list
  // entries that have changed.
  void Update(const std::vector<workers::Listing>& listings);
  // The store's clock showed at most `at_most_ms` at `now`. Until this is
  // known, no record names an end of leases.
  void UpdateStoreClock(std::int64_t at_most_ms, base::TimePoint now) {
    store_clock_ = StoreClock{at_most_ms, now};
  }
  // Resumes the leases of each worker whose last enqueued record is now stored
  // and names no end of leases.
  void OnStored(const RecordBatch& batch, base::TimePoint now);

 private:
  struct StoreClock {
    std::int64_t at_most_ms = 0;
    base::TimePoint read_at;
  };
  struct WorkerState {
    // Whether the last enqueued record names an end of the leases.
    bool names_leases_end = false;
    // Whether the last enqueued record is a removal, because the fleet no
    // longer holds the worker.
    bool is_removal = false;
    // The incarnation that the last enqueued record names.
    std::int64_t recorded_born_ms = workers::kUnknownIncarnation;
    // Whether the last enqueued record names the end of carried leases, or says
    // that there are none.
    bool names_carried_leases = false;
    // The capacity that the last enqueued record without an end of the leases
    // names.
    base::Resources recorded_capacity{};
    // The number of enqueued records that are not stored yet.
    int unstored_records = 0;
  };

  void OnUnresponsive(const workers::Worker& worker,
                      base::TimePoint leases_end);
  void OnResponsiveAgain(const workers::Worker& worker, base::TimePoint now);
  void OnClaimed(const workers::Worker& worker);
  // Enqueues the records of claimed incarnations that don't name yet when their
  // carried leases end.
  void RecordCarriedLeases();
  // Returns what a record of the worker's incarnation says of the leases that
  // it took from commands to earlier ones (WorkerRecord::carried_until_ms).
  std::optional<std::int64_t> CarriedUntilMs(
      const workers::Worker& worker) const;
  // Returns an upper bound of the store's clock at `at`.
  static std::int64_t StoreMillisAt(const StoreClock& clock,
                                    base::TimePoint at);
  void EnqueueRecord(const base::BackendId& worker,
                     std::optional<workers::WorkerRecord> record);

  JobRegistry* jobs_;
  Fleet* fleet_;
  std::optional<StoreClock> store_clock_;
  std::map<base::BackendId, WorkerState> worker_states_;
  // Claimed workers whose last enqueued record doesn't name the end of their
  // carried leases.
  std::set<base::BackendId> without_carried_leases_;
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_WORKER_RECORDS_H_
