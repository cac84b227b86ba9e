// Checks the scheduler's guarantees as runs start and end.
#include "src/standins/site/task_ledger.h"

#include <algorithm>

namespace dotterelbarrow::standins::site {

using core::jobs::RunEnd;
using core::jobs::TaskRef;

namespace {

// A task that has crashed this many workers may be started fewer than
// kStartsOverBudget times more.
constexpr int kCrashesBeforeBudget = 3;
constexpr int kStartsOverBudget = 3;

}  // namespace

void TaskLedger::OnStarted(const std::string& worker, const TaskRef& task) {
  ++starts_;
  started_jobs_.insert(task.step.job);
  Task& state = tasks_[task];
  if (!state.running_on.empty()) {
    violations_.push_back("twice at once: " + core::jobs::ToString(task) +
                          " on " + worker + " and " +
                          *state.running_on.begin());
  }
  if (state.is_done_acknowledged) {
    violations_.push_back("again after its success: " +
                          core::jobs::ToString(task) + " on " + worker);
  }
  for (const core::jobs::Attempt attempt : state.done_attempts) {
    state.restarted.try_emplace(attempt, worker);
  }
  state.running_on.insert(worker);
  if (state.crashes >= kCrashesBeforeBudget &&
      ++state.starts_after_third_crash >= kStartsOverBudget) {
    violations_.push_back("started three times more after three crashes: " +
                          core::jobs::ToString(task) + " on " + worker);
  }
}

void TaskLedger::OnEvacuated(const std::string& zone, std::int64_t at_ms,
                             std::optional<std::int64_t> bound_ms) {
  no_starts_.erase(zone);
  if (bound_ms) {
    no_starts_[zone] = at_ms + *bound_ms;
  }
}

void TaskLedger::OnStartedIn(const std::string& zone, const TaskRef& task,
                             std::int64_t received_ms) {
  ++starts_by_zone_[zone];
  const auto it = no_starts_.find(zone);
  if (it != no_starts_.end() && received_ms > it->second) {
    violations_.push_back("started " +
                          std::to_string(received_ms - it->second) +
                          " ms too late in evacuated " + zone + ": " +
                          core::jobs::ToString(task));
  }
}

void TaskLedger::OnCrashedUnder(const TaskRef& task) { ++tasks_[task].crashes; }

void TaskLedger::OnEnded(const std::string& worker, const TaskRef& task,
                         core::jobs::Attempt attempt, RunEnd end) {
  Task& state = tasks_[task];
  state.running_on.erase(worker);
  if (end == RunEnd::kDone) {
    state.done_attempts.insert(attempt);
  }
}

void TaskLedger::OnAcknowledged(const TaskRef& task,
                                core::jobs::Attempt attempt, RunEnd end,
                                bool has_lapsed) {
  if (end != RunEnd::kDone || has_lapsed) {
    return;
  }
  Task& state = tasks_[task];
  state.is_done_acknowledged = true;
  if (const auto restarted = state.restarted.find(attempt);
      restarted != state.restarted.end()) {
    violations_.push_back("again before its success was acknowledged: " +
                          core::jobs::ToString(task) + " after attempt " +
                          std::to_string(attempt.value()) + ", on " +
                          restarted->second);
    state.restarted.erase(restarted);
  }
}

void TaskLedger::OnOverloaded(const std::string& worker) {
  violations_.push_back("overloaded: " + worker);
}

std::size_t TaskLedger::DoneTasksOf(core::jobs::JobKey job) const {
  const auto from = tasks_.lower_bound(TaskRef{{job, 0, 0}, 0});
  std::size_t done = 0;
  for (auto it = from; it != tasks_.end() && it->first.step.job == job; ++it) {
    done += it->second.done_attempts.empty() ? 0 : 1;
  }
  return done;
}

}  // namespace dotterelbarrow::standins::site
