// Other work on workers that are held for a waiting gang.
#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "test/core/scheduler/scheduler_scenario.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using Scenario = SchedulerScenario;
using std::chrono::seconds;

constexpr std::uint64_t kLong = 1;
constexpr std::uint64_t kGang = 2;
constexpr std::uint64_t kOther = 3;
// The busy worker is expected to be free after 20 s. By now, batch work of 3 s
// has used up half of its slack, and would likely end after that.
constexpr int kLatePasses = 170;

jobs::TaskRef FirstTaskOf(std::uint64_t job) {
  return {{jobs::JobKey(job), 0, 0}, 0};
}

jobs::StepSpec StepOf(std::uint32_t tasks, base::Duration estimate) {
  jobs::StepSpec step = Scenario::Step(tasks);
  step.estimate = estimate;
  return step;
}

// Guards against a fleet that is a fifth idle while work waits, because workers
// are closed to all other work until the last member of a gang finds room.
TEST_CASE("a gang holds an empty worker until another one is free") {
  Scenario scenario;
  scenario.AddWorkers(2);
  scenario.SubmitAndStore(kLong, "plain", {StepOf(4, seconds(20))});
  scenario.RunPasses(1);
  REQUIRE(scenario.TakeStarts().size() == 4);
  const std::string busy = scenario.WorkerOf(FirstTaskOf(kLong));
  const std::string held = busy == "worker-0" ? "worker-1" : "worker-0";
  jobs::StepSpec members = Scenario::Gang(2);
  members.estimate = seconds(5);

  SUBCASE("batch work with much slack leaves it free") {
    scenario.SubmitAndStore(kGang, "gangs", {members});
    scenario.SubmitAndStore(kOther, "batch", {StepOf(1, seconds(1))});
    scenario.RunPasses(1);
    CHECK(scenario.WorkerOf(FirstTaskOf(kOther)).empty());

    SUBCASE("and runs there once half of that is used up, if it ends before") {
      scenario.RunPasses(80);
      CHECK(scenario.WorkerOf(FirstTaskOf(kOther)) == held);

      SUBCASE("so that the gang starts when the other worker is free") {
        scenario.EndRun(FirstTaskOf(kOther), jobs::RunEnd::kDone);
        for (std::uint32_t i = 0; i < 4; ++i) {
          scenario.EndRun({FirstTaskOf(kLong).step, i}, jobs::RunEnd::kDone);
        }
        scenario.RunPasses(2);
        CHECK(scenario.UsedCores(busy) == 4);
        CHECK(scenario.UsedCores(held) == 4);
      }
    }
  }
  SUBCASE("batch work that may end after the gang's start leaves it free") {
    scenario.SubmitAndStore(kGang, "gangs", {members});
    scenario.SubmitAndStore(kOther, "batch", {StepOf(1, seconds(3))});
    scenario.RunPasses(kLatePasses);
    CHECK(scenario.WorkerOf(FirstTaskOf(kOther)).empty());
  }
  SUBCASE("what the gang doesn't need of it is used, but only once") {
    members.needs.cpu = base::Millicores(3000);
    scenario.SubmitAndStore(kGang, "gangs", {members});
    scenario.SubmitAndStore(kOther, "batch", {StepOf(2, seconds(3))});
    scenario.RunPasses(kLatePasses);
    CHECK(scenario.UsedCores(held) == 1);
    scenario.RunPasses(3);
    CHECK(scenario.UsedCores(held) == 1);
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::scheduler
