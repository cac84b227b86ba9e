// Tests how much of a cap is kept free for urgent work.
#include "dotterelbarrow/core/placement/cap_headroom.h"

#include <doctest/doctest.h>

namespace dotterelbarrow::core::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::OrganisationId kSchool("school");

base::Resources Cores(std::int64_t cores) {
  base::Resources resources;
  resources.cpu = base::Millicores(cores * 1000);
  return resources;
}

TEST_CASE("urgent jobs that use ten cores on the mean") {
  CapHeadroom headroom;
  base::TimePoint now{seconds(100)};
  // Four jobs a second, each of five cores for half a second.
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(250);
    headroom.RecordUrgent(kSchool, Cores(5), milliseconds(500), now);
  }
  const auto cores = [&](std::int64_t cap) {
    return headroom.HeadroomOf(kSchool, Cores(cap), now).cpu.value() / 1000;
  };
  SUBCASE("get half as much again, since they arrive unevenly") {
    CHECK(cores(100) >= 14);
    CHECK(cores(100) <= 16);
  }
  SUBCASE("get at most half of a small cap") { CHECK(cores(20) == 10); }
  SUBCASE("need no headroom without a cap") { CHECK(cores(0) == 0); }
  SUBCASE("get less and less once they have stopped") {
    now += CapHeadroom::kTimeConstant;
    CHECK(cores(100) >= 5);
    CHECK(cores(100) <= 6);
    now += 10 * CapHeadroom::kTimeConstant;
    CHECK(cores(100) == 0);
  }
  SUBCASE("of another organisation change nothing") {
    CHECK(headroom.HeadroomOf(base::OrganisationId("other"), Cores(100), now)
              .cpu.value() == 0);
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::placement
