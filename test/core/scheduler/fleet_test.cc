// Tests the runs and leases of one worker of a fleet.
#include "dotterelbarrow/core/scheduler/fleet.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "test/core/scheduler/scheduler_scenario.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::BackendId kWorker("worker");
constexpr jobs::TaskRef kTask{{jobs::JobKey(1), 0, 0}, 0};
constexpr jobs::Attempt kAttempt(1);

// A fleet with one claimed worker. Records how its runs end.
struct FleetScenario {
  NullLog log;
  Counters counters;
  Fleet fleet{FleetSettings(), {&log, &counters}};
  base::TimePoint now{seconds(100)};
  std::int64_t worker_clock_ms = 5000;
  std::int64_t born_ms = 1;
  std::uint64_t revision = 1;
  std::vector<Action> actions;
  std::vector<jobs::RunEnd> ends;
  std::vector<workers::WorkerLoss> losses;

  FleetScenario() {
    fleet.worker_lost.connect(
        [this](const workers::WorkerLoss& loss) { losses.push_back(loss); });
    fleet.run_ended.connect(
        [this](const workers::Worker&, const workers::Run&, jobs::RunEnd end,
               const std::string&) { ends.push_back(end); });
    ApplyList();
    Tick();
    AnswerPoll({});
  }

  void Advance(base::Duration duration) {
    now += duration;
    worker_clock_ms += duration / milliseconds(1);
  }
  void ApplyList(bool draining = false) {
    workers::Listing listing;
    listing.id = kWorker;
    listing.address = "10.0.0.1:1";
    listing.capacity.cpu = base::Millicores(4000);
    listing.born_ms = born_ms;
    listing.draining = draining;
    listing.revision = revision;
    fleet.UpdateListings({listing}, now, now);
  }
  void ApplyEmptyList() { fleet.UpdateListings({}, now, now); }
  void Tick() { fleet.Tick(now, now, &actions); }
  // Answers the regular poll with these lists.
  void AnswerPoll(std::vector<ListedRun> active,
                  std::vector<ListedEnd> ended = {}, bool lists_all = true) {
    PollResult result;
    result.lists_all = lists_all;
    result.outcome = CommandOutcome::kDone;
    result.clock_ms = worker_clock_ms;
    result.born_ms = born_ms;
    result.active = std::move(active);
    result.ended = std::move(ended);
    fleet.OnPolled(kWorker, born_ms, true, result, now, &actions);
  }
  void FailPoll(CommandOutcome outcome = CommandOutcome::kUnanswered) {
    PollResult result;
    result.outcome = outcome;
    fleet.OnPolled(kWorker, born_ms, true, result, now, &actions);
  }
  void Start() {
    workers::Run run;
    run.task = kTask;
    run.attempt = kAttempt;
    run.reserved.cpu = base::Millicores(3000);
    fleet.Reserve(kWorker, run);
    fleet.Start(kWorker, {kTask, kAttempt}, "", "", "", now, &actions);
  }
  void AnswerStart(CommandOutcome outcome) {
    fleet.OnStarted(kWorker, born_ms, {kTask, kAttempt}, outcome,
                    worker_clock_ms, now, &actions);
  }
  // Starts the task on the worker, which drains, and lets 400 ms pass.
  void StartAndDrain() {
    Start();
    AnswerStart(CommandOutcome::kDone);
    revision = 2;
    ApplyList(true);
    Advance(milliseconds(400));
  }
  template <typename Kind>
  int CountActions() {
    int count = 0;
    for (const Action& action : std::exchange(actions, {})) {
      count += std::holds_alternative<Kind>(action) ? 1 : 0;
    }
    return count;
  }
  // Returns the number up to which the next due poll acknowledges run ends.
  std::uint64_t EndsAcknowledgedByNextPoll() {
    actions.clear();
    Advance(seconds(2));
    Tick();
    for (const Action& action : actions) {
      if (const auto* poll = std::get_if<PollWorker>(&action)) {
        return poll->ends_stored;
      }
    }
    FAIL("no poll was due");
    return 0;
  }
  std::int64_t FreeCpu() {
    return fleet.Find(kWorker)->FreeResources().cpu.value();
  }
};

TEST_CASE("a start command without an answer") {
  FleetScenario scenario;
  scenario.Start();
  scenario.Advance(milliseconds(250));
  scenario.AnswerStart(CommandOutcome::kUnanswered);

  SUBCASE("keeps its resources, and the worker is polled at once") {
    CHECK(scenario.FreeCpu() == 1000);
    CHECK(scenario.CountActions<PollWorker>() >= 1);
    CHECK(scenario.ends.empty());
  }
  SUBCASE("keeps its run once the worker lists it") {
    scenario.Advance(milliseconds(5));
    scenario.AnswerPoll({{kTask, kAttempt, ""}});
    CHECK(scenario.fleet.Find(kWorker)->FindRun(kTask, kAttempt)->state ==
          workers::RunState::kRunning);
  }
  SUBCASE("is stopped if it is not listed, before its resources are free") {
    scenario.Advance(milliseconds(5));
    scenario.actions.clear();
    scenario.AnswerPoll({});
    CHECK(scenario.CountActions<StopTask>() == 1);
    CHECK(scenario.FreeCpu() == 1000);

    SUBCASE("a list from before the stop does not end the run") {
      const std::int64_t clock_before_stop_ms = scenario.worker_clock_ms;
      scenario.Advance(milliseconds(5));
      scenario.fleet.OnStopped(kWorker, scenario.born_ms, {kTask, kAttempt},
                               CommandOutcome::kDone, scenario.worker_clock_ms,
                               &scenario.actions);
      scenario.worker_clock_ms = clock_before_stop_ms;
      scenario.AnswerPoll({});
      CHECK(scenario.ends.empty());
    }
    SUBCASE("a list from after the stop ends the run") {
      scenario.fleet.OnStopped(kWorker, scenario.born_ms, {kTask, kAttempt},
                               CommandOutcome::kDone, scenario.worker_clock_ms,
                               &scenario.actions);
      scenario.Advance(milliseconds(5));
      scenario.AnswerPoll({});
      CHECK(scenario.ends == std::vector{jobs::RunEnd::kStopped});
      CHECK(scenario.FreeCpu() == 4000);
    }
  }
}

// Load pattern: no connection to a worker can be opened. Each start that isn't
// sent makes its task wait again at once; without a pause the owner does
// nothing but try these starts.
TEST_CASE("start commands that can't be sent") {
  FleetScenario scenario;
  const auto fail_start = [&scenario] {
    scenario.Start();
    scenario.AnswerStart(CommandOutcome::kNotSent);
  };
  fail_start();
  CHECK(scenario.fleet.Find(kWorker)->CanAcceptWork(scenario.now));
  fail_start();
  SUBCASE("free their resources, but the worker gets no new work") {
    CHECK(scenario.FreeCpu() == 4000);
    CHECK_FALSE(scenario.fleet.Find(kWorker)->CanAcceptWork(scenario.now));
  }
  SUBCASE("are forgotten once it answers") {
    scenario.AnswerPoll({});
    CHECK(scenario.fleet.Find(kWorker)->CanAcceptWork(scenario.now));
  }
}

TEST_CASE("a worker becomes unresponsive while a task runs") {
  FleetScenario scenario;
  scenario.Start();
  scenario.AnswerStart(CommandOutcome::kDone);
  scenario.Advance(milliseconds(5));
  scenario.AnswerPoll({{kTask, kAttempt, ""}});
  scenario.FailPoll();

  SUBCASE("it gets no new work") {
    CHECK_FALSE(scenario.fleet.Find(kWorker)->CanAcceptWork(scenario.now));
  }
  SUBCASE("it keeps its task until its lease is guaranteed to have expired") {
    // Until one step before the last granted lease expires.
    const auto steps = FleetSettings().lease_duration / milliseconds(200) - 1;
    for (int i = 0; i < steps; ++i) {
      scenario.Advance(milliseconds(200));
      scenario.Tick();
      scenario.FailPoll();
    }
    CHECK(scenario.ends.empty());

    SUBCASE("failed polls do not delay the expiry") {
      for (int i = 0; i < 10; ++i) {
        scenario.Advance(milliseconds(200));
        scenario.Tick();
        scenario.FailPoll();
      }
      CHECK(scenario.ends == std::vector{jobs::RunEnd::kLeaseExpired});
    }
  }
  SUBCASE("a new incarnation ends its task at once") {
    scenario.born_ms = 2;
    scenario.ApplyList();
    CHECK(scenario.ends == std::vector{jobs::RunEnd::kWorkerGone});
  }
}

// A worker that crashes may restart at once, under the same ID and address,
// before the platform lists the new incarnation.
TEST_CASE("a start command that was answered, but whose run was never listed") {
  FleetScenario scenario;
  scenario.Start();
  scenario.AnswerStart(CommandOutcome::kDone);
  scenario.born_ms = 2;
  scenario.worker_clock_ms = 40;
  scenario.actions.clear();
  scenario.ApplyList();

  SUBCASE("the run may exist in the new incarnation, and is not ended") {
    CHECK(scenario.ends.empty());
    CHECK(scenario.FreeCpu() == 1000);
  }
  SUBCASE("the run is stopped there before its resources are free") {
    scenario.Tick();
    scenario.AnswerPoll({{kTask, kAttempt, ""}});
    CHECK(scenario.CountActions<StopTask>() >= 1);
    scenario.fleet.OnStopped(kWorker, scenario.born_ms, {kTask, kAttempt},
                             CommandOutcome::kDone, scenario.worker_clock_ms,
                             &scenario.actions);
    CHECK(scenario.ends.empty());
    scenario.Advance(milliseconds(200));
    scenario.AnswerPoll({}, {{1, kTask, kAttempt, jobs::RunEnd::kStopped, ""}});
    CHECK(scenario.ends == std::vector{jobs::RunEnd::kStopped});
    CHECK(scenario.FreeCpu() == 4000);
  }
}

TEST_CASE("a worker is lost with a run") {
  FleetScenario scenario;
  scenario.Start();
  scenario.Advance(milliseconds(5));
  scenario.AnswerStart(CommandOutcome::kDone);
  scenario.Advance(milliseconds(60));
  scenario.Tick();

  SUBCASE("another incarnation answers at its address: it has crashed") {
    scenario.Advance(milliseconds(10));
    scenario.FailPoll();
    CHECK(scenario.losses.empty());
    scenario.Advance(seconds(3));
    scenario.FailPoll(CommandOutcome::kOtherIncarnation);
    REQUIRE(scenario.losses.size() == 1);
    CHECK(scenario.losses[0].kind == workers::LossKind::kCrashed);
    CHECK(scenario.ends == std::vector{jobs::RunEnd::kWorkerGone});
    // The connection broke 75 ms after the start.
    CHECK(workers::FindSuspects(scenario.losses[0]).size() == 1);

    SUBCASE("which is reported once") {
      scenario.Advance(seconds(5));
      scenario.Tick();
      CHECK(scenario.losses.size() == 1);
    }
  }
  SUBCASE("a run that had lived for a while is no suspect") {
    scenario.Advance(milliseconds(900));
    scenario.AnswerPoll({{kTask, kAttempt, ""}});
    scenario.Advance(milliseconds(60));
    scenario.Tick();
    scenario.FailPoll();
    scenario.Advance(seconds(3));
    scenario.FailPoll(CommandOutcome::kOtherIncarnation);
    REQUIRE(scenario.losses.size() == 1);
    CHECK(workers::FindSuspects(scenario.losses[0]).empty());
  }
  SUBCASE("a poll that times out doesn't prove that the worker was alive") {
    scenario.Advance(milliseconds(1500));
    scenario.FailPoll();
    scenario.Advance(seconds(2));
    scenario.FailPoll(CommandOutcome::kOtherIncarnation);
    REQUIRE(scenario.losses.size() == 1);
    CHECK(workers::FindSuspects(scenario.losses[0]).size() == 1);
  }
  SUBCASE("a new list entry under the same id: it has crashed") {
    scenario.Advance(seconds(3));
    scenario.born_ms = 2;
    scenario.ApplyList();
    REQUIRE(scenario.losses.size() == 1);
    CHECK(scenario.losses[0].kind == workers::LossKind::kCrashed);
  }
  SUBCASE("it stays silent: nobody knows why") {
    for (int i = 0; i < 12; ++i) {
      scenario.Advance(milliseconds(500));
      scenario.FailPoll();
      scenario.Tick();
    }
    REQUIRE(scenario.losses.size() == 1);
    CHECK(scenario.losses[0].kind == workers::LossKind::kUnexplained);
    CHECK(scenario.ends == std::vector{jobs::RunEnd::kLeaseExpired});
  }
  SUBCASE("it had announced that it leaves: that is no loss") {
    ++scenario.revision;
    scenario.ApplyList(true);
    scenario.FailPoll();
    scenario.Advance(seconds(3));
    scenario.FailPoll(CommandOutcome::kOtherIncarnation);
    CHECK(scenario.losses.empty());
    CHECK(scenario.ends == std::vector{jobs::RunEnd::kWorkerGone});
  }
}

TEST_CASE("ends") {
  FleetScenario scenario;
  scenario.Start();
  scenario.AnswerStart(CommandOutcome::kDone);
  scenario.Advance(milliseconds(700));
  const ListedEnd run_end{7, kTask, kAttempt, jobs::RunEnd::kDone, ""};
  scenario.AnswerPoll({}, {run_end});

  SUBCASE("free the resources, and are applied once") {
    CHECK(scenario.ends == std::vector{jobs::RunEnd::kDone});
    CHECK(scenario.FreeCpu() == 4000);
    scenario.AnswerPoll({}, {run_end});
    CHECK(scenario.ends.size() == 1);
  }
  SUBCASE("are stored before the next poll, which then waits no longer") {
    scenario.AnswerPoll({}, {run_end});
    scenario.actions.clear();
    scenario.Advance(milliseconds(50));
    scenario.fleet.OnEndsStored(kWorker, scenario.born_ms, 7, scenario.now);
    scenario.Tick();
    CHECK(scenario.CountActions<PollWorker>() == 0);
    // The minimum interval of a small fleet, counted from the poll's answer.
    scenario.Advance(milliseconds(10));
    scenario.Tick();
    CHECK(scenario.CountActions<PollWorker>() == 1);
  }
  SUBCASE("are polled later, but all at once, by a saturated owner") {
    scenario.fleet.set_poll_stretch(4.0);
    scenario.AnswerPoll({}, {run_end});
    scenario.fleet.OnEndsStored(kWorker, scenario.born_ms, 7, scenario.now);
    scenario.actions.clear();
    scenario.Advance(milliseconds(230));
    scenario.Tick();
    CHECK(scenario.CountActions<PollWorker>() == 0);
    scenario.Advance(milliseconds(10));
    scenario.Tick();
    CHECK(scenario.CountActions<PollWorker>() == 1);
  }
  SUBCASE("are acknowledged only once they are stored") {
    CHECK(scenario.EndsAcknowledgedByNextPoll() == 0);
    scenario.AnswerPoll({}, {run_end});
    scenario.fleet.OnEndsStored(kWorker, scenario.born_ms, 7, scenario.now);
    CHECK(scenario.EndsAcknowledgedByNextPoll() == 7);
  }
}

// Guards against a success that is taken for a stop, because the list of ends
// was cut before it.
TEST_CASE("a list of ends that is cut") {
  FleetScenario scenario;
  scenario.Start();
  scenario.AnswerStart(CommandOutcome::kDone);
  scenario.Advance(milliseconds(700));
  const jobs::TaskRef other{kTask.step, 1};
  const ListedEnd earlier{1, other, kAttempt, jobs::RunEnd::kDone, ""};

  SUBCASE("says nothing about a confirmed run that it doesn't name") {
    scenario.AnswerPoll({}, {earlier}, false);
    CHECK(scenario.ends.empty());
    CHECK(scenario.FreeCpu() == 1000);
    scenario.AnswerPoll({}, {{2, kTask, kAttempt, jobs::RunEnd::kDone, ""}});
    CHECK(scenario.ends == std::vector{jobs::RunEnd::kDone});
  }
  SUBCASE("says nothing about a run that was stopped") {
    scenario.fleet.Stop(kWorker, {kTask, kAttempt}, scenario.now,
                        &scenario.actions);
    scenario.fleet.OnStopped(kWorker, scenario.born_ms, {kTask, kAttempt},
                             CommandOutcome::kDone, scenario.worker_clock_ms,
                             &scenario.actions);
    scenario.Advance(milliseconds(5));
    scenario.AnswerPoll({}, {earlier}, false);
    CHECK(scenario.ends.empty());
    scenario.AnswerPoll({}, {{2, kTask, kAttempt, jobs::RunEnd::kDone, ""}});
    CHECK(scenario.ends == std::vector{jobs::RunEnd::kDone});
  }
  SUBCASE("does not reconcile a worker of the previous owner") {
    Fleet next_owner(FleetSettings(), {&scenario.log, &scenario.counters});
    workers::Listing listing;
    listing.id = kWorker;
    next_owner.AddInheritedWorker(listing, scenario.now);
    PollResult result;
    result.outcome = CommandOutcome::kDone;
    result.clock_ms = scenario.worker_clock_ms;
    result.born_ms = scenario.born_ms;
    result.ended = {earlier};
    const auto answer_poll = [&](bool lists_all) {
      result.lists_all = lists_all;
      next_owner.OnPolled(kWorker, workers::kUnknownIncarnation, true, result,
                          scenario.now, &scenario.actions);
    };
    answer_poll(false);
    CHECK(next_owner.Find(kWorker)->is_claimed);
    CHECK(next_owner.unreconciled().contains(kWorker));
    answer_poll(true);
    CHECK_FALSE(next_owner.unreconciled().contains(kWorker));
  }
}

// Guards against a task that runs twice at once: the next incarnation has
// executed a command to the former one, whose deadline is far ahead of its
// clock, and holds the longest lease.
TEST_CASE("a worker returns under its id, and is lost soon after") {
  FleetScenario scenario;
  const auto advance = [&](base::Duration duration) {
    for (base::Duration passed{0}; passed < duration;
         passed += milliseconds(100)) {
      scenario.Advance(milliseconds(100));
      scenario.Tick();
    }
    scenario.actions.clear();
  };
  const auto restart = [&] {
    scenario.born_ms = 2;
    scenario.worker_clock_ms = 100;
    scenario.ApplyList();
    scenario.Tick();
  };
  const auto start = [&] {
    scenario.actions.clear();
    scenario.Start();
    scenario.AnswerStart(CommandOutcome::kDone);
    scenario.AnswerPoll({{kTask, kAttempt, ""}});
  };

  SUBCASE("its runs are given up once the longest lease has expired") {
    restart();
    scenario.AnswerPoll({});
    start();
    advance(milliseconds(9900));
    CHECK(scenario.ends.empty());
    advance(milliseconds(700));
    CHECK(scenario.ends == std::vector{jobs::RunEnd::kLeaseExpired});
  }
  SUBCASE("the time counts from its claim, not from its last answer") {
    restart();
    scenario.AnswerPoll({});
    start();
    for (int i = 0; i < 10; ++i) {
      advance(seconds(1));
      scenario.AnswerPoll({{kTask, kAttempt, ""}});
    }
    advance(milliseconds(3900));
    CHECK(scenario.ends.empty());
    advance(milliseconds(500));
    CHECK(scenario.ends == std::vector{jobs::RunEnd::kLeaseExpired});
  }
  SUBCASE("a start to the former incarnation may run there, unclaimed") {
    scenario.Start();
    scenario.AnswerStart(CommandOutcome::kUnanswered);
    restart();
    advance(milliseconds(10'900));
    CHECK(scenario.ends.empty());
    advance(milliseconds(700));
    CHECK(scenario.ends == std::vector{jobs::RunEnd::kLeaseExpired});
  }
  SUBCASE("the first incarnation holds no such lease") {
    start();
    advance(milliseconds(4400));
    CHECK(scenario.ends == std::vector{jobs::RunEnd::kLeaseExpired});
  }
}

// Guards against a task that runs twice at once: the answer of the next
// incarnation to a start was taken for one of the present incarnation, whose
// late list doesn't show the run.
TEST_CASE(
    "a start is executed by the next incarnation, which isn't known yet") {
  FleetScenario scenario;
  scenario.AnswerPoll({});
  scenario.Start();
  scenario.fleet.OnStarted(kWorker, scenario.born_ms, {kTask, kAttempt},
                           CommandOutcome::kDone, 50, scenario.now,
                           &scenario.actions);
  CHECK(scenario.counters.value("answers_of_other_life", "done") == 1);

  SUBCASE("a late list of the former incarnation doesn't end the run") {
    scenario.Advance(milliseconds(20));
    scenario.AnswerPoll({});
    CHECK(scenario.ends.empty());
    CHECK(scenario.FreeCpu() == 1000);
  }
  SUBCASE("it is stopped there") {
    scenario.born_ms = 2;
    scenario.worker_clock_ms = 90;
    scenario.ApplyList();
    CHECK(scenario.ends.empty());
    scenario.actions.clear();
    scenario.Tick();
    CHECK(scenario.CountActions<StopTask>() == 1);
    scenario.AnswerPoll({}, {{1, kTask, kAttempt, jobs::RunEnd::kStopped, ""}});
    CHECK(scenario.ends == std::vector{jobs::RunEnd::kStopped});
  }
}

TEST_CASE("an inherited worker whose incarnation isn't the first") {
  FleetScenario scenario;
  Fleet next_owner(FleetSettings(), {&scenario.log, &scenario.counters});
  workers::Listing listing;
  listing.id = kWorker;
  constexpr std::int64_t kBornMs = 7;
  const auto inherit = [&](std::optional<base::TimePoint> carried_leases_end) {
    next_owner.AddInheritedWorker(listing, scenario.now, std::nullopt, kBornMs,
                                  carried_leases_end);
    next_owner.OnPreviousOwnerStopped(scenario.now);
  };
  const auto is_expired_after = [&](base::Duration passed) {
    std::vector<Action> actions;
    next_owner.Tick(scenario.now + passed, scenario.now + passed, &actions);
    return !next_owner.unreconciled().contains(kWorker);
  };
  const auto list = [&](std::int64_t born_ms) {
    workers::Listing listed = listing;
    listed.born_ms = born_ms;
    next_owner.UpdateListings({listed}, scenario.now, scenario.now);
  };

  SUBCASE("expires once the leases have that it took from other commands") {
    inherit(scenario.now + seconds(8));
    CHECK_FALSE(is_expired_after(milliseconds(7900)));
    CHECK(is_expired_after(milliseconds(8100)));
  }
  SUBCASE("expires as usual if these expired long ago") {
    inherit(scenario.now - seconds(8));
    CHECK_FALSE(is_expired_after(milliseconds(4100)));
    CHECK(is_expired_after(milliseconds(4300)));
  }
  SUBCASE("expires after the longest lease if their end isn't known") {
    inherit(std::nullopt);
    CHECK_FALSE(is_expired_after(milliseconds(10'000)));
    CHECK(is_expired_after(milliseconds(10'600)));
  }
  SUBCASE("listed with the recorded incarnation expires as usual") {
    inherit(scenario.now - seconds(8));
    list(kBornMs);
    CHECK(is_expired_after(milliseconds(4300)));
  }
  SUBCASE("listed with a later one expires after the longest lease") {
    inherit(scenario.now - seconds(8));
    list(kBornMs + 1);
    CHECK_FALSE(is_expired_after(milliseconds(10'900)));
    CHECK(is_expired_after(milliseconds(11'600)));
  }
}

TEST_CASE("an inherited worker") {
  FleetScenario scenario;
  Fleet next_owner(FleetSettings(), {&scenario.log, &scenario.counters});
  workers::Listing listing;
  listing.id = kWorker;
  next_owner.AddInheritedWorker(listing, scenario.now);
  SUBCASE("is not reconciled by its first list entry") {
    workers::Listing listed = listing;
    listed.born_ms = 1;
    next_owner.UpdateListings({listed}, scenario.now, scenario.now);
    CHECK(next_owner.unreconciled().contains(kWorker));
  }
  SUBCASE("expires later while its previous owner may send commands") {
    std::vector<Action> actions;
    next_owner.Tick(scenario.now + seconds(6), scenario.now + seconds(6),
                    &actions);
    CHECK(next_owner.unreconciled().contains(kWorker));
    next_owner.OnPreviousOwnerStopped(scenario.now);
    next_owner.Tick(scenario.now + seconds(6), scenario.now + seconds(6),
                    &actions);
    CHECK_FALSE(next_owner.unreconciled().contains(kWorker));
  }
}

// Guards against a task that is started again while its run goes on: the owner
// before the previous one, cut off and alive, renewed the worker's lease.
TEST_CASE("an inherited worker that an earlier owner may still use") {
  FleetScenario scenario;
  Fleet third_owner(FleetSettings(), {&scenario.log, &scenario.counters});
  workers::Listing listing;
  listing.id = kWorker;
  const auto is_expired_after = [&](base::Duration passed) {
    std::vector<Action> actions;
    third_owner.Tick(scenario.now + passed, scenario.now + passed, &actions);
    return !third_owner.unreconciled().contains(kWorker);
  };
  third_owner.SetEarlierOwnersUntil(scenario.now + seconds(4));
  SUBCASE("expires later although the previous owner has stopped") {
    third_owner.AddInheritedWorker(listing, scenario.now);
    third_owner.OnPreviousOwnerStopped(scenario.now);
    CHECK_FALSE(is_expired_after(milliseconds(8100)));
    CHECK(is_expired_after(milliseconds(8300)));
  }
  SUBCASE("expires as without it while the previous owner may go on longer") {
    third_owner.AddInheritedWorker(listing, scenario.now);
    CHECK_FALSE(is_expired_after(milliseconds(10100)));
    CHECK(is_expired_after(milliseconds(10300)));
  }
  SUBCASE("expires at the end that is stored for its leases") {
    third_owner.AddInheritedWorker(listing, scenario.now,
                                   scenario.now + seconds(1));
    third_owner.OnPreviousOwnerStopped(scenario.now);
    CHECK(is_expired_after(milliseconds(4100)));
  }
}

TEST_CASE("the list is delivered as changes") {
  FleetScenario scenario;
  workers::Listing other;
  other.id = base::BackendId("other");
  other.born_ms = 1;
  SUBCASE("a new entry adds its worker and leaves the others listed") {
    scenario.fleet.ApplyListingChanges(
        {.listed = {other}, .removed = {}, .unusable = {}}, scenario.now,
        scenario.now);
    CHECK(scenario.fleet.Find(other.id) != nullptr);
    CHECK(scenario.fleet.Find(kWorker)->is_listed());
  }
  SUBCASE("a removed entry unlists only its worker") {
    scenario.fleet.ApplyListingChanges(
        {.listed = {other}, .removed = {}, .unusable = {}}, scenario.now,
        scenario.now);
    scenario.fleet.ApplyListingChanges(
        {.listed = {}, .removed = {kWorker}, .unusable = {}}, scenario.now,
        scenario.now);
    CHECK_FALSE(scenario.fleet.Find(kWorker)->is_listed());
    CHECK(scenario.fleet.Find(other.id)->is_listed());
  }
  SUBCASE("a worker that drained before its entry was removed has shut down") {
    scenario.StartAndDrain();
    scenario.fleet.ApplyListingChanges(
        {.listed = {}, .removed = {kWorker}, .unusable = {}}, scenario.now,
        scenario.now);
    CHECK(scenario.ends == std::vector{jobs::RunEnd::kWorkerGone});
  }
  // Guards against runs that are taken for ended because the entry of their
  // draining worker is ignored (review, case 3).
  SUBCASE("a worker that drained before its entry became unusable runs on") {
    scenario.StartAndDrain();
    scenario.fleet.ApplyListingChanges(
        {.listed = {}, .removed = {}, .unusable = {kWorker}}, scenario.now,
        scenario.now);
    CHECK(scenario.ends.empty());
    CHECK_FALSE(scenario.fleet.Find(kWorker)->is_listed());
    scenario.Advance(milliseconds(400));
    scenario.fleet.UpdateListings({}, scenario.now, scenario.now, {kWorker});
    CHECK(scenario.ends.empty());
    scenario.AnswerPoll({}, {{1, kTask, kAttempt, jobs::RunEnd::kDone, ""}});
    CHECK(scenario.ends == std::vector{jobs::RunEnd::kDone});
  }
  SUBCASE("an unknown worker that is removed is no news") {
    scenario.fleet.ApplyListingChanges(
        {.listed = {}, .removed = {other.id}, .unusable = {}}, scenario.now,
        scenario.now);
    CHECK(scenario.fleet.Find(other.id) == nullptr);
  }
}

TEST_CASE("a worker is missing from the list") {
  FleetScenario scenario;
  scenario.Start();
  scenario.AnswerStart(CommandOutcome::kDone);
  const auto apply_list_draining = [&scenario](base::Duration after) {
    scenario.Advance(after);
    ++scenario.revision;
    scenario.ApplyList(true);
  };
  SUBCASE("after it was draining: it has shut down, and its runs end") {
    apply_list_draining(milliseconds(500));
    apply_list_draining(milliseconds(500));
    scenario.Advance(milliseconds(500));
    scenario.ApplyEmptyList();
    REQUIRE(scenario.ends.size() == 1);
    CHECK(scenario.ends[0] == jobs::RunEnd::kWorkerGone);
  }
  SUBCASE("without having been draining: it may be only unresponsive") {
    scenario.Advance(milliseconds(500));
    ++scenario.revision;
    scenario.ApplyList();
    scenario.Advance(milliseconds(500));
    scenario.ApplyEmptyList();
    CHECK(scenario.ends.empty());
  }
  SUBCASE("after a long time without reports: its runs may continue") {
    apply_list_draining(milliseconds(500));
    for (int i = 0; i < 8; ++i) {
      scenario.Advance(milliseconds(500));
      scenario.ApplyList(true);
    }
    scenario.Advance(milliseconds(500));
    scenario.ApplyEmptyList();
    CHECK(scenario.ends.empty());
  }
  SUBCASE("after the store was unavailable: its entry may have been lost") {
    apply_list_draining(milliseconds(500));
    apply_list_draining(milliseconds(500));
    scenario.Advance(milliseconds(1500));
    scenario.ApplyEmptyList();
    CHECK(scenario.ends.empty());
  }
  SUBCASE("with an unanswered start: its next incarnation may receive it") {
    FleetScenario unanswered;
    unanswered.Start();
    unanswered.AnswerStart(CommandOutcome::kUnanswered);
    unanswered.Advance(milliseconds(500));
    ++unanswered.revision;
    unanswered.ApplyList(true);
    unanswered.Advance(milliseconds(500));
    unanswered.ApplyEmptyList();
    CHECK(unanswered.ends.empty());
  }
}

// Guards against workers that are polled late because many others have left
// since the owner's term began.
TEST_CASE("a tick of a fleet of which most workers have left") {
  constexpr std::size_t kMostPerTick = 3;
  constexpr int kLeaving = 30;
  NullLog log;
  Counters counters;
  FleetSettings settings;
  settings.max_workers_per_tick = kMostPerTick;
  Fleet fleet(settings, {&log, &counters});
  base::TimePoint now{seconds(100)};
  std::vector<workers::Listing> listings;
  for (std::size_t i = 0; i < kLeaving + kMostPerTick; ++i) {
    workers::Listing listing;
    listing.id = base::BackendId("worker-" + std::to_string(i));
    listing.address = "10.0.0.1:1";
    listing.born_ms = 1;
    listing.revision = 1;
    listings.push_back(listing);
  }
  std::vector<Action> actions;
  fleet.UpdateListings(listings, now, now);
  SUBCASE("looks at no more than its part of the workers before") {
    fleet.Tick(now, now, &actions);
    CHECK(actions.size() == kMostPerTick);
  }
  SUBCASE("looks at all that are left") {
    listings.erase(listings.begin(), listings.begin() + kLeaving);
    fleet.UpdateListings(listings, now, now);
    // None was claimed, so that those which left are removed.
    now += seconds(60);
    for (int i = 0; i < kLeaving; ++i) {
      fleet.Tick(now, now, &actions);
    }
    REQUIRE(fleet.workers().size() == kMostPerTick);
    for (const workers::Listing& listing : listings) {
      PollResult unanswered;
      unanswered.outcome = CommandOutcome::kUnanswered;
      fleet.OnPolled(listing.id, listing.born_ms, true, unanswered, now,
                     &actions);
    }
    now += seconds(1);
    actions.clear();
    fleet.Tick(now, now, &actions);
    CHECK(actions.size() == kMostPerTick);
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::scheduler
