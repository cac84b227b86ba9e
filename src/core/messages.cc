// Names of the values of the enumerations in the messages.
#include "dotterelbarrow/core/messages.h"

namespace dotterelbarrow::core {

const char* ToString(TaskState state) {
  switch (state) {
    case TaskState::kRunning:
      return "running";
    case TaskState::kSucceeded:
      return "succeeded";
    case TaskState::kFailed:
      return "failed";
    case TaskState::kStopped:
      return "stopped";
    case TaskState::kLeaseExpired:
      return "lease_expired";
  }
  return "invalid";
}

const char* ToString(TaskEnd end) {
  switch (end) {
    case TaskEnd::kSucceeded:
      return "succeeded";
    case TaskEnd::kFailed:
      return "failed";
    case TaskEnd::kLost:
      return "lost";
    case TaskEnd::kPreempted:
      return "preempted";
    case TaskEnd::kRemoved:
      return "removed";
    case TaskEnd::kNotStarted:
      return "not_started";
    case TaskEnd::kNotKnown:
      return "not_known";
  }
  return "invalid";
}

const char* ToString(RunStatus status) {
  switch (status) {
    case RunStatus::kDone:
      return "done";
    case RunStatus::kFailed:
      return "failed";
    case RunStatus::kRefused:
      return "refused";
    case RunStatus::kNotSent:
      return "not_sent";
    case RunStatus::kLost:
      return "lost";
  }
  return "invalid";
}

const char* ToString(PlaceStatus status) {
  switch (status) {
    case PlaceStatus::kPlaced:
      return "placed";
    case PlaceStatus::kNoRoom:
      return "no_room";
    case PlaceStatus::kNeverFits:
      return "never_fits";
    case PlaceStatus::kStale:
      return "stale";
  }
  return "invalid";
}

const char* ToString(TableStatus status) {
  switch (status) {
    case TableStatus::kCommitted:
      return "committed";
    case TableStatus::kConflict:
      return "conflict";
    case TableStatus::kUnavailable:
      return "unavailable";
    case TableStatus::kUnknown:
      return "unknown";
  }
  return "invalid";
}

const char* ToString(TicketStatus status) {
  switch (status) {
    case TicketStatus::kAccepted:
      return "accepted";
    case TicketStatus::kAlreadyAccepted:
      return "already_accepted";
    case TicketStatus::kOvertaken:
      return "overtaken";
    case TicketStatus::kNumberTaken:
      return "number_taken";
    case TicketStatus::kInvalid:
      return "invalid";
    case TicketStatus::kUnavailable:
      return "unavailable";
    case TicketStatus::kUnknown:
      return "unknown";
  }
  return "invalid";
}

const char* ToString(BackendKind kind) {
  return kind == BackendKind::kWorker ? "worker" : "runner";
}

const char* ToString(ClaimStatus status) {
  switch (status) {
    case ClaimStatus::kClaimed:
      return "claimed";
    case ClaimStatus::kDuplicate:
      return "duplicate";
    case ClaimStatus::kUnavailable:
      return "unavailable";
  }
  return "invalid";
}

}  // namespace dotterelbarrow::core
