// A model of workers that run and answer without faults, in virtual time.
#ifndef DOTTERELBARROW_BENCH_EXPERIMENT_FLEET_MODEL_H_
#define DOTTERELBARROW_BENCH_EXPERIMENT_FLEET_MODEL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dotterelbarrow/core/scheduler/actions.h"

namespace dotterelbarrow::bench {

// A queue of events in virtual time. Events that are due at the same time run
// in the order in which they were added.
class Timeline {
 public:
  using Event = std::function<void()>;

  std::int64_t now_us() const { return now_us_; }
  base::TimePoint Now() const {
    return base::TimePoint(std::chrono::microseconds(now_us_));
  }
  // Adds an event that is due `delay_us` from now.
  void After(std::int64_t delay_us, Event event) {
    events_.emplace(std::pair(now_us_ + delay_us, ++added_), std::move(event));
  }
  // Runs all events that are due up to `end_us`, and sets the time to `end_us`.
  void RunUntil(std::int64_t end_us);

 private:
  std::int64_t now_us_ = 0;
  std::uint64_t added_ = 0;
  std::map<std::pair<std::int64_t, std::uint64_t>, Event> events_;
};

// The duration and the outcome of a run, set when it starts.
struct RunPlan {
  std::int64_t duration_us = 0;
  bool fails = false;
  std::uint32_t gang_size = 0;  // 0 if the run is in no gang.
  // Whether it writes checkpoints, and how much longer it takes if it resumes
  // from one.
  bool writes_checkpoints = false;
  std::int64_t restore_us = 0;
  // How many times as long the run takes away from `data_rack` or, if that is
  // empty, as a gang on several racks.
  double remote_factor = 1;
  std::string data_rack{};
};

// The workers: they start and stop runs, report the run ends and answer polls.
class FleetModel {
 public:
  using PlanOf = std::function<RunPlan(const core::scheduler::StartTask&)>;
  using PollCallback = std::function<void(const core::scheduler::PollResult&)>;

  // A run ends `stop_us` after a stop command, with a checkpoint.
  FleetModel(Timeline* timeline, PlanOf plan_of, std::int64_t stop_us = 0)
      : timeline_(timeline), plan_of_(std::move(plan_of)), stop_us_(stop_us) {}

  // Starts a run. The runs of a gang end together, after the longest of their
  // plans' durations from the start of the last one.
  void Start(const core::scheduler::StartTask& command);
  void Stop(const core::scheduler::StopTask& command);
  // Records the rack of a worker.
  void SetRack(const std::string& worker, const std::string& rack) {
    racks_[worker] = rack;
  }
  // Polls a worker. An immediate poll, or a poll of a worker with run ends to
  // report, is answered at once; a long poll when a run ends or its wait is
  // over.
  void Look(const core::scheduler::PollWorker& command, PollCallback callback);
  // The clock of all workers.
  std::int64_t ClockMillis() const;
  std::uint64_t starts() const { return starts_; }
  std::uint64_t looks() const { return polls_; }

 private:
  using RunKey = std::pair<core::jobs::TaskRef, core::jobs::Attempt>;
  struct PendingPoll {
    std::uint64_t number = 0;
    PollCallback callback;
  };
  struct Run {
    bool writes_checkpoints = false;
    // When it would have started if it had run without an interruption.
    std::int64_t began_us = 0;
  };
  struct Worker {
    std::map<RunKey, Run> runs;
    std::vector<core::scheduler::ListedEnd> ends;
    std::uint64_t last_end = 0;
    std::optional<PendingPoll> pending_poll;
  };

  void FinishRun(const std::string& worker, const RunKey& key,
                 core::jobs::RunEnd end);
  void FinishGang(const core::jobs::StepRef& step, core::jobs::Attempt attempt,
                  const RunPlan& plan);
  // Returns the text of the run's checkpoint, empty if it writes none.
  std::string CheckpointOf(const Run& run) const;
  // Returns how long a run of this local duration takes on these workers.
  std::int64_t DurationOn(
      const RunPlan& plan, std::int64_t duration_us,
      const std::vector<std::pair<std::string, RunKey>>& members);
  core::scheduler::PollResult MakePollResult(const Worker& worker) const;
  void AnswerPendingPoll(Worker* worker);

  Timeline* timeline_;
  PlanOf plan_of_;
  std::int64_t stop_us_;
  std::unordered_map<std::string, Worker> workers_;
  std::unordered_map<std::string, std::string> racks_;
  // The runs of each gang that have started, with their workers.
  std::map<std::pair<core::jobs::StepRef, core::jobs::Attempt>,
           std::vector<std::pair<std::string, RunKey>>>
      gangs_;
  std::map<std::pair<core::jobs::StepRef, core::jobs::Attempt>, std::int64_t>
      gang_durations_us_;
  std::uint64_t starts_ = 0;
  std::uint64_t polls_ = 0;
};

}  // namespace dotterelbarrow::bench

#endif  // DOTTERELBARROW_BENCH_EXPERIMENT_FLEET_MODEL_H_
