// A poll that a worker executes late, in its next incarnation under the same
// id: a fleet and the model of a worker, without other faults.
#include <doctest/doctest.h>

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "dotterelbarrow/core/scheduler/fleet.h"
#include "src/standins/site/worker_model.h"
#include "test/core/scheduler/null_log.h"

namespace dotterelbarrow::test {
namespace {

using core::jobs::Attempt;
using core::jobs::RunEnd;
using core::jobs::TaskRef;
using core::scheduler::Action;
using core::scheduler::CommandOutcome;
using core::scheduler::FencingToken;
using core::scheduler::Fleet;
using core::scheduler::FleetSettings;
using core::scheduler::kTokensPerTerm;
using core::scheduler::PollResult;
using core::scheduler::PollWorker;
using core::scheduler::StartTask;
using standins::site::WorkerModel;
using std::chrono::milliseconds;

constexpr FencingToken kToken{3 * kTokensPerTerm};
constexpr std::int64_t kRunMs = 100;
const base::BackendId kWorker("worker");

using core::scheduler::NullLog;

core::workers::Listing MakeListing() {
  core::workers::Listing listing;
  listing.id = kWorker;
  listing.address = "10.0.0.1:1";
  listing.capacity.cpu = base::Millicores(4000);
  listing.born_ms = 1;
  return listing;
}

TaskRef TaskOf(std::uint64_t job) {
  return {{core::jobs::JobKey(job), 0, 0}, 0};
}

struct LatePollScenario {
  NullLog log;
  core::Counters counters;
  Fleet fleet{FleetSettings(), {&log, &counters}};
  WorkerModel worker{MakeListing(), 0};
  std::int64_t now_ms = 100'000;
  std::vector<Action> actions;
  // The tasks whose runs ended `done`.
  std::vector<TaskRef> done;

  LatePollScenario() {
    fleet.run_ended.connect([this](const core::workers::Worker&,
                                   const core::workers::Run& run, RunEnd end,
                                   const std::string&) {
      if (end == RunEnd::kDone) {
        done.push_back(run.task);
      }
    });
    worker.AdvanceTo(now_ms);
    List();
    AnswerPoll(TakePoll());
  }

  base::TimePoint now() const { return base::TimePoint(milliseconds(now_ms)); }
  void Advance(std::int64_t duration_ms) {
    now_ms += duration_ms;
    worker.AdvanceTo(now_ms);
  }
  void List() { fleet.UpdateListings({worker.listing()}, now(), now()); }
  // Returns the regular poll that is sent once it is due.
  PollWorker TakePoll() {
    actions.clear();
    Advance(1100);
    fleet.Tick(now(), now(), &actions);
    for (const Action& action : std::exchange(actions, {})) {
      if (const auto* poll = std::get_if<PollWorker>(&action)) {
        return *poll;
      }
    }
    FAIL("no poll was due");
    return {};
  }
  CommandOutcome Execute(const PollWorker& poll) {
    return worker.Look(poll, TokenFor(poll.worker, kToken)).outcome;
  }
  void AnswerPoll(const PollWorker& poll) {
    const PollResult result = worker.Look(poll, TokenFor(poll.worker, kToken));
    Answer(poll, result);
  }
  void Answer(const PollWorker& poll, const PollResult& result) {
    fleet.OnPolled(poll.worker.id, poll.worker.born_ms, true, result, now(),
                   &actions, poll.ends_stored);
  }
  // Sends a start command, and returns it.
  StartTask SendStart(std::uint64_t job) {
    core::workers::Run run;
    run.task = TaskOf(job);
    run.attempt = Attempt(1);
    run.reserved.cpu = base::Millicores(1000);
    fleet.Reserve(kWorker, run);
    actions.clear();
    fleet.Start(kWorker, {run.task, run.attempt}, "", "", "", now(), &actions);
    return std::get<StartTask>(actions.at(0));
  }
  CommandOutcome Execute(const StartTask& start) {
    return worker.Start(start, TokenFor(start.worker, kToken),
                        {.needs = {base::Millicores(1000), base::Mebibytes(0),
                                   base::Accelerators(0), base::Slots(0)},
                         .duration_ms = kRunMs});
  }
  // Runs a task to its success on the worker.
  void RunTask(std::uint64_t job) {
    const StartTask start = SendStart(job);
    const CommandOutcome outcome = Execute(start);
    REQUIRE(outcome == CommandOutcome::kDone);
    fleet.OnStarted(kWorker, start.worker.born_ms, {start.task, start.attempt},
                    outcome, worker.clock_ms(), now(), &actions);
    Advance(kRunMs);
  }
  void StoreEnds(std::int64_t born_ms, std::uint64_t number) {
    fleet.OnEndsStored(kWorker, born_ms, number, now());
  }
  void Restart(std::int64_t born_ms) {
    worker.Crash();
    worker.Restart(born_ms);
  }
  bool ListsEndOf(std::uint64_t job) const {
    return std::any_of(worker.ends().begin(), worker.ends().end(),
                       [job](const core::scheduler::ListedEnd& end) {
                         return end.task == TaskOf(job);
                       });
  }
};

// Guards against a task that starts again after its success: the end of its run
// was discarded by a poll that acknowledged an end of the previous incarnation.
TEST_CASE("a poll acknowledges an end, and the worker restarts") {
  LatePollScenario scenario;
  scenario.RunTask(1);
  scenario.AnswerPoll(scenario.TakePoll());
  scenario.StoreEnds(1, 1);
  REQUIRE(scenario.done == std::vector{TaskOf(1)});
  scenario.Restart(2);
  // The owner doesn't know of the restart yet.
  const PollWorker late = scenario.TakePoll();
  REQUIRE(late.ends_stored == 1);
  scenario.List();
  scenario.AnswerPoll(scenario.TakePoll());
  REQUIRE(scenario.fleet.Find(kWorker)->is_claimed);
  scenario.RunTask(2);

  SUBCASE("executed late, it discards no end of the new incarnation") {
    CHECK(scenario.Execute(late) == CommandOutcome::kFenced);
    REQUIRE(scenario.ListsEndOf(2));
    scenario.AnswerPoll(scenario.TakePoll());
    CHECK(scenario.done == std::vector{TaskOf(1), TaskOf(2)});
  }
  SUBCASE("its answer doesn't mean that another owner has taken over") {
    PollResult result;
    result.outcome = scenario.Execute(late);
    scenario.Answer(late, result);
    CHECK_FALSE(scenario.fleet.is_fenced());
    CHECK(scenario.fleet.Find(kWorker)->failed_polls == 0);
  }
  SUBCASE("the worker accepts the next owner") {
    PollWorker first;
    first.worker = {kWorker, "10.0.0.1:1", 1};
    const FencingToken next(kToken.value() + kTokensPerTerm);
    CHECK(scenario.worker.Look(first, TokenFor(first.worker, next)).outcome ==
          CommandOutcome::kDone);
  }
  SUBCASE(
      "the worker is removed and listed again: the owner isn't fenced off") {
    const PollWorker late_poll = scenario.TakePoll();
    scenario.fleet.UpdateListings({}, scenario.now(), scenario.now());
    for (int i = 0; i < 50 && scenario.fleet.Find(kWorker) != nullptr; ++i) {
      scenario.Advance(200);
      scenario.fleet.Tick(scenario.now(), scenario.now(), &scenario.actions);
    }
    REQUIRE(scenario.fleet.Find(kWorker) == nullptr);
    scenario.List();
    scenario.AnswerPoll(scenario.TakePoll());
    CHECK_FALSE(scenario.fleet.is_fenced());
    CHECK(scenario.fleet.Find(kWorker)->is_claimed);
    scenario.AnswerPoll(late_poll);
    CHECK_FALSE(scenario.fleet.is_fenced());
  }
}

// Guards against the same loss before the next incarnation is claimed: a start
// for the former one has run there, and its end is discarded unread.
TEST_CASE("a poll is executed by the next incarnation before its claim") {
  LatePollScenario scenario;
  scenario.RunTask(1);
  scenario.AnswerPoll(scenario.TakePoll());
  scenario.StoreEnds(1, 1);
  scenario.AnswerPoll(scenario.TakePoll());
  REQUIRE_FALSE(scenario.ListsEndOf(1));
  const PollWorker late = scenario.TakePoll();
  const StartTask start = scenario.SendStart(2);
  scenario.Restart(2);
  REQUIRE(scenario.Execute(start) == CommandOutcome::kDone);
  scenario.Advance(kRunMs);
  REQUIRE(scenario.ListsEndOf(2));
  scenario.Execute(late);
  CHECK(scenario.ListsEndOf(2));
  scenario.List();
  scenario.AnswerPoll(scenario.TakePoll());
  CHECK(scenario.done == std::vector{TaskOf(1), TaskOf(2)});
}

TEST_CASE("a poll acknowledges ends once") {
  LatePollScenario scenario;
  scenario.RunTask(1);
  scenario.AnswerPoll(scenario.TakePoll());
  scenario.StoreEnds(1, 1);
  const PollWorker first = scenario.TakePoll();
  CHECK(first.ends_stored == 1);
  SUBCASE("answered, later polls acknowledge nothing until there are others") {
    scenario.AnswerPoll(first);
    const PollWorker second = scenario.TakePoll();
    CHECK(second.ends_stored == 0);
    scenario.AnswerPoll(second);
    scenario.RunTask(2);
    scenario.AnswerPoll(scenario.TakePoll());
    scenario.StoreEnds(1, 2);
    CHECK(scenario.TakePoll().ends_stored == 2);
  }
  SUBCASE("without an answer, the next poll acknowledges them again") {
    PollResult lost;
    lost.outcome = CommandOutcome::kUnanswered;
    scenario.Answer(first, lost);
    CHECK(scenario.TakePoll().ends_stored == 1);
  }
}

// Guards against the same loss without a late command: the numbers of a batch
// that was being stored during the restart are those of the previous
// incarnation.
TEST_CASE("run ends of the previous incarnation are stored after a restart") {
  LatePollScenario scenario;
  scenario.RunTask(1);
  scenario.AnswerPoll(scenario.TakePoll());
  scenario.Restart(2);
  scenario.List();
  scenario.AnswerPoll(scenario.TakePoll());
  scenario.RunTask(2);
  scenario.AnswerPoll(scenario.TakePoll());
  REQUIRE(scenario.done == std::vector{TaskOf(1), TaskOf(2)});

  scenario.StoreEnds(1, 1);
  scenario.AnswerPoll(scenario.TakePoll());
  CHECK(scenario.ListsEndOf(2));
  scenario.StoreEnds(2, 1);
  scenario.AnswerPoll(scenario.TakePoll());
  CHECK_FALSE(scenario.ListsEndOf(2));
}

}  // namespace
}  // namespace dotterelbarrow::test
