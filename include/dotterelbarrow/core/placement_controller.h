// Places tasks on the backend servers of a shard owner: immediately if one has
// enough free resources, otherwise from a queue in which the team furthest
// below its share goes first.
#ifndef DOTTERELBARROW_CORE_PLACEMENT_CONTROLLER_H_
#define DOTTERELBARROW_CORE_PLACEMENT_CONTROLLER_H_

#include <map>
#include <optional>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/backend_reservations.h"
#include "dotterelbarrow/core/owner_context.h"
#include "dotterelbarrow/core/placement_policy.h"
#include "dotterelbarrow/core/task_controller.h"
#include "dotterelbarrow/core/waiting_times.h"

namespace dotterelbarrow::core {

class PlacementController {
 public:
  // The arguments must outlive this object.
  PlacementController(OwnerContext* context, TaskController* tasks)
      : context_(context), tasks_(tasks), reservations_(context) {}

  void OnPlace(const base::EntryId& from, const PlaceTask& place,
               base::TimePoint now);
  // Places queued tasks on the backend servers whose free resources have grown.
  // Must be called at the end of each input and tick.
  void ServeQueue(base::TimePoint now);
  void Tick(base::TimePoint now);
  // Refuses a task that has been queued for as long as its request allows.
  void OnQueueTimeout(TaskRecord* record, base::TimePoint now);
  // Must be called when a task leaves the queue without having been placed.
  void OnLeavingQueueUnplaced(TaskRecord* record, base::TimePoint now);
  // Refuses all queued tasks with `status`.
  void RefuseAll(PlaceStatus status, base::TimePoint now);
  // The owner's claim on `backend` is void: for now or for good, nothing is
  // placed there.
  void OnVoided(Backend* backend);

 private:
  // Repeats the reply if `place` asks for a task that is already known. Returns
  // whether it is.
  bool AnswerRepeated(const base::EntryId& from, const PlaceTask& place,
                      base::TimePoint now);
  std::optional<PlaceStatus> ReasonToRefuse(const PlaceTask& place) const;
  bool TryAssign(TaskRecord* record, base::TimePoint now);
  void Assign(TaskRecord* record, Backend* backend, base::TimePoint now);
  // Queues `record` for at most `timeout`. Refuses it if that is zero or the
  // queue is full.
  void Enqueue(TaskRecord* record, base::Duration timeout, base::TimePoint now);
  // Stops other tasks so that `record`, which must be urgent, can be placed,
  // and reserves their backend server for it.
  void Preempt(TaskRecord* record, base::TimePoint now);
  PlacementPolicy PolicyFor(const TaskRecord& record) const;
  // Places queued tasks on `backend`, in queue order, as far as they fit.
  void PlaceQueuedOn(Backend* backend, base::TimePoint now);

  OwnerContext* context_;
  TaskController* tasks_;
  BackendReservations reservations_;
  WaitingTimes waiting_times_;
  // The shard on which the latest held task of each all-at-once job was placed.
  std::map<base::JobId, base::ShardId> job_shards_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_PLACEMENT_CONTROLLER_H_
