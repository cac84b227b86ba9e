#include "dotterelbarrow/core/placement/overdue_turns.h"

#include <doctest/doctest.h>

#include <chrono>

namespace dotterelbarrow::core::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::TimePoint kNow{seconds(1000)};
constexpr base::Duration kAMoment = milliseconds(1);
const jobs::StepRef kFirst{jobs::JobKey(1), 0, 0};
const jobs::StepRef kSecond{jobs::JobKey(2), 0, 0};

TEST_CASE("turns of overdue steps") {
  OverdueTurns turns;

  SUBCASE("begin after a step has waited for long") {
    turns.RecordWaiting(kFirst, false, kNow);
    turns.Update(kNow + OverdueTurns::kPatience - kAMoment);
    CHECK(!turns.current());
    turns.Update(kNow + OverdueTurns::kPatience);
    CHECK(turns.IsTurnOf(kFirst));
  }
  SUBCASE("begin sooner while little is in use") {
    turns.RecordWaiting(kFirst, true, kNow);
    turns.Update(kNow + OverdueTurns::kPatienceIfLight);
    CHECK(turns.IsTurnOf(kFirst));
  }
  SUBCASE("end when the step is placed or waits no more") {
    turns.RecordWaiting(kFirst, true, kNow);
    turns.Update(kNow + OverdueTurns::kPatienceIfLight);
    SUBCASE("placed") { turns.OnPlaced(kFirst, 0.01, seconds(1), kNow); }
    SUBCASE("gone") { turns.Remove(kFirst); }
    CHECK(!turns.current());
    turns.Update(kNow + seconds(100));
    CHECK(!turns.current());
  }
  SUBCASE("end in vain after some time, and others come after the second") {
    turns.RecordWaiting(kFirst, true, kNow);
    turns.RecordWaiting(kSecond, true, kNow + kAMoment);
    const base::TimePoint begun = kNow + seconds(10);
    turns.Update(begun);
    REQUIRE(turns.IsTurnOf(kFirst));
    base::TimePoint over = begun + OverdueTurns::kFirstTurn;
    turns.Update(over - kAMoment);
    CHECK(turns.IsTurnOf(kFirst));
    turns.Update(over);
    CHECK(!turns.current());
    turns.Update(over + OverdueTurns::kRest - kAMoment);
    CHECK(!turns.current());
    turns.Update(over + OverdueTurns::kRest);
    REQUIRE(turns.IsTurnOf(kFirst));
    // The second turn of a step lasts longer.
    over += OverdueTurns::kRest + 2 * OverdueTurns::kFirstTurn;
    turns.Update(over - kAMoment);
    CHECK(turns.IsTurnOf(kFirst));
    turns.Update(over);
    CHECK(!turns.current());
    turns.Update(over + OverdueTurns::kRest);
    CHECK(turns.IsTurnOf(kSecond));
  }
  SUBCASE("use a tenth of a busy fleet") {
    turns.RecordWaiting(kFirst, false, kNow);
    turns.RecordWaiting(kSecond, false, kNow);
    const base::TimePoint begun = kNow + OverdueTurns::kPatience;
    turns.Update(begun);
    REQUIRE(turns.current().has_value());
    const jobs::StepRef first = *turns.current();
    // A quarter of the fleet for two seconds.
    turns.OnPlaced(first, 0.25, seconds(2), begun);
    turns.Update(begun + seconds(5) - kAMoment);
    CHECK(!turns.current());
    turns.Update(begun + seconds(5));
    CHECK(turns.current().has_value());
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::placement
