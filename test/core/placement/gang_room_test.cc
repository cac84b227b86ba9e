// How work makes room for gangs.
#include "dotterelbarrow/core/placement/gang_room.h"

#include <doctest/doctest.h>

#include <cstdint>

namespace dotterelbarrow::core::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::TimePoint kStart{seconds(100)};

workers::WorkerNumber WorkerOf(int number) {
  return workers::WorkerNumber(static_cast<std::uint64_t>(number));
}

TEST_CASE("gangs wait for room in a fleet of 40 workers") {
  GangRoom room;
  room.BeginPass(40);
  const auto keep = [&room](int from, int count) {
    for (int i = from; i < from + count; ++i) {
      room.Keep(WorkerOf(i));
    }
    room.EndGang();
  };

  SUBCASE("two are served, however much of the fleet they take") {
    keep(0, 30);
    CHECK(room.CanKeep());
    keep(30, 9);
    CHECK_FALSE(room.CanKeep());
  }
  SUBCASE("more are served as long as they take a quarter of it") {
    for (int gang = 0; gang < 5; ++gang) {
      REQUIRE(room.CanKeep());
      keep(2 * gang, 2);
    }
    CHECK_FALSE(room.CanKeep());
  }
  SUBCASE("what was kept is kept in the next pass by preference only") {
    keep(0, 4);
    room.BeginPass(40);
    CHECK_FALSE(room.IsKept(WorkerOf(1)));
    CHECK(room.IsOrWasKept(WorkerOf(1)));
    room.BeginPass(40);
    CHECK_FALSE(room.IsOrWasKept(WorkerOf(1)));
  }
  SUBCASE("what they could use is wanted anew in each pass") {
    room.Want(WorkerOf(7));
    CHECK(room.IsWanted(WorkerOf(7)));
    room.BeginPass(40);
    CHECK_FALSE(room.IsWanted(WorkerOf(7)));
  }
}

TEST_CASE("work that comes beside waiting gangs") {
  Urgency urgency;
  SUBCASE("yields while it is patient, and no longer") {
    urgency.latest_start = kStart + seconds(12);
    CHECK(GangRoom::Yields(urgency, kStart, kStart + seconds(5)));
    CHECK_FALSE(GangRoom::Yields(urgency, kStart, kStart + seconds(7)));
  }
  SUBCASE("doesn't yield if it is due soon") {
    urgency.latest_start = kStart + milliseconds(800);
    CHECK_FALSE(GangRoom::Yields(urgency, kStart, kStart));
  }
  SUBCASE("yields once it is late") {
    urgency.standing = Standing::kLate;
    urgency.latest_start = kStart + milliseconds(800);
    CHECK(GangRoom::Yields(urgency, kStart, kStart + seconds(2)));
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::placement
