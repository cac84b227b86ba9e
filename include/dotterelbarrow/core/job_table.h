// The jobs of one partition, and the durable records from which they are
// rebuilt.
//
// Only the content of records outlives a manager. Where tasks run is not
// recorded: a new manager learns it from the owners' inventories.
#ifndef DOTTERELBARROW_CORE_JOB_TABLE_H_
#define DOTTERELBARROW_CORE_JOB_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/work.h"

namespace dotterelbarrow::core {

enum class TaskPhase {
  kWaiting,    // Guaranteed not to run anywhere.
  kRecording,  // Its start is being recorded (non-idempotent tasks only).
  kPlacing,    // Sent to an owner; may be running.
  kHeld,       // An owner holds resources for it (all-at-once jobs).
  kRunning,
  kUnconfirmed,  // May be running; an inventory round will decide.
  kRemoving,     // Being stopped.
  kFinished,     // Guaranteed to have ended, and never run again.
};

// Whether a task in this phase counts towards its team's limit.
constexpr bool CountsAsRunning(TaskPhase phase) {
  return phase == TaskPhase::kPlacing || phase == TaskPhase::kHeld ||
         phase == TaskPhase::kRunning || phase == TaskPhase::kUnconfirmed ||
         phase == TaskPhase::kRemoving;
}

struct Task {
  std::uint32_t attempt = 0;
  TaskPhase phase = TaskPhase::kWaiting;
  // Whether it succeeded. Set when the success is reported, and durable once
  // its TaskSucceeded record is.
  bool succeeded = false;
  // Non-idempotent tasks only: a record says that it may have been started.
  bool start_recorded = false;
  std::uint32_t failures = 0;
  // How often its backend server was lost under it, for whatever reason.
  std::uint32_t losses = 0;
  // The attempts under which the process of their backend server has ended.
  std::set<std::uint32_t> crashed_attempts;
  // The owner to which it was sent, and that owner's incarnation and term.
  base::EntryId owner;
  base::Incarnation owner_incarnation;
  std::uint64_t owner_term = 0;
  base::BackendId backend;
  // When the phase was entered, and when the next action on it is due.
  base::TimePoint since;
  base::TimePoint next_try;
};

struct Job {
  base::JobId id;
  WorkRequest request;
  base::TimePoint accepted_at;
  std::optional<base::TimePoint> started_at;
  std::vector<Task> tasks;
  std::set<base::BackendId> failed_on;
  // The final answer, set once the end is decided: from then on no task is
  // started.
  std::optional<Answer> ending;
  // The final answer, set once the end is durable. Tasks may still be stopping.
  std::optional<Answer> answer;
  // Whether the job came from a ticket, not from a caller.
  bool from_ticket = false;
  // The number of tasks in kFinished.
  std::uint32_t settled = 0;

  bool is_all_at_once() const { return request.kind == WorkKind::kAllAtOnce; }
};

// The kinds of durable records.
struct JobAccepted {
  WorkRequest request;
  bool from_ticket = false;
};
struct TaskStarting {
  base::JobId job;
  std::uint32_t index = 0;
};
struct TaskSucceeded {
  base::JobId job;
  std::uint32_t index = 0;
};
struct JobEnded {
  base::JobId job;
  Answer answer;
};
struct KeyClaimed {
  base::TeamId team;
  base::IdempotencyKey key;
  base::RequestId request;
  // The entry that claimed the key, and its call; together they identify the
  // claim.
  base::EntryId entry;
  base::CallId call;
};
struct KeyResolved {
  base::TeamId team;
  base::IdempotencyKey key;
  Answer answer;
};
using JobRecord = std::variant<JobAccepted, TaskStarting, TaskSucceeded,
                               JobEnded, KeyClaimed, KeyResolved>;

// Returns the record as JSON text.
std::string EncodeRecord(const JobRecord& record);
// Returns the record that `text` encodes, or nullopt if it can't be parsed.
std::optional<JobRecord> DecodeRecord(const std::string& text);

class JobTable {
 public:
  struct KeyClaim {
    base::RequestId request;
    base::EntryId entry;
    base::CallId call;
    std::optional<Answer> answer;
    // Its number in the order of all claims.
    std::uint64_t order = 0;
  };
  using ClaimId = std::pair<base::TeamId, base::IdempotencyKey>;

  // The number of ended jobs, and of claims, kept to answer later queries and
  // repeated requests.
  static constexpr std::size_t kMaxEndedJobs = 10000;
  static constexpr std::size_t kMaxClaims = 100000;

  // Applies the change that `record` describes. Applying a record twice has no
  // further effect.
  void Apply(const JobRecord& record, base::TimePoint now);

  // Returns the job, or null.
  Job* Find(const base::JobId& id);
  // Returns the job and the task if `id` names the task's current attempt, else
  // nulls.
  std::pair<Job*, Task*> FindAttempt(const base::TaskId& id);
  // Returns the claim, or null.
  const KeyClaim* FindClaim(const ClaimId& id) const;

  std::unordered_map<base::JobId, Job>& jobs() { return jobs_; }
  // Makes an ended job of a ticket eligible for eviction. Before that it is
  // never evicted: while its ticket is in force, a job that the table doesn't
  // hold would be accepted and run again.
  void ReleaseTicketJob(const base::JobId& id);

  // The number of the team's jobs without a durable final answer.
  std::size_t active(const base::TeamId& team) const;

  // Returns the whole state as a JSON array of records, for a snapshot.
  std::string Snapshot() const;
  // Applies the records of `snapshot`; skips those that can't be parsed.
  void Restore(const std::string& snapshot, base::TimePoint now);

 private:
  // Each applies one kind of record.
  void ApplyRecord(const JobAccepted& accepted, base::TimePoint now);
  void ApplyRecord(const TaskStarting& starting, base::TimePoint now);
  void ApplyRecord(const TaskSucceeded& success, base::TimePoint now);
  void ApplyRecord(const JobEnded& ended, base::TimePoint now);
  void ApplyRecord(const KeyClaimed& claimed, base::TimePoint now);
  void ApplyRecord(const KeyResolved& resolved, base::TimePoint now);
  // Evicts the oldest ended jobs and claims above the bounds. Stops at a job
  // that still has tasks to stop.
  void EvictOldest();

  std::unordered_map<base::JobId, Job> jobs_;
  std::unordered_map<base::TeamId, std::size_t> active_by_team_;
  // Ended jobs that may be evicted, oldest first, and those that may not.
  std::deque<base::JobId> evictable_;
  std::set<base::JobId> ended_ticket_jobs_;
  std::map<ClaimId, KeyClaim> claims_;
  // Invariant: maps the `order` of every claim in `claims_` to the claim's id,
  // and contains nothing else.
  std::map<std::uint64_t, ClaimId> claim_order_;
  std::uint64_t last_claim_order_ = 0;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_JOB_TABLE_H_
