// Ends that workers report of runs that this owner has no books for.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>

#include "test/core/scheduler/scheduler_scenario.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using Scenario = SchedulerScenario;
using jobs::JobState;
using jobs::RunEnd;
using std::chrono::milliseconds;

constexpr std::uint64_t kJob = 1;
// In this many passes the leases of an unresponsive worker have expired.
constexpr int kPassesToExpire = 120;

jobs::TaskRef TaskOf(std::uint32_t index, std::uint32_t occurrence = 0) {
  return {{jobs::JobKey(kJob), occurrence, 0}, index};
}

std::optional<JobState> StateOf(Scenario* scenario) {
  return scenario->scheduler().StateOf(jobs::JobKey(kJob));
}

std::uint64_t Successes(const Scenario& scenario, const std::string& why) {
  return scenario.counters().value("untracked_successes", why);
}

// Runs passes, and stores what has changed after each.
void RunAndStore(Scenario* scenario, int passes) {
  for (int i = 0; i < passes; ++i) {
    scenario->RunPasses(1);
    scenario->Store();
  }
}

// Guards against a second start of a task after its success that leaves no
// trace at the owner that acknowledges the success.
TEST_CASE("a success that no run in the books explains is counted by cause") {
  Scenario scenario;
  scenario.AddWorkers(2);
  scenario.SubmitAndStore(kJob, "plain", {Scenario::Step(1)});
  scenario.RunPasses(2);
  const std::string first = scenario.WorkerOf(TaskOf(0));
  REQUIRE_FALSE(first.empty());

  SUBCASE("of a task that was started again meanwhile") {
    scenario.unresponsive_workers.insert(first);
    scenario.EndRun(TaskOf(0), RunEnd::kDone);
    RunAndStore(&scenario, kPassesToExpire);
    REQUIRE_FALSE(scenario.WorkerOf(TaskOf(0)).empty());
    scenario.TakeLoggedEvents();
    scenario.unresponsive_workers.clear();
    scenario.RunPasses(20);
    CHECK(Successes(scenario, "newer_run") == 1);
    const std::vector<std::string> events = scenario.TakeLoggedEvents();
    CHECK(std::count(events.begin(), events.end(), "untracked_end") >= 1);
  }
  SUBCASE("of a task that the next owner finds waiting") {
    scenario.EndRun(TaskOf(0), RunEnd::kDone);
    scenario.TakeOver();
    scenario.RunPasses(2);
    CHECK(Successes(scenario, "task_waits") == 1);
    CHECK(Successes(scenario, "newer_run") == 0);
    scenario.Store();
    CHECK(StateOf(&scenario) == JobState::kCompleted);

    SUBCASE("and of a job that has ended by the owner after it") {
      scenario.TakeOver();
      CHECK(Successes(scenario, "job_ended") == 1);
    }
  }
  SUBCASE("of a run in the books it isn't") {
    scenario.EndRun(TaskOf(0), RunEnd::kDone);
    RunAndStore(&scenario, 30);
    CHECK(StateOf(&scenario) == JobState::kCompleted);
    for (const auto& [key, value] : scenario.counters().values()) {
      CHECK(key.first != "untracked_successes");
    }
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::scheduler
