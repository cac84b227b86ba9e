// A scheduler scenario whose runs end by themselves: each takes a given time
// and has a given result.
#ifndef DOTTERELBARROW_TEST_CORE_SCHEDULER_TIMED_SCENARIO_H_
#define DOTTERELBARROW_TEST_CORE_SCHEDULER_TIMED_SCENARIO_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "test/core/scheduler/scheduler_scenario.h"

namespace dotterelbarrow::core::scheduler {

class TimedScenario : public SchedulerScenario {
 public:
  static constexpr base::Duration kPassInterval =
      std::chrono::milliseconds(100);

  using SchedulerScenario::SchedulerScenario;

  // How long a run takes, unless `run_times` names its job.
  base::Duration run_time = std::chrono::milliseconds(500);
  std::map<std::uint64_t, base::Duration> run_times;
  // The jobs whose runs fail, and the workers on which all runs do.
  std::set<std::uint64_t> failing_jobs;
  std::set<std::string> failing_workers;

  // Runs passes for `duration`, and ends each run when its time is over. Calls
  // `before_pass`, with the number of the pass, before each of them.
  template <typename BeforePass>
  void Play(base::Duration duration, const BeforePass& before_pass) {
    const base::TimePoint end = now() + duration;
    for (int pass = 0; now() < end; ++pass) {
      before_pass(pass);
      EndDueRuns();
      RunPasses(1);
      Store();
      for (const StartTask& start : TakeStarts()) {
        starts_.push_back({start.task, start.worker.id.value(), now()});
        const auto it = run_times.find(start.task.step.job.value());
        ends_[{start.task, start.worker.id.value()}] =
            now() + (it == run_times.end() ? run_time : it->second);
      }
    }
  }
  void Play(base::Duration duration) {
    Play(duration, [](int /*pass*/) {});
  }

  struct Start {
    jobs::TaskRef task;
    std::string worker;
    base::TimePoint at;
  };
  // All starts so far, in order of time.
  const std::vector<Start>& starts() const { return starts_; }
  std::size_t StartsOf(std::uint64_t job) const {
    std::size_t count = 0;
    for (const Start& start : starts_) {
      count += start.task.step.job == jobs::JobKey(job) ? 1 : 0;
    }
    return count;
  }
  bool IsCompleted(std::uint64_t job) {
    return scheduler().StateOf(jobs::JobKey(job)) == jobs::JobState::kCompleted;
  }

 private:
  void EndDueRuns() {
    std::erase_if(ends_, [this](const auto& entry) {
      const auto& [run, ends_at] = entry;
      const auto& [task, worker] = run;
      if (now() < ends_at) {
        return false;
      }
      const bool fails = failing_jobs.contains(task.step.job.value()) ||
                         failing_workers.contains(worker);
      EndRunOn(worker, task,
               fails ? jobs::RunEnd::kFailed : jobs::RunEnd::kDone);
      return true;
    });
  }

  std::vector<Start> starts_;
  // When each run ends, by its task and worker.
  std::map<std::pair<jobs::TaskRef, std::string>, base::TimePoint> ends_;
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_TEST_CORE_SCHEDULER_TIMED_SCENARIO_H_
