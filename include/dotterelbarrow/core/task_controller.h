// Moves the tasks of a shard owner through their phases and reports to their
// managers how they ended.
#ifndef DOTTERELBARROW_CORE_TASK_CONTROLLER_H_
#define DOTTERELBARROW_CORE_TASK_CONTROLLER_H_

#include <sigc++/sigc++.h>

#include <string>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/owner_context.h"

namespace dotterelbarrow::core {

class TaskController {
 public:
  // `context` must outlive this object.
  explicit TaskController(OwnerContext* context) : context_(context) {}

  // Places a queued task on `backend`. Starts it there, or only reserves its
  // resources if its manager asked for a hold.
  void Assign(TaskRecord* record, Backend* backend, base::TimePoint now);
  // Starts a held task.
  void Commit(TaskRecord* record, base::TimePoint now);
  // Stops an active task. If no start was sent yet, the task ends at once;
  // otherwise the report that shows that it has ended decides its end.
  void Stop(TaskRecord* record, TaskEnd reason, base::TimePoint now);
  // Ends a task, and repeats the update to its manager until the manager
  // acknowledges it.
  void End(TaskRecord* record, TaskEnd end, std::string result,
           base::TimePoint now);
  // The same for a task that is lost with its backend server. `crashed` is as
  // in TaskUpdate.
  void EndLost(TaskRecord* record, bool crashed, base::TimePoint now);
  // Answers the PlaceTask of a task that was never started with `status`, and
  // deletes the record. Only the answer is remembered, for repeated requests.
  void Refuse(TaskRecord* record, PlaceStatus status, base::TimePoint now);
  // Deletes the record of a task. Only what is needed to answer later commands
  // for it is remembered.
  void Forget(TaskRecord* record, base::TimePoint now);

  void OnCommitHold(const CommitHold& commit, base::TimePoint now);
  void OnRemove(const base::EntryId& from, const RemoveTask& remove,
                base::TimePoint now);
  void OnUpdateAck(const TaskUpdateAck& ack, base::TimePoint now);
  // Handles the timer of a task: ends a held task, whose hold has expired, and
  // repeats the update of an ended one.
  void OnDue(TaskRecord* record, base::TimePoint now);

  // Applies a report of `backend` to the records of its tasks. `is_claim` tells
  // whether the report answers a claim and so lists all tasks that may run.
  // Returns false if the report contradicts the records: it omits a task that
  // an earlier report listed, or lists an unknown task without its
  // specification.
  bool OnReport(Backend* backend, const BackendReport& report, bool is_claim,
                base::TimePoint now);
  // The owner's claim on `backend` is void. Tasks placed there whose start was
  // not sent are refused or end as not started.
  void OnVoided(Backend* backend, base::TimePoint now);
  // The lease of `backend` has expired, so nothing sent to it runs any more:
  // its tasks end as lost.
  void OnLapsed(Backend* backend, base::TimePoint now);
  // `backend` has another owner now, which adopts the tasks running there.
  void OnDropped(Backend* backend, base::TimePoint now);

  // Records the epoch of the manager of `partition`. Returns false if a newer
  // epoch is known. A new epoch drops the tasks that managers of older epochs
  // have queued or held.
  bool AcceptManager(base::PartitionId partition, const base::Epoch& epoch,
                     base::TimePoint now);

  // Sends to the manager the remembered end of a task that has no record here
  // any more.
  void RepeatUpdate(const base::TaskId& task, base::PartitionId partition,
                    const EndedTaskCache::Entry& entry);

  // Emitted when a start that was sent to a backend server, and may not have
  // arrived yet, must not take effect.
  sigc::signal<void(Backend*, base::TimePoint)>& fence_requested() {
    return fence_requested_;
  }
  // Emitted before a task leaves the queue without having been placed.
  sigc::signal<void(TaskRecord*, base::TimePoint)>& leaving_queue_unplaced() {
    return leaving_queue_unplaced_;
  }

 private:
  // These two return false if the task is unknown and the report lacks its
  // specification, which only a new claim can obtain.
  bool ApplyTaskReport(Backend* backend, const TaskReport& report,
                       base::TimePoint now);
  bool ApplyUnknownTask(Backend* backend, const TaskReport& report,
                        base::TimePoint now);
  void ApplyKnownTask(Backend* backend, TaskRecord* record,
                      const TaskReport& report, base::TimePoint now);
  void ApplyTaskEnd(Backend* backend, TaskRecord* record,
                    const TaskReport& report, base::TimePoint now);
  // Decides about a task of `backend` that the report of a claim doesn't list.
  void ResolveUnlistedTask(const Backend& backend, TaskRecord* record,
                           base::TimePoint now);
  // Tells the managers which of the tasks that were lost while `backend` was
  // silent were lost in a crash, as the incarnation that reports now shows.
  void ReportLateCrashes(Backend* backend);
  // Stops a reported task that this owner does not expect to run there.
  void StopOrphan(Backend* backend, const TaskReport& report);
  void SendUpdate(TaskRecord* record, base::TimePoint now);
  // Removes `record` from the queue or from its backend server.
  void Unlink(TaskRecord* record, base::TimePoint now);

  OwnerContext* context_;
  sigc::signal<void(Backend*, base::TimePoint)> fence_requested_;
  sigc::signal<void(TaskRecord*, base::TimePoint)> leaving_queue_unplaced_;
};

// Sends the reply to a PlaceTask. Sends nothing if `to` is empty: nobody asked
// for an adopted task to be placed.
void SendPlaceReply(OwnerContext* context, const base::EntryId& to,
                    const TaskSpec& task, PlaceStatus status,
                    const base::BackendId& backend);

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_TASK_CONTROLLER_H_
