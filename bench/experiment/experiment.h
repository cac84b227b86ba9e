// Replays a load pattern through the real scheduler in virtual time, against
// models of workers, advisor and store.
#ifndef DOTTERELBARROW_BENCH_EXPERIMENT_EXPERIMENT_H_
#define DOTTERELBARROW_BENCH_EXPERIMENT_EXPERIMENT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench/experiment/fleet_model.h"
#include "bench/experiment/pattern.h"
#include "dotterelbarrow/core/scheduler/scheduler.h"

namespace dotterelbarrow::bench {

struct ExperimentOptions {
  std::uint32_t seed = 1;
  // Part of this machine's processor that the owner has: what its decisions
  // take here passes in virtual time as well. 0 leaves them out.
  double cpu_share = 0;
  bool is_log_shown = false;
};

// What became of the jobs of one kind.
struct KindOutcome {
  int jobs = 0;
  int refused = 0;
  int on_time = 0;
  int late = 0;
  int unfinished = 0;
  // Core-seconds of work of all jobs, and of those in time.
  double work = 0;
  double work_on_time = 0;
  std::vector<double> first_start_ms;
  std::vector<double> completion_ms;
};

struct Outcome {
  std::vector<KindOutcome> kinds;
  // Mean part of the fleet's processors that tasks used.
  double packing = 0;
  std::uint64_t starts = 0;
  std::uint64_t looks = 0;
  std::uint64_t advice_calls = 0;
  std::uint64_t batches = 0;
  // Seconds of this machine's processor, by what they went into.
  std::map<std::string, double> cpu_s;
};

class Experiment {
 public:
  Experiment(const Pattern& pattern, const ExperimentOptions& options);
  ~Experiment();
  Experiment(const Experiment&) = delete;
  Experiment& operator=(const Experiment&) = delete;

  Outcome Run();

 private:
  struct Submitted {
    std::size_t kind = 0;
    std::int64_t at_us = 0;
    double objective_us = 0;
    double work = 0;
    bool has_started = false;
  };
  class Log;

  void AddWorkers();
  void ScheduleSubmissions();
  void Submit(std::size_t kind);
  core::jobs::JobSpec MakeSpec(const Kind& kind, Submitted* job);
  RunPlan PlanOf(const core::jobs::TaskRef& task, core::jobs::Attempt attempt);

  // Calls `work` once the owner's processor is free, and counts its time.
  void Do(const char* what, std::function<void()> work);
  void Wake();
  void Pass();
  void Tick();
  void CarryOut();
  void CarryOut(const core::scheduler::Action& action);
  void Ask(const core::scheduler::RequestAdvice& call);
  void WriteIfDue();
  void NoteEnds();
  double Uniform(double least, double most);

  Pattern pattern_;
  ExperimentOptions options_;
  Timeline timeline_;
  FleetModel fleet_;
  std::unique_ptr<Log> log_;
  core::Counters counters_;
  core::scheduler::Scheduler scheduler_;
  std::shared_ptr<core::desired::DesiredState> desired_;
  std::mt19937 random_;
  Outcome outcome_;
  std::unordered_map<core::jobs::JobKey, Submitted> open_;
  std::unordered_map<core::jobs::JobKey, std::size_t> kind_of_;
  std::unordered_map<core::jobs::JobKey, std::vector<std::int64_t>> work_us_;
  std::map<core::jobs::StepRef, std::uint32_t> gang_sizes_;
  std::map<std::string, std::int64_t> advisor_free_us_;
  std::uint64_t last_job_ = 0;
  std::int64_t busy_until_us_ = 0;
  bool is_pass_armed_ = false;
  std::int64_t next_pass_us_ = 0;
  bool is_writing_ = false;
  std::int64_t last_write_us_ = 0;
  double used_core_s_ = 0;
};

}  // namespace dotterelbarrow::bench

#endif  // DOTTERELBARROW_BENCH_EXPERIMENT_EXPERIMENT_H_
