// Tests of the models that the soak test relies on: the stand-in site's store,
// workers, gangs and ledger.
#include <doctest/doctest.h>

#include <vector>

#include "src/standins/site/gang_model.h"
#include "src/standins/site/store_model.h"
#include "src/standins/site/task_ledger.h"
#include "src/standins/site/worker_model.h"

namespace dotterelbarrow::standins::site {
namespace {

constexpr TaskRef kTask{{core::jobs::JobKey(7), 0, 0}, 0};
constexpr TaskRef kNeighbour{{core::jobs::JobKey(7), 0, 0}, 1};
constexpr Attempt kAttempt(3);
constexpr Attempt kNextAttempt(4);
constexpr FencingToken kToken(2);
constexpr std::int64_t kLeaseMs = 4000;

TEST_CASE("the store") {
  StoreModel store;
  const RowName head{"table", "part", "head"};
  StoreTransaction first;
  first.conditions = {{head, 0}};
  first.puts = {{head, "one"}, {{"table", "part", "row"}, "one"}};
  REQUIRE(store.Apply(first) == 1U);

  SUBCASE("gives all rows of a transaction the same version") {
    CHECK(store.Find(head)->version == 1);
    CHECK(store.Find({"table", "part", "row"})->version == 1);
  }
  SUBCASE("changes nothing when a condition doesn't hold") {
    StoreTransaction second = first;
    second.puts = {{head, "two"}};
    CHECK_FALSE(store.Apply(second));
    CHECK(store.Find(head)->value == "one");
    CHECK(store.version() == 1);
  }
  SUBCASE("names the changes of a table after a version, in order") {
    store.Put({"table", "part", "row"}, "two");
    store.Remove(head);
    store.Put({"other", "part", "row"}, "one");
    const auto changes = store.ChangesOf("table", 1);
    REQUIRE(changes->size() == 2);
    CHECK((*changes)[0].value->value == "two");
    CHECK((*changes)[1].row.key == "head");
    CHECK_FALSE((*changes)[1].value);
    store.DropHistory();
    CHECK_FALSE(store.ChangesOf("table", 1));
    CHECK(store.ChangesOf("table", store.version())->empty());
  }
  SUBCASE("treats a removed row as one that doesn't exist") {
    StoreTransaction removal;
    removal.conditions = {{head, 1}};
    removal.removals = {head};
    CHECK(store.Apply(removal) == 2U);
    CHECK(store.Find(head) == nullptr);
    CHECK(store.Apply(first) == 3U);
  }
  SUBCASE("reads a range of one part and tells whether there are more rows") {
    for (const char* key : {"a", "b", "c"}) {
      store.Put({"table", "other", key}, key);
    }
    const auto two = store.Read("table", "other", "", "", 2);
    REQUIRE(two.rows.size() == 2);
    CHECK(two.rows[1].first.key == "b");
    CHECK(two.has_more);
    const auto up_to_c = store.Read("table", "other", "b", "c", 10);
    REQUIRE(up_to_c.rows.size() == 1);
    CHECK_FALSE(up_to_c.has_more);
  }
}

// One worker and the site's time.
struct WorkerFixture {
  WorkerModel worker{MakeListing(), 0};
  std::int64_t now_ms = 1000;

  static core::workers::Listing MakeListing() {
    core::workers::Listing listing;
    listing.id = base::BackendId("worker");
    listing.capacity.cpu = base::Millicores(1000);
    listing.born_ms = 1;
    return listing;
  }
  static core::scheduler::StartTask MakeStart(const TaskRef& task,
                                              Attempt attempt,
                                              std::int64_t lease_until_ms) {
    core::scheduler::StartTask order;
    order.task = task;
    order.attempt = attempt;
    order.lease_until_ms = lease_until_ms;
    return order;
  }
  static RunPlan MakePlan(std::int64_t cpu) {
    RunPlan plan;
    plan.needs.cpu = base::Millicores(cpu);
    return plan;
  }

  WorkerFixture() { worker.AdvanceTo(now_ms); }
  void AdvanceBy(std::int64_t duration_ms) {
    now_ms += duration_ms;
    worker.AdvanceTo(now_ms);
  }
  CommandOutcome Start(const TaskRef& task = kTask, Attempt attempt = kAttempt,
                       FencingToken token = kToken) {
    return worker.Start(MakeStart(task, attempt, now_ms + kLeaseMs), token,
                        MakePlan(600));
  }
};

TEST_CASE("a worker") {
  WorkerFixture fixture;
  REQUIRE(fixture.Start() == CommandOutcome::kDone);

  SUBCASE("lists the end of a run until it is acknowledged") {
    fixture.AdvanceBy(RunPlan().duration_ms);
    REQUIRE(fixture.worker.ends().size() == 1);
    CHECK(fixture.worker.ends()[0].end == RunEnd::kDone);
    core::scheduler::PollWorker poll;
    CHECK(fixture.worker.Look(poll, kToken).ended.size() == 1);
    poll.ends_stored = 1;
    CHECK(fixture.worker.Look(poll, kToken).ended.empty());
  }
  SUBCASE("accepts a duplicate start, but no old attempt after the end") {
    CHECK(fixture.Start() == CommandOutcome::kDone);
    CHECK(fixture.worker.runs().size() == 1);
    fixture.AdvanceBy(RunPlan().duration_ms);
    CHECK(fixture.Start() == CommandOutcome::kOutdated);
    CHECK(fixture.Start(kTask, Attempt(4)) == CommandOutcome::kDone);
  }
  SUBCASE("refuses a lower fencing token once it has seen a higher one") {
    CHECK(fixture.Start(kNeighbour, kAttempt, FencingToken(3)) ==
          CommandOutcome::kDone);
    CHECK(fixture.Start(kTask, Attempt(4), kToken) == CommandOutcome::kFenced);
  }
  SUBCASE("ends its runs when its lease has expired") {
    RunPlan endless;
    endless.duration_ms = 2 * kLeaseMs;
    fixture.worker.Start(WorkerFixture::MakeStart(kNeighbour, kAttempt,
                                                  fixture.now_ms + kLeaseMs),
                         kToken, endless);
    fixture.AdvanceBy(kLeaseMs);
    CHECK(fixture.worker.runs().empty());
    CHECK(fixture.worker.ends().back().end == RunEnd::kLeaseExpired);
  }
  SUBCASE("refuses an attempt that was stopped before its start arrived") {
    core::scheduler::StopTask stop;
    stop.task = kNeighbour;
    stop.attempt = kAttempt;
    fixture.worker.Stop(stop, kToken);
    CHECK(fixture.Start(kNeighbour) == CommandOutcome::kOutdated);
  }
  SUBCASE("records that it was overloaded") {
    CHECK_FALSE(fixture.worker.was_overloaded());
    fixture.Start(kNeighbour);
    CHECK(fixture.worker.was_overloaded());
  }
  SUBCASE("keeps no state of its previous incarnation after a restart") {
    fixture.worker.Crash();
    CHECK(fixture.worker.runs().empty());
    fixture.worker.Restart(9);
    CHECK(fixture.worker.listing().born_ms == 9);
    CHECK(fixture.worker.ends().empty());
  }
}

TEST_CASE("a gang of two") {
  WorkerFixture here;
  WorkerFixture there;
  RunPlan plan;
  plan.gang_size = 2;
  const auto start = [&plan](WorkerFixture* fixture, const TaskRef& task) {
    fixture->worker.Start(WorkerFixture::MakeStart(
                              task, kAttempt, fixture->now_ms + 10 * kLeaseMs),
                          kToken, plan);
  };
  const auto advance_by = [&](std::int64_t duration_ms) {
    here.AdvanceBy(duration_ms);
    there.AdvanceBy(duration_ms);
    EndDueGangs({&here.worker, &there.worker});
  };
  start(&here, kTask);

  SUBCASE("succeeds once both members have been present for its duration") {
    advance_by(plan.duration_ms);
    start(&there, kNeighbour);
    advance_by(plan.duration_ms - 1);
    CHECK(here.worker.runs().size() == 1);
    advance_by(1);
    CHECK(here.worker.ends().back().end == RunEnd::kDone);
    CHECK(there.worker.ends().back().end == RunEnd::kDone);
  }
  SUBCASE("ends with a timeout when the other member doesn't start") {
    advance_by(2999);
    CHECK(here.worker.runs().size() == 1);
    advance_by(1);
    CHECK(here.worker.ends().back().end == RunEnd::kGangTimeout);
  }
}

TEST_CASE("the ledger") {
  TaskLedger ledger;
  ledger.OnStarted("one", kTask);

  SUBCASE("accepts a second run after the first has ended") {
    ledger.OnEnded("one", kTask, kAttempt, RunEnd::kFailed);
    ledger.OnStarted("two", kTask);
    ledger.OnEnded("two", kTask, kNextAttempt, RunEnd::kDone);
    ledger.OnAcknowledged(kTask, kAttempt, RunEnd::kFailed, false);
    ledger.OnAcknowledged(kTask, kNextAttempt, RunEnd::kDone, false);
    CHECK(ledger.broken().empty());
    CHECK(ledger.DoneTasksOf(kTask.step.job) == 1);
    CHECK(ledger.starts() == 2);
  }
  SUBCASE("reports a task with two concurrent runs") {
    ledger.OnStarted("two", kTask);
    REQUIRE(ledger.broken().size() == 1);
    CHECK(ledger.broken()[0].starts_with("twice at once"));
  }
  SUBCASE("reports a start after an acknowledged success") {
    ledger.OnEnded("one", kTask, kAttempt, RunEnd::kDone);
    ledger.OnAcknowledged(kTask, kAttempt, RunEnd::kDone, false);
    ledger.OnStarted("two", kTask);
    REQUIRE(ledger.broken().size() == 1);
    CHECK(ledger.broken()[0].starts_with("again after its success"));
  }
  SUBCASE("a start after a success that isn't acknowledged yet") {
    ledger.OnEnded("one", kTask, kAttempt, RunEnd::kDone);
    ledger.OnStarted("two", kTask);
    CHECK(ledger.broken().empty());

    SUBCASE("is reported once that success is acknowledged") {
      ledger.OnAcknowledged(kTask, kAttempt, RunEnd::kDone, false);
      ledger.OnAcknowledged(kTask, kAttempt, RunEnd::kDone, false);
      REQUIRE(ledger.broken().size() == 1);
      CHECK(ledger.broken()[0].starts_with("again before its success"));
    }
    SUBCASE("is allowed if the lease had expired before") {
      ledger.OnAcknowledged(kTask, kAttempt, RunEnd::kDone, true);
      CHECK(ledger.broken().empty());
    }
    SUBCASE("doesn't concern the success of the later run") {
      ledger.OnEnded("two", kTask, kNextAttempt, RunEnd::kDone);
      ledger.OnAcknowledged(kTask, kNextAttempt, RunEnd::kDone, false);
      CHECK(ledger.broken().empty());
    }
  }
  SUBCASE("reports an overload") {
    ledger.OnOverloaded("one");
    CHECK(ledger.broken().size() == 1);
  }
}

}  // namespace
}  // namespace dotterelbarrow::standins::site
