// Tests which hosts poll workers for the owner, and that each worker has one
// relay as long as that host is live.
#include "dotterelbarrow/core/workers/poll_relays.h"

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>

namespace dotterelbarrow::core::workers {
namespace {

using std::chrono::seconds;

constexpr base::TimePoint kNow{seconds(100)};

base::BackendId WorkerOf(int number) {
  return base::BackendId("worker-" + std::to_string(number));
}

std::vector<PollRelays::Host> Hosts(int strong, int weak) {
  std::vector<PollRelays::Host> hosts;
  for (int i = 0; i < strong; ++i) {
    hosts.push_back({base::EntryId("strong-" + std::to_string(i)), 0.5});
  }
  for (int i = 0; i < weak; ++i) {
    hosts.push_back({base::EntryId("weak-" + std::to_string(i)), 0.12});
  }
  return hosts;
}

std::map<base::EntryId, int> WorkersByRelay(const PollRelays& relays,
                                            base::TimePoint now) {
  std::map<base::EntryId, int> workers;
  for (int i = 0; i < 1100; ++i) {
    if (const auto relay = relays.RelayOf(WorkerOf(i), now)) {
      ++workers[*relay];
    }
  }
  return workers;
}

TEST_CASE("relays of an owner with 1,100 workers") {
  PollRelays relays;
  relays.Update(Hosts(10, 100), 0.5, 1100, kNow);
  const auto workers = WorkersByRelay(relays, kNow);
  SUBCASE("are a few strong hosts with about as many workers each") {
    REQUIRE(workers.size() == 4);
    for (const auto& [relay, count] : workers) {
      CHECK(relay.value().starts_with("strong"));
      CHECK(count > 200);
      CHECK(count < 350);
    }
  }
  SUBCASE("stay the same when further hosts join") {
    relays.Update(Hosts(14, 100), 0.5, 1100, kNow);
    CHECK(WorkersByRelay(relays, kNow) == workers);
  }
  SUBCASE("hand over the workers of one that failed, and only those") {
    const base::EntryId failed = workers.begin()->first;
    std::map<int, base::EntryId> before;
    for (int i = 0; i < 1100; ++i) {
      before.emplace(i, *relays.RelayOf(WorkerOf(i), kNow));
    }
    relays.OnFailed(failed, kNow);
    for (const auto& [worker, relay] : before) {
      const auto next = relays.RelayOf(WorkerOf(worker), kNow);
      CHECK(next != failed);
      if (relay != failed) {
        CHECK(next == relay);
      }
    }
    relays.Update(Hosts(10, 100), 0.5, 1100, kNow);
    CHECK(WorkersByRelay(relays, kNow).size() == 4);
    CHECK_FALSE(WorkersByRelay(relays, kNow).contains(failed));
  }
  SUBCASE("are used again some time after they failed") {
    for (const auto& [relay, count] : workers) {
      relays.OnFailed(relay, kNow);
    }
    CHECK(WorkersByRelay(relays, kNow).empty());
    const base::TimePoint later = kNow + PollRelays::kFailedHostPause;
    CHECK(WorkersByRelay(relays, later).size() == 4);
  }
}

TEST_CASE("an owner polls its workers itself") {
  PollRelays relays;
  SUBCASE("in a small fleet") {
    relays.Update(Hosts(10, 0), 0.5, PollRelays::kMinWorkers, kNow);
  }
  SUBCASE("if all other hosts are much weaker") {
    relays.Update(Hosts(0, 100), 0.5, 1100, kNow);
  }
  SUBCASE("without other hosts") { relays.Update({}, 0.5, 1100, kNow); }
  CHECK(WorkersByRelay(relays, kNow).empty());
}

}  // namespace
}  // namespace dotterelbarrow::core::workers
