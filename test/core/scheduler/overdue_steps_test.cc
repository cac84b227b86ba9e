// Overdue work that waits behind other overdue work.
#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <vector>

#include "test/core/scheduler/scheduler_scenario.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using Scenario = SchedulerScenario;
using std::chrono::seconds;

constexpr std::uint64_t kRunning = 1;
constexpr std::uint64_t kFirstLarge = 2;
constexpr int kLargeJobs = 200;
constexpr std::uint64_t kSmall = kFirstLarge + kLargeJobs;
// Each job of the scenario is overdue after this time.
constexpr int kOverduePasses = 700;
// Three seconds, after which a job with free capacity counts as lost.
constexpr int kPassesUntilLost = 30;

// Guards against a job that has nothing running for ever, although there is
// capacity for it, because more steps than a pass tries come before it and fit
// nowhere (KNOWN-RED deadly-storm).
TEST_CASE("an overdue job behind two hundred that fit nowhere") {
  Scenario scenario;
  scenario.AddWorkers(1);
  scenario.SubmitAndStore(kRunning, "plain", {Scenario::Step(4)});
  scenario.RunPasses(1);
  REQUIRE(scenario.TakeStarts().size() == 4);
  jobs::StepSpec large = Scenario::Step(1);
  large.needs.cpu = base::Millicores(4000);
  for (std::uint64_t i = 0; i < kLargeJobs; ++i) {
    scenario.SubmitAndStore(kFirstLarge + i, "plain", {large});
  }
  scenario.Advance(seconds(1));
  scenario.SubmitAndStore(kSmall, "plain", {Scenario::Step(1)});
  scenario.RunPasses(kOverduePasses);
  REQUIRE(scenario.TakeStarts().empty());

  for (std::uint32_t i = 0; i < 3; ++i) {
    scenario.EndRun({{jobs::JobKey(kRunning), 0, 0}, i}, jobs::RunEnd::kDone);
  }
  scenario.RunPasses(kPassesUntilLost);
  const std::vector<StartTask> starts = scenario.TakeStarts();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].task.step.job == jobs::JobKey(kSmall));
}

}  // namespace
}  // namespace dotterelbarrow::core::scheduler
