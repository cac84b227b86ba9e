// Ends that workers report of runs that this owner has no books for.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <vector>

#include "test/core/scheduler/scheduler_scenario.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using Scenario = SchedulerScenario;
using jobs::JobState;
using jobs::RunEnd;
using std::chrono::milliseconds;

constexpr std::uint64_t kJob = 1;
// In this many passes the leases of an unresponsive worker have expired.
constexpr int kPassesToExpire = 120;

jobs::TaskRef TaskOf(std::uint32_t index, std::uint32_t occurrence = 0) {
  return {{jobs::JobKey(kJob), occurrence, 0}, index};
}

std::optional<JobState> StateOf(Scenario* scenario) {
  return scenario->scheduler().StateOf(jobs::JobKey(kJob));
}

std::uint64_t Successes(const Scenario& scenario, const std::string& why) {
  return scenario.counters().value("untracked_successes", why);
}

// Runs passes, and stores what has changed after each.
void RunAndStore(Scenario* scenario, int passes) {
  for (int i = 0; i < passes; ++i) {
    scenario->RunPasses(1);
    scenario->Store();
  }
}

// Guards against a second start of a task after its success that leaves no
// trace at the owner that acknowledges the success.
TEST_CASE("a success that no run in the books explains is counted by cause") {
  Scenario scenario;
  scenario.AddWorkers(2);
  scenario.SubmitAndStore(kJob, "plain", {Scenario::Step(1)});
  scenario.RunPasses(2);
  const std::string first = scenario.WorkerOf(TaskOf(0));
  REQUIRE_FALSE(first.empty());

  SUBCASE("of a task that was started again meanwhile") {
    scenario.unresponsive_workers.insert(first);
    scenario.EndRun(TaskOf(0), RunEnd::kDone);
    RunAndStore(&scenario, kPassesToExpire);
    REQUIRE_FALSE(scenario.WorkerOf(TaskOf(0)).empty());
    scenario.TakeLoggedEvents();
    scenario.unresponsive_workers.clear();
    scenario.RunPasses(20);
    CHECK(Successes(scenario, "newer_run") == 1);
    const std::vector<std::string> events = scenario.TakeLoggedEvents();
    CHECK(std::count(events.begin(), events.end(), "untracked_end") >= 1);
  }
  SUBCASE("of a task that the next owner finds waiting") {
    scenario.EndRun(TaskOf(0), RunEnd::kDone);
    scenario.TakeOver();
    scenario.RunPasses(2);
    CHECK(Successes(scenario, "task_waits") == 1);
    CHECK(Successes(scenario, "newer_run") == 0);
    scenario.Store();
    CHECK(StateOf(&scenario) == JobState::kCompleted);

    SUBCASE("and of a job that has ended by the owner after it") {
      scenario.TakeOver();
      CHECK(Successes(scenario, "job_ended") == 1);
    }
  }
  SUBCASE("of a run in the books it isn't") {
    scenario.EndRun(TaskOf(0), RunEnd::kDone);
    RunAndStore(&scenario, 30);
    CHECK(StateOf(&scenario) == JobState::kCompleted);
    for (const auto& [key, value] : scenario.counters().values()) {
      CHECK(key.first != "untracked_successes");
    }
  }
}

// Guards against a second run of an occurrence that an owner began whose wall
// clock was ahead, and whose record of it was lost with the owner.
TEST_CASE("an occurrence that isn't due yet by the next owner's wall clock") {
  constexpr int kPassesUntilDue = 60;
  Scenario scenario;
  scenario.AddWorkers(2);
  scenario.wall_clock_error = std::chrono::seconds(3);
  scenario.SubmitRepeatedAndStore(kJob, "plain", {Scenario::Step(2)}, 2,
                                  std::chrono::minutes(10));
  scenario.RunPasses(3);
  const std::vector<StartTask> first = scenario.TakeStarts();
  REQUIRE(first.size() == 2);
  const auto take_over = [&scenario] {
    scenario.wall_clock_error = base::Duration(0);
    scenario.TakeStops();
    scenario.TakeOver();
  };

  SUBCASE("goes on if its tasks run") {
    take_over();
    RunAndStore(&scenario, kPassesUntilDue);
    CHECK(scenario.TakeStops().empty());
    CHECK_FALSE(scenario.WorkerOf(TaskOf(0)).empty());
    CHECK_FALSE(scenario.WorkerOf(TaskOf(1)).empty());
  }
  SUBCASE("is done if its tasks are") {
    scenario.EndRun(TaskOf(0), RunEnd::kDone);
    scenario.EndRun(TaskOf(1), RunEnd::kDone);
    take_over();
    RunAndStore(&scenario, kPassesUntilDue);
    CHECK(scenario.UnacknowledgedEnds("worker-0") == 0);
    CHECK(scenario.UnacknowledgedEnds("worker-1") == 0);
  }
  SUBCASE("goes on where a task is done and the other runs") {
    scenario.EndRun(TaskOf(0), RunEnd::kDone);
    take_over();
    RunAndStore(&scenario, kPassesUntilDue);
    CHECK_FALSE(scenario.WorkerOf(TaskOf(1)).empty());
  }
  CHECK(scenario.TakeStarts().empty());
  CHECK(Successes(scenario, "occurrence_not_begun") == 0);

  SUBCASE("and the one after it begins when it is due") {
    take_over();
    for (const std::uint32_t index : {0U, 1U}) {
      scenario.EndRun(TaskOf(index), RunEnd::kDone);
    }
    RunAndStore(&scenario, kPassesUntilDue);
    CHECK(scenario.TakeStarts().empty());
    scenario.Advance(std::chrono::minutes(10));
    RunAndStore(&scenario, kPassesUntilDue);
    CHECK(scenario.TakeStarts().size() == 2);
    CHECK_FALSE(scenario.WorkerOf(TaskOf(0, 1)).empty());
  }
}

// Guards against occurrences that a worker's list names and nobody can have
// begun.
TEST_CASE("a run of an occurrence that is far from due is an orphan") {
  Scenario scenario;
  scenario.AddWorkers(1);
  scenario.wall_clock_error = std::chrono::minutes(11);
  scenario.SubmitRepeatedAndStore(kJob, "plain", {Scenario::Step(1)}, 2,
                                  std::chrono::minutes(10));
  scenario.RunPasses(3);
  scenario.TakeStarts();
  scenario.wall_clock_error = base::Duration(0);
  scenario.TakeOver();
  scenario.RunPasses(3);
  CHECK_FALSE(scenario.TakeStops().empty());
}

// A step of two tasks whose workers were given up after it was done, and are
// there again while its next attempt waits for new tickets.
struct ReservedStep : Scenario {
  ReservedStep(const jobs::StepSpec& step, bool has_next_step) {
    AddWorkers(4);
    std::vector<jobs::StepSpec> steps{step};
    if (has_next_step) {
      steps.push_back(Step(1));
      steps.back().depends_on = {0};
    }
    SubmitAndStore(kJob, "advised", steps);
    AnswerAll();
    for (int i = 0; i < 10 && WorkerOf(TaskOf(1)).empty(); ++i) {
      RunAndStore(this, 1);
      AnswerAll();
    }
    REQUIRE(TakeStarts().size() == 2);
    for (const std::uint32_t index : {0U, 1U}) {
      unresponsive_workers.insert(WorkerOf(TaskOf(index)));
      EndRun(TaskOf(index), RunEnd::kDone);
    }
    for (int i = 0; i < kPassesToExpire && requests.empty(); ++i) {
      RunAndStore(this, 1);
      requests = TakeAdviceRequests();
    }
    REQUIRE(requests.size() == 1);
    REQUIRE(ReservedCores() == 8);
    unresponsive_workers.clear();
    RunAndStore(this, 5);
  }
  void AnswerAll() {
    for (const RequestAdvice& request : TakeAdviceRequests()) {
      AnswerAdviceRequest(request,
                          {"worker-0", "worker-1", "worker-2", "worker-3"});
    }
  }
  int ReservedCores() const {
    int cores = 0;
    for (int i = 0; i < 4; ++i) {
      cores += UsedCores("worker-" + std::to_string(i));
    }
    return cores;
  }
  std::vector<RequestAdvice> requests;
};

// Guards against workers that stay reserved for a job that has ended.
TEST_CASE("single tasks whose successes arrive while they are reserved again") {
  jobs::StepSpec step = Scenario::Gang(2);
  step.gang = false;
  ReservedStep scenario(step, false);
  CHECK(StateOf(&scenario) == JobState::kCompleted);
  CHECK(scenario.ReservedCores() == 0);
}

// Guards against a gang that is started again although its success is known:
// its next attempt was placed before the success arrived, and waited for
// tickets.
TEST_CASE("a gang whose success arrives while its next attempt is reserved") {
  SUBCASE("leaves the reserved workers to others if the job ends") {
    ReservedStep scenario(Scenario::Gang(2), false);
    CHECK(StateOf(&scenario) == JobState::kCompleted);
    CHECK(scenario.ReservedCores() == 0);
    scenario.AnswerAdviceRequest(scenario.requests[0],
                                 {"worker-2", "worker-3"});
    CHECK(scenario.TakeStarts().empty());
  }
  SUBCASE("is not started again if the job goes on, nor are its workers kept") {
    ReservedStep scenario(Scenario::Gang(2), true);
    scenario.AnswerAdviceRequest(scenario.requests[0],
                                 {"worker-2", "worker-3"});
    for (const StartTask& start : scenario.TakeStarts()) {
      CHECK(start.task.step.step == 1);
    }
    RunAndStore(&scenario, 1);
    CHECK(scenario.ReservedCores() <= 1);
  }
}

// Guards against a sound attempt of a gang that is stopped for what became of
// an earlier one.
TEST_CASE(
    "a gang whose next attempt runs when ends of the earlier one arrive") {
  Scenario scenario;
  scenario.AddWorkers(4);
  scenario.SubmitAndStore(kJob, "plain", {Scenario::Gang(2)});
  scenario.RunPasses(1);
  std::set<std::string> first;
  for (const std::uint32_t index : {0U, 1U}) {
    first.insert(scenario.WorkerOf(TaskOf(index)));
  }
  REQUIRE(first.size() == 2);
  REQUIRE_FALSE(first.contains(""));
  const auto end_earlier_attempt = [&](RunEnd end) {
    scenario.unresponsive_workers = first;
    for (const std::uint32_t index : {0U, 1U}) {
      scenario.EndRun(TaskOf(index), end);
    }
  };
  // Guards the set-up: all members of the next attempt run on other workers.
  const auto next_attempt_runs = [&] {
    return !scenario.WorkerOf(TaskOf(0)).empty() &&
           !scenario.WorkerOf(TaskOf(1)).empty() &&
           !first.contains(scenario.WorkerOf(TaskOf(0))) &&
           !first.contains(scenario.WorkerOf(TaskOf(1)));
  };

  SUBCASE("goes on after a failure, which counts as one") {
    end_earlier_attempt(RunEnd::kFailed);
    RunAndStore(&scenario, kPassesToExpire);
    REQUIRE(next_attempt_runs());
    scenario.TakeStops();
    scenario.unresponsive_workers.clear();
    RunAndStore(&scenario, 20);
    CHECK(scenario.TakeStops().empty());
    CHECK(next_attempt_runs());
  }
  SUBCASE("goes on at the next owner, which hears of those ends first") {
    end_earlier_attempt(RunEnd::kStopped);
    RunAndStore(&scenario, kPassesToExpire);
    REQUIRE(next_attempt_runs());
    scenario.unresponsive_workers = {scenario.WorkerOf(TaskOf(1))};
    scenario.TakeStops();
    scenario.TakeOver();
    RunAndStore(&scenario, 2);
    scenario.unresponsive_workers.clear();
    RunAndStore(&scenario, 20);
    CHECK(scenario.TakeStops().empty());
    CHECK(next_attempt_runs());
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::scheduler
