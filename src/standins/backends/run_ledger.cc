// Implementation of the run ledger.
#include "src/standins/backends/run_ledger.h"

#include <algorithm>

namespace dotterelbarrow::standins {
namespace {

// Counts the end of a run under `state`.
void CountEnd(core::TaskState state, RunCounts* counts) {
  switch (state) {
    case core::TaskState::kRunning:
      return;
    case core::TaskState::kSucceeded:
      ++counts->succeeded;
      return;
    case core::TaskState::kFailed:
      ++counts->failed;
      return;
    case core::TaskState::kStopped:
    case core::TaskState::kLeaseExpired:
      ++counts->cut;
      return;
  }
}

}  // namespace

void RunLedger::RecordStart(const core::TaskSpec& task,
                            const base::BackendId& backend, bool fits) {
  const TaskKey key{task.id.job, task.id.index};
  RunCounts& counts = counts_[key];
  if (!fits) {
    ++totals_.over_capacity;
  }
  if (!task.idempotent && counts.started > 0) {
    ++totals_.repeated_non_idempotent;
  }
  std::multiset<RunningAttempt>& running_attempts = running_[key];
  if (!running_attempts.empty()) {
    ++totals_.double_start;
    double_starts_.push_back(task.id);
  }
  running_attempts.emplace(backend, task.id.attempt);
  const bool interactive = task.kind == core::WorkKind::kInteractive;
  if (interactive) {
    interactive_.insert(key);
  }
  TeamUse& use = team_uses_[{key.job.team, interactive}];
  ++use.running;
  use.peak = std::max(use.peak, use.running);
  ++counts.started;
  ++totals_.runs.started;
  ++totals_.running;
}

void RunLedger::RecordKey(const base::TeamId& team,
                          const base::IdempotencyKey& key) {
  std::uint32_t& runs = key_runs_[{team, key}];
  if (runs > 0) {
    ++totals_.repeated_key;
  }
  ++runs;
}

void RunLedger::RecordEnd(const base::TaskId& task,
                          const base::BackendId& backend,
                          core::TaskState state) {
  const TaskKey key{task.job, task.index};
  const auto running = running_.find(key);
  if (running == running_.end()) {
    return;
  }
  const auto attempt =
      running->second.find(RunningAttempt(backend, task.attempt));
  if (attempt == running->second.end()) {
    return;
  }
  running->second.erase(attempt);
  if (running->second.empty()) {
    running_.erase(running);
  }
  --team_uses_[{key.job.team, interactive_.contains(key)}].running;
  --totals_.running;
  RunCounts& counts = counts_[key];
  if (state == core::TaskState::kSucceeded && counts.succeeded > 0) {
    ++totals_.repeated_success;
  }
  CountEnd(state, &counts);
  CountEnd(state, &totals_.runs);
}

std::uint32_t RunLedger::RunningOf(const base::TeamId& team,
                                   bool interactive) const {
  const auto it = team_uses_.find({team, interactive});
  return it == team_uses_.end() ? 0 : it->second.running;
}

RunCounts RunLedger::CountsOf(const TaskKey& task) const {
  const auto it = counts_.find(task);
  return it == counts_.end() ? RunCounts() : it->second;
}

}  // namespace dotterelbarrow::standins
