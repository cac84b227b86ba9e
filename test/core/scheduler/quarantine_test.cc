// Workers on which everything fails, and sound workers that run jobs which fail
// wherever they run.
#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <string>

#include "test/core/scheduler/timed_scenario.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kWorkers = 8;
constexpr std::uint64_t kHealthy = 1;
constexpr std::uint64_t kFirstHopeless = 10;
constexpr std::uint64_t kHopelessJobs = 5;
constexpr std::uint64_t kFirstLookup = 100;
// A job that has nothing running for so long, although a worker has room for
// it, counts as lost.
constexpr base::Duration kLostAfter = seconds(3);

jobs::StepSpec Labelled() {
  jobs::StepSpec step = SchedulerScenario::Step(1);
  step.needs.cpu = base::Millicores(500);
  step.estimate = milliseconds(300);
  step.required_label = "rare";
  return step;
}

jobs::StepSpec Small() {
  jobs::StepSpec step = Labelled();
  step.required_label.clear();
  return step;
}

void SubmitHopeless(TimedScenario* scenario, std::uint64_t first) {
  for (std::uint64_t i = 0; i < kHopelessJobs; ++i) {
    scenario->failing_jobs.insert(first + i);
    scenario->SubmitAndStore(first + i, "urgent", {Labelled()});
  }
}

// Returns how long the job waited for its first start.
base::Duration WaitOf(const TimedScenario& scenario, std::uint64_t job,
                      base::TimePoint submitted_at) {
  for (const TimedScenario::Start& start : scenario.starts()) {
    if (start.task.step.job == jobs::JobKey(job)) {
      return start.at - submitted_at;
    }
  }
  return base::Duration::max();
}

// Guards against sound workers that take no work for up to 24 s after jobs that
// fail wherever they run, although no other worker could run what waits
// (review/14).
TEST_CASE(
    "a job that only workers can run on which hopeless jobs have failed") {
  TimedScenario scenario;
  scenario.AddWorkers(kWorkers);
  scenario.run_time = milliseconds(300);
  scenario.SetLabels("worker-0", {"rare"});
  SUBCASE("one worker") {}
  SUBCASE("two workers") { scenario.SetLabels("worker-1", {"rare"}); }
  std::uint64_t next_job = kFirstHopeless;
  for (int after_s = 1; after_s < 25; after_s += 4) {
    CAPTURE(after_s);
    // A job that has ended isn't run again under its key.
    SubmitHopeless(&scenario, next_job);
    next_job += kHopelessJobs;
    scenario.Play(seconds(after_s));
    const std::uint64_t job = next_job++;
    const base::TimePoint submitted_at = scenario.now();
    scenario.SubmitAndStore(job, "urgent", {Labelled()});
    scenario.Play(seconds(5));
    CHECK(WaitOf(scenario, job, submitted_at) < kLostAfter);
    // Whatever the hopeless jobs have left behind is over then.
    scenario.Play(seconds(40));
  }
}

// Hopeless jobs end as well: each fails as often as it may.
TEST_CASE("hopeless jobs that only one worker can run") {
  TimedScenario scenario;
  scenario.AddWorkers(kWorkers);
  scenario.run_time = milliseconds(300);
  scenario.SetLabels("worker-0", {"rare"});
  SubmitHopeless(&scenario, kFirstHopeless);
  scenario.Play(seconds(14));
  for (std::uint64_t i = 0; i < kHopelessJobs; ++i) {
    CHECK(scenario.scheduler().StateOf(jobs::JobKey(kFirstHopeless + i)) ==
          jobs::JobState::kFailed);
  }
}

// Guards against failures of runs that were begun before a quarantine and
// prolong it.
TEST_CASE("many failures of different jobs at one moment") {
  TimedScenario scenario;
  scenario.AddWorkers(2);
  scenario.run_time = milliseconds(300);
  for (std::uint64_t i = 0; i < 8; ++i) {
    scenario.failing_jobs.insert(kFirstHopeless + i);
    scenario.SubmitAndStore(kFirstHopeless + i, "urgent", {Small()});
  }
  scenario.Play(milliseconds(600));
  REQUIRE(scenario.counters().value("worker_quarantines", "failures") == 1);
}

// A worker on which everything fails costs no more runs than three, and then
// one or two for each period of its quarantine.
TEST_CASE("a worker that fails all it starts, beside others") {
  TimedScenario scenario;
  scenario.AddWorkers(kWorkers);
  scenario.run_time = milliseconds(300);
  scenario.SubmitAndStore(kHealthy, "urgent", {Small()});
  scenario.Play(seconds(1));
  // The worker that is chosen first of all.
  const std::string sick = scenario.starts().at(0).worker;
  scenario.failing_workers = {sick};
  std::uint64_t lookup = kFirstLookup;
  const auto submit = [&](int /*pass*/) {
    for (int i = 0; i < 4; ++i) {
      scenario.SubmitAndStore(lookup++, "urgent", {Small()});
    }
  };
  const auto starts_on_sick = [&scenario, &sick](std::size_t from) {
    std::size_t starts = 0;
    for (std::size_t i = from; i < scenario.starts().size(); ++i) {
      starts += scenario.starts()[i].worker == sick ? 1 : 0;
    }
    return starts;
  };
  scenario.Play(seconds(2), submit);
  const std::size_t until_isolated = starts_on_sick(0);
  CHECK(until_isolated > 0);
  scenario.Play(seconds(18), submit);
  CHECK(starts_on_sick(0) - until_isolated <= 6);
  // It is used again soon after it has recovered.
  const std::size_t recovered = scenario.starts().size();
  scenario.failing_workers.clear();
  scenario.Play(seconds(7), submit);
  CHECK(starts_on_sick(recovered) > 0);
  // No job was given up for it.
  for (std::uint64_t job = kFirstLookup; job < lookup; ++job) {
    CHECK(scenario.scheduler().StateOf(jobs::JobKey(job)) !=
          jobs::JobState::kFailed);
  }
}

// Guards against jobs that use up their attempts at once on a sick worker that
// is the only one that can run them, and recovers.
TEST_CASE("a sick worker that is the only one with a label, and recovers") {
  TimedScenario scenario;
  scenario.AddWorkers(kWorkers);
  scenario.run_time = milliseconds(300);
  scenario.SetLabels("worker-0", {"rare"});
  scenario.failing_workers = {"worker-0"};
  for (std::uint64_t i = 0; i < kHopelessJobs; ++i) {
    scenario.SubmitAndStore(kFirstHopeless + i, "urgent", {Labelled()});
  }
  scenario.Play(milliseconds(6500));
  scenario.failing_workers.clear();
  scenario.Play(seconds(8));
  for (std::uint64_t i = 0; i < kHopelessJobs; ++i) {
    CHECK(scenario.IsCompleted(kFirstHopeless + i));
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::scheduler
