// Tests of which entry host sends the next call to the placement advisor.
#include "dotterelbarrow/core/advice/advice_cache.h"

#include <doctest/doctest.h>

namespace dotterelbarrow::core::advice {
namespace {

using std::chrono::milliseconds;

constexpr base::Duration kShort = milliseconds(11);
constexpr base::Duration kLong = milliseconds(740);

std::vector<base::EntryId> Hosts(int count) {
  std::vector<base::EntryId> hosts;
  for (int i = 0; i < count; ++i) {
    hosts.emplace_back("host-" + std::to_string(i));
  }
  return hosts;
}

struct AdvisorLoad {
  AdviceClientChooser chooser;
  base::TimePoint now = base::TimePoint(std::chrono::seconds(10));

  // Starts calls until no host is free; returns their number.
  int StartAll(base::Duration cost) {
    int calls = 0;
    while (chooser.Choose(cost, now)) {
      ++calls;
    }
    return calls;
  }
};

TEST_CASE("no host is chosen if none is listed") {
  AdvisorLoad load;
  CHECK_FALSE(load.chooser.Choose(kShort, load.now));
}

TEST_CASE("a backlog of steps after a take-over") {
  AdvisorLoad load;
  load.chooser.SetHosts(Hosts(7));
  SUBCASE("doesn't overload the advisor") {
    // One call per host, and one more sent just before the first is answered.
    CHECK(load.StartAll(kShort) <= 14);
  }
  SUBCASE("continues as calls end") {
    const auto host = load.chooser.Choose(kShort, load.now);
    load.StartAll(kShort);
    load.now += kShort;
    load.chooser.OnEnded(*host, load.now);
    CHECK(load.chooser.Choose(kShort, load.now) == host);
  }
}

TEST_CASE("a stream of short calls together with long ones") {
  AdvisorLoad load;
  load.chooser.SetHosts(Hosts(7));
  REQUIRE(load.chooser.Choose(kLong, load.now));
  SUBCASE("leaves hosts for long calls") {
    load.StartAll(kShort);
    CHECK(load.chooser.Choose(kLong, load.now));
  }
  SUBCASE("doesn't wait behind long calls") {
    load.StartAll(kLong);
    CHECK(load.StartAll(kShort) >= 4);
  }
  SUBCASE("uses all hosts once long calls are over") {
    load.StartAll(kLong);
    load.chooser.SetHosts({});
    load.chooser.SetHosts(Hosts(7));
    load.now += std::chrono::seconds(6);
    CHECK(load.StartAll(kShort) >= 7);
  }
}

// Guards against gangs that wait for the advisor for ten seconds, while most of
// the hosts for short calls are idle (30 hosts, gangs whose calls take 1.7 s).
TEST_CASE("more long calls than half of thirty hosts can take") {
  static constexpr base::Duration kShortInterval = milliseconds(20);
  AdvisorLoad load;
  load.chooser.SetHosts(Hosts(30));
  // Short calls occupy about one host on average.
  const auto run_short_calls = [&load](int count) {
    int sent = 0;
    for (int i = 0; i < count; ++i) {
      if (const auto host = load.chooser.Choose(kShort * 2, load.now)) {
        ++sent;
        load.chooser.OnEnded(*host, load.now);
      }
      load.now += kShortInterval;
    }
    return sent;
  };
  run_short_calls(500);
  SUBCASE("use most hosts that short calls don't need") {
    CHECK(load.StartAll(kLong) >= 22);
    SUBCASE("and leave enough for a burst of those") {
      int at_once = 0;
      while (load.chooser.Choose(kShort * 2, load.now)) {
        ++at_once;
      }
      CHECK(at_once >= 3);
    }
  }
  SUBCASE("use fewer hosts the more short calls there are") {
    for (int i = 0; i < 4000; ++i) {
      const auto host = load.chooser.Choose(kShort * 2, load.now);
      if (host) {
        load.chooser.OnEnded(*host, load.now);
      }
      load.now += milliseconds(5);
    }
    CHECK(load.StartAll(kLong) == 15);
  }
}

TEST_CASE("a host that is gone") {
  AdvisorLoad load;
  load.chooser.SetHosts(Hosts(2));
  const auto gone = load.chooser.Choose(kShort, load.now);
  load.chooser.OnFailed(*gone, load.now);
  SUBCASE("is not chosen for a while") {
    CHECK(load.chooser.Choose(kShort, load.now) != gone);
  }
  SUBCASE("is chosen again later") {
    load.now += std::chrono::seconds(3);
    CHECK(load.chooser.Choose(kShort, load.now) == gone);
  }
}

// Guards against an owner that asks nothing for two seconds after all channels
// broke, while its work becomes overdue (issue 42).
TEST_CASE("calls that fail at all hosts") {
  AdvisorLoad load;
  load.chooser.SetHosts(Hosts(2));
  const auto fail_all = [&load] {
    int calls = 0;
    std::vector<base::EntryId> chosen;
    while (const auto host = load.chooser.Choose(kShort * 2, load.now)) {
      chosen.push_back(*host);
      ++calls;
    }
    for (const base::EntryId& host : chosen) {
      load.chooser.OnFailed(host, load.now);
    }
    return calls;
  };
  REQUIRE(fail_all() == 2);
  CHECK_FALSE(load.chooser.CanChoose(kShort, load.now));
  SUBCASE("are soon sent again") {
    load.now += AdviceClientChooser::kOnlyHostsPause;
    const auto host = load.chooser.Choose(kShort, load.now);
    REQUIRE(host);
    SUBCASE("through a host that is used as before once it has an answer") {
      load.chooser.OnEnded(*host, load.now);
      CHECK(load.chooser.Choose(kShort, load.now) == host);
    }
    SUBCASE("once for each host, not two at a time") {
      load.now += kShort;
      CHECK(load.StartAll(kShort) == 1);
    }
  }
  SUBCASE("are sent less and less often while all hosts are gone") {
    int calls = 0;
    for (int i = 0; i < 1000; ++i) {
      load.now += milliseconds(10);
      calls += fail_all();
    }
    // After 0.15, 0.45, 1.05, 2.25, 4.25, 6.25, 8.25 s from both hosts; without
    // a shorter pause, every two seconds.
    CHECK(calls <= 14);
  }
}

// Guards against overdue work that waits for three hosts while the four for
// short calls are idle (issue 42).
TEST_CASE("long calls for overdue work") {
  using CallFor = AdviceClientChooser::CallFor;
  AdvisorLoad load;
  load.chooser.SetHosts(Hosts(7));
  const auto start_all = [&load](CallFor call_for) {
    int calls = 0;
    while (load.chooser.Choose(kLong, load.now, call_for)) {
      ++calls;
    }
    return calls;
  };
  SUBCASE("use all hosts but one if there are no short calls") {
    CHECK(start_all(CallFor::kOverdue) == 6);
    CHECK(load.StartAll(kShort) >= 1);
  }
  SUBCASE("leave the hosts that short calls have needed lately") {
    for (int i = 0; i < 1000; ++i) {
      const auto host = load.chooser.Choose(kShort, load.now);
      load.chooser.OnEnded(*host, load.now);
      load.now += kShort;
    }
    CHECK(start_all(CallFor::kOverdue) == 3);
  }
  SUBCASE("are no reason for other long calls to use more") {
    CHECK(start_all(CallFor::kOnTime) == 3);
  }
}

TEST_CASE("one host alone takes calls of both kinds") {
  AdvisorLoad load;
  load.chooser.SetHosts(Hosts(1));
  CHECK(load.chooser.Choose(kLong, load.now));
  load.chooser.OnEnded(base::EntryId("host-0"), load.now);
  CHECK(load.chooser.Choose(kShort, load.now));
}

}  // namespace
}  // namespace dotterelbarrow::core::advice
