// Workers, the advisor and the store as an undisturbed owner meets them, in
// virtual time.
#ifndef DOTTERELBARROW_BENCH_EXPERIMENT_FLEET_MODEL_H_
#define DOTTERELBARROW_BENCH_EXPERIMENT_FLEET_MODEL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dotterelbarrow/core/scheduler/actions.h"

namespace dotterelbarrow::bench {

// Events in the order of their times; those of one time in the order in which
// they were added.
class Timeline {
 public:
  using Event = std::function<void()>;

  std::int64_t now_us() const { return now_us_; }
  base::TimePoint Now() const {
    return base::TimePoint(std::chrono::microseconds(now_us_));
  }
  void After(std::int64_t delay_us, Event event) {
    events_.emplace(std::pair(now_us_ + delay_us, ++added_), std::move(event));
  }
  // Carries out all events up to `end_us`.
  void RunUntil(std::int64_t end_us);

 private:
  std::int64_t now_us_ = 0;
  std::uint64_t added_ = 0;
  std::map<std::pair<std::int64_t, std::uint64_t>, Event> events_;
};

// How a run will go.
struct RunPlan {
  std::int64_t duration_us = 0;
  bool fails = false;
  std::uint32_t gang_size = 0;  // 0 without a gang.
};

class FleetModel {
 public:
  using PlanOf =
      std::function<RunPlan(const core::jobs::TaskRef&, core::jobs::Attempt)>;
  using Looked = std::function<void(const core::scheduler::PollResult&)>;

  FleetModel(Timeline* timeline, PlanOf plan_of)
      : timeline_(timeline), plan_of_(std::move(plan_of)) {}

  void Start(const core::scheduler::StartTask& order);
  void Stop(const core::scheduler::StopTask& order);
  // Answers at once, or when a run ends, or after the order's wait.
  void Look(const core::scheduler::PollWorker& order, Looked looked);
  std::int64_t ClockMillis() const;
  std::uint64_t starts() const { return starts_; }
  std::uint64_t looks() const { return looks_; }

 private:
  using RunKey = std::pair<core::jobs::TaskRef, core::jobs::Attempt>;
  struct WaitingLook {
    std::uint64_t number = 0;
    Looked looked;
  };
  struct Worker {
    std::set<RunKey> runs;
    std::vector<core::scheduler::ListedEnd> ends;
    std::uint64_t last_end = 0;
    std::optional<WaitingLook> waiting;
  };

  void End(const std::string& worker, const RunKey& key,
           core::jobs::RunEnd end);
  void EndGang(const core::jobs::StepRef& step, core::jobs::Attempt attempt,
               const RunPlan& plan);
  core::scheduler::PollResult ResultOf(const Worker& worker) const;
  void Answer(Worker* worker);

  Timeline* timeline_;
  PlanOf plan_of_;
  std::unordered_map<std::string, Worker> workers_;
  // Members that are present, with their workers.
  std::map<std::pair<core::jobs::StepRef, core::jobs::Attempt>,
           std::vector<std::pair<std::string, RunKey>>>
      gangs_;
  std::uint64_t starts_ = 0;
  std::uint64_t looks_ = 0;
};

}  // namespace dotterelbarrow::bench

#endif  // DOTTERELBARROW_BENCH_EXPERIMENT_FLEET_MODEL_H_
