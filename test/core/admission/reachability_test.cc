// Tests of whether a host serves calls after losing contact with the store or
// the owner.
#include "dotterelbarrow/core/admission/reachability.h"

#include <doctest/doctest.h>

namespace dotterelbarrow::core::admission {
namespace {

using std::chrono::milliseconds;

TEST_CASE("an entry host in the cell") {
  ReachabilityInput input{.store_contact_age = milliseconds(300),
                          .owner_contact_age = milliseconds(200),
                          .confirmation_age = milliseconds(300)};
  REQUIRE(ReachabilityPolicy::Decide(input) == Reachability::kFull);

  SUBCASE("loses the store alone") {
    input.store_contact_age = milliseconds(8000);
    SUBCASE("and continues to serve on the owner's confirmation") {
      input.confirmation_age = milliseconds(900);
      CHECK(ReachabilityPolicy::Decide(input) == Reachability::kFull);
    }
    SUBCASE("and waits if the owner's confirmation is too old as well") {
      input.confirmation_age = milliseconds(1600);
      CHECK(ReachabilityPolicy::Decide(input) == Reachability::kUnavailable);
    }
  }
  SUBCASE("loses the owner alone: another host will own the cell") {
    input.owner_contact_age = milliseconds(1800);
    CHECK(ReachabilityPolicy::Decide(input) == Reachability::kUnavailable);
  }
  SUBCASE("loses both, so that callers should use other hosts") {
    input.store_contact_age = milliseconds(1100);
    input.owner_contact_age = milliseconds(1100);
    CHECK(ReachabilityPolicy::Decide(input) == Reachability::kIsolated);
  }
  SUBCASE("has had no contact since its start") {
    CHECK(ReachabilityPolicy::Decide({}) == Reachability::kIsolated);
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::admission
