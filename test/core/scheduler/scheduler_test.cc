// Jobs from their submission to their end, as the owner sees them.
#include "dotterelbarrow/core/scheduler/scheduler.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <set>

#include "test/core/scheduler/scheduler_story.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using Story = SchedulerStory;
using jobs::JobState;
using jobs::RunEnd;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kJob = 1;
constexpr std::uint64_t kOther = 2;

jobs::TaskRef TaskOf(std::uint64_t job, std::uint32_t index,
                     std::uint32_t step = 0) {
  return {{jobs::JobKey(job), 0, step}, index};
}

std::optional<JobState> StateOf(Story* story, std::uint64_t job) {
  return story->scheduler().StateOf(jobs::JobKey(job));
}

TEST_CASE("a job without advice") {
  Story story;
  story.AddWorkers(2);
  REQUIRE(story.Submit(kJob, "plain", {Story::Step(3)}).outcome ==
          SubmitOutcome::kStoring);

  SUBCASE("starts nothing before its acceptance is stored") {
    story.Passes(3);
    CHECK(story.TakeStarts().empty());
    CHECK(story.Store().size() == 1);
    story.Passes(1);
    CHECK(story.TakeStarts().size() == 3);
  }
  SUBCASE("is known by its first submission only") {
    story.Store();
    CHECK(story.Submit(kJob, "plain", {Story::Step(9)}).outcome ==
          SubmitOutcome::kAccepted);
    story.Passes(1);
    CHECK(story.TakeStarts().size() == 3);
  }
  SUBCASE("that can't be stored is withdrawn, and surely never runs") {
    CHECK(story.scheduler().WithdrawUnwritten().size() == 1);
    CHECK_FALSE(StateOf(&story, kJob));
    CHECK(story.Store().empty());
    story.Passes(3);
    CHECK(story.TakeStarts().empty());
  }
  SUBCASE("is completed with its last task, once that is stored") {
    story.Store();
    story.Passes(1);
    for (std::uint32_t i = 0; i < 3; ++i) {
      story.End(TaskOf(kJob, i), RunEnd::kDone);
    }
    story.Passes(20);
    CHECK(StateOf(&story, kJob) == JobState::kInProgress);
    story.Store();
    CHECK(StateOf(&story, kJob) == JobState::kCompleted);
  }
  SUBCASE("fails after as many failed runs of one task as its queue allows") {
    story.Store();
    for (std::uint32_t i = 0; i < Story::kMaxAttempts; ++i) {
      CHECK(StateOf(&story, kJob) != JobState::kFailed);
      story.Passes(20);
      story.End(TaskOf(kJob, 0), RunEnd::kFailed);
      story.Passes(20);
      story.Store();
    }
    CHECK(StateOf(&story, kJob) == JobState::kFailed);
  }
}

TEST_CASE("a cancelled job") {
  Story story;
  story.AddWorkers(1);
  story.Accept(kJob, "plain", {Story::Step(2)});
  story.Passes(1);
  REQUIRE(story.TakeStarts().size() == 2);

  SUBCASE("is shown as cancelled once that is stored; its runs are stopped") {
    CHECK(story.scheduler().Cancel(jobs::JobKey(kJob), WaiterId(99),
                                   story.now()) == CancelAnswer::kStoring);
    CHECK(story.Store() == std::vector{WaiterId(99)});
    CHECK(StateOf(&story, kJob) == JobState::kCancelled);
    story.Passes(30);
    story.Accept(kOther, "plain", {Story::Step(4)});
    story.Passes(1);
    CHECK(story.TakeStarts().size() == 4);
  }
  SUBCASE("that was never taken is unknown") {
    CHECK(story.scheduler().Cancel(jobs::JobKey(kOther), WaiterId(99),
                                   story.now()) == CancelAnswer::kUnknown);
  }
}

TEST_CASE("a job with advice") {
  Story story;
  story.AddWorkers(3);
  story.Submit(kJob, "advised", {Story::Step(2)});

  SUBCASE("asks while its acceptance is being stored") {
    story.Passes(1);
    const auto calls = story.TakeCalls();
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].workers.size() == 3);
    story.Advise(calls[0], {"worker-1"});
    story.Store();
    story.Passes(1);
    const auto starts = story.TakeStarts();
    REQUIRE(starts.size() == 2);
    CHECK(starts[0].worker.id.value() == "worker-1");
    CHECK(starts[0].ticket == "ticket of worker-1");
  }
  SUBCASE(
      "asks again for workers whose tickets have run out, and sets room "
      "aside meanwhile") {
    story.Passes(1);
    story.Advise(story.TakeCalls().at(0), {"worker-1"});
    story.Advance(Story::kTicketValidity);
    story.Store();
    story.Passes(1);
    CHECK(story.TakeStarts().empty());
    const auto calls = story.TakeCalls();
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].workers == std::vector{base::BackendId("worker-1")});
    story.Advise(calls[0], {"worker-1"});
    CHECK(story.TakeStarts().size() == 2);
  }
  SUBCASE("asks again for a ticket that the worker refused") {
    story.Store();
    story.Passes(1);
    story.refuses_tickets = true;
    story.Advise(story.TakeCalls().at(0), {"worker-1"});
    story.Passes(1);
    CHECK_FALSE(story.TakeStarts().empty());
    story.refuses_tickets = false;
    story.Passes(1);
    const auto calls = story.TakeCalls();
    REQUIRE_FALSE(calls.empty());
    story.Advise(calls[0], {"worker-1"});
    story.Passes(1);
    CHECK(story.TakeStarts().size() == 2);
  }
}

// Load pattern: the workers that a step may run on are full, and the step
// waits while others come.
TEST_CASE("a step whose allowed workers have no room") {
  Story story;
  story.AddWorkers(2);
  story.Accept(kOther, "plain", {Story::Step(8)});
  story.Passes(1);
  REQUIRE(story.TakeStarts().size() == 8);
  story.Accept(kJob, "advised", {Story::Step(1)});
  story.End(TaskOf(kOther, 0), RunEnd::kDone);
  story.Passes(20);
  story.Advise(story.TakeCalls().at(0), {"worker-0"});
  // Its one worker fills up again.
  story.Accept(3, "plain", {Story::Step(8)});
  story.Passes(30);
  story.TakeCalls();
  story.AddWorkers(1);

  SUBCASE("asks about those that it wasn't asked about, and only about them") {
    story.Passes(30);
    std::set<std::string> asked;
    for (const AskAdvice& call : story.TakeCalls()) {
      for (const base::BackendId& worker : call.workers) {
        asked.insert(worker.value());
      }
      story.Advise(call, {});
    }
    CHECK(std::all_of(asked.begin(), asked.end(),
                      [](const std::string& id) { return id == "worker-2"; }));
  }
}

TEST_CASE("a step that none of the workers asked about may run") {
  Story story;
  story.AddWorkers(2);
  story.Accept(kJob, "advised", {Story::Step(1)});
  story.Passes(2);
  const std::vector<AskAdvice> calls = story.TakeCalls();
  REQUIRE(calls.size() == 1);
  story.Advise(calls.front(), {});
  story.AddWorkers(1);

  SUBCASE("asks about a new one, and not about the others again") {
    story.Passes(30);
    std::set<std::string> asked;
    for (const AskAdvice& call : story.TakeCalls()) {
      for (const base::BackendId& worker : call.workers) {
        asked.insert(worker.value());
      }
    }
    CHECK(asked == std::set<std::string>{"worker-2"});
  }
}

TEST_CASE("a gang") {
  Story story;
  story.AddWorkers(3);

  SUBCASE("starts with all members at once") {
    story.Accept(kJob, "plain", {Story::Gang(3)});
    story.Passes(1);
    const auto starts = story.TakeStarts();
    REQUIRE(starts.size() == 3);
    CHECK(starts[0].attempt == starts[2].attempt);
  }
  SUBCASE("starts nothing while one member has no room") {
    story.Accept(kOther, "plain", {Story::Step(1)});
    story.Passes(1);
    story.TakeStarts();
    story.Accept(kJob, "plain", {Story::Gang(3)});
    story.Passes(5);
    CHECK(story.TakeStarts().empty());
    story.End(TaskOf(kOther, 0), RunEnd::kDone);
    story.Passes(20);
    CHECK(story.TakeStarts().size() == 3);
  }
  SUBCASE("is asked for at all workers, and starts once all tickets hold") {
    story.Accept(kJob, "advised", {Story::Gang(2)});
    story.Passes(1);
    const auto calls = story.TakeCalls();
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].workers.size() == 3);
    story.Advise(calls[0], {"worker-0", "worker-2"});
    story.Passes(1);
    CHECK(story.TakeStarts().size() == 2);
  }
  SUBCASE("that loses a member is stopped and starts again as a whole") {
    story.Accept(kJob, "plain", {Story::Gang(2)});
    story.Passes(1);
    const auto first = story.TakeStarts();
    REQUIRE(first.size() == 2);
    story.End(TaskOf(kJob, 0), RunEnd::kFailed);
    story.Passes(30);
    const auto second = story.TakeStarts();
    REQUIRE(second.size() == 2);
    CHECK(second[0].attempt == second[1].attempt);
    CHECK(second[0].attempt > first[0].attempt);
  }
}

// Load pattern: an organisation hands in more than its cap lets run.
TEST_CASE("the cap of an organisation") {
  Story story;
  story.AddWorkers(4);
  story.SetCap(5);
  story.Accept(kJob, "plain", {Story::Step(4)});
  story.Passes(1);
  REQUIRE(story.TakeStarts().size() == 4);

  SUBCASE("holds back what goes beyond it, until something has ended") {
    story.Accept(kOther, "plain", {Story::Step(3)});
    story.Passes(5);
    CHECK(story.TakeStarts().size() == 1);
    story.End(TaskOf(kJob, 0), RunEnd::kDone);
    story.End(TaskOf(kJob, 1), RunEnd::kDone);
    story.Passes(20);
    CHECK(story.TakeStarts().size() == 2);
  }
  SUBCASE("leaves room for a gang that waits, which small tasks would fill") {
    story.Accept(kOther, "plain", {Story::Gang(1)});
    story.Accept(3, "plain", {Story::Step(1)});
    for (std::uint32_t i = 0; i < 4; ++i) {
      story.Passes(10);
      CHECK(story.TakeStarts().empty());
      story.End(TaskOf(kJob, i), RunEnd::kDone);
      if (i == 2) {
        break;
      }
    }
    story.Passes(20);
    const auto starts = story.TakeStarts();
    REQUIRE_FALSE(starts.empty());
    CHECK(starts[0].task.step.job == jobs::JobKey(kOther));
  }
}

TEST_CASE("the next owner") {
  Story story;
  story.AddWorkers(2);

  SUBCASE("goes on with what is stored, and starts nothing twice") {
    story.Accept(kJob, "plain", {Story::Step(2), Story::Step(1)});
    story.Passes(1);
    REQUIRE(story.TakeStarts().size() == 3);
    story.TakeOver();
    story.Passes(10);
    CHECK(story.TakeStarts().empty());
    for (std::uint32_t i = 0; i < 2; ++i) {
      story.End(TaskOf(kJob, i), RunEnd::kDone);
    }
    story.End(TaskOf(kJob, 0, 1), RunEnd::kDone);
    story.Passes(30);
    story.Store();
    CHECK(StateOf(&story, kJob) == JobState::kCompleted);
  }
  SUBCASE("counts attempts above those of the last one") {
    story.Accept(kJob, "plain", {Story::Step(1)});
    story.Passes(1);
    const auto first = story.TakeStarts();
    REQUIRE(first.size() == 1);
    story.End(TaskOf(kJob, 0), RunEnd::kFailed);
    story.TakeOver();
    story.Passes(20);
    const auto second = story.TakeStarts();
    REQUIRE(second.size() == 1);
    CHECK(second[0].attempt > first[0].attempt);
  }
  // The soak's seed 107: jobs failed for good with their first failed run.
  SUBCASE("keeps to the rules of a queue that was dropped meanwhile") {
    story.Accept(kJob, "plain", {Story::Step(1)});
    story.DropQueue("plain");
    story.TakeOver();
    for (std::uint32_t i = 1; i < Story::kMaxAttempts; ++i) {
      story.Passes(20);
      CHECK(story.TakeStarts().size() == 1);
      story.End(TaskOf(kJob, 0), RunEnd::kFailed);
      story.Passes(20);
      story.Store();
      CHECK(StateOf(&story, kJob) != JobState::kFailed);
    }
    story.Passes(20);
    story.End(TaskOf(kJob, 0), RunEnd::kDone);
    story.Passes(20);
    story.Store();
    CHECK(StateOf(&story, kJob) == JobState::kCompleted);
  }
  SUBCASE("refuses new jobs for that queue") {
    story.DropQueue("plain");
    story.TakeOver();
    CHECK(story.Submit(kJob, "plain", {Story::Step(1)}).outcome ==
          SubmitOutcome::kRefused);
  }
  SUBCASE("remembers how jobs ended") {
    story.Accept(kJob, "plain", {Story::Step(1)});
    story.Passes(1);
    story.End(TaskOf(kJob, 0), RunEnd::kDone);
    story.Passes(20);
    story.Store();
    story.TakeOver();
    CHECK(StateOf(&story, kJob) == JobState::kCompleted);
    CHECK(story.Submit(kJob, "plain", {Story::Step(1)}).outcome ==
          SubmitOutcome::kAccepted);
    story.Passes(5);
    CHECK(story.TakeStarts().size() <= 1);
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::scheduler
