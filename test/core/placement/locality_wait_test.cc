// Tests of the decision to wait for a local place.
#include "dotterelbarrow/core/placement/locality_wait.h"

#include <doctest/doctest.h>

namespace dotterelbarrow::core::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::TimePoint kStart{seconds(100)};

TEST_CASE("a task that runs a second near its data and two elsewhere") {
  LocalityInput input;
  input.now = kStart;
  input.local_run_time = seconds(1);
  input.remote_run_time = seconds(2);
  input.waiting_since = kStart;
  input.latest_start = kStart + seconds(60);
  input.local_place_at = kStart + milliseconds(400);
  const auto reason = [&input] {
    const LocalityDecision decision = DecideLocality(input);
    REQUIRE_FALSE(decision.waits);
    return decision.reason;
  };

  SUBCASE("waits for a place that is expected soon, and looks again before") {
    const LocalityDecision decision = DecideLocality(input);
    CHECK(decision.waits);
    CHECK(decision.decide_again_at > input.now);
    CHECK(decision.decide_again_at <= kStart + seconds(1));
  }
  // Guards against waits for data that no worker is near.
  SUBCASE("doesn't wait if no local worker is usable") {
    input.local_place_at.reset();
    CHECK(reason() == RemoteReason::kNoLocalWorker);
  }
  SUBCASE("doesn't wait longer than the remote run costs extra") {
    input.local_place_at = kStart + milliseconds(1000);
    CHECK(reason() == RemoteReason::kLongWait);
  }
  SUBCASE("doesn't wait for slow workers that take as long as remote ones") {
    input.local_run_time = seconds(2);
    CHECK(reason() == RemoteReason::kLocalIsSlow);
  }
  // Guards against a wrong expectation that renews the wait for ever.
  SUBCASE("stops waiting though a place is still expected soon") {
    input.now = kStart + milliseconds(990);
    input.local_place_at = input.now + milliseconds(1);
    CHECK(DecideLocality(input).waits);
    input.now = kStart + milliseconds(1000);
    input.local_place_at = input.now + milliseconds(1);
    CHECK(reason() == RemoteReason::kWaitedEnough);
  }
  SUBCASE("waits less the less sure the expectation is") {
    input.confidence = 0.5;
    CHECK(DecideLocality(input).waits);
    input.confidence = 0.3;
    CHECK(reason() == RemoteReason::kLongWait);
  }
  SUBCASE("waits longer in a full fleet, up to twice the extra time") {
    input.local_place_at = kStart + milliseconds(1500);
    CHECK(reason() == RemoteReason::kLongWait);
    input.fleet_usage = 1;
    CHECK(DecideLocality(input).waits);
    input.now = kStart + seconds(2);
    input.local_place_at = input.now;
    CHECK(reason() == RemoteReason::kWaitedEnough);
  }
  // Guards against a wait that makes a job late that would have been on time.
  SUBCASE("never waits until the remote run would be late") {
    input.latest_start = kStart + milliseconds(1300);
    CHECK(reason() == RemoteReason::kDeadline);
    input.local_place_at = kStart + milliseconds(200);
    const LocalityDecision decision = DecideLocality(input);
    CHECK(decision.waits);
    CHECK(decision.decide_again_at <= kStart + milliseconds(300));
  }
  SUBCASE("is less demanding if only the local run can be on time") {
    input.latest_start = kStart + milliseconds(500);
    input.confidence = 0.1;
    CHECK(DecideLocality(input).waits);
  }
}

TEST_CASE("the expected end of a run that takes a second, rarely two") {
  const auto end_at = [](base::Duration elapsed) {
    return ExpectedEnd(kStart, seconds(1), seconds(2), kStart + elapsed);
  };
  CHECK(end_at(milliseconds(300)) == kStart + seconds(1));
  CHECK(end_at(milliseconds(1300)) == kStart + seconds(2));
  // Guards against a run with a far too low estimate that is always expected
  // to end at once.
  CHECK(end_at(seconds(5)) == kStart + seconds(9));
}

TEST_CASE("how sure the expectations are") {
  LocalityRecord record;
  CHECK(record.Confidence(kStart) == doctest::Approx(LocalityRecord::kPrior));
  for (int i = 0; i < 20; ++i) {
    record.Record(false, kStart);
  }
  CHECK(record.Confidence(kStart) < 0.2);
  // Guards against a rack for which nothing waits ever again, because without
  // waits no outcome changes the record.
  CHECK(record.Confidence(kStart + seconds(60)) > 0.7);
}

}  // namespace
}  // namespace dotterelbarrow::core::placement
