// Work that the fleet can't hold: what it waits for, and that other work runs
// beside it.
#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "test/core/scheduler/timed_scenario.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kWorkers = 8;
constexpr std::uint64_t kImpossible = 1;
constexpr std::uint64_t kFirstSmall = 100;
constexpr std::uint64_t kSmallJobs = 24;
constexpr base::Duration kFinish = seconds(14);
// The impossible gangs are late after this time, and expire after 45 s.
constexpr base::Duration kGangEstimate = seconds(10);
constexpr base::Duration kUntilLate = seconds(6);

// Hands in small jobs of two steps whose runs take longer than estimated, so
// that their second steps are late.
void SubmitSmallJobs(TimedScenario* scenario,
                     const base::OrganisationId& organisation) {
  for (std::uint64_t i = 0; i < kSmallJobs; ++i) {
    jobs::StepSpec first = SchedulerScenario::Step(1);
    first.needs.cpu = base::Millicores(500);
    first.estimate = milliseconds(300);
    jobs::StepSpec second = first;
    second.depends_on = {0};
    scenario->run_times[kFirstSmall + i] = seconds(1);
    scenario->SubmitAndStore(kFirstSmall + i, "urgent", {first, second},
                             organisation);
  }
}

std::uint64_t CompletedSmallJobs(TimedScenario* scenario) {
  std::uint64_t completed = 0;
  for (std::uint64_t i = 0; i < kSmallJobs; ++i) {
    completed += scenario->IsCompleted(kFirstSmall + i) ? 1 : 0;
  }
  return completed;
}

std::string WaitReasonOf(TimedScenario* scenario, std::uint64_t job) {
  const auto explanation =
      scenario->scheduler().Explain(jobs::JobKey(job), scenario->now());
  REQUIRE(explanation.has_value());
  REQUIRE(explanation->steps.size() == 1);
  return explanation->steps[0].waits_for;
}

// Guards against a part of the cap that is reserved for ever for a gang that no
// worker can hold, so that no late work of its organisation runs (review/13).
TEST_CASE("late work of an organisation beside its impossible gang") {
  TimedScenario scenario;
  scenario.AddWorkers(kWorkers);
  scenario.SetCap(10);
  jobs::StepSpec gang = SchedulerScenario::Gang(2);
  gang.estimate = kGangEstimate;
  SUBCASE("whose members are larger than any worker") {
    gang.needs.cpu = base::Millicores(5000);
  }
  SUBCASE("whose members need more memory than any worker has") {
    gang.needs = {base::Millicores(5000), base::Mebibytes(2000), {}, {}};
  }
  SUBCASE("which needs a label that no worker has") {
    gang.needs.cpu = base::Millicores(4500);
    gang.required_label = "other";
  }
  SUBCASE("which has more members than workers may run") {
    gang.needs.cpu = base::Millicores(1000);
    gang.tasks = kWorkers + 1;
    gang.max_per_worker = 1;
  }
  scenario.SubmitAndStore(kImpossible, "urgent", {gang});
  scenario.Play(kUntilLate);
  SubmitSmallJobs(&scenario, SchedulerScenario::kSchool);
  scenario.Play(kFinish);
  CHECK(CompletedSmallJobs(&scenario) == kSmallJobs);
}

// Guards against workers that all late work avoids for ever, because a gang
// that can't be placed could use each of them (LEADS of issue 64).
TEST_CASE("late work of an organisation beside another one's impossible gang") {
  TimedScenario scenario;
  scenario.AddWorkers(kWorkers);
  jobs::StepSpec gang = SchedulerScenario::Gang(kWorkers + 1);
  gang.estimate = kGangEstimate;
  SUBCASE("of more members than there are workers") {}
  SUBCASE("of more members than workers may run") {
    gang.needs.cpu = base::Millicores(1000);
    gang.max_per_worker = 1;
  }
  scenario.SubmitAndStore(kImpossible, "urgent", {gang});
  scenario.Play(kUntilLate);
  SubmitSmallJobs(&scenario, SchedulerScenario::kClub);
  scenario.Play(kFinish);
  CHECK(CompletedSmallJobs(&scenario) == kSmallJobs);
  CHECK(WaitReasonOf(&scenario, kImpossible) == "fleet_too_small");

  // What the fleet can't hold now, it may hold later.
  scenario.AddWorkers(1);
  scenario.Play(seconds(1));
  CHECK(scenario.StartsOf(kImpossible) == gang.tasks);
}

// Guards against new jobs that are refused because an accepted one waits that
// can never be placed.
TEST_CASE("new jobs beside one that can't be placed") {
  TimedScenario scenario;
  scenario.AddWorkers(kWorkers);
  scenario.run_time = seconds(60);
  jobs::StepSpec step = SchedulerScenario::Step(1);
  SUBCASE("larger than its organisation's cap") {
    scenario.SetCap(3);
    step.needs.cpu = base::Millicores(3500);
    scenario.SubmitAndStore(kImpossible, "urgent", {step});
    scenario.Play(milliseconds(400));
    CHECK(WaitReasonOf(&scenario, kImpossible) == "cap_too_small");
    // A job that is nearly late would have its organisation's jobs refused.
    scenario.Play(milliseconds(100));
  }
  SUBCASE("larger than any worker, in a fleet that is nearly full") {
    scenario.SubmitAndStore(2, "plain", {SchedulerScenario::Step(30)});
    scenario.Play(milliseconds(200));
    step.needs.cpu = base::Millicores(5000);
    scenario.SubmitAndStore(kImpossible, "urgent", {step});
    scenario.Play(milliseconds(400));
    CHECK(WaitReasonOf(&scenario, kImpossible) == "fleet_too_small");
    scenario.Play(milliseconds(100));
  }
  jobs::StepSpec small = SchedulerScenario::Step(1);
  small.needs.cpu = base::Millicores(100);
  const SubmitResult result = scenario.Submit(3, "urgent", {small});
  CHECK_MESSAGE(result.outcome == SubmitOutcome::kStoring,
                "expected: accepted; actual: refused for ", result.reason);
}

// Guards against a step that no worker can hold and that takes the place of the
// step for which advice is requested out of turn, so that it never is.
TEST_CASE("advice out of turn beside a step that no worker can hold") {
  constexpr std::uint64_t kOverdue = 2;
  TimedScenario scenario;
  scenario.AddWorkers(kWorkers);
  scenario.SetAdvice(milliseconds(50), std::chrono::microseconds(100), 1);
  jobs::StepSpec gang = SchedulerScenario::Gang(2);
  gang.needs.cpu = base::Millicores(5000);
  scenario.SubmitAndStore(kImpossible, "advised", {gang});
  scenario.SubmitAndStore(kOverdue, "advised", {SchedulerScenario::Step(1)});
  // The call about the second job isn't answered until both are overdue.
  std::optional<RequestAdvice> unanswered;
  scenario.Play(seconds(12), [&](int /*pass*/) {
    for (const RequestAdvice& request : scenario.TakeAdviceRequests()) {
      unanswered = request;
    }
  });
  REQUIRE(unanswered.has_value());
  REQUIRE(unanswered->step.job == jobs::JobKey(kOverdue));
  scenario.FailAdviceRequest(*unanswered);

  // From then on, more urgent work would need all calls.
  std::uint64_t next = kFirstSmall;
  std::vector<RequestAdvice> calls;
  bool is_asked = false;
  scenario.Play(seconds(10), [&](int /*pass*/) {
    for (const RequestAdvice& call : std::exchange(calls, {})) {
      scenario.AnswerAdviceRequest(call, {});
    }
    for (int i = 0; i < 3; ++i) {
      scenario.SubmitAndStore(next++, "advised", {SchedulerScenario::Step(1)});
    }
    calls = scenario.TakeAdviceRequests();
    for (const RequestAdvice& call : calls) {
      is_asked |= call.step.job == jobs::JobKey(kOverdue);
    }
  });
  CHECK(is_asked);
}

}  // namespace
}  // namespace dotterelbarrow::core::scheduler
