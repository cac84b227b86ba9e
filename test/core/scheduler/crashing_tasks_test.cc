// Tasks that crash each worker that starts them, while owners change.
#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>

#include "test/core/scheduler/scheduler_scenario.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using Scenario = SchedulerScenario;

constexpr std::uint64_t kJob = 1;
// After the third crash a task may be started twice more.
constexpr int kMaxStarts = 5;

// Runs passes until the task has started, and crashes its worker. Returns
// whether it started.
bool StartAndCrash(Scenario* scenario) {
  const jobs::TaskRef task{{jobs::JobKey(kJob), 0, 0}, 0};
  for (int pass = 0; pass < 120; ++pass) {
    scenario->RunPasses(1);
    scenario->Store();
    if (scenario->CrashWorkerOf(task)) {
      return true;
    }
  }
  return false;
}

// Guards against starts without end: no owner lives long enough to see a
// crash, each only finds that an announced start is missing (soak, seed 12).
TEST_CASE("a task that crashes its workers under owners that change") {
  Scenario scenario;
  scenario.AddWorkers(6);
  jobs::StepSpec step = Scenario::Step(1);
  SUBCASE("is started twice at most after the third crash") {}
  SUBCASE("as a member of a gang: too") { step.gang = true; }
  scenario.SubmitAndStore(kJob, "plain", {step});
  REQUIRE(StartAndCrash(&scenario));
  // The first crash is noticed, so that the next start is announced.
  scenario.RunPasses(5);
  scenario.Store();
  int starts = 1;
  while (starts <= kMaxStarts && StartAndCrash(&scenario)) {
    ++starts;
    scenario.TakeOver();
  }
  CHECK(starts <= kMaxStarts);
  scenario.Store();
  CHECK(scenario.scheduler().StateOf(jobs::JobKey(kJob)) ==
        jobs::JobState::kFailed);
}

}  // namespace
}  // namespace dotterelbarrow::core::scheduler
