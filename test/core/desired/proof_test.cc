// How old the proof of a desired state is.
#include "dotterelbarrow/core/desired/proof.h"

#include <doctest/doctest.h>

namespace dotterelbarrow::core::desired {
namespace {

using base::ConfigVersion;
using std::chrono::milliseconds;

base::TimePoint At(int ms) { return base::TimePoint(milliseconds(ms)); }

TEST_CASE("the proof of a desired state") {
  Proof proof;
  CHECK_FALSE(proof.Age(At(0)));

  SUBCASE("is as old as the read that showed it") {
    proof.OnRead(At(100));
    CHECK(proof.Age(At(700)) == milliseconds(600));
    CHECK(proof.SinceRead(At(700)) == milliseconds(600));
  }
  SUBCASE("of a host that the store turns away") {
    proof.OnRead(At(100));
    SUBCASE("is renewed by another host's of the same version") {
      proof.OnRelayed(ConfigVersion(7), ConfigVersion(7), At(5000),
                      milliseconds(300));
      CHECK(proof.Age(At(5100)) == milliseconds(400));
      CHECK(proof.SinceRead(At(5100)) == milliseconds(5000));
    }
    SUBCASE("isn't by one of another version") {
      proof.OnRelayed(ConfigVersion(7), ConfigVersion(8), At(5000),
                      milliseconds(300));
      CHECK(proof.Age(At(5100)) == milliseconds(5000));
    }
    SUBCASE("isn't made older by an old one") {
      proof.OnRelayed(ConfigVersion(7), ConfigVersion(7), At(500),
                      milliseconds(4000));
      CHECK(proof.Age(At(600)) == milliseconds(500));
    }
    SUBCASE("is never of later than the call that asked") {
      proof.OnRelayed(ConfigVersion(7), ConfigVersion(7), At(5000),
                      milliseconds(-2000));
      CHECK(proof.Age(At(5000)) == milliseconds(0));
    }
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::desired
