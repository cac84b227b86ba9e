// Tests of whether a host serves calls after losing contact with the store or
// the owner.
#include "dotterelbarrow/core/admission/reach.h"

#include <doctest/doctest.h>

namespace dotterelbarrow::core::admission {
namespace {

using std::chrono::milliseconds;

TEST_CASE("an entry host in the cell") {
  ReachInput input{.store_heard = milliseconds(300),
                   .owner_heard = milliseconds(200),
                   .proof = milliseconds(300)};
  REQUIRE(ReachPolicy::Decide(input) == Reach::kFull);

  SUBCASE("loses the store alone") {
    input.store_heard = milliseconds(8000);
    SUBCASE("and continues to serve on the owner's confirmation") {
      input.proof = milliseconds(900);
      CHECK(ReachPolicy::Decide(input) == Reach::kFull);
    }
    SUBCASE("and waits if the owner's confirmation is too old as well") {
      input.proof = milliseconds(1600);
      CHECK(ReachPolicy::Decide(input) == Reach::kWaiting);
    }
  }
  SUBCASE("loses the owner alone: another host will own the cell") {
    input.owner_heard = milliseconds(1800);
    CHECK(ReachPolicy::Decide(input) == Reach::kWaiting);
  }
  SUBCASE("loses both, so that callers should use other hosts") {
    input.store_heard = milliseconds(1100);
    input.owner_heard = milliseconds(1100);
    CHECK(ReachPolicy::Decide(input) == Reach::kCutOff);
  }
  SUBCASE("has had no contact since its start") {
    CHECK(ReachPolicy::Decide({}) == Reach::kCutOff);
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::admission
