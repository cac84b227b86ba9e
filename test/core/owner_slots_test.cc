// Tests of the slots for interactive requests on the runners of a shard owner.
#include <doctest/doctest.h>

#include "test/core/owner_fixture.h"

namespace dotterelbarrow::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

base::Resources RunnerSize(std::int64_t slots) {
  return {{}, {}, {}, base::Slots(slots)};
}

TEST_CASE("interactive slots are taken, released and never exceeded") {
  OwnerFixture cell;
  FakeBackend& small = cell.Add("small", RunnerSize(1));
  cell.Add("large", RunnerSize(2));
  const base::ServiceId seats("seats");
  CHECK_FALSE(cell.owner->TakeSlot(seats, base::CallId(1), cell.now));
  cell.Run(milliseconds(1100));
  int freed = 0;
  cell.owner->slots_freed().connect([&](base::TimePoint) { ++freed; });
  const auto take = [&](std::uint64_t call) {
    const auto grant =
        cell.owner->TakeSlot(seats, base::CallId(call), cell.now);
    return grant ? grant->backend.value() : std::string();
  };
  const auto release = [&](std::uint64_t call, RunStatus status) {
    cell.owner->ReturnSlot({{}, base::CallId(call), status, {}}, cell.now);
  };
  REQUIRE(cell.owner->FreeSlots(seats) == base::Slots(3));
  CHECK(take(1) == "large");
  take(2);
  take(3);

  SUBCASE("if all are taken there is no other, also not for another service") {
    CHECK(take(4).empty());
    CHECK_FALSE(cell.owner->TakeSlot(base::ServiceId("parts"), base::CallId(5),
                                     cell.now));
    CHECK(cell.owner->TotalSlots(seats) == base::Slots(3));
  }
  SUBCASE("a released slot is signalled and can be taken again") {
    release(1, RunStatus::kDone);
    release(1, RunStatus::kDone);
    CHECK(freed == 1);
    CHECK(take(4) == "large");
    CHECK(take(5).empty());
  }
  SUBCASE("a lost call keeps its slot until a report shows that it ended") {
    release(2, RunStatus::kDone);
    release(3, RunStatus::kDone);
    FakeBackend& runner = cell.at("large");
    const base::Epoch former = runner.epoch;
    const TaskSpec request = OwnerFixture::Task(0, RunnerSize(1));
    runner.Run(request);
    release(1, RunStatus::kLost);
    cell.Run(seconds(2));
    CHECK(runner.epoch > former);
    CHECK(cell.owner->FreeSlots(seats) == base::Slots(2));
    runner.tasks.clear();
    cell.Run(seconds(2));
    CHECK(cell.owner->FreeSlots(seats) == base::Slots(3));
  }
  SUBCASE("an unreachable runner has no slots") {
    release(1, RunStatus::kDone);
    small.reachable = false;
    cell.at("large").reachable = false;
    cell.Run(seconds(2));
    CHECK(cell.owner->FreeSlots(seats) == base::Slots(0));
    CHECK(take(4).empty());
  }
  SUBCASE("a runner that fails everything is quarantined") {
    for (std::uint64_t call = 1; call <= 3; ++call) {
      release(call, RunStatus::kDone);
    }
    for (std::uint64_t call = 10; call < 15; ++call) {
      CHECK(take(call) == "large");
      release(call, RunStatus::kFailed);
    }
    CHECK(take(20) == "small");
    CHECK(take(21).empty());
  }
}

TEST_CASE("runs that a previous owner started occupy their runner's slots") {
  OwnerFixture cell;
  FakeBackend& runner = cell.Add("r", RunnerSize(2));
  runner.Run(OwnerFixture::Task(0, RunnerSize(1)));
  runner.lease_end = cell.now + seconds(6);
  cell.Run(milliseconds(1100));
  CHECK(cell.owner->FreeSlots(base::ServiceId("seats")) == base::Slots(1));
}

}  // namespace
}  // namespace dotterelbarrow::core
