#include "dotterelbarrow/core/workers/quarantine.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>

namespace dotterelbarrow::core::workers {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::TimePoint kNow{seconds(1000)};
constexpr base::Duration kAMoment = milliseconds(1);

// Has `count` jobs fail at `at` whose runs were started at `started_at`.
void Fail(Quarantine* quarantine, std::uint64_t count,
          base::TimePoint started_at, base::TimePoint at) {
  for (std::uint64_t job = 1; job <= count; ++job) {
    quarantine->OnFailure(jobs::JobKey(job), started_at, at);
  }
}

TEST_CASE("a worker's quarantine") {
  Quarantine quarantine;
  CHECK(quarantine.is_blameless());

  SUBCASE("doesn't begin with failures of one job") {
    for (int i = 0; i < 10; ++i) {
      CHECK(!quarantine.OnFailure(jobs::JobKey(1), kNow, kNow));
    }
    CHECK(!quarantine.IsIsolated(kNow));
    CHECK(!quarantine.is_blameless());
  }
  SUBCASE("doesn't begin if a run succeeds in between") {
    Fail(&quarantine, 2, kNow, kNow);
    quarantine.OnSuccess(kNow);
    CHECK(quarantine.is_blameless());
    CHECK(!quarantine.OnFailure(jobs::JobKey(9), kNow, kNow));
    CHECK(!quarantine.IsIsolated(kNow));
  }
  SUBCASE("begins with the third failure of different jobs") {
    Fail(&quarantine, 3, kNow, kNow);
    CHECK(quarantine.IsIsolated(kNow));
    CHECK(quarantine.IsIsolatedSince(kNow - kAMoment, kNow));
    CHECK(!quarantine.IsIsolatedSince(kNow, kNow));

    SUBCASE("and isn't prolonged by runs from before it") {
      Fail(&quarantine, 20, kNow - kAMoment, kNow + seconds(1));
      CHECK(!quarantine.IsIsolated(kNow + Quarantine::kFirstPeriod));
    }
    SUBCASE("and goes on after the success of a run from before the failures") {
      quarantine.OnSuccess(kNow - kAMoment);
      CHECK(quarantine.IsIsolated(kNow));
    }
    SUBCASE("and ends with the success of a later run") {
      quarantine.OnSuccess(kNow);
      CHECK(quarantine.is_blameless());
      CHECK(!quarantine.IsProbed(kNow));
    }
    SUBCASE("and is followed by probes, one at a time") {
      const base::TimePoint due = kNow + Quarantine::kFirstPeriod;
      CHECK(quarantine.IsIsolated(due - kAMoment));
      CHECK(!quarantine.IsIsolated(due));
      CHECK(quarantine.IsProbed(due));
      CHECK(quarantine.AdmitsStart(due));
      quarantine.OnStart(due);
      CHECK(!quarantine.AdmitsStart(due));
      CHECK(quarantine.AdmitsStart(due + Quarantine::kProbeInterval));
    }
    SUBCASE("and lasts twice as long after a failed probe, up to a maximum") {
      base::TimePoint due = kNow + Quarantine::kFirstPeriod;
      for (int i = 0; i < 4; ++i) {
        CHECK(quarantine.OnFailure(jobs::JobKey(1), due, due));
        CHECK(quarantine.IsIsolated(due + Quarantine::kMaxPeriod - kAMoment));
        due += Quarantine::kMaxPeriod;
        CHECK(!quarantine.IsIsolated(due));
      }
    }
    SUBCASE("and is over when nothing fails for long") {
      const base::TimePoint over =
          kNow + Quarantine::kFirstPeriod + Quarantine::kProbation;
      CHECK(quarantine.IsProbed(over - kAMoment));
      CHECK(!quarantine.IsProbed(over));
      CHECK(!quarantine.OnFailure(jobs::JobKey(7), over, over));
      CHECK(!quarantine.IsIsolated(over));
    }
  }
}

TEST_CASE("the delay before a task is tried again on an isolated worker") {
  CHECK(Quarantine::RetryDelay(0) == seconds(0));
  CHECK(Quarantine::RetryDelay(1) == seconds(2));
  CHECK(Quarantine::RetryDelay(2) == seconds(4));
  CHECK(Quarantine::RetryDelay(3) == seconds(6));
  CHECK(Quarantine::RetryDelay(100) == seconds(6));
}

}  // namespace
}  // namespace dotterelbarrow::core::workers
