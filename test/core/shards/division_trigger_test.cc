// Tests when the cell is divided into shards.
#include "dotterelbarrow/core/shards/division_trigger.h"

#include <doctest/doctest.h>

namespace dotterelbarrow::core::shards {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("the division of a cell") {
  DivisionTrigger trigger;
  base::TimePoint now{seconds(100)};
  const DivisionTrigger::Input idle{
      .workers = 1100, .has_jobs = false, .can_hosts_follow = true};
  REQUIRE_FALSE(trigger.ShouldPlan(idle, now));

  SUBCASE("comes once the fleet has settled, and once only") {
    now += DivisionTrigger::kSettleTime;
    CHECK(trigger.ShouldPlan(idle, now));
    CHECK_FALSE(trigger.ShouldPlan(idle, now + seconds(10)));
  }
  SUBCASE("waits for workers that are still being added") {
    DivisionTrigger::Input growing = idle;
    for (int i = 0; i < 10; ++i) {
      now += milliseconds(1500);
      growing.workers += 100;
      CHECK_FALSE(trigger.ShouldPlan(growing, now));
    }
    CHECK(trigger.ShouldPlan(growing, now + DivisionTrigger::kSettleTime));
  }
  // Guards against a job whose state the owner of another shard denies.
  SUBCASE("never comes while a job is known") {
    DivisionTrigger::Input busy = idle;
    busy.has_jobs = true;
    CHECK_FALSE(trigger.ShouldPlan(busy, now + seconds(10)));
    SUBCASE("but after its state was forgotten") {
      CHECK(trigger.ShouldPlan(idle, now + seconds(200)));
    }
  }
  // Guards against a host of the version before that takes the part of shard 0
  // for the whole cell.
  SUBCASE("never comes while a live host can't follow shards") {
    DivisionTrigger::Input mixed = idle;
    mixed.can_hosts_follow = false;
    CHECK_FALSE(trigger.ShouldPlan(mixed, now + seconds(10)));
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::shards
