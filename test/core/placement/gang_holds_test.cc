// Tests of holding workers for gangs, and of other work that yields to gangs.
#include "dotterelbarrow/core/placement/gang_holds.h"

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

TEST_CASE("gangs wait for free capacity in a fleet of 40 workers") {
  GangHolds room;
  room.BeginPass(40);
  const auto hold_for_gang = [&room](int first, int count) {
    for (int i = first; i < first + count; ++i) {
      room.Hold(WorkerOf(i));
    }
    room.EndGang();
  };

  SUBCASE("the first two may hold any part of the fleet") {
    hold_for_gang(0, 30);
    CHECK(room.CanHold());
    hold_for_gang(30, 9);
    CHECK_FALSE(room.CanHold());
  }
  SUBCASE("further ones may hold workers up to a quarter of the fleet") {
    for (int gang = 0; gang < 5; ++gang) {
      REQUIRE(room.CanHold());
      hold_for_gang(2 * gang, 2);
    }
    CHECK_FALSE(room.CanHold());
  }
  SUBCASE("a held worker is no longer held in the next pass, only preferred") {
    hold_for_gang(0, 4);
    room.BeginPass(40);
    CHECK_FALSE(room.IsHeld(WorkerOf(1)));
    CHECK(room.IsOrWasHeld(WorkerOf(1)));
    room.BeginPass(40);
    CHECK_FALSE(room.IsOrWasHeld(WorkerOf(1)));
  }
  SUBCASE("a worker is wanted only in the pass in which it was marked") {
    room.MarkWanted(WorkerOf(7));
    CHECK(room.IsWanted(WorkerOf(7)));
    room.BeginPass(40);
    CHECK_FALSE(room.IsWanted(WorkerOf(7)));
  }
}

TEST_CASE("other work while gangs wait") {
  Urgency urgency;
  SUBCASE("yields until half of its slack is used up") {
    urgency.latest_start = kStart + seconds(12);
    CHECK(GangHolds::MustYield(urgency, kStart, kStart + seconds(5)));
    CHECK_FALSE(GangHolds::MustYield(urgency, kStart, kStart + seconds(7)));
  }
  SUBCASE("doesn't yield if its total slack is small") {
    urgency.latest_start = kStart + milliseconds(800);
    CHECK_FALSE(GangHolds::MustYield(urgency, kStart, kStart));
  }
  SUBCASE("yields once it is late, however small its slack was") {
    urgency.deadline_status = DeadlineStatus::kLate;
    urgency.latest_start = kStart + milliseconds(800);
    CHECK(GangHolds::MustYield(urgency, kStart, kStart + seconds(2)));
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::placement
