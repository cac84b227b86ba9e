// Runs and leases of one worker, told step by step.
#include "dotterelbarrow/core/scheduler/fleet.h"

#include <doctest/doctest.h>

#include <utility>
#include <variant>
#include <vector>

#include "test/core/scheduler/scheduler_story.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::BackendId kWorker("worker");
constexpr jobs::TaskRef kTask{{jobs::JobKey(1), 0, 0}, 0};
constexpr jobs::Attempt kAttempt(1);

// One claimed worker and the ends of its runs.
struct Story {
  NoLog log;
  Counters counters;
  Fleet fleet{FleetSettings(), {&log, &counters}};
  base::TimePoint now{seconds(100)};
  std::int64_t worker_ms = 5000;
  std::int64_t born_ms = 1;
  std::uint64_t revision = 1;
  std::vector<Action> actions;
  std::vector<jobs::RunEnd> ends;

  Story() {
    fleet.run_ended.connect(
        [this](const workers::Worker&, const workers::Run&, jobs::RunEnd end,
               const std::string&) { ends.push_back(end); });
    List();
    Tick();
    Look({});
  }

  void Pass(base::Duration duration) {
    now += duration;
    worker_ms += duration / milliseconds(1);
  }
  void List(bool draining = false) {
    workers::Listing listing;
    listing.id = kWorker;
    listing.address = "10.0.0.1:1";
    listing.capacity.cpu = base::Millicores(4000);
    listing.born_ms = born_ms;
    listing.draining = draining;
    listing.revision = revision;
    fleet.UpdateListings({listing}, now, now);
  }
  void ListNothing() { fleet.UpdateListings({}, now, now); }
  void Tick() { fleet.Tick(now, &actions); }
  // Answers a look with these lists.
  void Look(std::vector<ListedRun> active, std::vector<ListedEnd> ended = {}) {
    LookResult result;
    result.outcome = OrderOutcome::kDone;
    result.clock_ms = worker_ms;
    result.born_ms = born_ms;
    result.active = std::move(active);
    result.ended = std::move(ended);
    fleet.OnLooked(kWorker, born_ms, true, result, now, &actions);
  }
  void FailLook() {
    fleet.OnLooked(kWorker, born_ms, true, LookResult(), now, &actions);
  }
  void Start() {
    workers::Run run;
    run.task = kTask;
    run.attempt = kAttempt;
    run.reserved.cpu = base::Millicores(3000);
    fleet.Earmark(kWorker, run);
    fleet.Start(kWorker, {kTask, kAttempt}, "", "", "", now, &actions);
  }
  void AnswerStart(OrderOutcome outcome) {
    fleet.OnStarted(kWorker, born_ms, {kTask, kAttempt}, outcome, worker_ms,
                    now, &actions);
  }
  template <typename Kind>
  int CountActions() {
    int count = 0;
    for (const Action& action : std::exchange(actions, {})) {
      count += std::holds_alternative<Kind>(action) ? 1 : 0;
    }
    return count;
  }
  // Returns up to which end the next look that is due lets the worker forget.
  std::uint64_t AcknowledgedByNextLook() {
    actions.clear();
    Pass(seconds(2));
    Tick();
    for (const Action& action : actions) {
      if (const auto* look = std::get_if<LookAtWorker>(&action)) {
        return look->ends_stored;
      }
    }
    FAIL("no look was due");
    return 0;
  }
  std::int64_t FreeCpu() { return fleet.Find(kWorker)->FreeRoom().cpu.value(); }
};

TEST_CASE("a start without an answer") {
  Story story;
  story.Start();
  story.Pass(milliseconds(250));
  story.AnswerStart(OrderOutcome::kUnanswered);

  SUBCASE("keeps its room, and is looked for at once") {
    CHECK(story.FreeCpu() == 1000);
    CHECK(story.CountActions<LookAtWorker>() >= 1);
    CHECK(story.ends.empty());
  }
  SUBCASE("that is listed goes on") {
    story.Pass(milliseconds(5));
    story.Look({{kTask, kAttempt, ""}});
    CHECK(story.fleet.Find(kWorker)->FindRun(kTask, kAttempt)->state ==
          workers::RunState::kRunning);
  }
  SUBCASE("that isn't listed is closed by a stop before its room is free") {
    story.Pass(milliseconds(5));
    story.actions.clear();
    story.Look({});
    CHECK(story.CountActions<StopTask>() == 1);
    CHECK(story.FreeCpu() == 1000);

    SUBCASE("which a list of before the stop doesn't settle") {
      const std::int64_t before = story.worker_ms;
      story.Pass(milliseconds(5));
      story.fleet.OnStopped(kWorker, story.born_ms, {kTask, kAttempt},
                            OrderOutcome::kDone, story.worker_ms,
                            &story.actions);
      story.worker_ms = before;
      story.Look({});
      CHECK(story.ends.empty());
    }
    SUBCASE("which a list of after it does") {
      story.fleet.OnStopped(kWorker, story.born_ms, {kTask, kAttempt},
                            OrderOutcome::kDone, story.worker_ms,
                            &story.actions);
      story.Pass(milliseconds(5));
      story.Look({});
      CHECK(story.ends == std::vector{jobs::RunEnd::kStopped});
      CHECK(story.FreeCpu() == 4000);
    }
  }
}

TEST_CASE("a worker that falls silent while a task runs") {
  Story story;
  story.Start();
  story.AnswerStart(OrderOutcome::kDone);
  story.Pass(milliseconds(5));
  story.Look({{kTask, kAttempt, ""}});
  story.FailLook();

  SUBCASE("gets no new work") {
    CHECK_FALSE(story.fleet.Find(kWorker)->TakesWork(story.now));
  }
  SUBCASE("keeps its task until its lease has surely lapsed") {
    // Up to one step before the lease that was given last has run out.
    const auto steps = FleetSettings().lease / milliseconds(200) - 1;
    for (int i = 0; i < steps; ++i) {
      story.Pass(milliseconds(200));
      story.Tick();
      story.FailLook();
    }
    CHECK(story.ends.empty());

    SUBCASE("and no longer, however often it was looked at in vain") {
      for (int i = 0; i < 10; ++i) {
        story.Pass(milliseconds(200));
        story.Tick();
        story.FailLook();
      }
      CHECK(story.ends == std::vector{jobs::RunEnd::kLapsed});
    }
  }
  SUBCASE("gives its task back at once when it has another life") {
    story.born_ms = 2;
    story.List();
    CHECK(story.ends == std::vector{jobs::RunEnd::kWorkerGone});
  }
}

// A worker that crashes may be back at once, under the id and address that it
// had, before the list shows it.
TEST_CASE("a start that was answered, but never listed") {
  Story story;
  story.Start();
  story.AnswerStart(OrderOutcome::kDone);
  story.born_ms = 2;
  story.worker_ms = 40;
  story.actions.clear();
  story.List();

  SUBCASE("may run in the worker's next life, and isn't taken for gone") {
    CHECK(story.ends.empty());
    CHECK(story.FreeCpu() == 1000);
  }
  SUBCASE("is closed there before its room is free") {
    story.Tick();
    story.Look({{kTask, kAttempt, ""}});
    CHECK(story.CountActions<StopTask>() >= 1);
    story.fleet.OnStopped(kWorker, story.born_ms, {kTask, kAttempt},
                          OrderOutcome::kDone, story.worker_ms, &story.actions);
    CHECK(story.ends.empty());
    story.Pass(milliseconds(200));
    story.Look({}, {{1, kTask, kAttempt, jobs::RunEnd::kStopped, ""}});
    CHECK(story.ends == std::vector{jobs::RunEnd::kStopped});
    CHECK(story.FreeCpu() == 4000);
  }
}

TEST_CASE("ends") {
  Story story;
  story.Start();
  story.AnswerStart(OrderOutcome::kDone);
  story.Pass(milliseconds(700));
  const ListedEnd done{7, kTask, kAttempt, jobs::RunEnd::kDone, ""};
  story.Look({}, {done});

  SUBCASE("free the room and are taken once") {
    CHECK(story.ends == std::vector{jobs::RunEnd::kDone});
    CHECK(story.FreeCpu() == 4000);
    story.Look({}, {done});
    CHECK(story.ends.size() == 1);
  }
  SUBCASE("are acknowledged only once they are stored") {
    CHECK(story.AcknowledgedByNextLook() == 0);
    story.Look({}, {done});
    story.fleet.OnEndsStored(kWorker, 7, story.now);
    CHECK(story.AcknowledgedByNextLook() == 7);
  }
}

TEST_CASE("an inherited worker") {
  Story story;
  Fleet next(FleetSettings(), {&story.log, &story.counters});
  workers::Listing listing;
  listing.id = kWorker;
  next.Inherit(listing, story.now);
  SUBCASE("isn't settled by its first listing") {
    workers::Listing listed = listing;
    listed.born_ms = 1;
    next.UpdateListings({listed}, story.now, story.now);
    CHECK(next.unsettled().contains(kWorker));
  }
  SUBCASE("is waited for longer while its former owner may command it") {
    std::vector<Action> actions;
    next.Tick(story.now + seconds(6), &actions);
    CHECK(next.unsettled().contains(kWorker));
    next.NoteFormerOwnerGone(story.now);
    next.Tick(story.now + seconds(6), &actions);
    CHECK_FALSE(next.unsettled().contains(kWorker));
  }
}

TEST_CASE("a worker is missing on the list") {
  Story story;
  story.Start();
  story.AnswerStart(OrderOutcome::kDone);
  const auto list_draining = [&story](base::Duration after) {
    story.Pass(after);
    ++story.revision;
    story.List(true);
  };
  SUBCASE("after it was draining: it has left, and its runs with it") {
    list_draining(milliseconds(500));
    list_draining(milliseconds(500));
    story.Pass(milliseconds(500));
    story.ListNothing();
    REQUIRE(story.ends.size() == 1);
    CHECK(story.ends[0] == jobs::RunEnd::kWorkerGone);
  }
  SUBCASE("without having been draining: it may only be silent") {
    story.Pass(milliseconds(500));
    ++story.revision;
    story.List();
    story.Pass(milliseconds(500));
    story.ListNothing();
    CHECK(story.ends.empty());
  }
  SUBCASE("after it had been silent for long: it may run on") {
    list_draining(milliseconds(500));
    for (int i = 0; i < 8; ++i) {
      story.Pass(milliseconds(500));
      story.List(true);
    }
    story.Pass(milliseconds(500));
    story.ListNothing();
    CHECK(story.ends.empty());
  }
  SUBCASE("after the store was away: entries may have been lost meanwhile") {
    list_draining(milliseconds(500));
    list_draining(milliseconds(500));
    story.Pass(milliseconds(1500));
    story.ListNothing();
    CHECK(story.ends.empty());
  }
  SUBCASE("with a start that wasn't answered: its next life may get it") {
    Story lost;
    lost.Start();
    lost.AnswerStart(OrderOutcome::kUnanswered);
    lost.Pass(milliseconds(500));
    ++lost.revision;
    lost.List(true);
    lost.Pass(milliseconds(500));
    lost.ListNothing();
    CHECK(lost.ends.empty());
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::scheduler
