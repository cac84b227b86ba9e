// Tests what the next owner learns of the leases of unresponsive workers.
#include <doctest/doctest.h>

#include "test/core/scheduler/scheduler_scenario.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Scenario = SchedulerScenario;

constexpr std::uint64_t kJob = 0x77;
const char* const kUnresponsiveWorker = "worker-1";

// Runs scheduling passes, each followed by a write to the store.
void RunAndStore(Scenario* scenario, base::Duration duration) {
  const base::TimePoint end = scenario->now() + duration;
  while (scenario->now() < end) {
    scenario->RunPasses(1);
    scenario->Store();
  }
}

std::size_t CountStartsOn(Scenario* scenario, const std::string& worker) {
  std::size_t starts = 0;
  for (const StartTask& start : scenario->TakeStarts()) {
    starts += start.worker.id.value() == worker ? 1 : 0;
  }
  return starts;
}

// Guards against a task that runs twice: the next owner knows nothing of the
// worker on which it runs, and doesn't wait for it.
TEST_CASE("a worker is listed for the first time") {
  Scenario scenario;
  scenario.SubmitAndStore(kJob, "plain", {Scenario::Step(1)});
  scenario.AddUnlistedWorkers(1);
  scenario.RunPasses(5);

  SUBCASE("nothing is started there before its record is stored") {
    CHECK(scenario.TakeStarts().empty());
    scenario.Store();
    scenario.RunPasses(2);
    CHECK(scenario.TakeStarts().size() == 1);
  }
  SUBCASE("a task that runs there when the owner is lost runs once") {
    scenario.Store();
    scenario.RunPasses(2);
    REQUIRE(scenario.TakeStarts().size() == 1);
    scenario.unresponsive_workers = {"worker-0"};
    scenario.AddUnlistedWorkers(1);
    scenario.TakeOver();
    for (int i = 0; i < 20; ++i) {
      scenario.RunPasses(1);
      scenario.Store();
    }
    CHECK(scenario.TakeStarts().empty());
  }
}

TEST_CASE("a worker becomes unresponsive, and the owner is lost later") {
  Scenario scenario;
  scenario.AddWorkers(2);
  RunAndStore(&scenario, seconds(1));
  scenario.unresponsive_workers = {kUnresponsiveWorker};
  const base::TimePoint unresponsive_since = scenario.now();

  SUBCASE("after its leases have expired: waiting tasks start at once") {
    RunAndStore(&scenario, seconds(6));
    scenario.SubmitAndStore(kJob, "plain", {Scenario::Step(1)});
    scenario.TakeOver();
    RunAndStore(&scenario, milliseconds(200));
    CHECK(scenario.TakeStarts().size() == 1);
  }
  SUBCASE("before that: waiting tasks start when they expire, not sooner") {
    RunAndStore(&scenario, seconds(2));
    scenario.SubmitAndStore(kJob, "plain", {Scenario::Step(1)});
    scenario.TakeOver();
    const base::Duration lease = FleetSettings().lease_duration;
    while (scenario.now() < unresponsive_since + lease) {
      scenario.RunPasses(1);
      CHECK(scenario.TakeStarts().empty());
    }
    while (scenario.now() < unresponsive_since + lease + milliseconds(700)) {
      RunAndStore(&scenario, milliseconds(100));
    }
    CHECK(scenario.TakeStarts().size() == 1);
  }
  SUBCASE("before the store was told: tasks wait until any lease has expired") {
    scenario.RunPasses(20);
    scenario.TakeOver();
    scenario.SubmitAndStore(kJob, "plain", {Scenario::Step(1)});
    scenario.TakeOver();
    scenario.RunPasses(30);
    CHECK(scenario.TakeStarts().empty());
    RunAndStore(&scenario, seconds(2));
    CHECK(scenario.TakeStarts().size() == 1);
  }
}

// Guards against a task that runs twice at once: the next owner doesn't know
// that the worker returned just before, and holds a longer lease than usual.
TEST_CASE("a worker returns, is claimed and lost, and so is the owner") {
  Scenario scenario;
  scenario.SubmitAndStore(kJob, "plain", {Scenario::Step(1)});
  scenario.AddWorkers(1);
  RunAndStore(&scenario, seconds(1));
  scenario.TakeStarts();
  const std::string worker = "worker-0";
  scenario.RestartWorker(worker);
  RunAndStore(&scenario, milliseconds(600));
  REQUIRE(CountStartsOn(&scenario, worker) == 1);
  const auto lose_both = [&] {
    scenario.unresponsive_workers = {worker};
    scenario.AddUnlistedWorkers(1);
    scenario.TakeOver();
  };

  SUBCASE("soon: the task waits until the longest lease has expired") {
    const base::TimePoint returned = scenario.now() - milliseconds(600);
    lose_both();
    const base::Duration longest = FleetSettings().max_lease_duration;
    while (scenario.now() < returned + longest) {
      RunAndStore(&scenario, milliseconds(100));
      CHECK(scenario.TakeStarts().empty());
    }
    RunAndStore(&scenario, milliseconds(1500));
    CHECK(CountStartsOn(&scenario, "worker-1") == 1);
  }
  SUBCASE("later: it waits for a usual lease, as the record tells the time") {
    RunAndStore(&scenario, seconds(10));
    lose_both();
    RunAndStore(&scenario, milliseconds(4000));
    CHECK(scenario.TakeStarts().empty());
    RunAndStore(&scenario, milliseconds(700));
    CHECK(CountStartsOn(&scenario, "worker-1") == 1);
  }
  SUBCASE("later, under a second owner: the record still tells the time") {
    RunAndStore(&scenario, seconds(4));
    scenario.TakeOver();
    RunAndStore(&scenario, seconds(6));
    lose_both();
    RunAndStore(&scenario, milliseconds(4700));
    CHECK(CountStartsOn(&scenario, "worker-1") == 1);
  }
}

TEST_CASE("a worker answers again") {
  Scenario scenario;
  scenario.AddWorkers(2);
  RunAndStore(&scenario, seconds(1));
  scenario.unresponsive_workers = {kUnresponsiveWorker};

  SUBCASE("and is used only after a record without an end is stored") {
    RunAndStore(&scenario, seconds(1));
    scenario.unresponsive_workers.clear();
    scenario.SubmitAndStore(kJob, "plain", {Scenario::Step(8)});
    scenario.TakeRenewedWorkers();
    scenario.RunPasses(5);
    CHECK(CountStartsOn(&scenario, kUnresponsiveWorker) == 0);
    CHECK_FALSE(scenario.TakeRenewedWorkers().contains(kUnresponsiveWorker));
    scenario.Store();
    scenario.RunPasses(1);
    CHECK(CountStartsOn(&scenario, kUnresponsiveWorker) == 4);
    CHECK(scenario.TakeRenewedWorkers().contains(kUnresponsiveWorker));
  }
  SUBCASE("soon, while the store is unavailable: nothing is left to store") {
    scenario.RunPasses(12);
    REQUIRE(scenario.scheduler().has_changes());
    scenario.unresponsive_workers.clear();
    scenario.RunPasses(5);
    CHECK_FALSE(scenario.scheduler().has_changes());
  }
  SUBCASE("under another owner, which claims it and resumes its leases") {
    RunAndStore(&scenario, seconds(6));
    scenario.TakeOver();
    scenario.unresponsive_workers.clear();
    RunAndStore(&scenario, seconds(1));
    scenario.SubmitAndStore(kJob, "plain", {Scenario::Step(8)});
    scenario.RunPasses(1);
    CHECK(CountStartsOn(&scenario, kUnresponsiveWorker) == 4);
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::scheduler
