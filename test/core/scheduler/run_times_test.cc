// Learning from the runs of a scheduler, placing by speed, and a new owner.
#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "dotterelbarrow/core/scheduler/run_time_summary.h"
#include "test/core/scheduler/scheduler_scenario.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using Scenario = SchedulerScenario;

const base::BackendId kSlow("worker-0");
constexpr int kWorkers = 6;

double SlownessOf(Scenario* scenario, const base::BackendId& worker) {
  const Scheduler& scheduler = scenario->scheduler();
  return scheduler.run_times().SlownessOf(
      scheduler.fleet().workers().at(worker).number());
}

// Runs a job with one task on each worker. The task on worker-0 takes
// `slow_passes` of 100 ms, the others five.
void RunOnAll(Scenario* scenario, std::uint64_t key, int slow_passes,
              bool is_gang = false) {
  jobs::StepSpec step = Scenario::Step(kWorkers);
  step.max_per_worker = 1;
  step.gang = is_gang;
  scenario->SubmitAndStore(key, "plain", {step});
  scenario->RunPasses(1);
  const std::vector<StartTask> starts = scenario->TakeStarts();
  REQUIRE(starts.size() == kWorkers);
  scenario->RunPasses(5);
  for (const StartTask& start : starts) {
    if (start.worker.id != kSlow) {
      scenario->EndRun(start.task, jobs::RunEnd::kDone);
    }
  }
  scenario->RunPass();
  scenario->RunPasses(slow_passes - 5);
  for (const StartTask& start : starts) {
    if (start.worker.id == kSlow) {
      scenario->EndRun(start.task, jobs::RunEnd::kDone);
    }
  }
  scenario->RunPasses(5);
  scenario->Store();
}

// Has learnt that worker-0 takes twice as long as the others.
void LearnSlowWorker(Scenario* scenario) {
  scenario->AddWorkers(kWorkers);
  for (std::uint64_t key = 1; key <= 6; ++key) {
    RunOnAll(scenario, key, 10);
  }
}

// Starts a task that leaves least room on worker-0, then an urgent one;
// returns the urgent one's worker.
base::BackendId PlaceUrgent(Scenario* scenario) {
  jobs::StepSpec urgent = Scenario::Step(1);
  urgent.needs.cpu = base::Millicores(3000);
  scenario->ResizeWorker(kSlow.value(), 3);
  scenario->RunPasses(1);
  scenario->TakeStarts();
  scenario->SubmitAndStore(100, "urgent", {urgent});
  scenario->RunPasses(1);
  const std::vector<StartTask> starts = scenario->TakeStarts();
  REQUIRE(starts.size() == 1);
  return starts[0].worker.id;
}

// Guards against lookups on workers where they are late although they never
// wait, the main loss of customer Z.
TEST_CASE("urgent work avoids a slow worker") {
  Scenario scenario;
  SUBCASE("that is known") {
    LearnSlowWorker(&scenario);
    CHECK(SlownessOf(&scenario, kSlow) > 1.25);
    CHECK(SlownessOf(&scenario, base::BackendId("worker-1")) < 1.1);
    CHECK(PlaceUrgent(&scenario) != kSlow);
  }
  SUBCASE("but packing decides where nothing is known") {
    scenario.AddWorkers(kWorkers);
    CHECK(PlaceUrgent(&scenario) == kSlow);
  }
}

// Guards against urgent work that waits for a fast worker while a slow one is
// free.
TEST_CASE("urgent work takes a slow worker if no other is free") {
  Scenario scenario;
  LearnSlowWorker(&scenario);
  jobs::StepSpec filler = Scenario::Step(kWorkers);
  filler.needs.cpu = base::Millicores(4000);
  scenario.SubmitAndStore(50, "plain", {filler});
  scenario.RunPasses(1);
  for (const StartTask& start : scenario.TakeStarts()) {
    if (start.worker.id == kSlow) {
      scenario.EndRun(start.task, jobs::RunEnd::kDone);
    }
  }
  scenario.RunPasses(1);
  scenario.SubmitAndStore(100, "urgent", {Scenario::Step(1)});
  scenario.RunPasses(1);
  const std::vector<StartTask> starts = scenario.TakeStarts();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].worker.id == kSlow);
}

// Starts a task of three cores; returns its worker.
base::BackendId PlaceLarge(Scenario* scenario, std::uint64_t key,
                           const std::string& queue, int estimate_ms) {
  jobs::StepSpec large = Scenario::Step(1);
  large.needs.cpu = base::Millicores(3000);
  large.estimate = std::chrono::milliseconds(estimate_ms);
  scenario->TakeStarts();
  scenario->SubmitAndStore(key, queue, {large});
  scenario->RunPasses(1);
  const std::vector<StartTask> starts = scenario->TakeStarts();
  REQUIRE(starts.size() == 1);
  return starts[0].worker.id;
}

// Guards against workers that are kept free for a gang although others are
// free sooner, because a queue's estimates are far too low.
TEST_CASE("workers are kept for a gang where runs are expected to end") {
  Scenario scenario;
  scenario.AddWorkers(2);
  bool is_known = false;
  SUBCASE("by the estimates") {}
  SUBCASE("by the queue's run times") {
    is_known = true;
    for (std::uint64_t key = 1; key <= 20; ++key) {
      scenario.SubmitAndStore(key, "plain", {Scenario::Step(1)});
      scenario.RunPasses(20);
      for (const StartTask& start : scenario.TakeStarts()) {
        scenario.EndRun(start.task, jobs::RunEnd::kDone);
      }
      scenario.RunPasses(2);
      scenario.Store();
    }
  }
  // The first is estimated to end sooner, but its queue's tasks take four times
  // as long as estimated.
  const base::BackendId first = PlaceLarge(&scenario, 50, "plain", 500);
  const base::BackendId second = PlaceLarge(&scenario, 51, "urgent", 1000);
  REQUIRE(first != second);
  scenario.SubmitAndStore(60, "plain", {Scenario::Gang(1)});
  scenario.RunPasses(1);
  REQUIRE(scenario.TakeStarts().empty());
  scenario.SubmitAndStore(61, "urgent", {Scenario::Step(1)});
  scenario.RunPasses(1);
  const std::vector<StartTask> starts = scenario.TakeStarts();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].worker.id == (is_known ? first : second));
}

// Guards against a row that the store refuses: it holds 64 KB, and the summary
// should take some kilobytes.
TEST_CASE("the largest summary") {
  RunTimeSummary summary;
  for (int i = 0; i < 150; ++i) {
    summary.workers[base::BackendId("i-94e29849" + std::to_string(100 + i))] = {
        1'765'000'000'000, -0.4321, 213.4};
  }
  for (int i = 0; i < 100; ++i) {
    summary.queues[desired::QueueId("organisation-lookups" +
                                    std::to_string(i))] = {
        .weight = 52.123,
        .estimate = -0.4321,
        .run_time = -0.4321,
        .estimate_squared = 0.4321,
        .run_time_squared = 0.4321,
        .product = 0.4321,
        .noise = 0.0625};
  }
  const std::string text = EncodeRunTimeSummary(summary);
  CHECK(text.size() < std::size_t{20} * 1024);
  base::Failure reason;
  const auto read = DecodeRunTimeSummary(text, &reason);
  REQUIRE(read);
  CHECK(read->workers.size() == 150);
  CHECK(read->queues.size() == 100);
}

// Guards against samples that say nothing about one worker's speed.
TEST_CASE("runs that are not used") {
  Scenario scenario;
  scenario.AddWorkers(kWorkers);
  SUBCASE("of gangs, whose members end with the slowest") {
    for (std::uint64_t key = 1; key <= 6; ++key) {
      RunOnAll(&scenario, key, 5, true);
    }
  }
  SUBCASE("of long-running steps") {
    jobs::StepSpec step = Scenario::Step(kWorkers);
    step.long_running = true;
    scenario.SubmitAndStore(1, "plain", {step});
    scenario.RunPasses(20);
    for (const StartTask& start : scenario.TakeStarts()) {
      scenario.EndRun(start.task, jobs::RunEnd::kDone);
    }
    scenario.RunPasses(2);
  }
  CHECK(scenario.scheduler().run_times().known_workers() == 0);
}

// Guards against an owner change after which everything is learnt anew, and
// against what is not true any more.
TEST_CASE("a new owner") {
  Scenario scenario;
  LearnSlowWorker(&scenario);
  SUBCASE("knows the slow worker") {
    scenario.TakeOver();
    scenario.RunPasses(2);
    CHECK(SlownessOf(&scenario, kSlow) > 1.25);
    CHECK(SlownessOf(&scenario, base::BackendId("worker-1")) < 1.1);
    CHECK(scenario.scheduler().run_times().IsKnown(desired::QueueId("plain")));
  }
  SUBCASE("finds another incarnation of it") {
    scenario.SubmitAndStore(50, "plain", {Scenario::Step(4 * kWorkers)});
    scenario.RunPasses(1);
    for (const StartTask& start : scenario.TakeStarts()) {
      if (start.worker.id == kSlow) {
        scenario.CrashWorkerOf(start.task);
        break;
      }
    }
    scenario.TakeOver();
    scenario.RunPasses(2);
    CHECK(SlownessOf(&scenario, kSlow) == 1);
  }
  SUBCASE("can't read the summary") {
    base::Failure reason;
    for (const std::string text :
         {"", "{", "[]", "null", R"({"version":1,"known":1,"workers":[]})",
          R"({"version":2,"known":1,"workers":[],"queues":[]})"}) {
      CAPTURE(text);
      CHECK_FALSE(DecodeRunTimeSummary(text, &reason));
      scenario.scheduler().RestoreRunTimes("summary", text, scenario.now());
    }
    CHECK(SlownessOf(&scenario, kSlow) > 1.25);
  }
}

// Guards against one malformed entry that costs a new owner all others, and
// against its use.
TEST_CASE("a summary with entries that can't be read") {
  const std::string text = R"({"version": 1, "known": 4, "workers": [
      ["good", 1, 468, 210], ["w", 1, 1e300, 1], ["w", 1, 0, -1], ["w", 1],
      [1, 1, 1, 1], "w"],
      "queues": [["q", 1], ["good", 52.1, -0.4, -0.5, 0.3, 0.4, 0.3, 0.06],
      ["q", 1e300, 0, 0, 0, 0, 0, 0], ["q", -1, 0, 0, 0, 0, 0, 0],
      ["q", 9, 0, 0, 0, 0, 0, -1], ["q", "9", 0, 0, 0, 0, 0, 0], {}]})";
  base::Failure reason;
  const auto read = DecodeRunTimeSummary(text, &reason);
  REQUIRE(read);
  CHECK(read->workers.size() == 1);
  CHECK(read->workers.contains(base::BackendId("good")));
  CHECK(read->queues.size() == 1);
  CHECK(read->queues.contains(desired::QueueId("good")));
  CHECK(read->unreadable_entries.size() == 11);
  Scenario scenario;
  scenario.scheduler().RestoreRunTimes("summary", text, scenario.now());
  const placement::RunTimeModel& model = scenario.scheduler().run_times();
  CHECK(model.IsKnown(desired::QueueId("good")));
  CHECK_FALSE(model.IsKnown(desired::QueueId("q")));
  CHECK(scenario.counters().value("run_times_not_restored",
                                  "unreadable_entry") == 11);
}

// Guards against text that isn't JSON, and against values that no model has on
// purpose.
TEST_CASE("a summary of values that are not finite") {
  const double inf = std::numeric_limits<double>::infinity();
  const double nan = std::numeric_limits<double>::quiet_NaN();
  RunTimeSummary summary;
  summary.workers[base::BackendId("good")] = {1, 0.5, 20};
  summary.queues[desired::QueueId("good")] = {.weight = 20, .noise = 0.1};
  for (const double value : {inf, -inf, nan}) {
    const std::string name = std::to_string(value);
    summary.workers[base::BackendId("slowness " + name)] = {1, value, 20};
    summary.workers[base::BackendId("weight " + name)] = {1, 0.5, value};
    summary.queues[desired::QueueId("weight " + name)] = {.weight = value};
    summary.queues[desired::QueueId("run time " + name)] = {.weight = 20,
                                                            .run_time = value};
  }
  base::Failure reason;
  const auto read =
      DecodeRunTimeSummary(EncodeRunTimeSummary(summary), &reason);
  REQUIRE(read);
  CHECK(read->workers.size() == 1);
  CHECK(read->queues.size() == 1);
  CHECK(read->unreadable_entries.empty());
}

}  // namespace
}  // namespace dotterelbarrow::core::scheduler
