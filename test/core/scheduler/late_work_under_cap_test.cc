// Late work that needs most of its organisation's cap, while urgent work of the
// organisation goes on.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "test/core/scheduler/timed_scenario.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kCapCores = 4;
constexpr int kCapMemory = 800;
constexpr std::uint64_t kLarge = 1;
constexpr std::uint64_t kFirstLookup = 100;
// A job that can run must have been started this long after the traffic.
constexpr base::Duration kFinish = seconds(14);

jobs::StepSpec Lookup() {
  jobs::StepSpec step = SchedulerScenario::Step(1);
  step.needs = {base::Millicores(100), base::Mebibytes(20), {}, {}};
  step.estimate = milliseconds(200);
  return step;
}

// Lookups of an organisation, which come all the time.
struct Lookups {
  int passes_between = 0;
  base::Duration run_time{0};
};

// Has the worker of the large job's first task crash under it, and lookups come
// for 30 s. Returns whether the job is completed in time.
bool RestartsAfterCrash(TimedScenario* scenario, jobs::StepSpec large,
                        const Lookups& lookups) {
  large.estimate = seconds(2);
  scenario->run_time = lookups.run_time;
  scenario->run_times[kLarge] = seconds(2);
  scenario->SubmitAndStore(kLarge, "urgent", {large});
  // It can't be on time if it begins anew then.
  scenario->Play(milliseconds(1500));
  REQUIRE(scenario->StartsOf(kLarge) == large.tasks);
  REQUIRE(scenario->CrashWorkerOf({{jobs::JobKey(kLarge), 0, 0}, 0}));
  std::uint64_t lookup = kFirstLookup;
  scenario->Play(seconds(30), [&](int pass) {
    if (pass % lookups.passes_between == 0) {
      scenario->SubmitAndStore(lookup++, "urgent", {Lookup()});
    }
  });
  scenario->Play(kFinish);
  return scenario->IsCompleted(kLarge);
}

// Guards against headroom under the cap that late work has to leave to urgent
// work for ever, although it doesn't fit beside it (review/12).
TEST_CASE("work as large as its organisation's cap whose worker has crashed") {
  TimedScenario scenario;
  scenario.AddWorkers(8);
  jobs::StepSpec large = SchedulerScenario::Step(1);
  SUBCASE("a gang, under a cap of processors") {
    scenario.SetCap(kCapCores);
    large.tasks = 4;
    large.gang = true;
  }
  SUBCASE("a single task, under a cap of processors") {
    scenario.SetCap(kCapCores);
    large.needs.cpu = base::Millicores(1000 * kCapCores);
  }
  SUBCASE("a gang, under a cap of memory") {
    scenario.SetCap(0, kCapMemory);
    large.tasks = 4;
    large.gang = true;
    large.needs.memory = base::Mebibytes(kCapMemory / 4);
  }
  SUBCASE("a single task, under a cap of memory") {
    scenario.SetCap(0, kCapMemory);
    large.needs.memory = base::Mebibytes(kCapMemory);
  }
  CHECK(RestartsAfterCrash(&scenario, large, {6, milliseconds(200)}));
  // It needs no turn, as the cap is free between two lookups.
  CHECK(scenario.counters().value("overdue_turns", "begun") == 0);
}

// Guards against late work that never finds as much of its cap free as it needs
// at one moment, because some urgent work of its organisation always runs.
TEST_CASE(
    "work as large as its organisation's cap beside endless urgent work") {
  TimedScenario scenario;
  scenario.AddWorkers(8);
  scenario.SetCap(kCapCores);
  jobs::StepSpec large = SchedulerScenario::Step(1);
  SUBCASE("a gang") {
    large.tasks = 4;
    large.gang = true;
  }
  SUBCASE("a single task") {
    large.needs.cpu = base::Millicores(1000 * kCapCores);
  }
  CHECK(RestartsAfterCrash(&scenario, large, {3, seconds(1)}));
  // It was not only completed once the urgent work was over.
  const auto last =
      std::find_if(scenario.starts().rbegin(), scenario.starts().rend(),
                   [](const TimedScenario::Start& start) {
                     return start.task.step.job == jobs::JobKey(kLarge);
                   });
  REQUIRE(last != scenario.starts().rend());
  CHECK(last->at - scenario.starts().front().at < seconds(15));
}

// Late work may use what it leaves to urgent work only as far as it needs it:
// small late tasks leave headroom as before.
TEST_CASE("small late work leaves headroom to urgent work") {
  TimedScenario scenario;
  scenario.AddWorkers(8);
  scenario.SetCap(8);
  scenario.run_time = seconds(2);
  // Fills the cap until the batch job is late.
  scenario.SubmitAndStore(1, "urgent", {SchedulerScenario::Step(8)});
  scenario.Play(milliseconds(200));
  scenario.SubmitAndStore(2, "urgent", {SchedulerScenario::Step(20)});
  scenario.Play(milliseconds(1500));
  REQUIRE(scenario.StartsOf(2) == 0);
  scenario.Play(milliseconds(700));
  CHECK(scenario.StartsOf(2) > 0);
  CHECK(scenario.StartsOf(2) < 8);
}

}  // namespace
}  // namespace dotterelbarrow::core::scheduler
