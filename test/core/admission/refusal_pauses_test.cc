// Tests of how many of an organisation's jobs beyond its share are forwarded to
// the owner.
#include "dotterelbarrow/core/admission/refusal_pauses.h"

#include <doctest/doctest.h>

#include <random>
#include <vector>

namespace dotterelbarrow::core::admission {
namespace {

using std::chrono::milliseconds;

const base::OrganisationId kHot("hot");
const desired::QueueId kGangs("gangs");
constexpr std::size_t kHosts = 31;
constexpr double kWeight = 66;

struct Totals {
  int forwarded = 0;
  int accepted = 0;
};

// Simulates the load pattern for 8 s: every millisecond a new or retried job
// arrives at a random host, while the share allows 66 jobs per second.
Totals SimulateHotOrganisation(base::Duration pause) {
  std::mt19937 random(1);
  std::vector<RefusalPauses> hosts(kHosts);
  Totals result;
  double allowance = 0;
  for (int ms = 0; ms < 8000; ++ms) {
    const base::TimePoint now = base::TimePoint() + milliseconds(ms);
    allowance += kWeight / 1000;
    RefusalPauses& host = hosts[random() % kHosts];
    if (host.Find(kHot, kGangs, now) != nullptr) {
      continue;
    }
    ++result.forwarded;
    if (allowance >= 1) {
      allowance -= 1;
      ++result.accepted;
    } else {
      host.Begin(kHot, kGangs, {"over_share", milliseconds(2000), now + pause});
    }
  }
  return result;
}

TEST_CASE("an organisation submits fifteen times its share, with retries") {
  const Totals without_pause = SimulateHotOrganisation(base::Duration(0));
  const Totals with_pause =
      SimulateHotOrganisation(PauseAfterRefusal(kHosts, kWeight));
  REQUIRE(without_pause.forwarded == 8000);
  SUBCASE("the owner receives less than a quarter of the jobs") {
    CHECK(with_pause.forwarded < without_pause.forwarded / 4);
  }
  SUBCASE("and at least 95% of the share is still used") {
    CHECK(with_pause.accepted > without_pause.accepted * 0.95);
  }
}

TEST_CASE("a pause") {
  RefusalPauses pauses;
  const base::TimePoint begun = base::TimePoint() + milliseconds(1000);
  pauses.Begin(kHot, kGangs,
               {"over_share", milliseconds(2000),
                begun + PauseAfterRefusal(kHosts, kWeight)});
  SUBCASE("returns the owner's reason and the delay before a retry") {
    const RefusalPauses::Pause* pause = pauses.Find(kHot, kGangs, begun);
    REQUIRE(pause != nullptr);
    CHECK(pause->reason == "over_share");
    CHECK(pause->retry_after == milliseconds(2000));
  }
  SUBCASE("ends after its duration") {
    CHECK(pauses.Find(kHot, kGangs, begun + milliseconds(250)) == nullptr);
  }
  SUBCASE("applies to one organisation only") {
    CHECK(pauses.Find(base::OrganisationId("school"), kGangs, begun) ==
          nullptr);
  }
  // Guards against lookups that a host refuses after the refusal of a gang,
  // although there is free capacity for them.
  SUBCASE("applies to one queue only") {
    CHECK(pauses.Find(kHot, desired::QueueId("lookups"), begun) == nullptr);
  }
  SUBCASE("has an upper bound for organisations with a small weight") {
    CHECK(PauseAfterRefusal(kHosts, 0.1) == milliseconds(250));
    CHECK(PauseAfterRefusal(kHosts, 0) == milliseconds(250));
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::admission
