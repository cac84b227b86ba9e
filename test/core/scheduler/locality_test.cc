// Steps whose run time depends on the rack: when they wait for a local worker.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "test/core/scheduler/scheduler_scenario.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using Scenario = SchedulerScenario;
using std::chrono::milliseconds;

constexpr std::uint64_t kFirst = 1;
constexpr std::uint64_t kSecond = 2;
// Passes of 100 ms in which a run of the scenario costs its estimate of 500 ms
// extra, away from its data.
constexpr int kPassesOfExtraTime = 5;

SchedulerSettings WithFactor(double factor) {
  SchedulerSettings settings;
  settings.dispatcher.remote_factor = factor;
  return settings;
}

jobs::StepSpec StepOn(const std::string& rack, std::uint32_t tasks,
                      int estimate_ms) {
  jobs::StepSpec step = Scenario::Step(tasks);
  step.data_rack = rack;
  step.estimate = milliseconds(estimate_ms);
  return step;
}

// Returns on which racks the tasks were started since the last call.
std::vector<std::string> TakeRacks(Scenario* scenario) {
  std::vector<std::string> racks;
  for (const StartTask& start : scenario->TakeStarts()) {
    racks.push_back(scenario->RackOf(start.worker.id));
  }
  std::sort(racks.begin(), racks.end());
  return racks;
}

using Racks = std::vector<std::string>;

TEST_CASE("data on a rack whose two workers are full, beside six others") {
  Scenario scenario(WithFactor(2));
  scenario.AddWorkers(2, "near");
  scenario.AddWorkers(6, "far");
  scenario.RunPasses(3);
  const auto fill_rack = [&scenario](int estimate_ms) {
    scenario.SubmitAndStore(kFirst, "plain", {StepOn("near", 8, estimate_ms)});
    scenario.RunPasses(1);
    REQUIRE(TakeRacks(&scenario) == Racks(8, "near"));
  };
  const auto end_run = [&scenario](std::uint32_t index) {
    scenario.EndRun({{jobs::JobKey(kFirst), 0, 0}, index}, jobs::RunEnd::kDone);
  };
  const auto submit = [&scenario](std::uint32_t tasks) {
    scenario.SubmitAndStore(kSecond, "plain", {StepOn("near", tasks, 500)});
    scenario.RunPasses(1);
  };

  SUBCASE("a task waits for a place that opens soon") {
    fill_rack(500);
    scenario.RunPasses(1);
    submit(1);
    CHECK(TakeRacks(&scenario).empty());
    scenario.RunPasses(1);
    end_run(3);
    // The first pass learns of the end.
    scenario.RunPasses(2);
    CHECK(TakeRacks(&scenario) == Racks{"near"});
    CHECK(scenario.counters().value("locality", "waited_then_local") == 1);
  }
  // Guards against a hot rack for which everything waits.
  SUBCASE("of many tasks, those wait that get a place soon") {
    fill_rack(500);
    scenario.RunPasses(1);
    submit(20);
    CHECK(TakeRacks(&scenario) == Racks(12, "far"));
    CHECK(scenario.counters().value("locality_remote", "long_wait") == 12);
  }
  // Guards against two steps that expect the same places.
  SUBCASE("a second job doesn't expect places that the first one will take") {
    fill_rack(500);
    scenario.RunPasses(1);
    submit(8);
    CHECK(TakeRacks(&scenario).empty());
    scenario.SubmitAndStore(kSecond + 1, "plain", {StepOn("near", 1, 500)});
    scenario.RunPasses(1);
    CHECK(TakeRacks(&scenario) == Racks{"far"});
  }
  // Guards against a wait that lasts as long as a wrong expectation does.
  SUBCASE("a wait ends if the expected place doesn't open") {
    fill_rack(500);
    scenario.RunPasses(1);
    submit(1);
    CHECK(TakeRacks(&scenario).empty());
    scenario.RunPasses(kPassesOfExtraTime);
    CHECK(TakeRacks(&scenario) == Racks{"far"});
  }
  // Guards against a wait that each new expectation renews.
  SUBCASE("a wait ends though places open, if other work takes all of them") {
    fill_rack(500);
    scenario.RunPasses(1);
    submit(1);
    CHECK(TakeRacks(&scenario).empty());
    const auto is_started = [&scenario] {
      const std::vector<StartTask> starts = scenario.TakeStarts();
      return std::any_of(starts.begin(), starts.end(), [](const auto& start) {
        return start.task.step.job == jobs::JobKey(kSecond);
      });
    };
    bool started = false;
    for (std::uint32_t i = 0; i < kPassesOfExtraTime && !started; ++i) {
      end_run(i);
      scenario.SubmitAndStore(kSecond + 1 + i, "urgent",
                              {StepOn("near", 1, 400)});
      scenario.RunPasses(1);
      started = is_started();
    }
    CHECK(started);
  }
  // Guards against a change of owner that renews the wait more than once.
  SUBCASE("under the next owner, a wait starts anew once") {
    fill_rack(500);
    scenario.RunPasses(1);
    submit(1);
    scenario.RunPasses(2);
    scenario.TakeOver();
    scenario.RunPasses(kPassesOfExtraTime + 1);
    CHECK(TakeRacks(&scenario) == Racks{"far"});
  }
  SUBCASE("a task doesn't wait for a place that opens late") {
    fill_rack(5000);
    submit(1);
    CHECK(TakeRacks(&scenario) == Racks{"far"});
    CHECK(scenario.counters().value("locality_remote", "long_wait") == 1);
  }
  // Guards against waits for workers that take no more work.
  SUBCASE("a task doesn't wait for a rack that is drained") {
    fill_rack(500);
    scenario.DrainWorker("worker-0");
    scenario.DrainWorker("worker-1");
    scenario.RunPasses(1);
    submit(1);
    CHECK(TakeRacks(&scenario) == Racks{"far"});
    CHECK(scenario.counters().value("locality_remote", "no_local_worker") == 1);
  }
  SUBCASE("a task doesn't wait for a rack without workers") {
    scenario.SubmitAndStore(kSecond, "plain", {StepOn("nowhere", 1, 500)});
    scenario.RunPasses(1);
    CHECK(TakeRacks(&scenario) == Racks{"far"});
  }
  SUBCASE("a task doesn't wait for workers that the advisor doesn't allow") {
    fill_rack(500);
    scenario.RunPasses(1);
    scenario.SubmitAndStore(kSecond, "advised", {StepOn("near", 1, 500)});
    scenario.RunPasses(1);
    const std::vector<RequestAdvice> requests = scenario.TakeAdviceRequests();
    REQUIRE(requests.size() == 1);
    const std::vector<base::BackendId>& asked = requests[0].workers;
    CHECK(std::count(asked.begin(), asked.end(), base::BackendId("worker-0")) ==
          1);
    scenario.AnswerAdviceRequest(requests[0], {"worker-4"});
    scenario.RunPasses(1);
    CHECK(TakeRacks(&scenario) == Racks{"far"});
  }
}

TEST_CASE("data on a full rack, without a remote factor") {
  Scenario scenario(WithFactor(1));
  scenario.AddWorkers(1, "near");
  scenario.AddWorkers(3, "far");
  scenario.SubmitAndStore(kFirst, "plain", {StepOn("near", 4, 500)});
  scenario.RunPasses(1);
  REQUIRE(TakeRacks(&scenario) == Racks(4, "near"));
  scenario.SubmitAndStore(kSecond, "plain", {StepOn("near", 1, 500)});
  scenario.RunPasses(1);
  CHECK(TakeRacks(&scenario) == Racks{"far"});
  CHECK(scenario.counters().values().count({"locality", "local"}) == 0);
}

TEST_CASE("the workers that the advisor is asked about") {
  Scenario scenario(WithFactor(2));
  scenario.AddWorkers(30, "far");
  scenario.AddWorkers(10, "near");
  scenario.RunPasses(3);
  scenario.SubmitAndStore(kFirst, "advised", {StepOn("near", 1, 500)});
  scenario.RunPasses(1);
  const std::vector<RequestAdvice> requests = scenario.TakeAdviceRequests();
  REQUIRE(requests.size() == 1);
  const auto near = std::count_if(
      requests[0].workers.begin(), requests[0].workers.end(),
      [&](const auto& worker) { return scenario.RackOf(worker) == "near"; });
  // Guards against tasks that know no allowed worker of their rack, and against
  // those that know no other worker.
  CHECK(near == 10);
  CHECK(requests[0].workers.size() > 10);
  CHECK(requests[0].workers.size() < 40);
}

TEST_CASE("a gang of two that wants one rack, with a free worker on each") {
  Scenario scenario(WithFactor(2));
  scenario.AddWorkers(2, "a");
  scenario.AddWorkers(2, "b");
  scenario.RunPasses(3);
  const auto block = [&scenario](std::uint64_t key, const std::string& rack,
                                 int estimate_ms) {
    jobs::StepSpec blocker = StepOn(rack, 1, estimate_ms);
    blocker.needs.cpu = base::Millicores(4000);
    scenario.SubmitAndStore(key, "plain", {blocker});
  };
  jobs::StepSpec gang = Scenario::Gang(2);
  gang.prefers_one_rack = true;
  gang.estimate = milliseconds(2000);

  SUBCASE("waits for the rack that has room first, and keeps it free") {
    block(kFirst, "a", 600);
    block(kSecond, "b", 9000);
    scenario.RunPasses(1);
    REQUIRE(TakeRacks(&scenario) == Racks{"a", "b"});
    scenario.SubmitAndStore(kSecond + 1, "plain", {gang});
    scenario.RunPasses(2);
    CHECK(TakeRacks(&scenario).empty());
    // Guards against less urgent work that takes the place of the gang.
    const jobs::StepSpec small = StepOn("a", 4, 9000);
    scenario.SubmitAndStore(kSecond + 2, "plain", {small});
    scenario.RunPasses(1);
    CHECK(TakeRacks(&scenario) == Racks(4, "b"));
    scenario.EndRun({{jobs::JobKey(kFirst), 0, 0}, 0}, jobs::RunEnd::kDone);
    scenario.RunPasses(2);
    CHECK(TakeRacks(&scenario) == Racks(2, "a"));
    CHECK(scenario.counters().value("locality", "waited_then_local") == 2);
  }
  // Guards against a gang that is spread over two racks because one start was
  // lost.
  SUBCASE("stays on its rack when one start is not sent") {
    scenario.AddWorkers(2, "b");
    scenario.RunPasses(3);
    block(kFirst, "a", 9000);
    scenario.RunPasses(1);
    REQUIRE(TakeRacks(&scenario) == Racks{"a"});
    scenario.unsent_starts = 1;
    scenario.SubmitAndStore(kSecond, "plain", {gang});
    scenario.RunPasses(1);
    REQUIRE(TakeRacks(&scenario) == Racks(2, "b"));
    scenario.RunPasses(10);
    const Racks racks = TakeRacks(&scenario);
    CHECK_FALSE(racks.empty());
    CHECK(std::count(racks.begin(), racks.end(), "a") == 0);
  }
  SUBCASE("starts on two racks if both have no room for long") {
    block(kFirst, "a", 9000);
    block(kSecond, "b", 9000);
    scenario.RunPasses(1);
    REQUIRE(TakeRacks(&scenario) == Racks{"a", "b"});
    scenario.SubmitAndStore(kSecond + 1, "plain", {gang});
    scenario.RunPasses(1);
    CHECK(TakeRacks(&scenario) == Racks{"a", "b"});
    CHECK(scenario.counters().value("locality_remote", "no_local_worker") +
              scenario.counters().value("locality_remote", "long_wait") ==
          2);
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::scheduler
