// Tests of the age of a desired state's confirmation.
#include "dotterelbarrow/core/desired/confirmation.h"

#include <doctest/doctest.h>

namespace dotterelbarrow::core::desired {
namespace {

using base::ConfigVersion;
using std::chrono::milliseconds;

base::TimePoint At(int ms) { return base::TimePoint(milliseconds(ms)); }

TEST_CASE("the confirmation of a desired state") {
  Confirmation confirmation;
  CHECK_FALSE(confirmation.Age(At(0)));

  SUBCASE("is as old as the read that gave it") {
    confirmation.OnRead(At(100));
    CHECK(confirmation.Age(At(700)) == milliseconds(600));
    CHECK(confirmation.TimeSinceRead(At(700)) == milliseconds(600));
  }
  SUBCASE("of a host that the store rejects") {
    confirmation.OnRead(At(100));
    SUBCASE("is renewed by another host's confirmation of the same version") {
      confirmation.OnPeerVersion(ConfigVersion(7), ConfigVersion(7), At(5000),
                                 milliseconds(300));
      CHECK(confirmation.Age(At(5100)) == milliseconds(400));
      CHECK(confirmation.TimeSinceRead(At(5100)) == milliseconds(5000));
    }
    SUBCASE("isn't renewed by a confirmation of another version") {
      confirmation.OnPeerVersion(ConfigVersion(7), ConfigVersion(8), At(5000),
                                 milliseconds(300));
      CHECK(confirmation.Age(At(5100)) == milliseconds(5000));
    }
    SUBCASE("isn't made older by another host's older confirmation") {
      confirmation.OnPeerVersion(ConfigVersion(7), ConfigVersion(7), At(500),
                                 milliseconds(4000));
      CHECK(confirmation.Age(At(600)) == milliseconds(500));
    }
    SUBCASE("is never later than the call that asked for it") {
      confirmation.OnPeerVersion(ConfigVersion(7), ConfigVersion(7), At(5000),
                                 milliseconds(-2000));
      CHECK(confirmation.Age(At(5000)) == milliseconds(0));
    }
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::desired
