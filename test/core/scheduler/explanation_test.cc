// Explanations of where a job would be placed.
#include "dotterelbarrow/core/scheduler/explanation.h"

#include <doctest/doctest.h>

#include <chrono>
#include <set>
#include <string>

#include "test/core/scheduler/scheduler_scenario.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using Scenario = SchedulerScenario;
using std::chrono::milliseconds;

constexpr std::uint64_t kRunning = 1;
constexpr std::uint64_t kWaiting = 2;

Submission MakeSubmission(const std::string& queue, jobs::StepSpec step) {
  Submission submission{
      jobs::JobKey(99), desired::QueueId(queue), Scenario::kSchool, {}};
  submission.spec.steps = {std::move(step)};
  return submission;
}

TEST_CASE("three workers, of which two are full and one drains") {
  Scenario scenario;
  scenario.AddWorkers(3);
  scenario.SubmitAndStore(kRunning, "plain", {Scenario::Step(8)});
  scenario.RunPasses(1);
  std::set<std::string> idle = {"worker-0", "worker-1", "worker-2"};
  for (const StartTask& start : scenario.TakeStarts()) {
    idle.erase(start.worker.id.value());
  }
  REQUIRE(idle.size() == 1);
  scenario.DrainWorker(*idle.begin());
  scenario.RunPasses(1);
  const auto reasons = [](const StepExplanation& step) {
    std::string text;
    for (const auto& [reason, workers] : step.ruled_out) {
      text += reason + "=" + std::to_string(workers.count) + " ";
    }
    return text;
  };

  SUBCASE("a submitted step waits for room, for a while already") {
    scenario.SubmitAndStore(kWaiting, "plain", {Scenario::Step(1)});
    scenario.RunPasses(3);
    const auto found =
        scenario.scheduler().Explain(jobs::JobKey(kWaiting), scenario.now());
    REQUIRE(found);
    CHECK(found->state == "queued");
    REQUIRE(found->steps.size() == 1);
    const StepExplanation& step = found->steps[0];
    CHECK(step.waits_for == "room");
    CHECK(step.waits_since == milliseconds(200));
    CHECK(step.candidates == 0);
    CHECK(step.choices.empty());
    CHECK(reasons(step) == "draining=1 no_room=2 ");
    CHECK(step.ruled_out.at("draining").example ==
          base::BackendId(*idle.begin()));
  }
  SUBCASE("a described job would be placed where a run has ended") {
    scenario.EndRun({{jobs::JobKey(kRunning), 0, 0}, 0}, jobs::RunEnd::kDone);
    scenario.RunPasses(2);
    const Explanation found = scenario.scheduler().ExplainSubmission(
        MakeSubmission("plain", Scenario::Step(2)), scenario.now());
    CHECK(found.refused.empty());
    REQUIRE(found.steps.size() == 1);
    CHECK(found.steps[0].candidates == 1);
    REQUIRE(found.steps[0].choices.size() == 1);
    CHECK(found.steps[0].choices[0].tasks == 1);
    // The prediction holds.
    scenario.SubmitAndStore(kWaiting, "plain", {Scenario::Step(2)});
    scenario.RunPasses(1);
    const std::vector<StartTask> starts = scenario.TakeStarts();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].worker.id == found.steps[0].choices[0].worker);
  }
  SUBCASE("a step whose tasks need more than a worker has fits nowhere") {
    jobs::StepSpec step = Scenario::Step(1);
    step.needs.cpu = base::Millicores(5000);
    const Explanation found = scenario.scheduler().ExplainSubmission(
        MakeSubmission("plain", step), scenario.now());
    REQUIRE(found.steps.size() == 1);
    CHECK(reasons(found.steps[0]) == "too_small=3 ");
  }
  SUBCASE("a job of an unknown queue would be refused, as it is") {
    const Explanation found = scenario.scheduler().ExplainSubmission(
        MakeSubmission("unknown", Scenario::Step(1)), scenario.now());
    CHECK(found.refused == "unknown_queue");
    CHECK(scenario.Submit(kWaiting, "unknown", {Scenario::Step(1)}).reason ==
          found.refused);
  }
  // Guards against an explanation that knows fewer reasons for a refusal than
  // the submission does.
  SUBCASE("a job whose service is evacuated would be refused, as it is") {
    for (const char* worker : {"worker-0", "worker-1", "worker-2"}) {
      scenario.SetZone(worker, "z0");
    }
    scenario.RunPasses(1);
    scenario.Evacuate({"z0"});
    const Explanation found = scenario.scheduler().ExplainSubmission(
        MakeSubmission("plain", Scenario::Step(1)), scenario.now());
    CHECK(found.refused == "evacuated");
    CHECK(scenario.Submit(kWaiting, "plain", {Scenario::Step(1)}).reason ==
          found.refused);
  }
  SUBCASE("an unknown job is not explained") {
    CHECK_FALSE(scenario.scheduler().Explain(jobs::JobKey(7), scenario.now()));
  }
}

// Guards against a question that counts as a submission, requests advice,
// starts something or leaves something to store.
TEST_CASE("explaining changes nothing") {
  Scenario asked;
  Scenario other;
  for (Scenario* scenario : {&asked, &other}) {
    scenario->AddWorkers(2);
    scenario->SubmitAndStore(kRunning, "plain", {Scenario::Step(8)});
    scenario->SubmitAndStore(kWaiting, "advised", {Scenario::Gang(2)});
    scenario->RunPasses(1);
  }
  Scheduler& scheduler = asked.scheduler();
  const std::map<Counters::Key, std::uint64_t> counters =
      asked.counters().values();
  for (int i = 0; i < 5000; ++i) {
    scheduler.ExplainSubmission(MakeSubmission("advised", Scenario::Gang(2)),
                                asked.now());
    scheduler.ExplainSubmission(MakeSubmission("urgent", Scenario::Step(1)),
                                asked.now());
    scheduler.Explain(jobs::JobKey(kWaiting), asked.now());
  }
  CHECK(scheduler.TakeActions().empty());
  CHECK_FALSE(scheduler.has_changes());
  CHECK(scheduler.live_jobs() == 2);
  CHECK(scheduler.waiting_steps() == other.scheduler().waiting_steps());
  CHECK(asked.counters().values() == counters);
  // The next passes do the same as those of a scheduler that was not asked.
  for (Scenario* scenario : {&asked, &other}) {
    scenario->TakeAdviceRequests();
    for (std::uint32_t i = 0; i < 8; ++i) {
      scenario->EndRun({{jobs::JobKey(kRunning), 0, 0}, i},
                       jobs::RunEnd::kDone);
    }
    scenario->SubmitAndStore(kWaiting + 1, "urgent", {Scenario::Step(3)});
    scenario->RunPasses(3);
  }
  const std::vector<StartTask> expected = other.TakeStarts();
  const std::vector<StartTask> starts = asked.TakeStarts();
  REQUIRE(starts.size() == expected.size());
  for (std::size_t i = 0; i < starts.size(); ++i) {
    CHECK(starts[i].task == expected[i].task);
    CHECK(starts[i].worker.id == expected[i].worker.id);
  }
  CHECK(asked.TakeAdviceRequests().size() == other.TakeAdviceRequests().size());
  CHECK(asked.counters().values() == other.counters().values());
}

}  // namespace
}  // namespace dotterelbarrow::core::scheduler
