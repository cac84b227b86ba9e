// Promises as workers see them.
#include "src/standins/site/task_ledger.h"

#include <algorithm>

namespace dotterelbarrow::standins::site {

using core::jobs::RunEnd;
using core::jobs::TaskRef;

void TaskLedger::OnStarted(const std::string& worker, const TaskRef& task) {
  ++starts_;
  started_jobs_.insert(task.step.job);
  Task& known = tasks_[task];
  if (!known.running_on.empty()) {
    broken_.push_back("twice at once: " + core::jobs::ToString(task) + " on " +
                      worker + " and " + *known.running_on.begin());
  }
  if (known.is_done_acknowledged) {
    broken_.push_back("again after its success: " + core::jobs::ToString(task) +
                      " on " + worker);
  }
  known.running_on.insert(worker);
}

void TaskLedger::OnEnded(const std::string& worker, const TaskRef& task,
                         RunEnd end) {
  Task& known = tasks_[task];
  known.running_on.erase(worker);
  known.is_done = known.is_done || end == RunEnd::kDone;
}

void TaskLedger::OnAcknowledged(const TaskRef& task, RunEnd end) {
  if (end == RunEnd::kDone) {
    tasks_[task].is_done_acknowledged = true;
  }
}

void TaskLedger::OnOverloaded(const std::string& worker) {
  broken_.push_back("overloaded: " + worker);
}

std::size_t TaskLedger::DoneTasksOf(core::jobs::JobKey job) const {
  const auto from = tasks_.lower_bound(TaskRef{{job, 0, 0}, 0});
  std::size_t done = 0;
  for (auto it = from; it != tasks_.end() && it->first.step.job == job; ++it) {
    done += it->second.is_done ? 1 : 0;
  }
  return done;
}

}  // namespace dotterelbarrow::standins::site
