// Measures task placement: the time of a decision for several fleet sizes, and
// packing and waiting times under the users' batch workloads. Simple baseline
// policies are measured in the same run for comparison.
#include <boost/program_options.hpp>
#include <chrono>
#include <cmath>
#include <deque>
#include <iostream>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "bench/baselines.h"
#include "bench/figure.h"
#include "bench/owner_driver.h"
#include "bench/workload.h"

namespace dotterelbarrow::bench {
namespace {

constexpr base::Duration kStep = std::chrono::milliseconds(10);

// CPU utilization of the fleet while decisions are measured, as a fraction.
constexpr double kTargetUtilization = 0.8;

core::TaskSpec MakeTask(std::uint32_t number, const base::Resources& demand,
                        int team) {
  core::TaskSpec spec;
  spec.id.job = {base::TeamId("team" + std::to_string(team)),
                 base::RequestId("request" + std::to_string(number / 50))};
  spec.id.index = number;
  spec.manager_epoch = {1, base::EntryId("entry")};
  spec.demand = demand;
  spec.payload = "payload";
  return spec;
}

base::Resources DecisionWorkerSize() {
  return {base::Millicores(16000), base::Mebibytes(65536), {}, {}};
}

void PrintDecisionTimes(const std::string& prefix, double seconds,
                        const std::vector<double>& durations) {
  const auto count = static_cast<double>(durations.size());
  PrintFigure(prefix + "_per_second", count / seconds, "1/s");
  PrintFigure(prefix + "_p50", Percentile(durations, 0.5) * 1e6, "us");
  PrintFigure(prefix + "_p99", Percentile(durations, 0.99) * 1e6, "us");
}

void MeasureOwnerDecisions(int workers, int placements) {
  OwnerDriver driver({workers, DecisionWorkerSize(), 1.0});
  std::mt19937_64 random(workers);
  std::deque<base::TaskId> running;
  driver.on_start = [&](const core::TaskSpec& spec) {
    running.push_back(spec.id);
  };
  std::uint32_t next = 0;
  std::vector<double> durations;
  const auto place = [&] {
    const base::Resources demand = SelectDemand(random());
    const double taken =
        driver.Place(MakeTask(next, demand, static_cast<int>(next % 6)), 0);
    ++next;
    return taken;
  };
  const auto target_cpu = static_cast<std::int64_t>(
      kTargetUtilization * static_cast<double>(driver.capacity().cpu.value()));
  while (driver.used().cpu.value() < target_cpu) {
    for (int i = 0; i < 50; ++i) {
      place();
    }
    driver.Step(kStep);
  }
  driver.ResetClock();
  double total_duration = 0;
  while (static_cast<int>(durations.size()) < placements) {
    for (int i = 0; i < 50 && !running.empty(); ++i) {
      // Ends a randomly picked task: ending tasks in the order of their starts
      // could empty whole workers.
      const std::size_t pick = random() % running.size();
      std::swap(running.front(), running[pick]);
      driver.Finish(running.front());
      running.pop_front();
    }
    while (driver.used().cpu.value() < target_cpu) {
      for (int i = 0; i < 50; ++i) {
        durations.push_back(place());
        total_duration += durations.back();
      }
      driver.Step(kStep);
    }
  }
  const std::string suffix = "_" + std::to_string(workers) + "_workers";
  PrintDecisionTimes("owner_decision" + suffix, total_duration, durations);
  PrintFigure("owner_whole_task" + suffix + "_per_second",
              static_cast<double>(durations.size()) / driver.owner_seconds(),
              "1/s");
}

void MeasureBaselineDecisions(const Baseline& baseline, int workers,
                              int placements) {
  BaselineFleet fleet(workers, DecisionWorkerSize(), 1);
  std::mt19937_64 random(workers);
  struct Placed {
    int worker;
    base::Resources demand;
  };
  std::vector<Placed> placed;
  base::Resources used;
  std::vector<double> durations;
  const double target_cpu = kTargetUtilization * 16000 * workers;
  double total_duration = 0;
  while (static_cast<int>(durations.size()) < placements) {
    while (static_cast<double>(used.cpu.value()) >= target_cpu) {
      const std::size_t pick = random() % placed.size();
      std::swap(placed[pick], placed.back());
      fleet.Release(placed.back().worker, placed.back().demand);
      used -= placed.back().demand;
      placed.pop_back();
    }
    const base::Resources demand = SelectDemand(random());
    const auto begin = std::chrono::steady_clock::now();
    const auto worker = fleet.Place(baseline, demand);
    const std::chrono::duration<double> taken =
        std::chrono::steady_clock::now() - begin;
    const bool is_near_target =
        static_cast<double>(used.cpu.value()) > 0.95 * target_cpu;
    if (is_near_target) {
      durations.push_back(taken.count());
      total_duration += taken.count();
    }
    if (worker) {
      placed.push_back({*worker, demand});
      used += demand;
    }
  }
  const std::string name = NameOf(baseline);
  PrintDecisionTimes(name + "_decision_" + std::to_string(workers) + "_workers",
                     total_duration, durations);
}

// The measurements of one run of a mix.
struct MixResult {
  // Seconds from arrival to start, by team.
  std::map<int, std::vector<double>> waits;
  // CPU utilization as a fraction, sampled once per second of virtual time
  // while tasks arrive.
  std::vector<double> cpu_used;
  // Virtual time until the last task ended.
  double seconds = 0;
};

void PrintMix(const std::string& prefix, const MixResult& result) {
  std::vector<double> all;
  for (const auto& [team, waits] : result.waits) {
    all.insert(all.end(), waits.begin(), waits.end());
  }
  PrintFigure(prefix + "_wait_mean", Mean(all), "s");
  PrintFigure(prefix + "_wait_p99", Percentile(all, 0.99), "s");
  PrintFigure(prefix + "_wait_mean_smallest_team",
              Mean(result.waits.at(kTeams - 1)), "s");
  PrintFigure(prefix + "_packing", Mean(result.cpu_used) * 100, "%");
  PrintFigure(prefix + "_makespan", result.seconds, "s");
}

// Runs a mix through the owner in place of the teams' managers. Keeps at most
// kMaxUnanswered placement requests per team unanswered, resubmits tasks that
// could not be placed, and sends each team's share of the fleet with its
// requests.
class OwnerMixRun {
 public:
  OwnerMixRun(const Mix& mix, double packing_weight)
      : mix_(mix), driver_({mix.workers, mix.worker_size, packing_weight}) {
    begin_ = driver_.now();
    driver_.on_reply = [this](const core::PlaceReply& reply) {
      OnReply(reply);
    };
    driver_.on_start = [this](const core::TaskSpec& spec) { OnStart(spec); };
  }

  MixResult Run() {
    std::size_t steps = 0;
    while (finished_ < mix_.arrivals.size()) {
      driver_.Step(kStep);
      FinishDueTasks();
      EnqueueArrivals();
      SubmitTasks();
      if (++steps % 100 == 0 && next_ < mix_.arrivals.size()) {
        SampleUtilization();
      }
    }
    result_.seconds = std::chrono::duration<double>(Elapsed()).count();
    return result_;
  }

 private:
  static constexpr int kMaxUnanswered = 64;

  base::Duration Elapsed() const { return driver_.now() - begin_; }

  void EnqueueArrivals() {
    for (;
         next_ < mix_.arrivals.size() && mix_.arrivals[next_].when <= Elapsed();
         ++next_) {
      waiting_[mix_.arrivals[next_].team].push_back(
          static_cast<std::uint32_t>(next_));
    }
  }

  void SubmitTasks() {
    for (int team = 0; team < kTeams; ++team) {
      std::deque<std::uint32_t>& waiting = waiting_[team];
      while (!waiting.empty() && unanswered_[team] < kMaxUnanswered) {
        const std::uint32_t number = waiting.front();
        waiting.pop_front();
        ++unanswered_[team];
        const Arrival& arrival = mix_.arrivals[number];
        core::TaskSpec spec = MakeTask(number, arrival.demand, team);
        spec.id.attempt = attempts_[number]++;
        driver_.Place(spec, SharePosition(team));
      }
    }
  }

  double SharePosition(int team) const {
    const auto it = used_.find(team);
    return it == used_.end()
               ? 0
               : base::DominantFraction(it->second, driver_.capacity());
  }

  void OnReply(const core::PlaceReply& reply) {
    const std::uint32_t number = reply.task.index;
    const int team = mix_.arrivals[number].team;
    --unanswered_[team];
    if (reply.status != core::PlaceStatus::kPlaced) {
      waiting_[team].push_front(number);
    }
  }

  void OnStart(const core::TaskSpec& spec) {
    const Arrival& arrival = mix_.arrivals[spec.id.index];
    const std::chrono::duration<double> waited = Elapsed() - arrival.when;
    result_.waits[arrival.team].push_back(waited.count());
    used_[arrival.team] += arrival.demand;
    completions_.push({driver_.now() + arrival.run, spec.id});
  }

  void FinishDueTasks() {
    while (!completions_.empty() && completions_.top().first <= driver_.now()) {
      const base::TaskId task = completions_.top().second;
      completions_.pop();
      used_[mix_.arrivals[task.index].team] -= mix_.arrivals[task.index].demand;
      ++finished_;
      driver_.Finish(task);
    }
  }

  void SampleUtilization() {
    result_.cpu_used.push_back(
        static_cast<double>(driver_.used().cpu.value()) /
        static_cast<double>(driver_.capacity().cpu.value()));
  }

  using Completion = std::pair<base::TimePoint, base::TaskId>;

  const Mix& mix_;
  OwnerDriver driver_;
  base::TimePoint begin_;
  std::size_t next_ = 0;
  std::size_t finished_ = 0;
  std::map<int, std::deque<std::uint32_t>> waiting_;
  std::map<int, int> unanswered_;
  std::map<std::uint32_t, std::uint32_t> attempts_;
  std::map<int, base::Resources> used_;
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>>
      completions_;
  MixResult result_;
};

// Runs a mix with a baseline policy that serves one queue in the order of
// arrival. A task that doesn't fit doesn't block later tasks in the queue.
MixResult RunBaselineMix(const Mix& mix, const Baseline& baseline) {
  struct Completion {
    base::Duration when;
    int worker;
    std::size_t number;
    bool operator>(const Completion& other) const { return when > other.when; }
  };
  BaselineFleet fleet(mix.workers, mix.worker_size, 3);
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>>
      completions;
  std::vector<std::size_t> queue;
  MixResult result;
  base::Duration now{0};
  std::size_t next = 0;
  std::int64_t used = 0;
  const double capacity =
      static_cast<double>(mix.worker_size.cpu.value()) * mix.workers;
  for (std::size_t steps = 1;
       next < mix.arrivals.size() || !queue.empty() || !completions.empty();
       ++steps) {
    now += kStep;
    bool changed = false;
    for (; !completions.empty() && completions.top().when <= now;
         completions.pop()) {
      const Arrival& arrival = mix.arrivals[completions.top().number];
      fleet.Release(completions.top().worker, arrival.demand);
      used -= arrival.demand.cpu.value();
      changed = true;
    }
    for (; next < mix.arrivals.size() && mix.arrivals[next].when <= now;
         ++next) {
      queue.push_back(next);
      changed = true;
    }
    if (changed) {
      std::erase_if(queue, [&](std::size_t number) {
        const Arrival& arrival = mix.arrivals[number];
        const auto worker = fleet.Place(baseline, arrival.demand);
        if (!worker) {
          return false;
        }
        const std::chrono::duration<double> waited = now - arrival.when;
        result.waits[arrival.team].push_back(waited.count());
        used += arrival.demand.cpu.value();
        completions.push({now + arrival.run, *worker, number});
        return true;
      });
    }
    if (steps % 100 == 0 && next < mix.arrivals.size()) {
      result.cpu_used.push_back(static_cast<double>(used) / capacity);
    }
  }
  result.seconds = std::chrono::duration<double>(now).count();
  return result;
}

void MeasureMix(const Mix& mix, const std::string& load) {
  const std::string suffix = "_" + mix.name + "_load_" + load;
  for (const double weight : {0.0, 0.5, 1.0}) {
    const auto percent = std::to_string(std::lround(weight * 100));
    std::string name = "owner_weight_";
    name += percent;
    name += suffix;
    PrintMix(name, OwnerMixRun(mix, weight).Run());
  }
  for (const Baseline& baseline :
       {Baseline(FirstFit()), Baseline(RandomWorker())}) {
    PrintMix(NameOf(baseline) + suffix, RunBaselineMix(mix, baseline));
  }
}

void MeasureDecisions(const std::vector<int>& sizes, int placements) {
  for (const int workers : sizes) {
    MeasureOwnerDecisions(workers, placements);
    for (const Baseline& baseline :
         {Baseline(FirstFit()), Baseline(RandomWorker()),
          Baseline(FullScan())}) {
      MeasureBaselineDecisions(baseline, workers, placements);
    }
  }
}

int Main(int argc, char** argv) {
  namespace po = boost::program_options;
  po::options_description options(
      "Measures task placement and prints the results");
  std::vector<int> sizes;
  int placements = 0;
  options.add_options()("help", "show this text")(
      "workers",
      po::value(&sizes)->multitoken()->default_value({50, 500, 3900, 20000},
                                                     "50 500 3900 20000"),
      "numbers of workers for which decisions are measured")(
      "placements", po::value(&placements)->default_value(50000),
      "decisions to measure for each fleet size")(
      "no-mixes", "do not run the workload mixes");
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, options), values);
  po::notify(values);
  if (values.count("help") > 0) {
    std::cout << options;
    return 0;
  }
  MeasureDecisions(sizes, placements);
  if (values.count("no-mixes") == 0) {
    for (const auto& [load, name] : std::vector<std::pair<double, std::string>>{
             {0.9, "90"}, {1.2, "120"}}) {
      MeasureMix(AmmanMix(load), name);
      MeasureMix(HungaryMix(load), name);
    }
  }
  return 0;
}

}  // namespace
}  // namespace dotterelbarrow::bench

int main(int argc, char** argv) {
  return dotterelbarrow::bench::Main(argc, argv);
}
