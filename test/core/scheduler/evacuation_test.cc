// Evacuations of availability zones: nothing is started there, what was only
// reserved there goes elsewhere, and the rest continues.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "test/core/scheduler/scheduler_scenario.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using jobs::JobState;
using jobs::RunEnd;
using jobs::TaskRef;
using Scenario = SchedulerScenario;

constexpr std::uint64_t kJob = 1;
constexpr std::uint64_t kOtherJob = 2;
// Enough passes for a start, or for the end of a run to be read.
constexpr int kFewPasses = 5;

TaskRef TaskOf(std::uint64_t job, std::uint32_t index) {
  return {{jobs::JobKey(job), 0, 0}, index};
}

// The even workers are in "z0", the odd ones in "z1".
void AddZonedWorkers(Scenario* scenario, int count) {
  scenario->AddWorkers(count);
  for (int i = 0; i < count; ++i) {
    scenario->SetZone("worker-" + std::to_string(i), i % 2 == 0 ? "z0" : "z1");
  }
  scenario->RunPasses(kFewPasses);
  scenario->TakeLoggedEvents();
}

std::size_t StartsIn(const std::vector<StartTask>& starts,
                     const std::set<std::string>& workers) {
  return static_cast<std::size_t>(
      std::count_if(starts.begin(), starts.end(), [&](const StartTask& start) {
        return workers.contains(start.worker.id.value());
      }));
}

std::size_t CountOf(const std::vector<std::string>& events, const char* name) {
  return static_cast<std::size_t>(
      std::count(events.begin(), events.end(), name));
}

std::optional<JobState> StateOf(Scenario* scenario, std::uint64_t job) {
  return scenario->scheduler().StateOf(jobs::JobKey(job));
}

TEST_CASE("an evacuated zone") {
  Scenario scenario;
  AddZonedWorkers(&scenario, 2);
  scenario.SubmitAndStore(kJob, "plain", {Scenario::Step(8)});
  scenario.RunPasses(1);
  REQUIRE(scenario.TakeStarts().size() == 8);
  scenario.Evacuate({"z0"});

  SUBCASE("keeps its runs, and gets no new ones until it is taken back") {
    scenario.SubmitAndStore(kOtherJob, "plain", {Scenario::Step(8)});
    for (std::uint32_t i = 0; i < 8; ++i) {
      scenario.EndRun(TaskOf(kJob, i), RunEnd::kDone);
    }
    scenario.RunPasses(30);
    scenario.Store();
    CHECK(StateOf(&scenario, kJob) == JobState::kCompleted);
    auto starts = scenario.TakeStarts();
    CHECK(starts.size() == 4);
    CHECK(StartsIn(starts, {"worker-1"}) == 4);

    scenario.Evacuate({});
    scenario.RunPass();
    starts = scenario.TakeStarts();
    CHECK(starts.size() == 4);
    CHECK(StartsIn(starts, {"worker-0"}) == 4);
  }
  SUBCASE("is reported when it begins, when nothing runs there, at its end") {
    scenario.RunPasses(kFewPasses);
    CHECK(scenario.scheduler().evacuations().zones() == 1);
    CHECK(scenario.scheduler().evacuations().runs() == 4);
    auto events = scenario.TakeLoggedEvents();
    CHECK(CountOf(events, "evacuation_begun") == 1);
    CHECK(CountOf(events, "evacuation_complete") == 0);
    for (std::uint32_t i = 0; i < 8; ++i) {
      scenario.EndRun(TaskOf(kJob, i), RunEnd::kDone);
    }
    scenario.RunPasses(30);
    CHECK(scenario.scheduler().evacuations().runs() == 0);
    CHECK(CountOf(scenario.TakeLoggedEvents(), "evacuation_complete") == 1);
    scenario.Evacuate({});
    scenario.RunPasses(kFewPasses);
    CHECK(CountOf(scenario.TakeLoggedEvents(), "evacuation_ended") == 1);
    CHECK(scenario.scheduler().evacuations().zones() == 0);
  }
  SUBCASE("stays evacuated under the next owner, whose first pass knows it") {
    for (std::uint32_t i = 0; i < 8; ++i) {
      scenario.EndRun(TaskOf(kJob, i), RunEnd::kDone);
    }
    scenario.RunPasses(30);
    scenario.Store();
    scenario.SubmitAndStore(kOtherJob, "plain", {Scenario::Step(8)});
    scenario.TakeStarts();
    scenario.TakeLoggedEvents();
    scenario.TakeOver();
    scenario.RunPasses(30);
    CHECK(StartsIn(scenario.TakeStarts(), {"worker-0"}) == 0);
    CHECK(CountOf(scenario.TakeLoggedEvents(), "evacuation_begun") == 1);
  }
  SUBCASE("stays evacuated when its worker restarts") {
    CHECK(scenario.CrashWorkerOf(TaskOf(kJob, 0)));
    CHECK(scenario.CrashWorkerOf(TaskOf(kJob, 7)));
    scenario.RunPasses(60);
    CHECK(StartsIn(scenario.TakeStarts(), {"worker-0"}) == 0);
  }
  SUBCASE("may be followed by another one, until neither takes new work") {
    scenario.Evacuate({"z1"});
    scenario.SubmitAndStore(kOtherJob, "plain", {Scenario::Step(8)});
    for (std::uint32_t i = 0; i < 8; ++i) {
      scenario.EndRun(TaskOf(kJob, i), RunEnd::kDone);
    }
    scenario.RunPasses(30);
    CHECK(StartsIn(scenario.TakeStarts(), {"worker-1"}) == 0);
    CHECK(CountOf(scenario.TakeLoggedEvents(), "evacuation_ended") == 1);
  }
}

TEST_CASE("zones that are all evacuated") {
  Scenario scenario;
  AddZonedWorkers(&scenario, 2);
  scenario.SubmitAndStore(kJob, "plain", {Scenario::Step(10)});
  scenario.Evacuate({"z0", "z1"});
  scenario.RunPasses(kFewPasses);

  // Accepted before, so it waits; later jobs are refused at once.
  CHECK(scenario.TakeStarts().empty());
  const SubmitResult result =
      scenario.Submit(kOtherJob, "plain", {Scenario::Step(1)});
  CHECK(result.outcome == SubmitOutcome::kRefused);
  CHECK(result.reason == "evacuated");
  CHECK(result.retry_after > base::Duration(0));
  CHECK(scenario.counters().value("jobs_refused", "evacuated") == 1);

  SUBCASE("leave the accepted jobs to the next owner too") {
    scenario.TakeOver();
    scenario.RunPasses(30);
    CHECK(scenario.TakeStarts().empty());
    scenario.Evacuate({"z1"});
    scenario.RunPasses(1);
    CHECK(StartsIn(scenario.TakeStarts(), {"worker-0"}) == 4);
  }
  SUBCASE("let accepted jobs run once one of them is taken back") {
    scenario.Evacuate({"z0"});
    scenario.RunPass();
    CHECK(StartsIn(scenario.TakeStarts(), {"worker-1"}) == 4);
    CHECK(scenario.Submit(kOtherJob, "plain", {Scenario::Step(1)}).outcome ==
          SubmitOutcome::kStoring);
  }
}

TEST_CASE("an advised job while a zone is evacuated") {
  Scenario scenario;
  AddZonedWorkers(&scenario, 4);
  const std::set<std::string> evacuated{"worker-0", "worker-2"};

  SUBCASE("requests no advice about workers there") {
    scenario.Evacuate({"z0"});
    scenario.SubmitAndStore(kJob, "advised", {Scenario::Step(2)});
    scenario.RunPasses(20);
    const auto requests = scenario.TakeAdviceRequests();
    REQUIRE_FALSE(requests.empty());
    for (const RequestAdvice& request : requests) {
      for (const base::BackendId& worker : request.workers) {
        CHECK_FALSE(evacuated.contains(worker.value()));
      }
    }
  }
  SUBCASE("moves reservations from there without counting an attempt") {
    scenario.Submit(kJob, "advised", {Scenario::Step(2)});
    scenario.RunPasses(1);
    scenario.AnswerAdviceRequest(scenario.TakeAdviceRequests().at(0),
                                 {"worker-0", "worker-1"});
    // The tickets expire, so that the tasks are reserved and wait for others.
    scenario.Advance(Scenario::kTicketValidity);
    scenario.Store();
    scenario.RunPasses(1);
    const auto renewals = scenario.TakeAdviceRequests();
    REQUIRE(renewals.size() == 1);
    REQUIRE(scenario.TakeStarts().empty());
    scenario.Evacuate({"z0"});
    CHECK(scenario.counters().value("runs_released", "evacuated") > 0);
    scenario.AnswerAdviceRequest(renewals[0], {"worker-0", "worker-1"});
    scenario.RunPasses(kFewPasses);
    for (const RequestAdvice& request : scenario.TakeAdviceRequests()) {
      scenario.AnswerAdviceRequest(request, {"worker-1"});
    }
    scenario.RunPasses(kFewPasses);
    const auto starts = scenario.TakeStarts();
    CHECK(starts.size() == 2);
    CHECK(StartsIn(starts, {"worker-1"}) == 2);
    // All attempts that the queue allows are still there.
    for (std::uint32_t i = 0; i < Scenario::kMaxAttempts; ++i) {
      CHECK(StateOf(&scenario, kJob) != JobState::kFailed);
      scenario.EndRun(TaskOf(kJob, 0), RunEnd::kFailed);
      scenario.RunPasses(30);
      for (const RequestAdvice& request : scenario.TakeAdviceRequests()) {
        scenario.AnswerAdviceRequest(request, {"worker-1"});
      }
      scenario.RunPasses(kFewPasses);
      scenario.Store();
    }
    CHECK(StateOf(&scenario, kJob) == JobState::kFailed);
  }
}

TEST_CASE("a gang in the middle of its start when a zone is evacuated") {
  Scenario scenario;
  AddZonedWorkers(&scenario, 6);

  SUBCASE("is placed again as a whole if nothing of it was sent") {
    scenario.Submit(kJob, "advised", {Scenario::Gang(2)});
    scenario.RunPasses(1);
    scenario.AnswerAdviceRequest(scenario.TakeAdviceRequests().at(0),
                                 {"worker-0", "worker-1", "worker-3"});
    scenario.Advance(Scenario::kTicketValidity);
    scenario.Store();
    scenario.RunPasses(1);
    const auto renewals = scenario.TakeAdviceRequests();
    REQUIRE(renewals.size() == 1);
    scenario.Evacuate({"z0"});
    scenario.AnswerAdviceRequest(renewals[0],
                                 {"worker-0", "worker-1", "worker-3"});
    for (int i = 0; i < 4; ++i) {
      scenario.RunPasses(kFewPasses);
      for (const RequestAdvice& request : scenario.TakeAdviceRequests()) {
        scenario.AnswerAdviceRequest(request, {"worker-1", "worker-3"});
      }
    }
    const auto starts = scenario.TakeStarts();
    CHECK(starts.size() == 2);
    CHECK(StartsIn(starts, {"worker-1", "worker-3"}) == 2);
  }
  SUBCASE("keeps its members there that were started") {
    scenario.SubmitAndStore(kJob, "plain", {Scenario::Gang(6)});
    scenario.RunPasses(1);
    REQUIRE(scenario.TakeStarts().size() == 6);
    scenario.Evacuate({"z0"});
    scenario.RunPasses(kFewPasses);
    CHECK(scenario.TakeStarts().empty());
    for (std::uint32_t i = 0; i < 6; ++i) {
      CHECK_FALSE(scenario.WorkerOf(TaskOf(kJob, i)).empty());
      scenario.EndRun(TaskOf(kJob, i), RunEnd::kDone);
    }
    scenario.RunPasses(30);
    scenario.Store();
    CHECK(StateOf(&scenario, kJob) == JobState::kCompleted);
  }
  SUBCASE("places a refused member in another zone beside the others") {
    // Two more workers are too small until the others have been started.
    scenario.AddWorkers(2);
    scenario.SetZone("worker-6", "z0");
    scenario.SetZone("worker-7", "z1");
    scenario.ResizeWorker("worker-6", 3);
    scenario.ResizeWorker("worker-7", 3);
    scenario.refused_on = "worker-0";
    scenario.RunPasses(kFewPasses);
    scenario.SubmitAndStore(kJob, "plain", {Scenario::Gang(6)});
    scenario.RunPasses(1);
    REQUIRE(scenario.TakeStarts().size() == 6);
    scenario.ResizeWorker("worker-6", 4);
    scenario.ResizeWorker("worker-7", 4);
    scenario.Evacuate({"z0"});
    scenario.RunPasses(kFewPasses);
    const auto again = scenario.TakeStarts();
    CHECK(again.size() == 1);
    CHECK(StartsIn(again, {"worker-7"}) == 1);
  }
}

// Guards against a gang that stays reserved in an evacuated zone until its
// started members time out.
TEST_CASE("a gang member that is reserved in a zone when it is evacuated") {
  Scenario scenario;
  AddZonedWorkers(&scenario, 8);
  // Two workers are full at first, and then their zones are evacuated until the
  // tickets for them have expired.
  scenario.SubmitAndStore(kOtherJob, "plain", {Scenario::Gang(2)});
  scenario.RunPass();
  scenario.SetZone(scenario.WorkerOf(TaskOf(kOtherJob, 0)), "z2");
  scenario.SetZone(scenario.WorkerOf(TaskOf(kOtherJob, 1)), "z3");
  std::map<std::string, std::string> zones{
      {scenario.WorkerOf(TaskOf(kOtherJob, 0)), "z2"},
      {scenario.WorkerOf(TaskOf(kOtherJob, 1)), "z3"}};
  scenario.TakeStarts();
  std::set<std::string> all;
  for (int i = 0; i < 8; ++i) {
    all.insert("worker-" + std::to_string(i));
    if (!zones.contains("worker-" + std::to_string(i))) {
      scenario.refused_on = "worker-" + std::to_string(i);
    }
  }
  // The worker that refuses a member has closed the attempt.
  scenario.SetZone(scenario.refused_on, "closed");
  scenario.SubmitAndStore(kJob, "advised", {Scenario::Gang(6)});
  scenario.RunPass();
  scenario.AnswerAdviceRequest(scenario.TakeAdviceRequests().at(0), all);
  scenario.RunPass();
  REQUIRE(scenario.TakeStarts().size() == 6);
  scenario.Evacuate({"closed", "z2", "z3"});
  scenario.EndRun(TaskOf(kOtherJob, 0), RunEnd::kDone);
  scenario.EndRun(TaskOf(kOtherJob, 1), RunEnd::kDone);
  scenario.RunPasses(15);
  REQUIRE(scenario.TakeStarts().empty());

  scenario.Evacuate({"closed"});
  scenario.RunPass();
  const auto first = scenario.TakeAdviceRequests();
  REQUIRE(first.size() == 1);
  REQUIRE(first[0].workers.size() == 1);
  const std::string reserved_on = first[0].workers[0].value();
  scenario.Evacuate({"closed", zones.at(reserved_on)});
  scenario.AnswerAdviceRequest(first[0], all);
  scenario.RunPass();
  for (const RequestAdvice& request : scenario.TakeAdviceRequests()) {
    scenario.AnswerAdviceRequest(request, all);
  }
  scenario.RunPass();
  const auto starts = scenario.TakeStarts();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].worker.id.value() != reserved_on);
  // The others were not stopped.
  for (std::uint32_t i = 0; i < 6; ++i) {
    CHECK_FALSE(scenario.WorkerOf(TaskOf(kJob, i)).empty());
  }
}

TEST_CASE("an evacuation that is taken back while a start is on its way") {
  Scenario scenario;
  AddZonedWorkers(&scenario, 2);
  scenario.unresponsive_workers = {"worker-0"};
  scenario.SubmitAndStore(kJob, "plain", {Scenario::Step(8)});
  scenario.RunPass();
  REQUIRE(scenario.TakeStarts().size() == 8);
  scenario.Evacuate({"z0"});
  scenario.Evacuate({});
  scenario.unresponsive_workers.clear();
  // The unanswered starts are stopped before their tasks start again.
  scenario.RunPasses(60);
  for (std::uint32_t i = 0; i < 8; ++i) {
    CHECK_FALSE(scenario.WorkerOf(TaskOf(kJob, i)).empty());
    scenario.EndRun(TaskOf(kJob, i), RunEnd::kDone);
  }
  scenario.RunPasses(30);
  scenario.Store();
  CHECK(StateOf(&scenario, kJob) == JobState::kCompleted);
}

TEST_CASE("a zone in which no worker is listed") {
  Scenario scenario;
  AddZonedWorkers(&scenario, 2);
  scenario.SetZone("worker-1", "");
  scenario.RunPass();
  // A worker without a zone isn't in the zone without a name.
  scenario.Evacuate({"nowhere", ""});
  scenario.RunPasses(30);
  CHECK(CountOf(scenario.TakeLoggedEvents(), "evacuation_without_workers") ==
        1);
  CHECK(scenario.scheduler().evacuations().zones() == 0);
  scenario.SubmitAndStore(kJob, "plain", {Scenario::Step(8)});
  scenario.RunPass();
  CHECK(scenario.TakeStarts().size() == 8);
}

}  // namespace
}  // namespace dotterelbarrow::core::scheduler
