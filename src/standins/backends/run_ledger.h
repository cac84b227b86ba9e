// The oracle of the end-to-end tests and the fuzzer: records which task ran on
// which of the simulated backend servers, and counts violations of the
// scheduler's guarantees.
#ifndef DOTTERELBARROW_STANDINS_BACKENDS_RUN_LEDGER_H_
#define DOTTERELBARROW_STANDINS_BACKENDS_RUN_LEDGER_H_

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/core/messages.h"

namespace dotterelbarrow::standins {

// A task of a job, independent of the attempt.
struct TaskKey {
  base::JobId job;
  std::uint32_t index = 0;

  friend bool operator==(const TaskKey&, const TaskKey&) = default;
  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
};

// How often one task or request was started, and how its runs ended.
struct RunCounts {
  std::uint32_t started = 0;
  std::uint32_t succeeded = 0;
  std::uint32_t failed = 0;
  // Ended by a stop command, by lease expiry, or with the backend server's
  // process.
  std::uint32_t cut = 0;

  friend bool operator==(const RunCounts&, const RunCounts&) = default;
};

// Current and peak number of runs of one team and one kind.
struct TeamUse {
  std::uint32_t running = 0;
  // The largest value of `running` so far. Invariant: at least `running`.
  std::uint32_t peak = 0;

  friend bool operator==(const TeamUse&, const TeamUse&) = default;
};

// A team and a kind of work: requests to runners if `interactive`, else tasks
// on workers.
struct TeamKind {
  base::TeamId team;
  bool interactive = false;

  friend bool operator==(const TeamKind&, const TeamKind&) = default;
  friend auto operator<=>(const TeamKind&, const TeamKind&) = default;
};

// An idempotency key, which is unique only within its team.
struct TeamKey {
  base::TeamId team;
  base::IdempotencyKey key;

  friend bool operator==(const TeamKey&, const TeamKey&) = default;
  friend auto operator<=>(const TeamKey&, const TeamKey&) = default;
};

struct LedgerTotals {
  RunCounts runs;
  // Number of runs in progress.
  std::uint64_t running = 0;
  // `double_start`, `over_capacity`, `repeated_non_idempotent` and
  // `repeated_key` must stay zero.

  // Starts of a task that was already running.
  std::uint64_t double_start = 0;
  // Starts that exceeded the capacity of the backend server.
  std::uint64_t over_capacity = 0;
  // Starts, other than the first, of a task that is not idempotent.
  std::uint64_t repeated_non_idempotent = 0;
  // Starts, other than the first, under one idempotency key.
  std::uint64_t repeated_key = 0;
  // Successes, other than the first, of one task.
  std::uint64_t repeated_success = 0;
};

class RunLedger {
 public:
  // Records the start of a run. `fits` tells whether the backend server had the
  // free capacity for it.
  void RecordStart(const core::TaskSpec& task, const base::BackendId& backend,
                   bool fits);
  // Records that the run being started serves a request with this idempotency
  // key, whatever the request's id.
  void RecordKey(const base::TeamId& team, const base::IdempotencyKey& key);
  // Records the end of a run; no effect if the ledger has no such run.
  void RecordEnd(const base::TaskId& task, const base::BackendId& backend,
                 core::TaskState state);

  const LedgerTotals& totals() const { return totals_; }
  // Returns the counts of one task; all zero if it never started.
  RunCounts CountsOf(const TaskKey& task) const;
  // Counts of every task that was ever started.
  const std::map<TaskKey, RunCounts>& counts() const { return counts_; }
  // Returns how many runs of `team` are in progress: requests to runners if
  // `interactive`, else tasks on workers.
  std::uint32_t RunningOf(const base::TeamId& team, bool interactive) const;
  const std::map<TeamKind, TeamUse>& team_uses() const { return team_uses_; }
  // Number of runs under each idempotency key.
  const std::map<TeamKey, std::uint32_t>& key_runs() const { return key_runs_; }
  // Starts of a task that was already running, in order.
  const std::vector<base::TaskId>& double_starts() const {
    return double_starts_;
  }

 private:
  using RunningAttempt = std::pair<base::BackendId, std::uint32_t>;

  std::map<TaskKey, RunCounts> counts_;
  // Backend server and attempt of each run in progress. Invariant: no set is
  // empty.
  std::map<TaskKey, std::multiset<RunningAttempt>> running_;
  std::map<TeamKind, TeamUse> team_uses_;
  std::map<TeamKey, std::uint32_t> key_runs_;
  // The tasks that are requests to runners. A run's end names no kind of work.
  std::set<TaskKey> interactive_;
  std::vector<base::TaskId> double_starts_;
  LedgerTotals totals_;
};

}  // namespace dotterelbarrow::standins

#endif  // DOTTERELBARROW_STANDINS_BACKENDS_RUN_LEDGER_H_
