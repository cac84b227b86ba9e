// Preemption of batch work for lookups and gangs that would be late otherwise,
// with lost and late stops, an owner that changes and a job that is cancelled
// in between.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "test/core/scheduler/scheduler_scenario.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using Scenario = SchedulerScenario;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kBatch = 1;
constexpr std::uint64_t kLookup = 2;
constexpr std::uint64_t kOther = 3;
constexpr std::size_t kCores = 4;
constexpr base::Duration kPassInterval = milliseconds(10);
// A lookup of the queue "urgent" is due after 1.5 x 0.5 s + 0.25 s, and takes
// half a second.
constexpr base::Duration kLookupSlack = milliseconds(500);

SchedulerSettings WithPreemption() {
  SchedulerSettings settings;
  settings.dispatcher.preemption = {.stop_timeout = milliseconds(400),
                                    .restore_time = milliseconds(250)};
  return settings;
}

jobs::StepSpec BatchStep(std::uint32_t tasks) {
  jobs::StepSpec step = Scenario::Step(tasks);
  step.estimate = seconds(30);
  step.checkpoints = true;
  return step;
}

jobs::TaskRef TaskOf(std::uint64_t job, std::uint32_t index = 0) {
  return {{jobs::JobKey(job), 0, 0}, index};
}

void Run(Scenario* scenario, base::Duration duration) {
  for (base::Duration passed{0}; passed < duration; passed += kPassInterval) {
    scenario->Advance(kPassInterval);
    scenario->RunPass();
    scenario->Store();
    for (const jobs::TaskRef& task : scenario->RunningOn("worker-0")) {
      CAPTURE(jobs::ToString(task));
      CHECK(scenario->RunningOn("worker-0").size() <= kCores);
    }
  }
}

// Has batch work fill `workers` workers for a second, long enough for its first
// checkpoints.
void FillWithBatch(Scenario* scenario, int workers = 1) {
  scenario->writes_checkpoints = true;
  scenario->stop_duration = milliseconds(200);
  scenario->AddWorkers(workers);
  scenario->SubmitAndStore(
      kBatch, "batch",
      {BatchStep(static_cast<std::uint32_t>(workers) * kCores)});
  Run(scenario, seconds(1));
  REQUIRE(scenario->TakeStarts().size() ==
          static_cast<std::size_t>(workers) * kCores);
}

// Returns the starts of tasks of the job since the last call.
std::vector<StartTask> StartsOf(Scenario* scenario, std::uint64_t job) {
  std::vector<StartTask> starts = scenario->TakeStarts();
  std::erase_if(starts, [job](const StartTask& start) {
    return start.task.step.job != jobs::JobKey(job);
  });
  return starts;
}

TEST_CASE("a lookup in a fleet that batch work fills") {
  Scenario scenario(WithPreemption());
  FillWithBatch(&scenario);
  scenario.SubmitAndStore(kLookup, "urgent", {Scenario::Step(1)});

  SUBCASE("starts in time, and the batch task resumes from its checkpoint") {
    Run(&scenario, kLookupSlack);
    REQUIRE(StartsOf(&scenario, kLookup).size() == 1);
    const std::vector<StopTask> stops = scenario.TakeStops();
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].task.step.job == jobs::JobKey(kBatch));
    CHECK(scenario.counters().value("runs_preempted", "for_tasks") == 1);

    scenario.EndRun(TaskOf(kLookup), jobs::RunEnd::kDone);
    // Until then the room is left to further lookups.
    Run(&scenario, seconds(1));
    const std::vector<StartTask> resumed = StartsOf(&scenario, kBatch);
    REQUIRE(resumed.size() == 1);
    CHECK(resumed[0].task == stops[0].task);
    CHECK(resumed[0].attempt > stops[0].attempt);
    CHECK(resumed[0].checkpoint ==
          "checkpoint of attempt " + std::to_string(stops[0].attempt.value()));
  }
  SUBCASE("starts in time although the answer to the stop is lost") {
    scenario.loses_stop_answers = true;
    Run(&scenario, kLookupSlack);
    CHECK(StartsOf(&scenario, kLookup).size() == 1);
  }
  SUBCASE("does not start on top of a run whose stop is lost") {
    scenario.loses_stops = true;
    Run(&scenario, seconds(3));
    CHECK(StartsOf(&scenario, kLookup).empty());
    // The stop is repeated; no other run is stopped in its place.
    const std::vector<StopTask> stops = scenario.TakeStops();
    REQUIRE(stops.size() >= 2);
    CHECK(std::all_of(stops.begin(), stops.end(), [&](const StopTask& stop) {
      return stop.task == stops[0].task;
    }));
    // By now the lookup is late, and work that can be on time comes before it.
    scenario.loses_stops = false;
    Run(&scenario, seconds(1));
    CHECK(StartsOf(&scenario, kBatch).size() == 1);
    scenario.EndRun(TaskOf(kBatch, 0), jobs::RunEnd::kDone);
    Run(&scenario, seconds(1));
    CHECK(StartsOf(&scenario, kLookup).size() == 1);
  }
  SUBCASE("starts late after a stop that takes longer than it may") {
    scenario.stop_duration = seconds(1);
    Run(&scenario, milliseconds(900));
    CHECK(scenario.TakeStarts().empty());
    // The room isn't kept for it any more, but batch work still leaves it.
    Run(&scenario, milliseconds(400));
    CHECK(StartsOf(&scenario, kLookup).size() == 1);
    for (const StopTask& stop : scenario.TakeStops()) {
      CHECK(stop.task == TaskOf(kBatch, 0));
    }
  }
  SUBCASE("starts under another owner that takes over during the stop") {
    Run(&scenario, milliseconds(50));
    REQUIRE(scenario.TakeStops().size() == 1);
    scenario.TakeOver();
    Run(&scenario, seconds(2));
    CHECK(scenario.RunningOn("worker-0").contains(TaskOf(kLookup)));
    scenario.EndRun(TaskOf(kLookup), jobs::RunEnd::kDone);
    Run(&scenario, seconds(1));
    CHECK(scenario.RunningOn("worker-0").size() == kCores);
  }
  SUBCASE("that is cancelled during the stop leaves the room to others") {
    Run(&scenario, milliseconds(50));
    REQUIRE(scenario.TakeStops().size() == 1);
    scenario.scheduler().Cancel(jobs::JobKey(kLookup), WaiterId(99),
                                scenario.now());
    // Batch work avoids the worker for 1.4 s after the stop.
    Run(&scenario, milliseconds(1500));
    CHECK(StartsOf(&scenario, kBatch).size() == 1);
    CHECK(scenario.RunningOn("worker-0").size() == kCores);
  }
  SUBCASE("that ends up elsewhere leaves the room to others") {
    Run(&scenario, milliseconds(50));
    scenario.AddWorkers(1);
    Run(&scenario, milliseconds(100));
    CHECK(scenario.WorkerOf(TaskOf(kLookup)) == "worker-1");
    Run(&scenario, milliseconds(200));
    CHECK(StartsOf(&scenario, kBatch).size() == 1);
  }
}

TEST_CASE("work that is not stopped for a lookup") {
  SUBCASE("without limits for stops in the settings") {
    Scenario scenario;
    FillWithBatch(&scenario);
    scenario.SubmitAndStore(kLookup, "urgent", {Scenario::Step(1)});
    Run(&scenario, seconds(2));
    CHECK(scenario.TakeStops().empty());
  }
  SUBCASE("of an organisation at its cap") {
    Scenario scenario(WithPreemption());
    FillWithBatch(&scenario);
    scenario.SetCap(kCores);
    scenario.SubmitAndStore(kLookup, "urgent", {Scenario::Step(1)});
    Run(&scenario, seconds(2));
    CHECK(scenario.TakeStops().empty());
  }
  SUBCASE("because its tasks write no checkpoints, or have its priority") {
    for (const char* queue : {"batch", "plain"}) {
      Scenario scenario(WithPreemption());
      scenario.writes_checkpoints = true;
      scenario.AddWorkers(1);
      jobs::StepSpec step = BatchStep(kCores);
      step.checkpoints = std::string(queue) == "plain";
      scenario.SubmitAndStore(kBatch, queue, {step});
      Run(&scenario, seconds(1));
      scenario.SubmitAndStore(kLookup, "urgent", {Scenario::Step(1)});
      Run(&scenario, seconds(2));
      CHECK(scenario.TakeStops().empty());
      CHECK(scenario.counters().value("preemptions_refused", "no_victims") ==
            1);
    }
  }
  SUBCASE("because the lookup gets free room") {
    Scenario scenario(WithPreemption());
    FillWithBatch(&scenario);
    scenario.AddWorkers(1);
    scenario.SubmitAndStore(kLookup, "urgent", {Scenario::Step(kCores)});
    Run(&scenario, seconds(1));
    CHECK(StartsOf(&scenario, kLookup).size() == kCores);
    CHECK(scenario.TakeStops().empty());
  }
}

// Guards against freed room that goes to work for which it wasn't made: to the
// batch task that was stopped first, or to a smaller lookup that came later.
TEST_CASE("room that becomes free in parts") {
  for (const char* other : {"batch", "urgent"}) {
    CAPTURE(other);
    Scenario scenario(WithPreemption());
    FillWithBatch(&scenario);
    jobs::StepSpec step = Scenario::Step(1);
    step.needs.cpu = base::Millicores(2000);
    scenario.SubmitAndStore(kLookup, "urgent", {step});
    Run(&scenario, milliseconds(50));
    scenario.SubmitAndStore(kOther, other, {Scenario::Step(1)});
    const std::vector<StopTask> stops = scenario.TakeStops();
    REQUIRE(stops.size() == 2);
    scenario.EndRun(stops[0].task, jobs::RunEnd::kDone);
    Run(&scenario, milliseconds(100));
    CHECK(scenario.TakeStarts().empty());
    Run(&scenario, milliseconds(200));
    const std::vector<StartTask> starts = scenario.TakeStarts();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].task == TaskOf(kLookup));
  }
}

// Guards against further stops for a step before the first ones have ended. The
// fleet is large enough for several within the limit per second.
TEST_CASE("a lookup whose stop is under way") {
  Scenario scenario(WithPreemption());
  FillWithBatch(&scenario, 10);
  scenario.stop_duration = milliseconds(350);
  scenario.SubmitAndStore(kLookup, "urgent", {Scenario::Step(1)});
  Run(&scenario, kLookupSlack);
  CHECK(StartsOf(&scenario, kLookup).size() == 1);
  CHECK(scenario.TakeStops().size() == 1);
}

// Guards against batch work that makes no progress in a burst of lookups.
TEST_CASE("a stream of lookups") {
  Scenario scenario(WithPreemption());
  FillWithBatch(&scenario);
  std::map<jobs::TaskRef, std::vector<base::TimePoint>> stops;
  for (std::uint64_t job = 10; job < 210; ++job) {
    scenario.SubmitAndStore(job, "urgent", {Scenario::Step(1)});
    Run(&scenario, milliseconds(200));
    scenario.EndRun(TaskOf(job - 3), jobs::RunEnd::kDone);
    for (const StopTask& stop : scenario.TakeStops()) {
      stops[stop.task].push_back(scenario.now());
    }
  }
  CHECK(stops.size() == kCores);
  std::size_t total = 0;
  for (const auto& [task, times] : stops) {
    CAPTURE(jobs::ToString(task));
    total += times.size();
    CHECK(times.size() <= 2);
    if (times.size() == 2) {
      CHECK(times[1] - times[0] >= seconds(5));
    }
  }
  // Each stop takes a core of four, a tenth of which may be stopped per second.
  CHECK(total >= kCores);
}

TEST_CASE("a gang in a fleet that batch work fills") {
  Scenario scenario(WithPreemption());
  FillWithBatch(&scenario, 2);
  // Due after 10 x 0.5 s + 5 s.
  scenario.SubmitAndStore(kLookup, "gangs", {Scenario::Gang(2)});
  SUBCASE("waits as long as it can and then starts in time") {
    Run(&scenario, milliseconds(8900));
    CHECK(scenario.TakeStops().empty());
    CHECK(StartsOf(&scenario, kLookup).empty());
    Run(&scenario, milliseconds(600));
    CHECK(StartsOf(&scenario, kLookup).size() == 2);
    CHECK(scenario.TakeStops().size() == 2 * kCores);
    CHECK(scenario.counters().value("runs_preempted", "for_gang") ==
          2 * kCores);
  }
  SUBCASE("is itself not stopped for lookups") {
    Run(&scenario, milliseconds(9500));
    REQUIRE(StartsOf(&scenario, kLookup).size() == 2);
    scenario.TakeStops();
    scenario.SubmitAndStore(kOther, "urgent", {Scenario::Step(1)});
    Run(&scenario, seconds(1));
    CHECK(scenario.TakeStops().empty());
  }
}

TEST_CASE("a lookup with placement advice in a full fleet") {
  SchedulerSettings settings = WithPreemption();
  Scenario scenario(settings);
  FillWithBatch(&scenario, 2);
  scenario.SubmitAndStore(kLookup, "advised", {Scenario::Step(1)});
  // Due after 10 x 0.52 s + 5 s. Advice is requested shortly before the stop.
  Run(&scenario, milliseconds(9180));
  std::vector<RequestAdvice> requests = scenario.TakeAdviceRequests();
  REQUIRE(requests.size() == 1);
  scenario.AnswerAdviceRequest(requests[0], {"worker-1"});
  Run(&scenario, milliseconds(600));
  CHECK(scenario.WorkerOf(TaskOf(kLookup)) == "worker-1");
  const std::vector<StopTask> stops = scenario.TakeStops();
  REQUIRE(stops.size() == 1);
  CHECK(stops[0].worker.id.value() == "worker-1");
}

}  // namespace
}  // namespace dotterelbarrow::core::scheduler
