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

TEST_CASE("a worker with 12 of 16 cores free that a gang needs in 5 s") {
  const auto cores = [](int count) {
    base::Resources resources;
    resources.cpu = base::Millicores(1000 * count);
    return resources;
  };
  const base::TimePoint starts_at = kStart + seconds(5);
  GangHolds holds;
  holds.BeginPass(40);
  holds.Hold(WorkerOf(1), {starts_at, cores(3)});

  SUBCASE("takes any other work that ends before") {
    CHECK(holds.RoomBesideGang(WorkerOf(1), cores(12), starts_at) == cores(12));
    holds.RecordBackfill(WorkerOf(1), starts_at);
    CHECK(holds.RoomBesideGang(WorkerOf(1), cores(12), starts_at) == cores(12));
  }
  SUBCASE("takes work that runs longer into the part that the gang leaves") {
    const base::TimePoint later = starts_at + milliseconds(1);
    CHECK(holds.RoomBesideGang(WorkerOf(1), cores(12), later) == cores(3));
    CHECK(holds.RoomBesideGang(WorkerOf(1), cores(2), later) == cores(2));

    SUBCASE("once, until the workers for the gang are chosen anew") {
      holds.RecordBackfill(WorkerOf(1), later);
      holds.BeginPass(40);
      holds.Hold(WorkerOf(1), {starts_at, cores(3)});
      CHECK(holds.RoomBesideGang(WorkerOf(1), cores(12), later) == cores(0));
      holds.ForgetBackfill();
      CHECK(holds.RoomBesideGang(WorkerOf(1), cores(12), later) == cores(3));
    }
  }
  SUBCASE("takes nothing if it is held without a start that is known") {
    holds.Hold(WorkerOf(2));
    CHECK(holds.RoomBesideGang(WorkerOf(2), cores(12), kStart) == cores(0));
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
