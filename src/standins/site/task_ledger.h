// The oracle of the soak test: records the runs that the workers saw, and which
// guarantees of the scheduler they violate.
#ifndef DOTTERELBARROW_STANDINS_SITE_TASK_LEDGER_H_
#define DOTTERELBARROW_STANDINS_SITE_TASK_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dotterelbarrow/core/jobs/job.h"

namespace dotterelbarrow::standins::site {

class TaskLedger {
 public:
  // Records that the operator's request to evacuate the zone was stored at
  // `at_ms`. From `bound_ms` later on, nothing may be started there; without a
  // bound, any start is allowed.
  void OnEvacuated(const std::string& zone, std::int64_t at_ms,
                   std::optional<std::int64_t> bound_ms);
  // Records that the request was removed.
  void OnEvacuationEnded(const std::string& zone) { no_starts_.erase(zone); }
  // Records that a worker of the zone received, at `received_ms`, the command
  // by which it has now started a run of the task.
  void OnStartedIn(const std::string& zone, const core::jobs::TaskRef& task,
                   std::int64_t received_ms);
  // Records that `worker` started a run of the task on a command.
  void OnStarted(const std::string& worker, const core::jobs::TaskRef& task);
  // Records that the run `attempt` on `worker` ended, with any outcome, or that
  // the worker's process did.
  void OnEnded(const std::string& worker, const core::jobs::TaskRef& task,
               core::jobs::Attempt attempt, core::jobs::RunEnd end);
  // Records that an owner acknowledged the end of the run `attempt`, which it
  // does once it has stored it. `has_lapsed` tells whether the worker's lease
  // has expired since that end; then the end counts for nothing.
  void OnAcknowledged(const core::jobs::TaskRef& task,
                      core::jobs::Attempt attempt, core::jobs::RunEnd end,
                      bool has_lapsed);
  // Records that the worker that ran the task crashed because of it.
  void OnCrashedUnder(const core::jobs::TaskRef& task);
  // Records that the runs on the worker exceed its capacity.
  void OnOverloaded(const std::string& worker);

  // Returns a description of each violation, in order of occurrence.
  const std::vector<std::string>& broken() const { return violations_; }
  std::uint64_t starts() const { return starts_; }
  // Returns the number of starts in each zone.
  const std::map<std::string, std::uint64_t>& starts_by_zone() const {
    return starts_by_zone_;
  }
  // Returns how many tasks of the job have succeeded.
  std::size_t DoneTasksOf(core::jobs::JobKey job) const;
  bool HasStarted(core::jobs::JobKey job) const {
    return started_jobs_.contains(job);
  }

 private:
  struct Task {
    std::set<std::string> running_on;
    // The attempts that succeeded, and those of them after whose end the task
    // was started again: such an end must never be acknowledged.
    std::set<core::jobs::Attempt> done_attempts;
    std::map<core::jobs::Attempt, std::string> restarted;
    bool is_done_acknowledged = false;
    int crashes = 0;
    int starts_after_third_crash = 0;
  };

  std::map<core::jobs::TaskRef, Task> tasks_;
  std::set<core::jobs::JobKey> started_jobs_;
  std::vector<std::string> violations_;
  std::uint64_t starts_ = 0;
  std::map<std::string, std::uint64_t> starts_by_zone_;
  // The time from which no start may be received in the zone.
  std::map<std::string, std::int64_t> no_starts_;
};

}  // namespace dotterelbarrow::standins::site

#endif  // DOTTERELBARROW_STANDINS_SITE_TASK_LEDGER_H_
