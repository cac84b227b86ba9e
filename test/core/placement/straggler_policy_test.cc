// Which runs get copies, and when.
#include "dotterelbarrow/core/placement/straggler_policy.h"

#include <doctest/doctest.h>

namespace dotterelbarrow::core::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Verdict = CopyDecision::Verdict;

// A run of one second that is three times as long already, in an idle fleet.
RunInProgress SlowRun() {
  RunInProgress run;
  run.active_for = seconds(3);
  run.expected = seconds(1);
  run.high = seconds(2);
  run.tasks = 4;
  run.start_delay = milliseconds(100);
  run.time_left = seconds(2);
  run.max_attempts = 3;
  return run;
}

void CheckNotYet(const RunInProgress& run, const CopyRoom& room,
                 CopyReason reason) {
  const CopyDecision decision = StragglerPolicy::Decide(run, room);
  CHECK(decision.verdict == Verdict::kNotYet);
  CHECK(ToString(decision.reason) == doctest::String(ToString(reason)));
  CHECK(decision.look_again_in > base::Duration(0));
}

void CheckNever(const RunInProgress& run, CopyReason reason) {
  const CopyDecision decision = StragglerPolicy::Decide(run, CopyRoom());
  CHECK(decision.verdict == Verdict::kNever);
  CHECK(ToString(decision.reason) == doctest::String(ToString(reason)));
}

TEST_CASE("a run that takes far longer than expected") {
  RunInProgress run = SlowRun();
  CopyRoom room;
  REQUIRE(StragglerPolicy::Decide(run, room).verdict == Verdict::kCopy);

  SUBCASE("waits while it may be a usual one, and is looked at when it can't") {
    run.active_for = milliseconds(2900);
    CheckNotYet(run, room, CopyReason::kWithinRunTime);
    CHECK(StragglerPolicy::Decide(run, room).look_again_in ==
          milliseconds(100));
  }
  SUBCASE("gets one sooner if its siblings show that it is slow") {
    run.active_for = milliseconds(1100);
    run.median = milliseconds(500);
    run.tasks_measured = 2;
    CHECK(StragglerPolicy::Decide(run, room).verdict == Verdict::kCopy);
    SUBCASE("but not if less than half of them are done") {
      run.tasks_measured = 1;
      CheckNotYet(run, room, CopyReason::kWithinRunTime);
    }
    SUBCASE("but not if its worker is known to be that slow") {
      run.slowness = 1.6;
      CheckNotYet(run, room, CopyReason::kWithinRunTime);
    }
  }
  SUBCASE("gets none if the siblings took as long") {
    run.median = seconds(2);
    run.tasks_measured = 3;
    CheckNotYet(run, room, CopyReason::kWithinRunTime);
  }
  SUBCASE("gets none that could not end before it") {
    run.active_for = milliseconds(5950);
    CheckNotYet(run, room, CopyReason::kEndsSoon);
    CHECK_FALSE(StragglerPolicy::EndsBefore(run, 1));
    SUBCASE("until it lasts even longer than a slow run") {
      run.active_for = milliseconds(7001);
      CHECK(StragglerPolicy::Decide(run, room).verdict == Verdict::kCopy);
    }
  }
  SUBCASE("gets none on a worker that is too slow to end before it") {
    CHECK(StragglerPolicy::EndsBefore(run, 3.8));
    CHECK_FALSE(StragglerPolicy::EndsBefore(run, 3.95));
  }
  SUBCASE("waits for work that waits") {
    room.has_waiting_work = true;
    CheckNotYet(run, room, CopyReason::kWaitingWork);
  }
  SUBCASE("waits while little of the fleet is free") {
    room.fleet_usage = 0.95;
    CheckNotYet(run, room, CopyReason::kFleetBusy);
  }
  SUBCASE("waits in a busy fleet if its job is on time anyway") {
    room.fleet_usage = 0.8;
    CHECK(StragglerPolicy::Decide(run, room).verdict == Verdict::kCopy);
    run.time_left = seconds(5);
    CheckNotYet(run, room, CopyReason::kFleetBusy);
  }
  SUBCASE("waits while copies use their share") {
    room.copies_usage = 0.06;
    room.copies = 1;
    CheckNotYet(run, room, CopyReason::kShareUsed);
    SUBCASE("but a small fleet may always have one") {
      room.copies = 0;
      CHECK(StragglerPolicy::Decide(run, room).verdict == Verdict::kCopy);
    }
  }
  SUBCASE("waits while its queue is on alert") {
    run.is_on_alert = true;
    CheckNotYet(run, room, CopyReason::kOnAlert);
  }
  SUBCASE("has one copy at a time") {
    run.has_copy = true;
    CheckNotYet(run, room, CopyReason::kHasCopy);
  }
  SUBCASE("has two copies in all") {
    run.copies_started = 2;
    CheckNever(run, CopyReason::kCopiesUsedUp);
  }
  SUBCASE("gets none if workers crashed under its task") {
    run.is_crash_suspect = true;
    CheckNever(run, CopyReason::kCrashSuspect);
  }
  SUBCASE("gets none if both could fail beyond the allowed attempts") {
    run.failed_attempts = 1;
    CHECK(StragglerPolicy::Decide(run, room).verdict == Verdict::kCopy);
    run.failed_attempts = 2;
    CheckNever(run, CopyReason::kAttemptsUsedUp);
  }
  SUBCASE("gets none for a job whose completion has no value any more") {
    run.deadline_status = DeadlineStatus::kExpired;
    CheckNever(run, CopyReason::kExpired);
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::placement
