// The record that the owner of a shard keeps of one task.
//
// A task passes through these phases: Queued (waits for free resources), Held
// (resources are held, no start was requested yet), Active (its start command
// was or will be sent), Ended (guaranteed to be over; its manager hasn't
// acknowledged the end yet). A task adopted from a report begins as Active.
#ifndef DOTTERELBARROW_CORE_TASK_RECORD_H_
#define DOTTERELBARROW_CORE_TASK_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <variant>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/messages.h"

namespace dotterelbarrow::core {

// The index of a backend server in the owner's pool.
using BackendIndex = std::uint32_t;
inline constexpr BackendIndex kNoBackend =
    std::numeric_limits<BackendIndex>::max();

struct QueuedPhase {
  // Whether resources are only to be held, without a start.
  bool hold = false;
  // When its placement was first requested here, perhaps for an earlier
  // attempt.
  base::TimePoint since;
};

struct HeldPhase {};

struct ActivePhase {
  base::TimePoint since;
  // Whether the manager still waits for the PlaceReply, which is sent after the
  // first start command.
  bool reply_due = false;
  // When the start command was last sent; absent if it never was.
  std::optional<base::TimePoint> start_sent;
  // Whether a report under this owner's epoch has listed the task.
  bool listed = false;
  // The incarnation of the backend server that listed it last.
  base::Incarnation listed_by;
  // Why it is being stopped; absent if it isn't.
  std::optional<TaskEnd> stop_reason;
  // When the stop command was last sent; absent if it never was.
  std::optional<base::TimePoint> stop_sent;
};

struct EndedPhase {
  TaskEnd end = TaskEnd::kLost;
  std::string result;
  // See TaskUpdate::crashed.
  bool crashed = false;
};

struct TaskRecord {
  TaskSpec spec;
  // Numbers the records in the order of their creation.
  std::uint64_t serial = 0;
  // The entry that requested the placement; empty if the task was adopted from
  // a report.
  base::EntryId requester;
  double share_position = 0;
  // Its backend server; kNoBackend while queued, and once the backend server is
  // gone.
  BackendIndex backend = kNoBackend;
  // The id of that backend server; kept when the task has ended.
  base::BackendId backend_id;
  // Its index in the backend server's list of tasks.
  std::size_t position = 0;
  // The number of the last report that listed it.
  std::uint64_t last_report_number = 0;
  // When the next action on its phase is due; set only by TaskTable.
  std::optional<base::TimePoint> due;
  std::variant<QueuedPhase, HeldPhase, ActivePhase, EndedPhase> phase;

  template <typename Phase>
  bool Is() const {
    return std::holds_alternative<Phase>(phase);
  }
  template <typename Phase>
  Phase* As() {
    return std::get_if<Phase>(&phase);
  }
  template <typename Phase>
  const Phase* As() const {
    return std::get_if<Phase>(&phase);
  }
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_TASK_RECORD_H_
