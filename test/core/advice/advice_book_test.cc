// Which entry host asks the advisor next.
#include "dotterelbarrow/core/advice/advice_book.h"

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

struct Load {
  AskerChooser chooser;
  base::TimePoint now = base::TimePoint(std::chrono::seconds(10));

  // Starts as many calls as the hosts take; returns how many.
  int Fill(base::Duration cost) {
    int calls = 0;
    while (chooser.Choose(cost, now)) {
      ++calls;
    }
    return calls;
  }
};

TEST_CASE("nobody is asked to ask where no host is known") {
  Load load;
  CHECK_FALSE(load.chooser.Choose(kShort, load.now));
}

TEST_CASE("a backlog of steps after a take-over") {
  Load load;
  load.chooser.SetHosts(Hosts(7));
  SUBCASE("doesn't pile up at the advisor") {
    // One call a host, and the next one sent just before it is answered.
    CHECK(load.Fill(kShort) <= 14);
  }
  SUBCASE("goes on as calls end") {
    const auto host = load.chooser.Choose(kShort, load.now);
    load.Fill(kShort);
    load.now += kShort;
    load.chooser.OnEnded(*host, load.now);
    CHECK(load.chooser.Choose(kShort, load.now) == host);
  }
}

TEST_CASE("a stream of short calls beside long ones") {
  Load load;
  load.chooser.SetHosts(Hosts(7));
  REQUIRE(load.chooser.Choose(kLong, load.now));
  SUBCASE("leaves hosts for long calls") {
    load.Fill(kShort);
    CHECK(load.chooser.Choose(kLong, load.now));
  }
  SUBCASE("never waits behind a long call") {
    load.Fill(kLong);
    CHECK(load.Fill(kShort) >= 4);
  }
  SUBCASE("uses all hosts once long calls are over") {
    load.Fill(kLong);
    load.chooser.SetHosts({});
    load.chooser.SetHosts(Hosts(7));
    load.now += std::chrono::seconds(6);
    CHECK(load.Fill(kShort) >= 7);
  }
}

TEST_CASE("a host that is gone") {
  Load load;
  load.chooser.SetHosts(Hosts(2));
  const auto gone = load.chooser.Choose(kShort, load.now);
  load.chooser.OnFailed(*gone, load.now);
  SUBCASE("is passed over for a while") {
    CHECK(load.chooser.Choose(kShort, load.now) != gone);
  }
  SUBCASE("is asked again later") {
    load.now += std::chrono::seconds(3);
    CHECK(load.chooser.Choose(kShort, load.now) == gone);
  }
}

TEST_CASE("one host alone takes calls of both kinds") {
  Load load;
  load.chooser.SetHosts(Hosts(1));
  CHECK(load.chooser.Choose(kLong, load.now));
  load.chooser.OnEnded(base::EntryId("host-0"), load.now);
  CHECK(load.chooser.Choose(kShort, load.now));
}

}  // namespace
}  // namespace dotterelbarrow::core::advice
