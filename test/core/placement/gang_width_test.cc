// Tests how wide a gang may be on the workers that the advisor allows.
#include "dotterelbarrow/core/placement/gang_width.h"

#include <doctest/doctest.h>

namespace dotterelbarrow::core::placement {
namespace {

TEST_CASE("the workers that the advisor allows a step") {
  const desired::QueueId queue("gangs");
  GangWidth width;
  SUBCASE("are all of them as long as it has said nothing") {
    CHECK(width.LeastAllowed(queue, 300) == 300);
  }
  SUBCASE("are somewhat fewer than the part that it usually allows") {
    for (int i = 0; i < 20; ++i) {
      width.RecordAdvice(queue, 100, i % 2 == 0 ? 20 : 30);
    }
    // A quarter, less three times the square root of 75 times 0.75.
    CHECK(width.LeastAllowed(queue, 300) == doctest::Approx(75 - 22.5));
    CHECK(width.LeastAllowed(queue, 8) == 0);
    CHECK(width.LeastAllowed(desired::QueueId("other"), 300) == 300);
  }
  SUBCASE("are all of them if it never refuses any") {
    width.RecordAdvice(queue, 100, 100);
    CHECK(width.LeastAllowed(queue, 300) == 300);
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::placement
