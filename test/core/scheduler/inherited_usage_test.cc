// Tests what a new owner counts against an organisation's cap before it has
// heard of all runs of the previous owner.
#include <doctest/doctest.h>

#include <string>

#include "test/core/scheduler/scheduler_scenario.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using Scenario = SchedulerScenario;

constexpr std::uint64_t kJob = 0x77;
constexpr std::uint64_t kOtherJob = 0x78;
constexpr jobs::TaskRef kTask{{jobs::JobKey(kJob), 0, 0}, 0};
constexpr int kCapCores = 6;

// Returns how many tasks of one core run on the workers of the previous owner.
std::size_t CountOldRuns(const Scenario& scenario) {
  return scenario.RunningOn("worker-0").size() +
         scenario.RunningOn("worker-1").size();
}

// Lets another owner take over that doesn't reach the workers of the previous
// one, and returns how many tasks of a new job it starts on new workers.
std::size_t CountStartsOfNextOwner(Scenario* scenario) {
  scenario->TakeStarts();
  scenario->unresponsive_workers = {"worker-0", "worker-1"};
  scenario->TakeOver();
  scenario->AddWorkers(2);
  scenario->SubmitAndStore(kOtherJob, "plain", {Scenario::Step(kCapCores)});
  scenario->RunPasses(5);
  return scenario->TakeStarts().size();
}

// Guards against an organisation above its cap after a change of owner.
TEST_CASE("runs of the previous owner that the next one hasn't heard of") {
  Scenario scenario;
  scenario.SetCap(kCapCores);
  scenario.AddWorkers(2);

  SUBCASE("of a step that began after the last stored write count") {
    jobs::StepSpec second = Scenario::Step(5);
    second.depends_on = {0};
    scenario.SubmitAndStore(kJob, "plain", {Scenario::Step(1), second});
    scenario.RunPasses(3);
    scenario.EndRun(kTask, jobs::RunEnd::kDone);
    scenario.RunPasses(20);
    REQUIRE(CountOldRuns(scenario) == 5);
    CHECK(CountStartsOfNextOwner(&scenario) + 5 <= kCapCores);
  }
  SUBCASE("of a cancelled job count") {
    scenario.SubmitAndStore(kJob, "plain", {Scenario::Step(5)});
    scenario.RunPasses(3);
    REQUIRE(CountOldRuns(scenario) == 5);
    scenario.unresponsive_workers = {"worker-0", "worker-1"};
    scenario.scheduler().Cancel(jobs::JobKey(kJob), WaiterId(100),
                                scenario.now());
    scenario.Store();
    CHECK(CountStartsOfNextOwner(&scenario) + 5 <= kCapCores);
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::scheduler
