// The load that copies are for: 3% of the runs take seven times as long.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "test/core/scheduler/scheduler_scenario.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using Scenario = SchedulerScenario;
using std::chrono::milliseconds;

constexpr int kWorkers = 60;
constexpr int kJobs = 60;
constexpr std::uint32_t kTasks = 12;
constexpr int kSlowPermille = 30;
constexpr int kSlowFactor = 7;
// Between two jobs: a job of 12 tasks of half a second uses 6 core-seconds, so
// that 240 cores are about a third in use.
constexpr int kPassesBetweenJobs = 1;
constexpr int kMaxPasses = 600;

struct Outcome {
  // The times from submission to completion, in passes of 100 ms, in ascending
  // order.
  std::vector<int> completions;
  std::size_t starts = 0;
  std::uint64_t copies = 0;
  // The largest number of tasks with more than one run, and of runs of a task.
  std::size_t most_copied_tasks = 0;
  std::size_t most_runs_of_task = 0;
};

// Runs the load. With `waiting_work`, a step waits all the time for the only
// worker that may run it, where another job never ends.
Outcome RunLoad(bool allows_copies, bool waiting_work) {
  Scenario scenario;
  scenario.AddWorkers(kWorkers);
  std::mt19937 random(20261204);
  const auto draw = [&random](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random);
  };
  if (waiting_work) {
    scenario.SetLabels("worker-0", {"rare"});
    jobs::StepSpec endless = Scenario::Step(1);
    endless.required_label = "rare";
    scenario.SubmitAndStore(kJobs + 2, "plain", {endless});
    scenario.RunPasses(1);
    REQUIRE(scenario.TakeStarts().size() == 1);
    jobs::StepSpec large = endless;
    large.needs.cpu = base::Millicores(4000);
    // Keeps the step from being overdue during the test.
    large.estimate = std::chrono::hours(1);
    scenario.SubmitAndStore(kJobs + 1, "plain", {large});
  }
  Outcome outcome;
  // The pass in which each run ends, with its worker.
  std::multimap<int, std::pair<std::string, jobs::TaskRef>> ends;
  std::map<std::uint64_t, int> submitted;
  std::set<std::uint64_t> completed;
  for (int pass = 0; pass < kMaxPasses && completed.size() < kJobs; ++pass) {
    if (pass % kPassesBetweenJobs == 0 && submitted.size() < kJobs) {
      const std::uint64_t key = submitted.size() + 1;
      jobs::StepSpec step = Scenario::Step(kTasks);
      step.allows_copies = allows_copies;
      scenario.SubmitAndStore(key, "plain", {step});
      submitted[key] = pass;
    }
    while (!ends.empty() && ends.begin()->first <= pass) {
      const auto [worker, task] = ends.begin()->second;
      scenario.EndRunOn(worker, task, jobs::RunEnd::kDone);
      ends.erase(ends.begin());
    }
    scenario.RunPasses(1);
    scenario.Store();
    std::map<jobs::TaskRef, std::size_t> runs;
    for (const StartTask& start : scenario.TakeStarts()) {
      ++outcome.starts;
      const bool is_slow = draw(1, 1000) <= kSlowPermille;
      ends.emplace(pass + draw(4, 6) * (is_slow ? kSlowFactor : 1),
                   std::pair(start.worker.id.value(), start.task));
    }
    std::size_t copied = 0;
    for (const auto& [unused, run] : ends) {
      const std::size_t count = scenario.WorkersOf(run.second).size();
      outcome.most_runs_of_task = std::max(outcome.most_runs_of_task, count);
      copied += count > 1 && ++runs[run.second] == 1 ? 1 : 0;
    }
    outcome.most_copied_tasks = std::max(outcome.most_copied_tasks, copied);
    for (const auto& [key, since] : submitted) {
      if (scenario.scheduler().StateOf(jobs::JobKey(key)) ==
              jobs::JobState::kCompleted &&
          completed.insert(key).second) {
        outcome.completions.push_back(pass - since);
      }
    }
  }
  std::sort(outcome.completions.begin(), outcome.completions.end());
  outcome.copies = scenario.counters().value("copies", "started");
  return outcome;
}

int Sum(const std::vector<int>& values) {
  int sum = 0;
  for (const int value : values) {
    sum += value;
  }
  return sum;
}

// Guards against steps that are late because of one slow run while the fleet
// has free capacity.
TEST_CASE("a load in which 3% of the runs take seven times as long") {
  const Outcome without = RunLoad(false, false);
  REQUIRE(without.completions.size() == kJobs);
  CHECK(without.starts == kJobs * kTasks);
  CHECK(without.most_runs_of_task == 1);

  SUBCASE("completes sooner with copies") {
    const Outcome with = RunLoad(true, false);
    REQUIRE(with.completions.size() == kJobs);
    CHECK(with.copies > 0);
    CHECK(with.most_runs_of_task == 2);
    // At most 5% of the cores.
    CHECK(with.most_copied_tasks <= kWorkers * 4 / 20);
    MESSAGE("sum of completion times, in 100 ms: "
            << Sum(without.completions) << " without, " << Sum(with.completions)
            << " with " << with.copies << " copies");
    CHECK(Sum(with.completions) < Sum(without.completions));
    // Nine in ten jobs: a job of twelve tasks has a slow run in three cases of
    // ten.
    CHECK(with.completions[kJobs * 9 / 10] <
          without.completions[kJobs * 9 / 10]);
    // Copies are for slow runs, of which there are 3%; those of usual runs are
    // waste.
    CHECK(with.copies <= kJobs * kTasks * 2 * kSlowPermille / 1000);
  }
  SUBCASE("starts no copy while other work waits for room") {
    const Outcome with = RunLoad(true, true);
    CHECK(with.copies == 0);
    CHECK(with.completions == RunLoad(false, true).completions);
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::scheduler
