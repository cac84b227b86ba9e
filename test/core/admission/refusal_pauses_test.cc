// How often the owner is asked about an organisation's jobs beyond its share.
#include "dotterelbarrow/core/admission/refusal_pauses.h"

#include <doctest/doctest.h>

#include <random>
#include <vector>

namespace dotterelbarrow::core::admission {
namespace {

using std::chrono::milliseconds;

const base::OrganisationId kHot("hot");
constexpr std::size_t kHosts = 31;
constexpr double kWeight = 66;

struct Asked {
  int asked = 0;
  int accepted = 0;
};

// Plays the load pattern for 8 s: each millisecond a job comes to some host,
// new or again, while the share leaves room for 66 a second.
Asked PlayHotOrganisation(base::Duration pause) {
  std::mt19937 random(1);
  std::vector<RefusalPauses> hosts(kHosts);
  Asked result;
  double share = 0;
  for (int ms = 0; ms < 8000; ++ms) {
    const base::TimePoint now = base::TimePoint() + milliseconds(ms);
    share += kWeight / 1000;
    RefusalPauses& host = hosts[random() % kHosts];
    if (host.Find(kHot, now) != nullptr) {
      continue;
    }
    ++result.asked;
    if (share >= 1) {
      share -= 1;
      ++result.accepted;
    } else {
      host.Begin(kHot, {"over_share", milliseconds(2000), now + pause});
    }
  }
  return result;
}

TEST_CASE("an organisation sends fifteen times its share, with retries") {
  const Asked without = PlayHotOrganisation(base::Duration(0));
  const Asked with = PlayHotOrganisation(PauseAfterRefusal(kHosts, kWeight));
  REQUIRE(without.asked == 8000);
  SUBCASE("the owner hears of a small part of it") {
    CHECK(with.asked < without.asked / 4);
  }
  SUBCASE("and the share is used as before") {
    CHECK(with.accepted > without.accepted * 0.95);
  }
}

TEST_CASE("a pause") {
  RefusalPauses pauses;
  const base::TimePoint begun = base::TimePoint() + milliseconds(1000);
  pauses.Begin(kHot, {"over_share", milliseconds(2000),
                      begun + PauseAfterRefusal(kHosts, kWeight)});
  SUBCASE("gives the owner's reason and when to come back") {
    const RefusalPauses::Pause* pause = pauses.Find(kHot, begun);
    REQUIRE(pause != nullptr);
    CHECK(pause->reason == "over_share");
    CHECK(pause->retry_after == milliseconds(2000));
  }
  SUBCASE("ends by itself") {
    CHECK(pauses.Find(kHot, begun + milliseconds(250)) == nullptr);
  }
  SUBCASE("is that of one organisation only") {
    CHECK(pauses.Find(base::OrganisationId("school"), begun) == nullptr);
  }
  SUBCASE("of an organisation with a small weight stays short") {
    CHECK(PauseAfterRefusal(kHosts, 0.1) == milliseconds(250));
    CHECK(PauseAfterRefusal(kHosts, 0) == milliseconds(250));
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::admission
