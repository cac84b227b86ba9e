// dotterel-experiment: replays a load pattern, and prints the delays that
// callers would have seen and the time that the scheduler's decisions took.
#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <optional>
#include <string>

#include "bench/experiment/experiment.h"
#include "bench/experiment/shards.h"
#include "bench/figure.h"

namespace dotterelbarrow::bench {
namespace {

void Print(const Pattern& pattern, const Outcome& outcome) {
  std::printf("%-12s %6s %7s %8s %6s %7s %10s %7s %9s %9s %9s %9s\n", "kind",
              "jobs", "refused", "on time", "late", "open", "work", "value",
              "start50", "start95", "done50", "done95");
  for (std::size_t i = 0; i < outcome.kinds.size(); ++i) {
    const KindOutcome& kind = outcome.kinds[i];
    std::printf(
        "%-12s %6d %7d %8d %6d %7d %9.1f%% %6.1f%% %9.0f %9.0f %9.0f "
        "%9.0f\n",
        pattern.kinds[i].name.c_str(), kind.jobs, kind.refused, kind.on_time,
        kind.late, kind.unfinished,
        kind.work > 0 ? 100 * kind.work_on_time / kind.work : 0,
        kind.value > 0 ? 100 * kind.earned / kind.value : 0,
        Percentile(kind.first_start_ms, 0.5),
        Percentile(kind.first_start_ms, 0.95),
        Percentile(kind.completion_ms, 0.5),
        Percentile(kind.completion_ms, 0.95));
  }
  double value = 0;
  double earned = 0;
  for (const KindOutcome& kind : outcome.kinds) {
    value += kind.value;
    earned += kind.earned;
  }
  std::printf("slow workers found, and others right, by second:");
  for (const SpeedKnowledge& known : outcome.speeds) {
    std::printf(" %.0f: %.0f%% %.0f%%", known.at_s, 100 * known.slow_found,
                100 * known.others_right);
  }
  std::printf("\n");
  std::printf("earned %.3f of the value\n", value > 0 ? earned / value : 0);
  // A tenth of the organisations, at least one.
  const auto worst_tenth = [](const std::vector<double>& fractions) {
    const std::size_t worst = std::max<std::size_t>(fractions.size() / 10, 1);
    return Mean({fractions.begin(),
                 fractions.begin() + static_cast<std::ptrdiff_t>(
                                         std::min(worst, fractions.size()))});
  };
  if (outcome.earned_fractions.size() > 1) {
    std::printf(
        "worst tenth of the organisations %.3f, median %.3f, worst tenth "
        "of those without bursts %.3f\n",
        worst_tenth(outcome.earned_fractions),
        Percentile(outcome.earned_fractions, 0.5),
        worst_tenth(outcome.steady_fractions));
  }
  for (const auto& [reason, count] : outcome.refusals) {
    std::printf("refused submissions %s %llu\n", reason.c_str(),
                static_cast<unsigned long long>(count));
  }
  std::printf(
      "packing %.1f%%, %llu starts, %llu polls, %llu advice requests, "
      "%llu batches written\n",
      100 * outcome.packing, static_cast<unsigned long long>(outcome.starts),
      static_cast<unsigned long long>(outcome.looks),
      static_cast<unsigned long long>(outcome.advice_calls),
      static_cast<unsigned long long>(outcome.batches));
  for (const auto& [what, count] : outcome.preemptions) {
    std::printf("%s %llu\n", what.c_str(),
                static_cast<unsigned long long>(count));
  }
  if (!outcome.locality.empty()) {
    std::printf("placements:");
    for (const auto& [what, tasks] : outcome.locality) {
      std::printf(" %s %llu", what.c_str(),
                  static_cast<unsigned long long>(tasks));
    }
    std::printf("\n");
  }
  std::printf("time in scheduler calls, s:");
  for (const auto& [what, seconds] : outcome.cpu_s) {
    std::printf(" %s %.2f", what.c_str(), seconds);
  }
  std::printf("\n");
}

std::optional<WaitMode> ParseWaitMode(const std::string& text) {
  if (text == "never") {
    return WaitMode::kNever;
  }
  if (text == "policy") {
    return WaitMode::kPolicy;
  }
  return text == "always" ? std::optional(WaitMode::kAlways) : std::nullopt;
}

int Main(int argc, char** argv) {
  namespace po = boost::program_options;
  std::string path;
  std::string wait;
  double remote_factor = 0;
  double load = 1;
  ExperimentOptions options;
  bool without_run_times = false;
  bool preempts = true;
  bool has_costs = false;
  int owners = 1;
  po::options_description description("dotterel-experiment");
  description.add_options()("help", "show this text")(
      "pattern", po::value(&path)->required(), "load pattern, a JSON file")(
      "seed", po::value(&options.seed)->default_value(1),
      "seed of the load generator")(
      "cpu-share", po::value(&options.cpu_share)->default_value(0),
      "fraction of a processor that the owner has; with 0, decisions take "
      "no virtual time")("log", po::bool_switch(&options.is_log_shown),
                         "print the scheduler's decisions")(
      "owner-costs", po::bool_switch(&has_costs),
      "decisions take typical times of an owner with half a core, the same on "
      "all machines")("slow-at", po::value(&options.slow_time.at_s),
                      "second from which the owner is slow")(
      "slow-for", po::value(&options.slow_time.for_s), "for how many seconds")(
      "slowness", po::value(&options.slow_time.factor),
      "how many times as much its work costs then")(
      "known-speeds", po::bool_switch(&options.knows_speeds),
      "the steady speeds of workers are known from the beginning")(
      "without-run-times", po::bool_switch(&without_run_times),
      "do not learn run times and workers' speeds")(
      "preempt", po::value(&preempts)->default_value(true),
      "whether the scheduler may preempt, if the pattern says so")(
      "wait", po::value(&wait)->default_value("policy"),
      "how long steps wait for a local worker: never, policy or always")(
      "remote-factor", po::value(&remote_factor),
      "replaces the pattern's remote_factor")(
      "load", po::value(&load)->default_value(1),
      "multiplies the arrival rates")(
      "owners", po::value(&owners)->default_value(1),
      "into how many shards with an owner each the cell is divided; 0 for as "
      "many as its fleet gets");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, description), values);
    if (values.count("help") > 0) {
      std::cout << description;
      return 0;
    }
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << '\n' << description;
    return 2;
  }
  base::Failure reason;
  const std::optional<WaitMode> mode = ParseWaitMode(wait);
  if (!mode) {
    std::cerr << "unknown wait mode " << wait << '\n';
    return 2;
  }
  options.wait = *mode;
  if (has_costs) {
    options.costs = OwnerCosts();
  }
  auto pattern = ReadPattern(path, &reason);
  if (!pattern) {
    std::cerr << reason.detail << '\n';
    return 2;
  }
  options.uses_run_times = !without_run_times;
  if (!preempts) {
    pattern->stop_timeout_ms = 0;
  }
  if (remote_factor > 0) {
    pattern->remote_factor = remote_factor;
  }
  for (Kind& kind : pattern->kinds) {
    kind.jobs_per_s *= load;
  }
  if (owners < 0) {
    std::cerr << "expected a number of owners, got " << owners << '\n';
    return 2;
  }
  Print(*pattern, RunWithOwners(*pattern, options,
                                owners > 0 ? owners : OwnersOf(*pattern)));
  return 0;
}

}  // namespace
}  // namespace dotterelbarrow::bench

int main(int argc, char** argv) {
  return dotterelbarrow::bench::Main(argc, argv);
}
