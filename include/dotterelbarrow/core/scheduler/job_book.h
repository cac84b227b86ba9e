// All jobs of one owner, and what of them the store doesn't hold yet.
//
// Changes are written in the order in which they happened, many in one batch.
// Whoever waits for a change, a caller or a worker whose ends may be
// forgotten, hears of it once the batch that holds it is stored.
#ifndef DOTTERELBARROW_CORE_SCHEDULER_JOB_BOOK_H_
#define DOTTERELBARROW_CORE_SCHEDULER_JOB_BOOK_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "dotterelbarrow/base/failure.h"
#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/jobs/job.h"
#include "dotterelbarrow/core/scheduler/job_pages.h"

namespace dotterelbarrow::core::scheduler {

// Names a caller that waits; the driver's.
using WaiterId = base::NumberId<struct WaiterIdTag>;

// What was stored with a batch.
struct StoredBatch {
  std::vector<RecordChange> changes;
  std::vector<jobs::JobKey> accepted;
  // Jobs whose ends are stored with it.
  std::vector<jobs::JobKey> ended;
  std::vector<WaiterId> accept_waiters;
  std::vector<WaiterId> cancel_waiters;
  // Ends of these workers up to these numbers are stored.
  std::map<base::BackendId, std::uint64_t> ends;
  // Workers whose records are stored with it, each as often as it was noted.
  std::vector<base::BackendId> workers;
};

struct JobBookSettings {
  // How long the state of an ended job can be asked for.
  base::Duration retention = std::chrono::seconds(180);
  // What one transaction of the store takes, 100 entries, less the condition on
  // the head and its put.
  std::size_t max_changes = 98;
  // Of these, records of workers, which aren't in pages.
  std::size_t max_worker_changes = 60;
  // Values are kept in the store as base64 within a body of at most 1 MB.
  std::size_t max_bytes = std::size_t{500} * 1024;
};

class JobBook {
 public:
  explicit JobBook(JobBookSettings settings) : settings_(settings) {}

  // Adds a job that no batch holds yet, with its record. Precondition: IsKnown
  // is false.
  void Accept(jobs::Job job, std::string acceptance, WaiterId waiter);
  // Lets `waiter` hear when the job is stored; returns whether it already is.
  bool AwaitAccepted(jobs::JobKey key, WaiterId waiter);
  // Lets `waiter` hear when all that happened to the job is stored; returns
  // whether it already is.
  bool AwaitStored(jobs::JobKey key, WaiterId waiter);

  bool IsKnown(jobs::JobKey key) const {
    return jobs_.contains(key) || ended_.contains(key);
  }
  // Returns null for jobs that ended, or are unknown.
  jobs::Job* Find(jobs::JobKey key);
  const std::unordered_map<jobs::JobKey, jobs::Job>& jobs() const {
    return jobs_;
  }
  // Returns what callers may be shown: what is stored.
  std::optional<jobs::JobState> StoredState(jobs::JobKey key) const;
  // Returns whether the acceptance is stored, so that tasks may start.
  bool IsStored(jobs::JobKey key) const { return !unstored_.contains(key); }

  // The job's progress is to be stored. Ended jobs are kept by state only.
  void NoteChanged(jobs::JobKey key, base::TimePoint now);
  // Ends up to `number` may be acknowledged once what happened is stored.
  void NoteEnds(const base::BackendId& worker, std::uint64_t number);
  // The worker's record, or that there is none any more, is to be stored.
  void NoteWorker(const base::BackendId& worker,
                  std::optional<std::string> record);
  // Takes back what was noted last of the worker; returns false if a batch
  // holds it already.
  bool WithdrawWorker(const base::BackendId& worker);

  // Forgets the jobs that no batch has held yet, so that they surely never run;
  // returns who waits for them.
  std::vector<WaiterId> WithdrawUnwritten(std::vector<jobs::JobKey>* keys);

  // Takes what waits, oldest first, up to the size of one batch.
  StoredBatch TakeBatch(base::TimePoint now);
  // Whether TakeBatch would return anything.
  bool has_changes() const { return !waiting_.empty() || are_pages_due_; }
  // The store holds `batch`.
  void OnStored(const StoredBatch& batch);

  // Takes a page that a former owner stored, those of live jobs in the order of
  // their keys. Returns false with a reason if a part of it can't be read.
  bool RestorePage(RecordTable table, const std::string& key,
                   const std::string& text, base::TimePoint now,
                   base::Failure* reason) {
    return pages_.Restore(table, key, text, now, reason);
  }
  // Adds what the pages hold; calls `unreadable` for each job that can't be
  // read.
  void RestoreJobs(base::TimePoint now,
                   const std::function<void(jobs::JobKey,
                                            const base::Failure&)>& unreadable);
  // Drops the state of jobs that ended long ago.
  void Expire(base::TimePoint now);

 private:
  struct Ended {
    jobs::JobState state = jobs::JobState::kCompleted;
    bool stored = false;
    base::TimePoint ended_at;
  };
  struct WorkerEnds {
    base::BackendId worker;
    std::uint64_t number = 0;
  };
  struct WorkerRecord {
    base::BackendId worker;
    std::optional<std::string> record;
  };
  using Waiting = std::variant<jobs::JobKey, WorkerEnds, WorkerRecord>;

  void AddToBatch(jobs::JobKey key, base::TimePoint now, StoredBatch* batch);
  static void AddToBatch(const WorkerRecord& record, StoredBatch* batch);
  bool RestoreJob(jobs::JobKey key, const JobPages::StoredJob& stored,
                  base::TimePoint now, base::Failure* reason);

  JobBookSettings settings_;
  JobPages pages_;
  bool are_pages_due_ = false;
  std::unordered_map<jobs::JobKey, jobs::Job> jobs_;
  std::unordered_map<jobs::JobKey, Ended> ended_;
  // Invariant: in order of their ends.
  std::deque<jobs::JobKey> ended_order_;
  // Jobs whose acceptance isn't stored; with the record, until a batch has it.
  std::unordered_map<jobs::JobKey, std::string> unstored_;
  std::deque<Waiting> waiting_;
  // Invariant: the jobs in `waiting_`.
  std::unordered_set<jobs::JobKey> changed_;
  // Invariant: the jobs in the batch under way.
  std::unordered_set<jobs::JobKey> under_way_;
  std::unordered_map<jobs::JobKey, std::vector<WaiterId>> accept_waiters_;
  std::unordered_map<jobs::JobKey, std::vector<WaiterId>> store_waiters_;
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_JOB_BOOK_H_
