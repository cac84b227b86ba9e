// Tests of the choice of runs to stop for waiting work, and of its limits.
#include "dotterelbarrow/core/placement/preemption_planner.h"

#include <doctest/doctest.h>

#include <set>

#include "dotterelbarrow/core/placement/kept_rooms.h"
#include "dotterelbarrow/core/placement/preemption_limits.h"

namespace dotterelbarrow::core::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::TimePoint kNow{seconds(100)};
constexpr PreemptionSettings kSettings{.stop_timeout = milliseconds(400),
                                       .restore_time = milliseconds(600)};

base::Resources CoresOf(int cores) {
  base::Resources resources;
  resources.cpu = base::Millicores(cores * 1000);
  return resources;
}

jobs::TaskRef TaskOf(std::uint32_t index) {
  return {{jobs::JobKey(1), 0, 0}, index};
}

// A batch run with checkpoints that may be stopped.
PreemptibleRun Batch(std::uint32_t index, int cores = 4) {
  PreemptibleRun run;
  run.task = TaskOf(index);
  run.attempt = jobs::Attempt(1);
  run.priority = 2;
  run.reserved = CoresOf(cores);
  run.writes_checkpoints = true;
  run.has_checkpoint = true;
  run.is_running = true;
  run.age = seconds(1);
  run.remaining = seconds(3);
  run.resume_by = kNow + seconds(12);
  run.job_core_seconds = 100;
  return run;
}

// A lookup of one task of five cores that is about to be late.
PreemptionRequest Lookup(std::vector<PreemptionCandidate> candidates) {
  PreemptionRequest request;
  request.latest_start = kNow + milliseconds(500);
  request.needs = CoresOf(5);
  request.run_time = seconds(1);
  request.job_core_seconds = 15;
  request.candidates = std::move(candidates);
  return request;
}

PreemptionCandidate FullWorker(int number, std::vector<PreemptibleRun> runs) {
  return {.worker = workers::WorkerNumber(static_cast<std::uint64_t>(number)),
          .runs = std::move(runs)};
}

PreemptionPlan PlanFor(const PreemptionRequest& request) {
  return PreemptionPlanner(kSettings).Plan(request, kNow);
}

TEST_CASE("a lookup that is about to be late in a fleet full of batch work") {
  SUBCASE("gets the room of as few runs as it needs") {
    const auto plan =
        PlanFor(Lookup({FullWorker(1, {Batch(0), Batch(1), Batch(2)})}));
    CHECK_FALSE(plan.refusal);
    CHECK(plan.stops.size() == 2);
    CHECK(plan.rooms == std::vector{workers::WorkerNumber(1)});
    CHECK(plan.gain > plan.cost);
  }
  SUBCASE("stops no run beside one that is large enough") {
    const auto plan =
        PlanFor(Lookup({FullWorker(1, {Batch(0, 1), Batch(1, 6)})}));
    REQUIRE(plan.stops.size() == 1);
    CHECK(plan.stops[0].run.task == TaskOf(1));
  }
  SUBCASE("uses the worker that costs the least") {
    auto with_room = FullWorker(2, {Batch(3), Batch(4)});
    with_room.free = CoresOf(2);
    const auto plan = PlanFor(
        Lookup({FullWorker(1, {Batch(0), Batch(1)}), std::move(with_room)}));
    REQUIRE(plan.stops.size() == 1);
    CHECK(plan.stops[0].worker == workers::WorkerNumber(2));
  }
  SUBCASE("prefers runs of jobs with more slack") {
    PreemptibleRun tight = Batch(0, 5);
    tight.resume_by = kNow + seconds(4);
    const auto plan = PlanFor(Lookup({FullWorker(1, {tight, Batch(1, 5)})}));
    REQUIRE(plan.stops.size() == 1);
    CHECK(plan.stops[0].run.task == TaskOf(1));
  }
  SUBCASE("stops nothing unless all its tasks get room") {
    auto request = Lookup({FullWorker(1, {Batch(0), Batch(1)})});
    request.tasks = 2;
    CHECK(PlanFor(request).refusal == PreemptionRefusal::kNoVictims);
    CHECK(PlanFor(request).stops.empty());
    request.candidates.push_back(FullWorker(2, {Batch(3), Batch(4)}));
    CHECK(PlanFor(request).stops.size() == 4);
  }
  SUBCASE("stops no run twice for two tasks on one worker") {
    auto request = Lookup({FullWorker(1, {Batch(0, 6), Batch(1, 6)})});
    request.tasks = 2;
    const auto plan = PlanFor(request);
    REQUIRE(plan.stops.size() == 2);
    CHECK(plan.stops[0].run.task != plan.stops[1].run.task);
    request.candidates[0].max_tasks = 1;
    CHECK(PlanFor(request).refusal == PreemptionRefusal::kNoVictims);
  }
  SUBCASE("stops nothing if it can still wait, or if a stop takes too long") {
    auto request = Lookup({FullWorker(1, {Batch(0), Batch(1)})});
    request.latest_start = kNow + seconds(1);
    CHECK(PlanFor(request).refusal == PreemptionRefusal::kNotDue);
    request.latest_start = kNow + milliseconds(399);
    CHECK(PlanFor(request).refusal == PreemptionRefusal::kTooLate);
  }
  SUBCASE("stops nothing if enough runs are expected to end in time") {
    std::vector<PreemptionCandidate> candidates;
    for (int i = 0; i < 6; ++i) {
      candidates.push_back(FullWorker(i, {Batch(0), Batch(1)}));
    }
    auto request = Lookup(std::move(candidates));
    for (std::size_t i = 0; i < 3; ++i) {
      CHECK_FALSE(PlanFor(request).refusal);
      request.candidates[i].fits_at = request.latest_start;
    }
    CHECK(PlanFor(request).refusal == PreemptionRefusal::kEndsInTime);
    // Others that come before it take that room.
    request.tasks_ahead = 1;
    CHECK_FALSE(PlanFor(request).refusal);
    // An end after the latest start is of no use.
    request.tasks_ahead = 0;
    request.candidates[0].fits_at = request.latest_start + milliseconds(1);
    CHECK_FALSE(PlanFor(request).refusal);
  }
  SUBCASE("stops nothing if that costs more than it saves") {
    auto request = Lookup({FullWorker(1, {Batch(0), Batch(1)})});
    request.job_core_seconds = 0.5;
    CHECK(PlanFor(request).refusal == PreemptionRefusal::kNotWorthwhile);
    // Runs without a reported checkpoint may lose all that they have done.
    request.job_core_seconds = 15;
    CHECK_FALSE(PlanFor(request).refusal);
    for (PreemptibleRun& run : request.candidates[0].runs) {
      run.has_checkpoint = false;
      run.age = seconds(30);
    }
    CHECK(PlanFor(request).refusal == PreemptionRefusal::kNotWorthwhile);
  }
  SUBCASE("doesn't make large jobs that are nearly late miss their time") {
    PreemptibleRun run = Batch(0, 5);
    run.job_core_seconds = 1000;
    run.resume_by = kNow + milliseconds(2500);
    CHECK(PlanFor(Lookup({FullWorker(1, {run})})).refusal ==
          PreemptionRefusal::kNotWorthwhile);
    // Nor those that will wait until they are nearly late.
    run.resume_by = kNow + seconds(30);
    CHECK_FALSE(PlanFor(Lookup({FullWorker(1, {run})})).refusal);
    run.least_waiting_slack = milliseconds(2000);
    CHECK(PlanFor(Lookup({FullWorker(1, {run})})).refusal ==
          PreemptionRefusal::kNotWorthwhile);
  }
}

TEST_CASE("priorities of victims") {
  auto request = Lookup({FullWorker(1, {Batch(0, 5)})});
  request.priority = 1;
  CHECK_FALSE(PlanFor(request).refusal);
  request.priority = 2;
  CHECK(PlanFor(request).refusal == PreemptionRefusal::kNoVictims);
  request.priority = 3;
  CHECK(PlanFor(request).refusal == PreemptionRefusal::kNoVictims);
}

TEST_CASE("runs that are never stopped") {
  const auto is_spared = [](const PreemptibleRun& run) {
    return PlanFor(Lookup({FullWorker(1, {run})})).refusal ==
           PreemptionRefusal::kNoVictims;
  };
  PreemptibleRun run = Batch(0, 5);
  REQUIRE_FALSE(is_spared(run));
  SUBCASE("those without checkpoints") { run.writes_checkpoints = false; }
  SUBCASE("members of gangs") { run.is_gang_member = true; }
  SUBCASE("serving and long-running ones, and suspects") {
    run.is_exempt = true;
  }
  SUBCASE("those that aren't known to run or are being stopped") {
    run.is_running = false;
  }
  SUBCASE("those that end about as soon as they would if stopped") {
    run.remaining = milliseconds(999);
  }
  SUBCASE("those of jobs without slack") {
    run.resume_by = kNow + milliseconds(2399);
  }
  SUBCASE("those that would keep nearly late work waiting") {
    run.least_waiting_slack = milliseconds(1999);
  }
  SUBCASE("those that were preempted twice") { run.preemptions = 2; }
  SUBCASE("those that were preempted just now") {
    run.preemptions = 1;
    run.last_preempted_at = kNow - milliseconds(4999);
  }
  CHECK(is_spared(run));
}

TEST_CASE("a large gang is only completed by stops") {
  std::vector<PreemptionCandidate> candidates;
  for (int i = 0; i < 8; ++i) {
    candidates.push_back(
        FullWorker(i, {Batch(static_cast<std::uint32_t>(i), 5)}));
  }
  auto request = Lookup(std::move(candidates));
  request.priority = 1;
  request.is_gang = true;
  request.tasks = 8;
  request.job_core_seconds = 1000;
  for (int i = 0; i < 3; ++i) {
    request.candidates[static_cast<std::size_t>(i)].free = CoresOf(5);
  }
  CHECK(PlanFor(request).refusal == PreemptionRefusal::kGangIncomplete);
  request.candidates[3].free = CoresOf(5);
  const auto plan = PlanFor(request);
  CHECK_FALSE(plan.refusal);
  CHECK(plan.stops.size() == 4);
  CHECK(plan.rooms.size() == 8);
}

TEST_CASE("limits of preemption per second and per task") {
  PreemptionLimits limits;
  limits.Refill(100, kNow);
  SUBCASE("a tenth of the running cores is stopped per second") {
    double stopped = 0;
    for (int ms = 0; ms < 10'000; ms += 10) {
      const base::TimePoint now = kNow + milliseconds(ms);
      limits.Refill(100, now);
      while (limits.HasBudget()) {
        limits.Record(TaskOf(0), 4, now);
        stopped += 4;
      }
    }
    CHECK(stopped >= 100);
    // The first second's budget, ten seconds' worth, and one run more.
    CHECK(stopped <= 10 + 100 + 4);
  }
  SUBCASE("preemptions are counted until the job ends") {
    limits.Record(TaskOf(7), 1, kNow);
    limits.Record(TaskOf(7), 1, kNow + seconds(6));
    CHECK(limits.Of(TaskOf(7)).count == 2);
    CHECK(limits.Of(TaskOf(7)).last == kNow + seconds(6));
    CHECK(limits.Of(TaskOf(8)).count == 0);
    limits.RemoveJob(jobs::JobKey(1));
    CHECK(limits.Of(TaskOf(7)).count == 0);
  }
}

TEST_CASE("rooms that are kept for steps") {
  const jobs::StepRef step{jobs::JobKey(1), 0, 0};
  const jobs::StepRef other{jobs::JobKey(2), 0, 0};
  const workers::WorkerNumber first(1);
  const workers::WorkerNumber second(2);
  KeptRooms rooms;
  rooms.Keep(step, {first, first, second}, CoresOf(5), kNow + seconds(1));
  const auto keep_all = [](const jobs::StepRef&) { return false; };
  SUBCASE("are kept from other steps only") {
    CHECK(rooms.KeptForOthers(other, first) == CoresOf(10));
    CHECK(rooms.KeptForOthers(step, first) == CoresOf(0));
    CHECK(rooms.IsKeptFor(step, second));
    CHECK_FALSE(rooms.IsKeptFor(other, second));
  }
  SUBCASE("are released one by one as tasks are placed, also elsewhere") {
    rooms.OnPlaced(step, first);
    CHECK(rooms.KeptForOthers(other, first) == CoresOf(5));
    rooms.OnPlaced(step, workers::WorkerNumber(9));
    rooms.OnPlaced(step, workers::WorkerNumber(9));
    CHECK(rooms.empty());
    CHECK(rooms.KeptForOthers(other, first) == CoresOf(0));
  }
  SUBCASE("are released when their time has passed") {
    rooms.ReleaseIf(keep_all, kNow + milliseconds(999));
    CHECK(rooms.IsKeptFor(step));
    rooms.ReleaseIf(keep_all, kNow + seconds(1));
    CHECK(rooms.empty());
    CHECK(rooms.KeptForOthers(other, second) == CoresOf(0));
  }
  SUBCASE("are released when the step is gone") {
    rooms.Keep(other, {first}, CoresOf(1), kNow + seconds(1));
    rooms.ReleaseIf([&](const jobs::StepRef& ref) { return ref == step; },
                    kNow);
    CHECK_FALSE(rooms.IsKeptFor(step));
    CHECK(rooms.KeptForOthers(step, first) == CoresOf(1));
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::placement
