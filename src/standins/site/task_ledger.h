// What workers saw of tasks, and which promises that breaks: the oracle of the
// soak.
#ifndef DOTTERELBARROW_STANDINS_SITE_TASK_LEDGER_H_
#define DOTTERELBARROW_STANDINS_SITE_TASK_LEDGER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "dotterelbarrow/core/jobs/job.h"

namespace dotterelbarrow::standins::site {

class TaskLedger {
 public:
  // `worker` began a run of the task on an order.
  void OnStarted(const std::string& worker, const core::jobs::TaskRef& task);
  // It ended there, however; or its worker's process did.
  void OnEnded(const std::string& worker, const core::jobs::TaskRef& task,
               core::jobs::RunEnd end);
  // An owner took note of the end for good.
  void OnAcknowledged(const core::jobs::TaskRef& task, core::jobs::RunEnd end);
  // What runs on the worker needs more than it holds.
  void OnOverloaded(const std::string& worker);

  // Returns what was broken, in the order in which it happened.
  const std::vector<std::string>& broken() const { return broken_; }
  std::uint64_t starts() const { return starts_; }
  // Tasks of the job that ended done.
  std::size_t DoneTasksOf(core::jobs::JobKey job) const;
  bool HasStarted(core::jobs::JobKey job) const {
    return started_jobs_.contains(job);
  }

 private:
  struct Task {
    std::set<std::string> running_on;
    bool is_done = false;
    bool is_done_acknowledged = false;
  };

  std::map<core::jobs::TaskRef, Task> tasks_;
  std::set<core::jobs::JobKey> started_jobs_;
  std::vector<std::string> broken_;
  std::uint64_t starts_ = 0;
};

}  // namespace dotterelbarrow::standins::site

#endif  // DOTTERELBARROW_STANDINS_SITE_TASK_LEDGER_H_
