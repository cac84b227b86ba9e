// About how many workers a call for advice is.
#include "dotterelbarrow/core/advice/ask_size.h"

#include <doctest/doctest.h>

namespace dotterelbarrow::core::advice {
namespace {

// Returns how many workers with room for `slots` tasks each are asked about.
int SizeFor(std::uint32_t tasks, double share, std::int64_t slots) {
  AskSize size(tasks, share);
  int workers = 1;
  while (size.Take(slots) && workers < 1000) {
    ++workers;
  }
  return workers;
}

TEST_CASE("a call for advice names") {
  SUBCASE("a dozen workers at least") { CHECK(SizeFor(1, 0.7, 3) == 12); }
  SUBCASE("as many as should hold the step") {
    CHECK(SizeFor(20, 0.25, 3) == 40);
  }
  SUBCASE("more where workers are fuller, or fewer are allowed") {
    CHECK(SizeFor(20, 0.25, 1) == 120);
    CHECK(SizeFor(20, 0.125, 3) == 80);
  }
  SUBCASE("all that there are where none has room") {
    CHECK(SizeFor(20, 0.25, 0) == 1000);
  }
}

TEST_CASE("the part of workers that a queue's steps may use") {
  AllowedShare share;
  CHECK(share.value() == doctest::Approx(AllowedShare::kUnknown));
  SUBCASE("is learnt from a few calls") {
    for (int i = 0; i < 10; ++i) {
      share.Learn(100, 25);
    }
    CHECK(share.value() == doctest::Approx(0.25).epsilon(0.05));
  }
  SUBCASE("is hardly moved by a small one") {
    share.Learn(3, 0);
    CHECK(share.value() ==
          doctest::Approx(AllowedShare::kUnknown).epsilon(0.02));
  }
  SUBCASE("is never taken for none") {
    for (int i = 0; i < 100; ++i) {
      share.Learn(100, 0);
    }
    CHECK(share.value() == AllowedShare::kLeast);
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::advice
