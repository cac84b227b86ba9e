// All jobs of one owner, and the changes that the store does not hold yet.
//
// Changes are written in the order in which they happened, many in one batch. A
// caller that waits for a change is answered, and the run ends that a worker
// reported are acknowledged, only once the batch with the change is stored.
#ifndef DOTTERELBARROW_CORE_SCHEDULER_JOB_REGISTRY_H_
#define DOTTERELBARROW_CORE_SCHEDULER_JOB_REGISTRY_H_

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

// Identifies a waiting caller; assigned by the driver.
using WaiterId = base::NumberId<struct WaiterIdTag>;

// The contents of one write to the store, and who must be notified once it is
// stored.
struct RecordBatch {
  std::vector<RecordChange> changes;
  std::vector<jobs::JobKey> accepted_jobs;
  // Jobs whose final states are in this batch.
  std::vector<jobs::JobKey> ended_jobs;
  std::vector<WaiterId> accept_waiters;
  std::vector<WaiterId> change_waiters;
  // Run ends of these incarnations of workers, named by their ids and times of
  // birth, up to these numbers may be acknowledged once the batch is stored.
  std::map<std::pair<base::BackendId, std::int64_t>, std::uint64_t> run_ends;
  // Workers whose records are in this batch. A worker appears once for each
  // EnqueueWorkerRecord.
  std::vector<base::BackendId> recorded_workers;
};

// Callers that began to wait for the changes of a batch after it was taken.
struct LateWaiters {
  std::vector<WaiterId> accept_waiters;
  std::vector<WaiterId> change_waiters;
};

struct JobRegistrySettings {
  // How long the state of an ended job can be queried.
  base::Duration retention = std::chrono::seconds(180);
  // Maximum number of barred keys. Limits memory: each takes about 100 bytes.
  std::size_t max_barred_keys = 20'000;
  // Maximum rows of a batch. A transaction of the store holds 100 entries, less
  // the condition on the ownership record and the write of it.
  std::size_t max_changes = 98;
  // How many of these rows may be records of workers, which are not packed into
  // pages.
  std::size_t max_worker_changes = 60;
  // Bytes of the records in a batch, and of the largest record. A rewritten
  // page may exceed it. The store encodes values as base64, in a request body
  // of at most 1 MB.
  std::size_t max_bytes = std::size_t{500} * 1024;
};

class JobRegistry {
 public:
  explicit JobRegistry(JobRegistrySettings settings) : settings_(settings) {}

  // Adds a new job, and enqueues its acceptance record for the next batch.
  // `waiter` is notified when it is stored. Precondition: the key is neither
  // known nor barred.
  void Accept(jobs::Job job, std::string acceptance, WaiterId waiter);
  // Returns whether the acceptance of the job is stored. If not, `waiter` is
  // notified when it is.
  bool AwaitAccepted(jobs::JobKey key, WaiterId waiter);
  // Returns whether all changes of the job, or the bar of its key, are stored.
  // If not, `waiter` is notified when they are.
  bool AwaitStored(jobs::JobKey key, WaiterId waiter);

  // Bars the key, which must be unknown: for the retention time, no job may be
  // accepted under it, here or by a later owner once that is stored. Returns
  // false if too many keys are barred.
  bool Bar(jobs::JobKey key, base::TimePoint now);
  // Returns for how much longer the key is barred; nullopt if it isn't.
  std::optional<base::Duration> BarredFor(jobs::JobKey key,
                                          base::TimePoint now) const;

  // Returns whether no job is known, of those that have ended too, and no key
  // is barred.
  bool is_empty() const {
    return jobs_.empty() && ended_jobs_.empty() && barred_keys_.empty();
  }
  bool IsKnown(jobs::JobKey key) const {
    return jobs_.contains(key) || ended_jobs_.contains(key);
  }
  // Returns null for a job that has ended or is unknown.
  jobs::Job* Find(jobs::JobKey key);
  // Returns about how much memory a live job with this specification takes.
  static std::size_t ApproximateBytes(const jobs::JobSpec& spec);
  // Returns about how much memory all live jobs take, and those of one
  // organisation.
  std::size_t bytes() const { return bytes_; }
  std::size_t BytesOf(const base::OrganisationId& organisation) const;

  const std::unordered_map<jobs::JobKey, jobs::Job>& jobs() const {
    return jobs_;
  }
  // Returns the stored state, the only one that callers may be shown. Returns
  // nullopt if the job is unknown or its acceptance is not stored.
  std::optional<jobs::JobState> StoredState(jobs::JobKey key) const;
  // Returns whether the acceptance is stored, so that tasks may start.
  bool IsStored(jobs::JobKey key) const {
    return !unstored_acceptances_.contains(key);
  }

  // Whether all changes of the job that were enqueued are stored.
  bool IsUpToDate(jobs::JobKey key) const {
    return !changed_jobs_.contains(key) && !jobs_in_batch_.contains(key);
  }
  // Enqueues the job's progress, or its final state. Only the state of an ended
  // job is kept.
  void EnqueueJob(jobs::JobKey key, base::TimePoint now);
  // Run ends up to `number` may be acknowledged once all changes enqueued so
  // far are stored.
  void EnqueueRunEnds(const base::BackendId& worker, std::int64_t born_ms,
                      std::uint64_t number);
  // Enqueues the worker's record, or its removal if `record` is not set.
  void EnqueueWorkerRecord(const base::BackendId& worker,
                           std::optional<std::string> record);
  // Removes the last enqueued record of the worker. Returns false if there is
  // none, because a batch holds it already.
  bool WithdrawWorkerRecord(const base::BackendId& worker);

  // Removes the jobs that were in no batch yet, which are therefore certain
  // never to run. Appends their keys to `keys`, and returns the callers that
  // wait for their acceptance.
  std::vector<WaiterId> RemoveUnwritten(std::vector<jobs::JobKey>* keys);

  // Returns the pending changes, oldest first, up to the size of one batch.
  RecordBatch TakeBatch(base::TimePoint now);
  // Whether TakeBatch would return anything.
  bool has_changes() const {
    return !pending_changes_.empty() || has_due_pages_;
  }
  // Marks the changes in `batch` as stored. Returns the callers that must be
  // notified besides those in the batch.
  LateWaiters OnStored(const RecordBatch& batch);

  // Restores a page that a previous owner stored. Pages of live jobs must come
  // in the order of their keys. Returns false with a reason if a part of the
  // page is unreadable.
  bool RestorePage(RecordTable table, const std::string& key,
                   const std::string& text, base::TimePoint now,
                   base::Failure* reason) {
    return pages_.Restore(table, key, text, now, reason);
  }
  // Adds the jobs of all restored pages; calls `unreadable` for each job whose
  // records are unreadable.
  void RestoreJobs(base::TimePoint now,
                   const std::function<void(jobs::JobKey,
                                            const base::Failure&)>& unreadable);
  // Removes the states of jobs that ended longer ago than the retention time,
  // and the bars that are older.
  void Expire(base::TimePoint now);

 private:
  struct Ended {
    jobs::JobState state = jobs::JobState::kCompleted;
    bool stored = false;
    base::TimePoint ended_at;
  };
  struct ReportedEnds {
    base::BackendId worker;
    std::int64_t born_ms = 0;
    std::uint64_t number = 0;
  };
  struct WorkerRecord {
    base::BackendId worker;
    std::optional<std::string> record;
  };
  using PendingChange = std::variant<jobs::JobKey, ReportedEnds, WorkerRecord>;

  void Insert(jobs::JobKey key, jobs::Job job);
  void Remove(jobs::JobKey key);
  // Adds the job's record. Returns false, and does nothing, if it doesn't fit
  // beside the others.
  bool AddToBatch(jobs::JobKey key, base::TimePoint now, RecordBatch* batch);
  // Returns the progress record of a live job, without its crashes if it would
  // exceed `max_bytes` otherwise.
  std::string ProgressRecordOf(const jobs::Job& job) const;
  static void AddToBatch(const WorkerRecord& record, RecordBatch* batch);
  bool RestoreJob(jobs::JobKey key, const JobPages::StoredJob& stored,
                  base::TimePoint now, base::Failure* reason);

  JobRegistrySettings settings_;
  JobPages pages_;
  bool has_due_pages_ = false;
  std::unordered_map<jobs::JobKey, jobs::Job> jobs_;
  // Invariant: the sums of ApproximateBytes over `jobs_`.
  std::size_t bytes_ = 0;
  std::map<base::OrganisationId, std::size_t> organisation_bytes_;
  std::unordered_map<jobs::JobKey, Ended> ended_jobs_;
  // Invariant: in the order in which the jobs ended.
  std::deque<jobs::JobKey> ended_order_;
  // When each key was barred.
  std::unordered_map<jobs::JobKey, base::TimePoint> barred_keys_;
  // Invariant: the keys in `barred_keys_`, in the order of their times.
  std::deque<jobs::JobKey> barred_order_;
  // Jobs whose acceptance is not stored, with the acceptance record until a
  // batch takes it.
  std::unordered_map<jobs::JobKey, std::string> unstored_acceptances_;
  std::deque<PendingChange> pending_changes_;
  // Invariant: the keys in `pending_changes_`.
  std::unordered_set<jobs::JobKey> changed_jobs_;
  // Invariant: the keys in the batch that is being written.
  std::unordered_set<jobs::JobKey> jobs_in_batch_;
  std::unordered_map<jobs::JobKey, std::vector<WaiterId>> accept_waiters_;
  std::unordered_map<jobs::JobKey, std::vector<WaiterId>> change_waiters_;
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_JOB_REGISTRY_H_
