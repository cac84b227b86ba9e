// The work that callers submit, and the answers that they get.
//
// A caller's request becomes a WorkRequest. The caller gets exactly one Answer,
// with the same request id.
#ifndef DOTTERELBARROW_CORE_WORK_H_
#define DOTTERELBARROW_CORE_WORK_H_

#include <cstdint>
#include <optional>
#include <string>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core {

enum class WorkKind {
  kInteractive,  // One request, answered by a runner while the caller waits.
  kBatch,        // Independent tasks, each placed once it fits somewhere.
  kAllAtOnce,    // Tasks that start together or not at all.
  kService,      // Tasks that are kept running until cancelled.
};

// One request or job.
struct WorkRequest {
  base::RequestId id;
  // The API key that the caller presented; empty for a service open to all.
  base::ApiKey key;
  // Set by the identity filter from the key, never taken from the caller.
  base::TeamId team;
  base::ServiceId service;
  WorkKind kind = WorkKind::kInteractive;
  // The number of tasks of a job; 1 for an interactive request.
  std::uint32_t task_count = 1;
  // The resources that each task needs. Interactive requests need one slot.
  base::Resources demand;
  // How long a task is expected to run; often a poor estimate.
  base::Duration expected_run{0};
  // How long from now the caller waits for the outcome; zero means no limit,
  // and does not occur for interactive requests.
  base::Duration deadline{0};
  // Whether the work may safely run more than once.
  bool idempotent = true;
  base::IdempotencyKey idempotency_key;
  // Whether the work may preempt batch tasks in order to start soon.
  bool urgent = false;
  // Passed to the backend server uninterpreted.
  std::string payload;

  friend bool operator==(const WorkRequest&, const WorkRequest&) = default;
};

// Returns how many tasks must run at the same time: all tasks of an all-at-once
// job, one task of any other work.
std::uint32_t TasksAtOnce(const WorkRequest& request);
// Returns the resources that these tasks need together.
base::Resources NeededAtOnce(const WorkRequest& request);

// The outcome of a request. Each request gets exactly one.
enum class Outcome {
  kDone,       // Completed successfully.
  kFailed,     // Ran, and failed or was stopped.
  kNotRun,     // Did not run: no start was ever sent.
  kUnknown,    // May have run; the system can't tell.
  kAccepted,   // The job is durably queued; the caller may query its status.
  kRunning,    // Status only: some tasks were started, the job has not ended.
  kCancelled,  // Cancelled by its team; tasks that had started were stopped.
};

// Why a request was refused, or a job ended without success. Each reason has
// its own counter.
enum class Reason {
  kNone,
  kMalformed,    // The request could not be parsed.
  kTooLarge,     // The request's text exceeds the size limit.
  kInvalidSize,  // A size is negative, zero or too large to represent.
  kUnknownKind,
  kUnknownService,
  kMissingKey,           // The service isn't open and no key was presented.
  kUnknownKey,           // The key was never issued, or has been revoked.
  kWrongTeam,            // The key's team may not use this service.
  kDuplicateId,          // Another request of this team has the same id.
  kDuplicateInProgress,  // The idempotency key's first request still runs.
  kConfigUnconfirmed,    // This entry can't tell whether keys are still valid.
  kNoBackend,            // No live backend server offers the service.
  kQueueFull,
  kDeadlineUnreachable,  // The work can't be started before its deadline.
  kDeadlinePassed,       // The deadline passed before the work completed.
  kOverLimit,            // The team's limit does not permit a start in time.
  kNeverFits,            // No backend server is large enough for a task.
  kStoreUnavailable,     // The work can't be stored durably now.
  kManagerUnavailable,   // The partition's manager is unreachable now.
  kShuttingDown,
  kBackendRefused,  // The backend server refused the work before starting it.
  kConnectionLost,  // Contact was lost after a start was sent.
  kTaskFailed,      // The task itself reported failure.
  kRetriesExhausted,
  kFailedOnManyBackends,  // Failed on several different backend servers.
  kCancelled,
  kNotFound,  // Status or cancellation of an unknown job.
};

struct Answer {
  base::RequestId id;
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  // For people: what is wrong, what was expected, what to do.
  std::string detail;
  // The backend server that ran the work; empty if none or several did.
  base::BackendId backend;
  // The time from acceptance to start.
  base::Duration waited{0};
  // How long to wait before a retry, where waiting helps; zero otherwise.
  base::Duration retry_after{0};
  // The backend server's answer, uninterpreted.
  std::string result;
  // Job status only: the number of tasks by state.
  std::uint32_t tasks_running = 0;
  std::uint32_t tasks_done = 0;
  std::uint32_t tasks_total = 0;

  friend bool operator==(const Answer&, const Answer&) = default;
};

// Return stable snake_case names, as used in answers, logs and metrics.
const char* ToString(WorkKind kind);
const char* ToString(Outcome outcome);
const char* ToString(Reason reason);
std::optional<WorkKind> ParseWorkKind(const std::string& name);
std::optional<Outcome> ParseOutcome(const std::string& name);
std::optional<Reason> ParseReason(const std::string& name);

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_WORK_H_
