// Replays a load pattern through the real scheduler in virtual time, against
// models of the workers, the placement advisor and the store.
#ifndef DOTTERELBARROW_BENCH_EXPERIMENT_EXPERIMENT_H_
#define DOTTERELBARROW_BENCH_EXPERIMENT_EXPERIMENT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench/experiment/fleet_model.h"
#include "bench/experiment/organisations.h"
#include "bench/experiment/pattern.h"
#include "dotterelbarrow/core/admission/saturation_gate.h"
#include "dotterelbarrow/core/scheduler/pass_pacer.h"
#include "dotterelbarrow/core/scheduler/scheduler.h"

namespace dotterelbarrow::bench {

enum class WaitMode {
  kNever,   // The scheduler isn't told the remote factor.
  kPolicy,  // The scheduler's policy decides.
  kAlways,  // The scheduler is told such a large factor that it always waits.
};

// What the owner's work costs on a host with half a core, in microseconds.
struct OwnerCosts {
  // One message that arrives, one that is sent, and a pass over nothing.
  double message_received_us = 60;
  double message_sent_us = 40;
  double pass_us = 250;
  double step_ranked_us = 3;
  double step_tried_us = 45;
};

// A time in which the owner's work costs `factor` times as much.
struct SlowTime {
  double at_s = 0;
  double for_s = 0;
  double factor = 1;
};

struct ExperimentOptions {
  std::uint32_t seed = 1;
  // Fraction of one of this machine's processors that the owner has. The
  // time that a decision takes, divided by this fraction, also passes in
  // virtual time. With 0, decisions take no virtual time.
  double cpu_share = 0;
  // If set, decisions take what these costs say instead of what they take on
  // this machine, so that a replay has the same outcome everywhere.
  std::optional<OwnerCosts> costs;
  SlowTime slow_time;
  // Only jobs that arrive from this second on are counted in the results.
  double counted_from_s = 0;
  bool is_log_shown = false;
  // Whether the scheduler learns run times.
  bool uses_run_times = true;
  // Whether the steady speeds of all workers are known from the beginning.
  bool knows_speeds = false;
  // How long steps wait for a local worker.
  WaitMode wait = WaitMode::kPolicy;
};

// Results of the jobs of one kind.
struct KindOutcome {
  int jobs = 0;
  // Jobs whose last submission was refused, and refused submissions.
  int refused = 0;
  int refusals = 0;
  int on_time = 0;
  int late = 0;
  int unfinished = 0;
  // Core-seconds of work of all jobs, and of the jobs completed on time.
  double work = 0;
  double work_on_time = 0;
  // What the jobs would earn if all were on time, and what they earned.
  double value = 0;
  double earned = 0;
  std::vector<double> first_start_ms;
  std::vector<double> completion_ms;
};

// How well the scheduler knows the speeds of the workers at one time.
struct SpeedKnowledge {
  double at_s = 0;
  // Fraction of the workers with a factor above 1.25 that it takes for such,
  // and of the others that it does not.
  double slow_found = 0;
  double others_right = 0;
};

// Results of an experiment; `kinds` is in the pattern's order.
struct Outcome {
  std::vector<KindOutcome> kinds;
  // Mean fraction of the fleet's CPU capacity reserved for tasks while jobs
  // arrive.
  double packing = 0;
  std::vector<SpeedKnowledge> speeds;
  std::uint64_t starts = 0;
  std::uint64_t looks = 0;
  std::uint64_t advice_calls = 0;
  std::uint64_t batches = 0;
  // The scheduler's counters of preemptions, by reason.
  std::map<std::string, std::uint64_t> preemptions;
  // Seconds of real time that the owner's calls took, by kind of call.
  std::map<std::string, double> cpu_s;
  // The fraction of its value that each organisation earned, ascending, and
  // only of those without bursts of their own.
  std::vector<double> earned_fractions;
  std::vector<double> steady_fractions;
  // Refused submissions, by reason.
  std::map<std::string, std::uint64_t> refusals;
  // The scheduler's counters of local and remote placements.
  std::map<std::string, std::uint64_t> locality;
};

class Experiment {
 public:
  Experiment(const Pattern& pattern, const ExperimentOptions& options);
  ~Experiment();
  Experiment(const Experiment&) = delete;
  Experiment& operator=(const Experiment&) = delete;

  // Replays the whole pattern. May be called once.
  Outcome Run();

 private:
  // A job that has not ended yet.
  struct SubmittedJob {
    std::size_t kind = 0;
    std::size_t organisation = 0;
    std::int64_t at_us = 0;
    double objective_us = 0;
    double work = 0;
    bool has_started = false;
  };
  class Log;

  void AddWorkers();
  void RestoreSpeeds();
  void ScheduleSubmissions();
  void Submit(std::size_t kind);
  // Sends the submission of a job, `retries` times more if it is refused.
  void Send(core::jobs::JobKey key,
            const std::shared_ptr<const core::jobs::JobSpec>& spec,
            int retries);
  core::jobs::JobSpec MakeSpec(const Kind& kind, SubmittedJob* job);
  RunPlan PlanOf(const core::scheduler::StartTask& command);
  // Returns by which factor a run that starts on the worker now takes longer.
  double SlownessOf(const std::string& worker) const;
  // Adds to the results how well the speeds of the workers are known.
  void CheckSpeeds();
  // Begins the temporary slowness of a random worker, and schedules the next.
  void BeginSlowSpell();
  // Chooses whether the run time of the job's step depends on the rack.
  void ChooseRack(const Kind& kind, std::uint32_t index,
                  core::jobs::StepSpec* step);

  // Calls `work` once the modelled owner's processor is free, and adds the time
  // that it took to `cpu_s` under the name `what`.
  void RunAsOwner(const char* what, std::function<void()> work);
  // Whether time passes in virtual time while the owner works.
  bool has_owner_costs() const {
    return options_.costs || options_.cpu_share > 0;
  }
  // Returns the results to which the job is added.
  KindOutcome& OutcomeOf(const SubmittedJob& job);
  // Returns the virtual time that work took for which this machine took
  // `measured_s`.
  std::int64_t CostOf(double measured_s);
  // Schedules the next scheduling pass unless one is already scheduled.
  void SchedulePass();
  // Runs a scheduling pass.
  void RunPass();
  void Tick();
  void CarryOut();
  void CarryOut(const core::scheduler::Action& action);
  // Answers as the advisor would, after the time that its decision takes.
  void AnswerAdviceRequest(const core::scheduler::RequestAdvice& call);
  // Writes the scheduler's changes to the modelled store, one transaction at a
  // time and not before the minimum write interval has passed.
  void WriteIfDue();
  // Adds the jobs that have ended to the results.
  void RecordFinishedJobs();
  double Uniform(double low, double high);

  Pattern pattern_;
  ExperimentOptions options_;
  Organisations organisations_;
  Timeline timeline_;
  FleetModel fleet_;
  std::unique_ptr<Log> log_;
  core::Counters counters_;
  core::scheduler::Scheduler scheduler_;
  std::shared_ptr<core::desired::DesiredState> desired_;
  std::mt19937 random_;
  Outcome outcome_;
  // The results of the jobs that aren't counted.
  KindOutcome uncounted_;
  std::unordered_map<core::jobs::JobKey, SubmittedJob> open_jobs_;
  std::unordered_map<core::jobs::JobKey, std::size_t> kind_of_job_;
  std::unordered_map<core::jobs::JobKey, std::vector<std::int64_t>>
      task_duration_us_;
  std::map<core::jobs::StepRef, std::uint32_t> gang_sizes_;
  // The steps whose run time depends on the rack, with their `data_rack`.
  std::map<core::jobs::StepRef, std::string> rack_steps_;
  std::map<std::string, std::int64_t> advisor_free_us_;
  std::uint64_t last_job_ = 0;
  std::int64_t owner_busy_until_us_ = 0;
  // The modelled costs of the work that runs now.
  double modelled_us_ = 0;
  core::scheduler::PassPacer pass_pacer_;
  core::admission::SaturationGate gate_;
  std::int64_t last_tick_us_ = 0;
  bool is_writing_ = false;
  std::int64_t last_write_us_ = 0;
  std::unordered_map<std::string, double> slowness_;
  std::unordered_map<std::string, std::int64_t> spell_ends_us_;
  double used_core_s_ = 0;
};

}  // namespace dotterelbarrow::bench

#endif  // DOTTERELBARROW_BENCH_EXPERIMENT_EXPERIMENT_H_
