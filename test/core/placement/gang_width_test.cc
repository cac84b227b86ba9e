// Tests how wide a gang may be on the workers that the advisor allows.
#include "dotterelbarrow/core/placement/gang_width.h"

#include <doctest/doctest.h>

#include <cmath>

namespace dotterelbarrow::core::placement {
namespace {

TEST_CASE("the workers that a gang may need") {
  const desired::QueueId queue("gangs");
  GangWidth width;
  SUBCASE("are half of all as long as the advisor has said nothing") {
    CHECK(width.MostUsable(queue, 300) == 150);
  }
  SUBCASE("are half of those that it usually allows") {
    for (int i = 0; i < 20; ++i) {
      width.RecordAdvice(queue, 100, i % 2 == 0 ? 20 : 30);
    }
    CHECK(width.MostUsable(queue, 400) == doctest::Approx(50));
    CHECK(width.MostUsable(desired::QueueId("other"), 300) == 150);
  }
  SUBCASE("are fewer where chance may leave less than half") {
    width.RecordAdvice(queue, 100, 25);
    // A quarter of 64, less three times the square root of 16 times 0.75.
    CHECK(width.MostUsable(queue, 64) ==
          doctest::Approx(16 - 3 * std::sqrt(12.0)));
    CHECK(width.MostUsable(queue, 8) == 0);
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::placement
