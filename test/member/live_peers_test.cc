// Tests which entry hosts count as live, and how often they are summed up.
#include "src/member/live_peers.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace dotterelbarrow::member {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("entry hosts that send heartbeats") {
  LivePeers peers;
  base::TimePoint now{seconds(100)};
  const auto add = [&](const std::string& host, double share) {
    peers.RecordHeartbeat(base::EntryId(host), {host + ":1", now, share});
  };
  SUBCASE("without any, there is nothing to tell") {
    CHECK(peers.SummaryAt(now).deputies.empty());
    CHECK(peers.SummaryAt(now).largest_cpu_share == 0);
    CHECK(peers.Find(base::EntryId("a")) == nullptr);
  }
  SUBCASE("those with the largest shares are deputies") {
    add("a", 0.1);
    add("b", 0.5);
    for (const char* host : {"c", "d", "e"}) {
      add(host, 0.2);
    }
    CHECK(peers.SummaryAt(now).deputies ==
          std::vector<std::string>{"b:1", "c:1", "d:1", "e:1"});
    CHECK(peers.SummaryAt(now).largest_cpu_share == 0.5);
  }
  SUBCASE("a host that is silent for two seconds is no longer live") {
    add("a", 0.5);
    now += milliseconds(1900);
    add("b", 0.1);
    CHECK(peers.SummaryAt(now).deputies.size() == 2);
    now += milliseconds(100);
    CHECK(peers.SummaryAt(now).deputies == std::vector<std::string>{"b:1"});
    CHECK(peers.SummaryAt(now).largest_cpu_share == 0.1);
    CHECK(peers.LiveHostsAtHome(now) ==
          std::vector<base::EntryId>{base::EntryId("b")});
    CHECK(peers.Find(base::EntryId("a")) != nullptr);
  }
}

// Guards against heartbeats whose cost grows with the square of the number of
// hosts.
TEST_CASE("a second of heartbeats of three hundred hosts") {
  constexpr int kHosts = 300;
  constexpr int kHeartbeats = 1000;
  LivePeers peers;
  base::TimePoint now{seconds(100)};
  for (int i = 0; i < kHeartbeats; ++i) {
    const std::string host = std::to_string(i % kHosts);
    now += milliseconds(1);
    peers.RecordHeartbeat(base::EntryId(host), {host, now, 0.1});
    peers.SummaryAt(now);
  }
  CHECK(peers.summaries_made() <= 11);
  CHECK(peers.LiveHostsAtHome(now).size() == kHosts);
}

}  // namespace
}  // namespace dotterelbarrow::member
