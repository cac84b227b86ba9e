// Tests the containment of crashes under the load that it is meant for: a part
// of one queue's jobs crash their workers, several a second.
#include "dotterelbarrow/core/placement/crash_containment.h"

#include <doctest/doctest.h>

#include <chrono>

namespace dotterelbarrow::core::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const desired::QueueId kLookups("lookups");
const desired::QueueId kBatch("batch");
constexpr base::TimePoint kStart{seconds(100)};
constexpr std::size_t kWorkers = 48;

TEST_CASE("workers are lost under tasks of one queue") {
  CrashContainment containment;
  containment.RecordLoss({kLookups}, kStart);

  SUBCASE("the first one may be chance") {
    CHECK_FALSE(containment.IsOnAlert(kLookups, kStart));
  }
  SUBCASE("the second one puts the queue on alert") {
    containment.RecordLoss({kLookups}, kStart + seconds(1));
    CHECK(containment.IsOnAlert(kLookups, kStart + seconds(1)));
    CHECK_FALSE(containment.IsOnAlert(kBatch, kStart + seconds(1)));

    SUBCASE("until nothing has happened for a while") {
      CHECK_FALSE(containment.IsOnAlert(
          kLookups, kStart + seconds(2) + CrashContainment::kAlertDuration));
    }
  }
  SUBCASE("many at the same moment have a cause of their own") {
    for (int i = 0; i < 10; ++i) {
      containment.RecordLoss({kLookups}, kStart + milliseconds(10 * i));
    }
    CHECK_FALSE(containment.IsOnAlert(kLookups, kStart + milliseconds(100)));
  }
  SUBCASE("it doesn't count if another queue's task may have caused it") {
    containment.RecordLoss({kLookups, kBatch}, kStart + seconds(1));
    CHECK_FALSE(containment.IsOnAlert(kLookups, kStart + seconds(1)));
    CHECK_FALSE(containment.IsOnAlert(kBatch, kStart + seconds(1)));
  }
  SUBCASE("a proof puts the queue on alert at once, and sets a precedent") {
    CHECK_FALSE(containment.HasProof(kLookups, kStart));
    containment.RecordProof(kLookups, milliseconds(0), kStart);
    CHECK(containment.IsOnAlert(kLookups, kStart));
    CHECK(containment.HasProof(kLookups, kStart));
    CHECK_FALSE(containment.HasProof(kBatch, kStart));
  }
}

TEST_CASE("how soon deadly tasks crash their workers") {
  CrashContainment containment;
  CHECK(containment.suspect_gap() == workers::kSuspectAge);
  containment.RecordProof(kLookups, milliseconds(-30), kStart);
  CHECK(containment.suspect_gap() == workers::kSuspectAge);
  containment.RecordProof(kLookups, milliseconds(10), kStart);
  CHECK(containment.suspect_gap() == workers::kMinSuspectGap);

  SUBCASE("the slowest of them counts") {
    containment.RecordProof(kLookups, milliseconds(60), kStart);
    containment.RecordProof(kLookups, milliseconds(10), kStart);
    CHECK(containment.suspect_gap() == milliseconds(120));
  }
}

TEST_CASE("suspects that are nearly certain to crash another worker") {
  CrashContainment containment;
  containment.BeginPass(kWorkers, 0.8);
  base::TimePoint now = kStart;
  const auto start_all = [&] {
    int started = 0;
    while (containment.MayExposeToSuspect(now)) {
      containment.RecordSuspectStart(now);
      ++started;
    }
    return started;
  };

  SUBCASE("take a sixth of a busy fleet at a time") {
    CHECK(start_all() == kWorkers / 6);
  }
  SUBCASE("wait as long as that many workers are missing") {
    for (std::size_t i = 0; i < kWorkers / 6; ++i) {
      containment.RecordLoss({kLookups}, now);
    }
    CHECK(start_all() == 0);
    now += CrashContainment::kWorkerDowntime;
    CHECK(start_all() == kWorkers / 6);
  }
  SUBCASE("may use all of the idle part of an idle fleet") {
    containment.BeginPass(kWorkers, 0.25);
    CHECK(start_all() == kWorkers * 3 / 4);
  }
  SUBCASE("are tried one at a time in the smallest fleet") {
    containment.BeginPass(1, 1.0);
    CHECK(start_all() == 1);
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::placement
