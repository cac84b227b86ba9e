// A worker's capacity shrinks while it runs tasks, and grows again: nothing is
// started that the smaller capacity doesn't hold.
#include <doctest/doctest.h>

#include "test/core/scheduler/scheduler_scenario.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using Scenario = SchedulerScenario;

constexpr std::uint64_t kJob = 1;
constexpr std::uint64_t kOtherJob = 2;
// The cap of the organisation in cores, and how many of them are in use.
constexpr int kCap = 8;
constexpr std::uint32_t kRunning = 6;

jobs::TaskRef TaskOf(std::uint64_t job, std::uint32_t index) {
  return {{jobs::JobKey(job), 0, 0}, index};
}

TEST_CASE("a worker's capacity shrinks below what runs there") {
  Scenario scenario;
  scenario.AddWorkers(1);
  scenario.SubmitAndStore(kJob, "plain", {Scenario::Step(3)});
  scenario.RunPasses(1);
  REQUIRE(scenario.TakeStarts().size() == 3);
  scenario.ResizeWorker("worker-0", 2);
  scenario.SubmitAndStore(kOtherJob, "plain", {Scenario::Step(2)});
  scenario.RunPasses(2);

  SUBCASE("nothing more is started there") {
    CHECK(scenario.TakeStarts().empty());
  }
  SUBCASE("nor when the owner changes") {
    scenario.TakeOver();
    scenario.RunPasses(5);
    CHECK(scenario.TakeStarts().empty());
  }
  SUBCASE("nor as long as what is left fills it") {
    scenario.EndRun(TaskOf(kJob, 0), jobs::RunEnd::kDone);
    scenario.RunPasses(20);
    CHECK(scenario.TakeStarts().empty());
    scenario.EndRun(TaskOf(kJob, 1), jobs::RunEnd::kDone);
    scenario.RunPasses(20);
    CHECK(scenario.TakeStarts().size() == 1);
  }
  SUBCASE("what is being stopped still counts") {
    scenario.unresponsive_workers = {"worker-0"};
    scenario.scheduler().Cancel(jobs::JobKey(kJob), WaiterId(100),
                                scenario.now());
    scenario.RunPasses(3);
    scenario.unresponsive_workers.clear();
    CHECK(scenario.TakeStarts().empty());
    scenario.RunPasses(20);
    CHECK(scenario.TakeStarts().size() == 2);
  }
  SUBCASE("more is started once it grows again") {
    scenario.ResizeWorker("worker-0", 4);
    scenario.RunPasses(1);
    CHECK(scenario.TakeStarts().size() == 1);
  }
}

TEST_CASE("a worker's capacity shrinks while starts wait for new tickets") {
  Scenario scenario;
  scenario.AddWorkers(2);
  scenario.Submit(kJob, "advised", {Scenario::Step(4)});
  scenario.RunPasses(1);
  scenario.AnswerAdviceRequest(scenario.TakeAdviceRequests().at(0),
                               {"worker-0"});
  scenario.Advance(Scenario::kTicketValidity);
  scenario.Store();
  scenario.RunPasses(1);
  // The tasks are placed on the worker, and wait for tickets that are valid.
  REQUIRE(scenario.TakeStarts().empty());
  const auto requests = scenario.TakeAdviceRequests();
  REQUIRE_FALSE(requests.empty());
  scenario.ResizeWorker("worker-0", 2);
  scenario.RunPasses(1);

  SUBCASE("only those are started that it holds") {
    scenario.AnswerAdviceRequest(requests.at(0), {"worker-0"});
    CHECK(scenario.TakeStarts().size() == 2);
    scenario.RunPasses(5);
    CHECK(scenario.TakeStarts().empty());
  }
  SUBCASE("all are if it has grown again") {
    scenario.ResizeWorker("worker-0", 4);
    scenario.RunPass();
    scenario.AnswerAdviceRequest(requests.at(0), {"worker-0"});
    CHECK(scenario.TakeStarts().size() == 4);
  }
}

// Guards against an organisation that exceeds its cap: a new owner that doesn't
// know the runs of a worker counted only what fits into its capacity now.
TEST_CASE("a worker shrinks below what runs there, and the owner changes") {
  Scenario scenario;
  scenario.AddWorkers(1);
  scenario.SetCap(kCap);
  const auto start_job = [&scenario] {
    scenario.SubmitAndStore(kJob, "plain", {Scenario::Step(kRunning)});
    scenario.RunPasses(1);
    REQUIRE(scenario.TakeStarts().size() == kRunning);
  };
  // Lets the owner change while the first worker doesn't answer.
  const auto count_starts_of_next_owner = [&scenario] {
    scenario.unresponsive_workers = {"worker-0"};
    scenario.TakeOver();
    scenario.SubmitAndStore(kOtherJob, "plain", {Scenario::Step(kCap)});
    scenario.RunPasses(10);
    return scenario.TakeStarts().size();
  };
  scenario.ResizeWorker("worker-0", kRunning);
  scenario.RunPasses(1);
  scenario.Store();

  SUBCASE("the runs count as before, although they exceed the capacity") {
    start_job();
    scenario.ResizeWorker("worker-0", 1);
    scenario.RunPasses(1);
    scenario.Store();
    scenario.AddWorkers(3);
    CHECK(count_starts_of_next_owner() == kCap - kRunning);
  }
  SUBCASE("also if its record was written after it had shrunk") {
    start_job();
    scenario.ResizeWorker("worker-0", 1);
    scenario.RunPasses(1);
    scenario.unresponsive_workers = {"worker-0"};
    for (int i = 0; i < 12; ++i) {
      scenario.RunPasses(1);
      scenario.Store();
    }
    scenario.AddWorkers(3);
    CHECK(count_starts_of_next_owner() == kCap - kRunning);
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::scheduler
