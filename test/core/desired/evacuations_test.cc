// Tests that answers which arrive out of order don't bring back an older set of
// evacuated zones.
#include "dotterelbarrow/core/desired/evacuations.h"

#include <doctest/doctest.h>

namespace dotterelbarrow::core::desired {
namespace {

using Zones = std::set<base::AvailabilityZone>;
using Version = base::RowVersion;

const base::AvailabilityZone kZone("z0");
const base::AvailabilityZone kOtherZone("z1");

TEST_CASE("Evacuations") {
  Evacuations evacuations;
  REQUIRE(evacuations.OnRead({kZone}, Version(5)));

  SUBCASE("ignore a read and changes older than the last read") {
    CHECK_FALSE(evacuations.OnRead({}, Version(4)));
    CHECK_FALSE(evacuations.OnChange(kZone, false, Version(3)));
    CHECK(evacuations.zones() == Zones{kZone});
  }
  SUBCASE("ignore a read older than a change") {
    CHECK(evacuations.OnChange(kZone, false, Version(7)));
    CHECK_FALSE(evacuations.OnRead({kZone}, Version(6)));
    CHECK(evacuations.zones().empty());
  }
  SUBCASE("ignore a read older than an answer without changes") {
    evacuations.AdvanceTo(Version(8));
    CHECK_FALSE(evacuations.OnRead({kOtherZone}, Version(7)));
    CHECK(evacuations.OnRead({kOtherZone}, Version(8)));
  }
  SUBCASE("report only what changes the zones") {
    CHECK_FALSE(evacuations.OnChange(kZone, true, Version(6)));
    CHECK(evacuations.OnChange(kOtherZone, true, Version(7)));
    CHECK(evacuations.zones() == Zones{kZone, kOtherZone});
  }
  SUBCASE("apply changes whose versions the store doesn't tell") {
    CHECK(evacuations.OnChange(kZone, false, Version()));
    CHECK(evacuations.zones().empty());
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::desired
