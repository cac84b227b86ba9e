// What the soak trusts: the stand-in site's store, workers, gangs and ledger.
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
constexpr FencingToken kToken(2);
constexpr std::int64_t kLeaseMs = 4000;

TEST_CASE("the store") {
  StoreModel store;
  const RowName head{"table", "part", "head"};
  StoreTransaction first;
  first.conditions = {{head, 0}};
  first.puts = {{head, "one"}, {{"table", "part", "row"}, "one"}};
  REQUIRE(store.Apply(first) == 1U);

  SUBCASE("gives all rows of a transaction its version") {
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
  SUBCASE("takes a removed row for one that doesn't exist") {
    StoreTransaction removal;
    removal.conditions = {{head, 1}};
    removal.removals = {head};
    CHECK(store.Apply(removal) == 2U);
    CHECK(store.Find(head) == nullptr);
    CHECK(store.Apply(first) == 3U);
  }
  SUBCASE("reads a range of one part, and says whether there is more") {
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

// One worker with a run on it.
struct Workplace {
  WorkerModel worker{Listed(), 0};
  std::int64_t now_ms = 1000;

  static core::workers::Listing Listed() {
    core::workers::Listing listing;
    listing.id = base::BackendId("worker");
    listing.capacity.cpu = base::Millicores(1000);
    listing.born_ms = 1;
    return listing;
  }
  static core::scheduler::StartTask Order(const TaskRef& task, Attempt attempt,
                                          std::int64_t lease_until_ms) {
    core::scheduler::StartTask order;
    order.task = task;
    order.attempt = attempt;
    order.lease_until_ms = lease_until_ms;
    return order;
  }
  static RunPlan Plan(std::int64_t cpu) {
    RunPlan plan;
    plan.needs.cpu = base::Millicores(cpu);
    return plan;
  }

  Workplace() { worker.AdvanceTo(now_ms); }
  void Pass(std::int64_t duration_ms) {
    now_ms += duration_ms;
    worker.AdvanceTo(now_ms);
  }
  CommandOutcome Start(const TaskRef& task = kTask, Attempt attempt = kAttempt,
                       FencingToken token = kToken) {
    return worker.Start(Order(task, attempt, now_ms + kLeaseMs), token,
                        Plan(600));
  }
};

TEST_CASE("a worker") {
  Workplace place;
  REQUIRE(place.Start() == CommandOutcome::kDone);

  SUBCASE("lists the end of a run until it is acknowledged") {
    place.Pass(RunPlan().duration_ms);
    REQUIRE(place.worker.ends().size() == 1);
    CHECK(place.worker.ends()[0].end == RunEnd::kDone);
    core::scheduler::PollWorker look;
    CHECK(place.worker.Look(look, kToken).ended.size() == 1);
    look.ends_stored = 1;
    CHECK(place.worker.Look(look, kToken).ended.empty());
  }
  SUBCASE("takes the same start again, and no lower attempt after the end") {
    CHECK(place.Start() == CommandOutcome::kDone);
    CHECK(place.worker.runs().size() == 1);
    place.Pass(RunPlan().duration_ms);
    CHECK(place.Start() == CommandOutcome::kOutdated);
    CHECK(place.Start(kTask, Attempt(4)) == CommandOutcome::kDone);
  }
  SUBCASE("refuses a lower fencing token once it has seen a higher one") {
    CHECK(place.Start(kNeighbour, kAttempt, FencingToken(3)) ==
          CommandOutcome::kDone);
    CHECK(place.Start(kTask, Attempt(4), kToken) == CommandOutcome::kFenced);
  }
  SUBCASE("ends what it runs when its lease has passed") {
    RunPlan endless;
    endless.duration_ms = 2 * kLeaseMs;
    place.worker.Start(
        Workplace::Order(kNeighbour, kAttempt, place.now_ms + kLeaseMs), kToken,
        endless);
    place.Pass(kLeaseMs);
    CHECK(place.worker.runs().empty());
    CHECK(place.worker.ends().back().end == RunEnd::kLeaseExpired);
  }
  SUBCASE("a stop closes attempts that haven't begun") {
    core::scheduler::StopTask stop;
    stop.task = kNeighbour;
    stop.attempt = kAttempt;
    place.worker.Stop(stop, kToken);
    CHECK(place.Start(kNeighbour) == CommandOutcome::kOutdated);
  }
  SUBCASE("notes that it was overloaded") {
    CHECK_FALSE(place.worker.was_overloaded());
    place.Start(kNeighbour);
    CHECK(place.worker.was_overloaded());
  }
  SUBCASE("knows nothing of its last life after a restart") {
    place.worker.Crash();
    CHECK(place.worker.runs().empty());
    place.worker.Restart(9);
    CHECK(place.worker.listing().born_ms == 9);
    CHECK(place.worker.ends().empty());
  }
}

TEST_CASE("a gang of two") {
  Workplace here;
  Workplace there;
  RunPlan plan;
  plan.gang_size = 2;
  const auto start = [&plan](Workplace* place, const TaskRef& task) {
    place->worker.Start(
        Workplace::Order(task, kAttempt, place->now_ms + 10 * kLeaseMs), kToken,
        plan);
  };
  const auto pass = [&](std::int64_t duration_ms) {
    here.Pass(duration_ms);
    there.Pass(duration_ms);
    EndDueGangs({&here.worker, &there.worker});
  };
  start(&here, kTask);

  SUBCASE("is done once both have been present for its duration") {
    pass(plan.duration_ms);
    start(&there, kNeighbour);
    pass(plan.duration_ms - 1);
    CHECK(here.worker.runs().size() == 1);
    pass(1);
    CHECK(here.worker.ends().back().end == RunEnd::kDone);
    CHECK(there.worker.ends().back().end == RunEnd::kDone);
  }
  SUBCASE("ends when the other doesn't come") {
    pass(2999);
    CHECK(here.worker.runs().size() == 1);
    pass(1);
    CHECK(here.worker.ends().back().end == RunEnd::kGangTimeout);
  }
}

TEST_CASE("the ledger") {
  TaskLedger ledger;
  ledger.OnStarted("one", kTask);

  SUBCASE("finds nothing wrong with a run after another") {
    ledger.OnEnded("one", kTask, RunEnd::kFailed);
    ledger.OnStarted("two", kTask);
    ledger.OnEnded("two", kTask, RunEnd::kDone);
    ledger.OnAcknowledged(kTask, RunEnd::kDone);
    CHECK(ledger.broken().empty());
    CHECK(ledger.DoneTasksOf(kTask.step.job) == 1);
    CHECK(ledger.starts() == 2);
  }
  SUBCASE("finds a task that runs twice at once") {
    ledger.OnStarted("two", kTask);
    REQUIRE(ledger.broken().size() == 1);
    CHECK(ledger.broken()[0].starts_with("twice at once"));
  }
  SUBCASE("finds a start after an acknowledged success") {
    ledger.OnEnded("one", kTask, RunEnd::kDone);
    ledger.OnAcknowledged(kTask, RunEnd::kDone);
    ledger.OnStarted("two", kTask);
    REQUIRE(ledger.broken().size() == 1);
    CHECK(ledger.broken()[0].starts_with("again after its success"));
  }
  SUBCASE("keeps an overload") {
    ledger.OnOverloaded("one");
    CHECK(ledger.broken().size() == 1);
  }
}

}  // namespace
}  // namespace dotterelbarrow::standins::site
