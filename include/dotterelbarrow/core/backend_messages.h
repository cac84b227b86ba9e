// Tasks, the backend servers that run them, and the messages between the owner
// of a shard and a backend server.
//
// All of these messages may be lost, delayed, duplicated or reordered.
#ifndef DOTTERELBARROW_CORE_BACKEND_MESSAGES_H_
#define DOTTERELBARROW_CORE_BACKEND_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/work.h"

namespace dotterelbarrow::core {

// The specification of a task, as its manager sends it to the owner of a shard.
struct TaskSpec {
  base::TaskId id;
  // The partition that manages the job, and the epoch under which the manager
  // holds that partition.
  base::PartitionId partition;
  base::Epoch manager_epoch;
  WorkKind kind = WorkKind::kBatch;
  base::Resources demand;
  base::Duration expected_run{0};
  bool idempotent = true;
  bool urgent = false;
  std::string payload;

  friend bool operator==(const TaskSpec&, const TaskSpec&) = default;
};

enum class BackendKind { kWorker, kRunner };

enum class TaskState {
  kRunning,
  kSucceeded,
  kFailed,
  kStopped,       // Stopped by a command, after a checkpoint if possible.
  kLeaseExpired,  // The backend server stopped it on expiry of its lease.
};

// The state of a task as a backend server reports it. A task that has ended is
// included in each report until the owner acknowledges it.
struct TaskReport {
  base::TaskId id;
  // Left out (its id is empty) in reports to an owner that already knows the
  // task.
  TaskSpec spec;
  TaskState state = TaskState::kRunning;
  std::string result;

  friend bool operator==(const TaskReport&, const TaskReport&) = default;
};

// A backend server as listed by the platform. The host list lags behind
// reality.
struct HostRecord {
  base::BackendId backend;
  BackendKind kind = BackendKind::kWorker;
  // As "ip:port".
  std::string address;
  base::ShardId shard;
  base::AvailabilityZone availability_zone;
  base::Resources capacity;
  // For runners only: the service whose requests the runner executes.
  base::ServiceId service;
  bool leaving = false;

  friend bool operator==(const HostRecord&, const HostRecord&) = default;
};

// Sent by an owner to claim a backend server, to renew its lease and to send it
// commands. The backend server accepts the sync if `epoch` is at least its
// current epoch, and then adopts that epoch. It always answers with a
// BackendReport. A sync with a new epoch must not contain commands, because the
// owner has to learn first which tasks run there.
struct BackendSync {
  base::BackendId backend;
  base::Epoch epoch;
  // The `lease_token` of the last report under this epoch; zero in a claim. The
  // lease expires `lease_duration` after the time of the token, by the backend
  // server's own clock, so that a delayed sync can't extend the lease. The
  // backend server ignores the commands of a sync whose token was not issued by
  // its current incarnation, or is older than the newest token it has accepted
  // under this epoch. Otherwise a delayed start command could run a task again
  // that has since been acknowledged.
  std::uint64_t lease_token = 0;
  base::Duration lease_duration{0};
  // The owner's address as "ip:port", to which unsolicited reports are sent.
  std::string report_to;
  // Tasks to start. The backend server ignores those that it already knows.
  std::vector<TaskSpec> start;
  std::vector<base::TaskId> stop;
  // Ended tasks that the owner has recorded and that need not be reported
  // again.
  std::vector<base::TaskId> acknowledged;

  friend bool operator==(const BackendSync&, const BackendSync&) = default;
};

// The state of a backend server. Sent in answer to a sync, and unsolicited to
// the owner when a task ends.
struct BackendReport {
  base::BackendId backend;
  base::Incarnation incarnation;
  // The highest epoch that the backend server has accepted.
  base::Epoch epoch;
  // Increases with each report. The owner drops a report that is older than the
  // last one it has received.
  std::uint64_t sequence = 0;
  // The time by the backend server's own clock, which the owner echoes in its
  // next sync. Increases with each report.
  std::uint64_t lease_token = 0;
  // False if the lease has expired. The backend server has then stopped all
  // tasks, and starts none until the lease is renewed.
  bool lease_valid = false;
  base::Resources capacity;
  // Measured resource usage, which lags.
  base::Resources usage;
  // Includes the specifications of the tasks until a sync has echoed a token of
  // this epoch. From then on the owner knows every task: it has received those
  // that ran when it claimed the backend server, and has started the others
  // itself.
  std::vector<TaskReport> tasks;

  friend bool operator==(const BackendReport&, const BackendReport&) = default;
};

// Starts one interactive request on a runner. The runner refuses it if `epoch`
// is not its current epoch or if its lease has expired.
struct RunCommand {
  base::BackendId backend;
  base::Epoch epoch;
  base::CallId call;
  TaskSpec task;
  // The time left until the caller's deadline.
  base::Duration time_left{0};

  friend bool operator==(const RunCommand&, const RunCommand&) = default;
};

enum class RunStatus {
  kDone,
  kFailed,
  kRefused,  // The runner answered that it did not start the request.
  kNotSent,  // Nothing was sent to the runner.
  kLost,     // Sent, but not answered; the request may have run.
};

struct RunResult {
  base::BackendId backend;
  base::CallId call;
  RunStatus status = RunStatus::kLost;
  std::string result;

  friend bool operator==(const RunResult&, const RunResult&) = default;
};

const char* ToString(BackendKind kind);
const char* ToString(TaskState state);
const char* ToString(RunStatus status);

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_BACKEND_MESSAGES_H_
