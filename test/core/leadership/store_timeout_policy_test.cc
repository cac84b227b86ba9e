// Tests of how long an owner waits for a store that doesn't answer its write.
#include "dotterelbarrow/core/leadership/store_timeout_policy.h"

#include <doctest/doctest.h>

namespace dotterelbarrow::core::leadership {
namespace {

using std::chrono::milliseconds;

TEST_CASE("an owner whose write isn't answered") {
  StoreHealth signs{.write_age = milliseconds(140),
                    .read_latency = milliseconds(5)};
  CHECK_FALSE(StoreTimeoutPolicy::ShouldOfferHandOver(signs));

  SUBCASE("has its write rejected, or its connections break") {
    signs.has_failed = true;
    CHECK_FALSE(StoreTimeoutPolicy::ShouldOfferHandOver(signs));
    signs.write_age = milliseconds(160);
    CHECK(StoreTimeoutPolicy::ShouldOfferHandOver(signs));
    SUBCASE("and refuses new work only later, if no host took over the cell") {
      CHECK_FALSE(StoreTimeoutPolicy::ShouldRefuseNewWork(signs));
      signs.write_age = milliseconds(400);
      CHECK(StoreTimeoutPolicy::ShouldRefuseNewWork(signs));
    }
  }
  SUBCASE("offers the cell if a concurrent read is not answered either") {
    signs.write_age = milliseconds(850);
    signs.oldest_read = milliseconds(700);
    CHECK(StoreTimeoutPolicy::ShouldOfferHandOver(signs));
  }
  SUBCASE("keeps the cell while the store is sixty times as slow") {
    signs.read_latency = milliseconds(460);
    signs.oldest_read = milliseconds(400);
    for (const int age : {300, 600, 1000, 1600}) {
      signs.write_age = milliseconds(age);
      CHECK_FALSE(StoreTimeoutPolicy::ShouldOfferHandOver(signs));
      CHECK_FALSE(StoreTimeoutPolicy::ShouldRefuseNewWork(signs));
    }
  }
  SUBCASE("keeps the cell at the first slow write, before a read was slow") {
    signs.write_age = milliseconds(700);
    signs.oldest_read = milliseconds(480);
    CHECK_FALSE(StoreTimeoutPolicy::ShouldOfferHandOver(signs));
  }
  SUBCASE("offers the cell after 2 s, however slow the store is") {
    signs.write_age = milliseconds(2000);
    signs.oldest_read = milliseconds(450);
    CHECK(StoreTimeoutPolicy::ShouldOfferHandOver(signs));
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::leadership
