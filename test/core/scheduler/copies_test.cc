// Copies of runs that take far longer than expected, through the owner's
// interface.
#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "test/core/scheduler/scheduler_scenario.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using Scenario = SchedulerScenario;
using jobs::JobState;
using jobs::RunEnd;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kJob = 1;
constexpr std::uint64_t kOtherJob = 2;
// A run of half a second counts as slow after 1.5 s. In this many passes it
// gets a copy.
constexpr int kPassesToCopy = 17;
// In this many passes the ends of runs and of stops are known.
constexpr int kPassesToEnd = 20;
// In this many passes a lease can't have expired.
constexpr int kPassesOfLease = 36;
// In this many passes the leases of an unresponsive worker have expired.
constexpr int kPassesToExpire = 120;

jobs::StepSpec StepWithCopies(std::uint32_t tasks) {
  jobs::StepSpec step = Scenario::Step(tasks);
  step.allows_copies = true;
  return step;
}

jobs::TaskRef TaskOf(std::uint64_t job, std::uint32_t index = 0) {
  return {{jobs::JobKey(job), 0, 0}, index};
}

std::optional<JobState> StateOf(Scenario* scenario) {
  return scenario->scheduler().StateOf(jobs::JobKey(kJob));
}

std::uint64_t Copies(const Scenario& scenario, const std::string& what) {
  return scenario.counters().value("copies", what);
}

std::uint64_t Withheld(const Scenario& scenario, const std::string& reason) {
  return scenario.counters().value("copies_withheld", reason);
}

// A job of one task, whose run on `first_worker` got a copy on `copy_worker`.
struct SlowRun : Scenario {
  SlowRun() {
    AddWorkers(4);
    SubmitAndStore(kJob, "plain", {StepWithCopies(1)});
    RunPasses(1);
    first = TakeStarts().at(0);
    RunPasses(kPassesToCopy);
    const std::vector<StartTask> starts = TakeStarts();
    REQUIRE(starts.size() == 1);
    copy = starts[0];
    REQUIRE(copy.task == task);
    REQUIRE(copy.worker.id != first.worker.id);
    REQUIRE(copy.attempt > first.attempt);
  }

  std::string first_worker() const { return first.worker.id.value(); }
  std::string copy_worker() const { return copy.worker.id.value(); }
  void Settle() {
    RunPasses(kPassesToEnd);
    Store();
    RunPasses(1);
  }

  jobs::TaskRef task = TaskOf(kJob);
  StartTask first;
  StartTask copy;
};

TEST_CASE("a run that takes far longer than expected") {
  SlowRun cell;
  CHECK(Copies(cell, "started") == 1);

  SUBCASE("has one copy at a time") {
    cell.RunPasses(3 * kPassesToCopy);
    CHECK(cell.TakeStarts().empty());
  }
  SUBCASE(
      "completes its task first; the copy is stopped, and its job is done") {
    cell.EndRunOn(cell.first_worker(), cell.task, RunEnd::kDone);
    cell.Settle();
    CHECK(StateOf(&cell) == JobState::kCompleted);
    CHECK(cell.WorkersOf(cell.task).empty());
    CHECK(cell.UsedCores(cell.copy_worker()) == 0);
    CHECK(Copies(cell, "lost") == 1);
    CHECK(cell.TakeStarts().empty());
  }
  SUBCASE("is beaten by its copy and stopped") {
    cell.EndRunOn(cell.copy_worker(), cell.task, RunEnd::kDone);
    cell.Settle();
    CHECK(StateOf(&cell) == JobState::kCompleted);
    CHECK(cell.WorkersOf(cell.task).empty());
    CHECK(cell.UsedCores(cell.first_worker()) == 0);
    CHECK(Copies(cell, "won") == 1);
  }
  SUBCASE(
      "goes on when its copy fails, and may get a second copy, not a third") {
    cell.EndRunOn(cell.copy_worker(), cell.task, RunEnd::kFailed);
    cell.RunPasses(kPassesToEnd);
    CHECK(cell.WorkersOf(cell.task).contains(cell.first_worker()));
    const auto starts = cell.TakeStarts();
    REQUIRE(starts.size() == 1);
    cell.EndRunOn(starts[0].worker.id.value(), cell.task, RunEnd::kStopped);
    cell.RunPasses(5 * kPassesToEnd);
    CHECK(cell.TakeStarts().empty());
    CHECK(cell.WorkersOf(cell.task) == std::set{cell.first_worker()});
  }
  SUBCASE("and its copy fail: the job fails with the last allowed failure") {
    cell.EndRunOn(cell.copy_worker(), cell.task, RunEnd::kFailed);
    cell.EndRunOn(cell.first_worker(), cell.task, RunEnd::kFailed);
    cell.Settle();
    CHECK(StateOf(&cell) == JobState::kInProgress);
    REQUIRE(cell.TakeStarts().size() == 1);
    // One more failure is allowed, so that no further copy may be started.
    cell.RunPasses(3 * kPassesToCopy);
    CHECK(cell.TakeStarts().empty());
    CHECK(Withheld(cell, "attempts_used_up") == 1);
    cell.EndRun(cell.task, RunEnd::kFailed);
    cell.Settle();
    CHECK(StateOf(&cell) == JobState::kFailed);
    CHECK(cell.TakeStarts().empty());
  }
  SUBCASE("is lost with its worker; the copy goes on as its run") {
    cell.unresponsive_workers = {cell.first_worker()};
    for (int i = 0; i < kPassesToExpire && Copies(cell, "took_over") == 0;
         ++i) {
      CHECK(cell.TakeStarts().empty());
      cell.RunPasses(1);
    }
    CHECK(Copies(cell, "took_over") == 1);
    cell.EndRunOn(cell.copy_worker(), cell.task, RunEnd::kDone);
    cell.Settle();
    CHECK(StateOf(&cell) == JobState::kCompleted);
  }
  SUBCASE("and its copy are lost with their workers; the task starts again") {
    cell.unresponsive_workers = {cell.first_worker(), cell.copy_worker()};
    cell.RunPasses(kPassesToExpire);
    CHECK(cell.TakeStarts().size() >= 1);
  }
  SUBCASE("and its copy are stopped when the job is cancelled") {
    cell.scheduler().Cancel(jobs::JobKey(kJob), WaiterId(99), cell.now());
    cell.Settle();
    CHECK(cell.WorkersOf(cell.task).empty());
    CHECK(StateOf(&cell) == JobState::kCancelled);
    CHECK(cell.UsedCores(cell.first_worker()) == 0);
    CHECK(cell.UsedCores(cell.copy_worker()) == 0);
  }
}

// Guards against resources that are used again while the loser still runs.
TEST_CASE("the stop of the loser") {
  SlowRun cell;

  SUBCASE("that is lost is repeated; its resources are in use until then") {
    cell.loses_stops = true;
    cell.EndRunOn(cell.first_worker(), cell.task, RunEnd::kDone);
    cell.Settle();
    CHECK(StateOf(&cell) == JobState::kCompleted);
    CHECK(cell.WorkersOf(cell.task) == std::set{cell.copy_worker()});
    CHECK(cell.UsedCores(cell.copy_worker()) == 1);
    cell.loses_stops = false;
    cell.Settle();
    CHECK(cell.WorkersOf(cell.task).empty());
    CHECK(cell.UsedCores(cell.copy_worker()) == 0);
  }
  SUBCASE("comes after its own end, which changes nothing") {
    cell.loses_stops = true;
    cell.EndRunOn(cell.first_worker(), cell.task, RunEnd::kDone);
    cell.Settle();
    cell.EndRunOn(cell.copy_worker(), cell.task, RunEnd::kFailed);
    cell.loses_stops = false;
    cell.Settle();
    CHECK(StateOf(&cell) == JobState::kCompleted);
    CHECK(cell.UsedCores(cell.copy_worker()) == 0);
    CHECK(Copies(cell, "lost") == 1);
  }
  SUBCASE("is sent by the next owner if the owner changes first") {
    cell.loses_stops = true;
    cell.EndRunOn(cell.first_worker(), cell.task, RunEnd::kDone);
    cell.Settle();
    cell.TakeOver();
    cell.loses_stops = false;
    cell.Settle();
    CHECK(cell.WorkersOf(cell.task).empty());
    CHECK(cell.TakeStarts().empty());
  }
}

TEST_CASE("an owner change while a task has two runs") {
  SlowRun cell;

  SUBCASE("keeps both, and starts no third") {
    cell.TakeOver();
    cell.RunPasses(5 * kPassesToCopy);
    CHECK(cell.WorkersOf(cell.task) ==
          std::set{cell.first_worker(), cell.copy_worker()});
    CHECK(cell.TakeStarts().empty());
    CHECK(Copies(cell, "adopted") == 1);
    SUBCASE("and the first end completes the task") {
      cell.EndRunOn(cell.copy_worker(), cell.task, RunEnd::kDone);
      cell.Settle();
      CHECK(StateOf(&cell) == JobState::kCompleted);
      CHECK(cell.WorkersOf(cell.task).empty());
    }
  }
  SUBCASE("finds only the copy if the first run's worker is unreachable") {
    cell.unresponsive_workers = {cell.first_worker()};
    cell.TakeOver();
    cell.RunPasses(3);
    CHECK(cell.WorkersOf(cell.task).contains(cell.copy_worker()));
    SUBCASE("and the first run once its worker answers") {
      cell.unresponsive_workers.clear();
      cell.RunPasses(kPassesToEnd);
      CHECK(cell.WorkersOf(cell.task) ==
            std::set{cell.first_worker(), cell.copy_worker()});
      CHECK(cell.TakeStarts().empty());
    }
    SUBCASE("which completes the task if it is done meanwhile") {
      cell.EndRunOn(cell.first_worker(), cell.task, RunEnd::kDone);
      cell.unresponsive_workers.clear();
      cell.Settle();
      CHECK(StateOf(&cell) == JobState::kCompleted);
      CHECK(cell.WorkersOf(cell.task).empty());
    }
    SUBCASE("and no third run is started before its leases have expired") {
      cell.RunPasses(kPassesOfLease);
      CHECK(cell.TakeStarts().empty());
      CHECK(cell.WorkersOf(cell.task).contains(cell.copy_worker()));
    }
  }
}

// Guards against more than the cap while a copy is not known to the new owner.
TEST_CASE("an organisation's cap after an owner change covers unknown copies") {
  SlowRun cell;
  cell.SetCap(3);
  cell.unresponsive_workers = {cell.copy_worker()};
  cell.TakeOver();
  cell.RunPasses(3);
  REQUIRE(cell.WorkersOf(cell.task).contains(cell.copy_worker()));
  cell.SubmitAndStore(kOtherJob, "plain", {Scenario::Step(2)});
  cell.RunPasses(5);
  CHECK(cell.TakeStarts().size() == 1);
  cell.unresponsive_workers.clear();
  cell.EndRun(cell.task, RunEnd::kDone);
  cell.RunPasses(kPassesToEnd);
  CHECK(cell.TakeStarts().size() == 1);
}

TEST_CASE("a copy whose start got no answer") {
  Scenario cell;
  cell.AddWorkers(4);
  cell.SubmitAndStore(kJob, "plain", {StepWithCopies(1)});
  cell.RunPasses(1);
  const std::string first = cell.TakeStarts().at(0).worker.id.value();

  SUBCASE("but is listed goes on as the copy") {
    cell.loses_start_answers = true;
    cell.RunPasses(kPassesToCopy);
    const auto starts = cell.TakeStarts();
    REQUIRE(starts.size() == 1);
    cell.RunPasses(5);
    CHECK(cell.WorkersOf(TaskOf(kJob)).size() == 2);
    cell.EndRunOn(starts[0].worker.id.value(), TaskOf(kJob), RunEnd::kDone);
    cell.RunPasses(kPassesToEnd);
    CHECK(Copies(cell, "won") == 1);
    CHECK(cell.WorkersOf(TaskOf(kJob)).empty());
  }
  SUBCASE("and is not listed is stopped; the first run goes on") {
    cell.loses_starts = true;
    cell.RunPasses(kPassesToCopy);
    REQUIRE(cell.TakeStarts().size() == 1);
    cell.RunPasses(5);
    CHECK(Copies(cell, "lost") == Copies(cell, "started"));
    CHECK(cell.WorkersOf(TaskOf(kJob)) == std::set{first});
  }
  SUBCASE("holds back the acknowledgement of the first run's end") {
    // The start may be executed later, which is allowed only until a second
    // after the acknowledgement.
    cell.loses_starts = true;
    cell.loses_stops = true;
    cell.RunPasses(kPassesToCopy);
    REQUIRE(cell.TakeStarts().size() == 1);
    cell.EndRunOn(first, TaskOf(kJob), RunEnd::kDone);
    cell.RunPasses(kPassesToEnd);
    cell.Store();
    CHECK(StateOf(&cell) == JobState::kCompleted);
    cell.RunPasses(kPassesToEnd);
    CHECK(cell.UnacknowledgedEnds(first) == 1);
    cell.loses_stops = false;
    cell.RunPasses(kPassesToEnd);
    CHECK(cell.UnacknowledgedEnds(first) == 0);
  }
}

TEST_CASE("copies leave capacity to waiting work") {
  Scenario cell;
  cell.AddWorkers(4);
  cell.SubmitAndStore(kJob, "plain", {StepWithCopies(1)});
  cell.RunPasses(1);
  REQUIRE(cell.TakeStarts().size() == 1);

  SUBCASE("that can't be placed for long") {
    cell.SetLabels(cell.WorkerOf(TaskOf(kJob)), {"rare"});
    jobs::StepSpec large = Scenario::Step(1);
    large.needs.cpu = base::Millicores(4000);
    large.required_label = "rare";
    cell.SubmitAndStore(kOtherJob, "plain", {large});
    cell.RunPasses(3 * kPassesToCopy);
    CHECK(cell.TakeStarts().empty());
    CHECK(Withheld(cell, "waiting_work") >= 1);
  }
  SUBCASE("but not to work that no worker can hold") {
    jobs::StepSpec large = Scenario::Step(1);
    large.needs.cpu = base::Millicores(64'000);
    cell.SubmitAndStore(kOtherJob, "plain", {large});
    cell.RunPasses(3 * kPassesToCopy);
    CHECK(cell.TakeStarts().size() == 1);
    CHECK(Withheld(cell, "waiting_work") == 0);
  }
  SUBCASE("and to work that uses the whole fleet") {
    cell.SubmitAndStore(kOtherJob, "plain", {Scenario::Step(15)});
    cell.RunPasses(kPassesToCopy);
    CHECK(cell.TakeStarts().size() == 15);
    CHECK(Withheld(cell, "fleet_busy") == 1);
  }
  SUBCASE("and are not placed over the organisation's cap") {
    cell.SetCap(1);
    cell.RunPasses(2 * kPassesToCopy);
    CHECK(cell.TakeStarts().empty());
    CHECK(Withheld(cell, "cap") == 1);
  }
  SUBCASE("and not started from steps that don't allow them") {
    cell.SubmitAndStore(kOtherJob, "plain", {Scenario::Step(1)});
    cell.RunPasses(3 * kPassesToCopy);
    for (const StartTask& start : cell.TakeStarts()) {
      CHECK((start.task.step.job == jobs::JobKey(kJob) ||
             start.attempt == jobs::Attempt(1)));
    }
    CHECK(cell.WorkersOf(TaskOf(kOtherJob)).size() == 1);
  }
}

TEST_CASE("the worker of a copy") {
  Scenario cell;
  cell.AddWorkers(2, "rack-0");

  SUBCASE("is on another rack if possible") {
    cell.AddWorkers(1, "rack-1");
    cell.SubmitAndStore(kJob, "plain", {StepWithCopies(1)});
    cell.RunPasses(1);
    const std::string first = cell.TakeStarts().at(0).worker.id.value();
    cell.RunPasses(kPassesToCopy);
    const std::string copy = cell.TakeStarts().at(0).worker.id.value();
    CHECK((first == "worker-2" || copy == "worker-2"));
  }
  SUBCASE("is never the worker of the run, nor one with enough of its tasks") {
    jobs::StepSpec step = StepWithCopies(2);
    step.max_per_worker = 1;
    cell.SubmitAndStore(kJob, "plain", {step});
    cell.RunPasses(1);
    REQUIRE(cell.TakeStarts().size() == 2);
    cell.RunPasses(3 * kPassesToCopy);
    CHECK(cell.TakeStarts().empty());
    CHECK(Withheld(cell, "no_worker") >= 2);
  }
  SUBCASE("is one that the advisor allows, with a valid ticket") {
    cell.SubmitAndStore(kJob, "advised", {StepWithCopies(1)});
    cell.RunPasses(1);
    cell.AnswerAdviceRequest(cell.TakeAdviceRequests().at(0),
                             {"worker-0", "worker-1"});
    cell.RunPasses(1);
    const std::string first = cell.TakeStarts().at(0).worker.id.value();
    cell.RunPasses(kPassesToCopy + 3);
    CHECK(cell.TakeStarts().empty());
    const auto requests = cell.TakeAdviceRequests();
    REQUIRE(requests.size() == 1);
    REQUIRE(requests[0].workers.size() == 1);
    const std::string other = requests[0].workers[0].value();
    CHECK(other != first);
    cell.AnswerAdviceRequest(requests[0], {other});
    const auto starts = cell.TakeStarts();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].ticket == "ticket of " + other);
  }
}

TEST_CASE("a copy of a run with checkpoints resumes from its newest one") {
  Scenario cell;
  cell.AddWorkers(2);
  jobs::StepSpec step = StepWithCopies(1);
  step.checkpoints = true;
  cell.SubmitAndStore(kJob, "plain", {step});
  cell.RunPasses(1);
  CHECK(cell.TakeStarts().at(0).checkpoint.empty());
  cell.checkpoints[TaskOf(kJob)] = "saved";
  cell.RunPasses(kPassesToCopy);
  CHECK(cell.TakeStarts().at(0).checkpoint == "saved");
}

TEST_CASE("a run whose siblings are done gets a copy sooner") {
  Scenario cell;
  cell.AddWorkers(4);
  cell.SubmitAndStore(kJob, "plain", {StepWithCopies(4)});
  cell.RunPasses(1);
  REQUIRE(cell.TakeStarts().size() == 4);
  cell.RunPasses(2);
  for (std::uint32_t i = 1; i < 4; ++i) {
    cell.EndRun(TaskOf(kJob, i), RunEnd::kDone);
  }
  cell.RunPasses(10);
  CHECK(cell.TakeStarts().size() == 1);
}

TEST_CASE("a task under which workers crashed gets no copy") {
  Scenario cell;
  cell.AddWorkers(4);
  cell.SubmitAndStore(kJob, "plain", {StepWithCopies(1)});
  cell.RunPasses(1);
  REQUIRE(cell.CrashWorkerOf(TaskOf(kJob)));
  for (int i = 0; i < kPassesToEnd; ++i) {
    cell.RunPasses(1);
    cell.Store();
  }
  cell.TakeStarts();
  for (int i = 0; i < 3 * kPassesToCopy; ++i) {
    cell.RunPasses(1);
    cell.Store();
  }
  CHECK(cell.WorkersOf(TaskOf(kJob)).size() == 1);
  CHECK(Withheld(cell, "crash_suspect") == 1);
}

}  // namespace
}  // namespace dotterelbarrow::core::scheduler
