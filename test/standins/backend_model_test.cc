// Tests of the simulated worker and runner: leases, epochs, idempotent starts
// and faults.
#include "src/standins/backends/backend_model.h"

#include <doctest/doctest.h>

#include <utility>

namespace dotterelbarrow::standins {
namespace {

using core::TaskState;
using std::chrono::milliseconds;
using std::chrono::seconds;

base::TimePoint At(base::Duration since_start) {
  return base::TimePoint(since_start);
}

core::TaskSpec Task(const char* request, std::uint32_t attempt = 0) {
  core::TaskSpec task;
  task.id = {{base::TeamId("ovens"), base::RequestId(request)}, 0, attempt};
  task.demand.cpu = base::Millicores(1000);
  task.payload = R"({"run_ms":1000})";
  return task;
}

// A worker with one core whose owner holds epoch 1.
struct Fixture {
  RunLedger ledger;
  BackendModel model{MakeTraits(), &ledger, At(seconds(0))};
  base::Epoch epoch{1, base::EntryId("entry1")};

  static BackendTraits MakeTraits() {
    BackendTraits traits;
    traits.backend = base::BackendId("worker1");
    traits.capacity.cpu = base::Millicores(1000);
    return traits;
  }

  core::BackendSync MakeSync(std::uint64_t token) const {
    core::BackendSync sync;
    sync.backend = base::BackendId("worker1");
    sync.epoch = epoch;
    sync.lease_token = token;
    sync.lease_duration = seconds(6);
    sync.report_to = epoch.holder.value();
    return sync;
  }

  core::BackendReport Claim(base::TimePoint now) {
    return model.Sync(MakeSync(0), now).value();
  }

  core::BackendReport Start(std::uint64_t token, const core::TaskSpec& task,
                            base::TimePoint now) {
    core::BackendSync sync = MakeSync(token);
    sync.start = {task};
    return model.Sync(sync, now).value();
  }
};

TEST_CASE("a worker runs what the holder of its epoch starts") {
  Fixture f;
  core::BackendSync claim = f.MakeSync(0);
  claim.start = {Task("early")};
  const core::BackendReport claimed =
      f.model.Sync(claim, At(seconds(1))).value();
  CHECK_FALSE(claimed.lease_valid);
  CHECK(claimed.tasks.empty());

  const auto report = f.Start(claimed.lease_token, Task("r1"), At(seconds(1)));
  CHECK(report.lease_valid);
  REQUIRE(report.tasks.size() == 1);
  CHECK(report.tasks[0].state == TaskState::kRunning);

  SUBCASE("the end is reported at once and until it is acknowledged") {
    CHECK(f.model.next_event() == At(seconds(2)));
    const auto unasked = f.model.TakeUnsolicitedReport(At(seconds(2)));
    REQUIRE(unasked);
    CHECK(unasked->tasks[0].state == TaskState::kSucceeded);
    CHECK_FALSE(f.model.TakeUnsolicitedReport(At(seconds(2))));
    core::BackendSync sync = f.MakeSync(unasked->lease_token);
    sync.start = {Task("r1")};
    const auto repeated = f.model.Sync(sync, At(seconds(3)));
    REQUIRE(repeated->tasks.size() == 1);
    CHECK(repeated->tasks[0].state == TaskState::kSucceeded);
    sync.start.clear();

    sync.acknowledged = {Task("r1").id};
    CHECK(f.model.Sync(sync, At(seconds(3)))->tasks.empty());
    SUBCASE("and a delayed start has no effect") {
      CHECK(f.Start(unasked->lease_token, Task("r1"), At(seconds(3)))
                .tasks.empty());
      CHECK(f.ledger.totals().runs.started == 1);
    }
  }
  SUBCASE("a duplicate start runs it once") {
    f.Start(claimed.lease_token, Task("r1"), At(milliseconds(1500)));
    CHECK(f.ledger.totals().runs.started == 1);
  }
  SUBCASE("a stop that arrives before its start prevents the run") {
    core::BackendSync stop = f.MakeSync(claimed.lease_token);
    stop.stop = {Task("r2").id};
    f.model.Sync(stop, At(seconds(1)));
    CHECK(
        f.Start(claimed.lease_token, Task("r2"), At(seconds(1))).tasks.size() ==
        1);
  }
  SUBCASE("its specification is reported until the new owner has received it") {
    CHECK(report.tasks[0].spec == core::TaskSpec());
    f.epoch = {2, base::EntryId("entry2")};
    const auto taken_over = f.Claim(At(milliseconds(1100)));
    REQUIRE(taken_over.tasks.size() == 1);
    CHECK(taken_over.tasks[0].spec == Task("r1"));
    const auto repeated =
        f.model.Sync(f.MakeSync(0), At(milliseconds(1200))).value();
    CHECK(repeated.tasks[0].spec == Task("r1"));
    const auto renewed =
        f.model.Sync(f.MakeSync(repeated.lease_token), At(milliseconds(1300)));
    CHECK(renewed->tasks[0].id == Task("r1").id);
    CHECK(renewed->tasks[0].spec == core::TaskSpec());
  }
  SUBCASE(
      "a sync with a lower epoch has no effect and returns the current epoch") {
    f.epoch = {2, base::EntryId("entry2")};
    const auto taken_over = f.Claim(At(milliseconds(1100)));
    CHECK(taken_over.tasks.size() == 1);
    CHECK(taken_over.lease_valid);
    f.epoch = {1, base::EntryId("entry1")};
    const auto old =
        f.Start(claimed.lease_token, Task("r2"), At(milliseconds(1200)));
    CHECK(old.epoch.counter == 2);
    CHECK(old.tasks.size() == 1);
    CHECK(f.model.report_to() == "entry2");
  }
  SUBCASE("a task beyond its capacity runs and is counted") {
    f.Start(claimed.lease_token, Task("r2"), At(seconds(1)));
    CHECK(f.ledger.totals().over_capacity == 1);
  }
}

TEST_CASE("a lease runs from the echoed token, on the worker's own clock") {
  Fixture f;
  const auto claimed = f.Claim(At(seconds(0)));
  core::TaskSpec endless = Task("service");
  endless.kind = core::WorkKind::kService;
  endless.payload.clear();
  f.Start(claimed.lease_token, endless, At(seconds(5)));
  CHECK(f.model.next_event() == At(seconds(6)));

  SUBCASE("its expiry ends all tasks and prevents starts") {
    f.model.Advance(At(seconds(6)));
    CHECK(f.ledger.totals().running == 0);
    const auto late = f.Start(claimed.lease_token, Task("r1"), At(seconds(6)));
    CHECK_FALSE(late.lease_valid);
    REQUIRE(late.tasks.size() == 1);
    CHECK(late.tasks[0].state == TaskState::kLeaseExpired);
    const auto renewed = f.Start(late.lease_token, Task("r1"), At(seconds(6)));
    CHECK(renewed.lease_valid);
    CHECK(renewed.tasks.size() == 2);
  }
  SUBCASE("a token from before the claim or from the future gives no lease") {
    f.epoch = {2, base::EntryId("entry2")};
    f.Claim(At(seconds(5)));
    core::BackendSync sync = f.MakeSync(claimed.lease_token);
    sync.lease_duration = seconds(60);
    f.model.Sync(sync, At(seconds(5)));
    CHECK(f.model.next_event() == At(seconds(6)));
    sync.lease_token += 100'000'000;
    f.model.Sync(sync, At(seconds(5)));
    CHECK(f.model.next_event() == At(seconds(6)));
  }
  SUBCASE("a frozen worker's lease expires though its tasks make no progress") {
    f.model.SetFault(BackendFault::kFrozen, At(milliseconds(5100)));
    CHECK_FALSE(
        f.model.Sync(f.MakeSync(claimed.lease_token), At(milliseconds(5200))));
    f.model.Advance(At(seconds(7)));
    CHECK(f.ledger.totals().running == 0);
  }
}

TEST_CASE("faults set by a test") {
  Fixture f;
  const auto claimed = f.Claim(At(seconds(0)));
  SUBCASE("a freeze delays the end of a task by its own duration") {
    f.Start(claimed.lease_token, Task("r1"), At(seconds(0)));
    f.model.SetFault(BackendFault::kFrozen, At(milliseconds(400)));
    f.model.SetFault(BackendFault::kNone, At(milliseconds(2400)));
    CHECK(f.model.next_event() == At(seconds(3)));
  }
  SUBCASE("a dead worker restarts as another incarnation without state") {
    f.Start(claimed.lease_token, Task("r1"), At(seconds(0)));
    f.model.SetFault(BackendFault::kDead, At(milliseconds(500)));
    CHECK(f.ledger.totals().running == 0);
    f.model.SetFault(BackendFault::kNone, At(seconds(2)));
    const auto back = f.Start(claimed.lease_token, Task("r2"), At(seconds(2)));
    CHECK(back.incarnation != claimed.incarnation);
    CHECK(back.tasks.empty());
    CHECK_FALSE(back.lease_valid);
  }
  SUBCASE("a worker that fails everything reports the failure at once") {
    f.model.SetFault(BackendFault::kFailsEverything, At(seconds(0)));
    f.Start(claimed.lease_token, Task("r1"), At(seconds(0)));
    const auto report = f.model.TakeUnsolicitedReport(At(milliseconds(10)));
    REQUIRE(report);
    CHECK(report->tasks[0].state == TaskState::kFailed);
  }
  SUBCASE("a task may fail a number of times before it succeeds") {
    core::TaskSpec task = Task("r1");
    task.payload = R"({"run_ms":1,"fail_times":1})";
    f.Start(claimed.lease_token, task, At(seconds(0)));
    task.id.attempt = 1;
    const auto first = f.Start(claimed.lease_token, task, At(seconds(1)));
    f.model.Advance(At(seconds(2)));
    CHECK(first.tasks[1].state == TaskState::kFailed);
    CHECK(f.ledger.CountsOf({task.id.job, 0}) == RunCounts{2, 1, 1, 0});
  }
}

TEST_CASE("a runner serves requests under its lease") {
  Fixture f;
  const core::RunCommand run{base::BackendId("worker1"), f.epoch,
                             base::CallId(7), Task("r1"), seconds(5)};
  const auto claimed = f.Claim(At(seconds(0)));
  SUBCASE("and refuses them without a lease") {
    const RunReply reply = f.model.Run(run, At(seconds(0)));
    CHECK(std::get<core::RunResult>(reply).status == core::RunStatus::kRefused);
    CHECK(f.ledger.totals().runs.started == 0);
  }
  SUBCASE("each is answered when it ends and reported while it runs") {
    f.model.Sync(f.MakeSync(claimed.lease_token), At(seconds(0)));
    const RunReply reply = f.model.Run(run, At(seconds(0)));
    CHECK(f.model.Sync(f.MakeSync(claimed.lease_token), At(seconds(0)))
              ->tasks.size() == 1);
    f.model.Advance(At(seconds(1)));
    const auto finished = f.model.TakeFinishedRuns();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].execution == std::get<RunAccepted>(reply).execution);
    CHECK(finished[0].result.call == base::CallId(7));
    CHECK(finished[0].result.status == core::RunStatus::kDone);
  }
}

TEST_CASE("the ledger counts violations and peaks") {
  RunLedger ledger;
  core::TaskSpec task = Task("r1");
  task.idempotent = false;
  ledger.RecordStart(task, base::BackendId("a"), true);
  SUBCASE("a second attempt elsewhere while the first runs") {
    task.id.attempt = 1;
    ledger.RecordStart(task, base::BackendId("b"), true);
    CHECK(ledger.totals().double_start == 1);
    ledger.RecordEnd(task.id, base::BackendId("b"), TaskState::kSucceeded);
    CHECK(ledger.totals().running == 1);
  }
  SUBCASE("a second run of a task that is not idempotent") {
    ledger.RecordEnd(task.id, base::BackendId("a"), TaskState::kFailed);
    ledger.RecordStart(task, base::BackendId("b"), true);
    CHECK(ledger.totals().double_start == 0);
    CHECK(ledger.totals().repeated_non_idempotent == 1);
  }
  SUBCASE("the peak of a team's concurrent runs, by kind") {
    core::TaskSpec lookup = Task("r2");
    lookup.kind = core::WorkKind::kInteractive;
    ledger.RecordStart(lookup, base::BackendId("c"), true);
    ledger.RecordStart(Task("r3"), base::BackendId("b"), true);
    ledger.RecordEnd(task.id, base::BackendId("a"), TaskState::kSucceeded);
    ledger.RecordStart(Task("r4"), base::BackendId("a"), true);
    const base::TeamId team("ovens");
    CHECK(ledger.team_uses().at({team, false}) == TeamUse{2, 2});
    CHECK(ledger.team_uses().at({team, true}) == TeamUse{1, 1});
  }
}

TEST_CASE("the ledger counts runs by the idempotency key in the payload") {
  Fixture f;
  const auto claimed = f.Claim(At(seconds(0)));
  core::TaskSpec booking = Task("booking");
  booking.payload = R"({"run_ms":1,"idempotency_key":"b1"})";
  f.Start(claimed.lease_token, booking, At(seconds(0)));
  CHECK(f.ledger.totals().repeated_key == 0);

  SUBCASE("another request with the same key is a second run") {
    booking.id.job.request = base::RequestId("again");
    f.Start(claimed.lease_token, booking, At(seconds(1)));
    const TeamKey key{base::TeamId("ovens"), base::IdempotencyKey("b1")};
    CHECK(f.ledger.key_runs().at(key) == 2);
    CHECK(f.ledger.totals().repeated_key == 1);
  }
  SUBCASE("the same key of another team is a different key") {
    booking.id.job.team = base::TeamId("phones");
    f.Start(claimed.lease_token, booking, At(seconds(1)));
    CHECK(f.ledger.totals().repeated_key == 0);
  }
}

}  // namespace
}  // namespace dotterelbarrow::standins
