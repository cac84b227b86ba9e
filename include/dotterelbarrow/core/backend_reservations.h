// Reserves a few backend servers for queued tasks that don't fit anywhere yet:
// the tasks that have waited longest, and urgent tasks for which other tasks
// are being preempted.
//
// While a backend server is reserved, only the task that holds the reservation
// and tasks ahead of it in the queue may be placed there. Without reservations
// a large task would starve behind small ones.
#ifndef DOTTERELBARROW_CORE_BACKEND_RESERVATIONS_H_
#define DOTTERELBARROW_CORE_BACKEND_RESERVATIONS_H_

#include <set>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/owner_context.h"

namespace dotterelbarrow::core {

class BackendReservations {
 public:
  // `context` must outlive this object.
  explicit BackendReservations(OwnerContext* context) : context_(context) {}

  // Reserves `backend` for `record`, which must be queued.
  void Set(Backend* backend, TaskRecord* record);
  // Ends the reservation of `backend`, if any.
  void Clear(Backend* backend);
  // Must be called when `record` leaves the queue. If it is `unplaced`, its
  // reservation lasts a while longer, so that the next attempt of the same task
  // can take it over; otherwise the reservation ends.
  void OnLeftQueue(const TaskRecord* record, bool unplaced,
                   base::TimePoint now);
  // Transfers to `record` the reservation left by an earlier attempt of the
  // same task. Returns whether there was one.
  bool Inherit(TaskRecord* record);
  // Returns whether the reservations allow `record` on `backend`.
  bool Allows(const Backend& backend, const TaskRecord& record) const;
  // Returns a reserved backend server that `record` fits on and is allowed to
  // use, or null if there is none.
  Backend* FindFor(const TaskRecord& record);
  // Drops expired reservations. If the limit permits another one, reserves a
  // backend server for the task that has waited longest.
  void Tick(base::TimePoint now);

 private:
  std::size_t MaxReservations() const;
  TaskRecord* LongestWaiting(base::TimePoint now);
  // Returns the unreserved backend server that lacks least for `record`.
  Backend* BestFor(const TaskRecord& record);
  // Returns the backend server reserved for `record`, or null.
  Backend* ReservedFor(const TaskRecord* record);

  OwnerContext* context_;
  // Invariant: exactly the backend servers that have a reservation.
  std::set<BackendIndex> reserved_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_BACKEND_RESERVATIONS_H_
