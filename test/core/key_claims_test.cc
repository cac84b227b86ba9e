// Tests of the manager's claims of idempotency keys when messages arrive late
// or twice.
#include <doctest/doctest.h>

#include <vector>

#include "test/core/manager_fixture.h"

namespace dotterelbarrow::core {
namespace {

using Statuses = std::vector<ClaimStatus>;

TEST_CASE("a key is claimed by one request at a time") {
  Manager m;
  REQUIRE(m.ClaimAndRun("e1", 1) == Statuses{ClaimStatus::kClaimed});
  CHECK(m.ClaimAndRun("e2", 1) == Statuses{ClaimStatus::kDuplicate});

  SUBCASE("a copy of the claim gets the same answer") {
    CHECK(m.ClaimAndRun("e1", 1) == Statuses{ClaimStatus::kClaimed});
    SUBCASE("but no answer once the request has ended") {
      m.Resolve("e1", 1, Outcome::kDone);
      CHECK(m.ClaimAndRun("e1", 1).empty());
    }
  }
  SUBCASE("if the request was not run, another may claim the key") {
    m.Resolve("e1", 1, Outcome::kNotRun);
    SUBCASE("and a late copy of the first resolution doesn't release it") {
      REQUIRE(m.ClaimAndRun("e2", 1) == Statuses{ClaimStatus::kClaimed});
      m.Resolve("e1", 1, Outcome::kNotRun);
      CHECK(m.ClaimAndRun("e3", 1) == Statuses{ClaimStatus::kDuplicate});
    }
    SUBCASE("not even if the same entry host has claimed it again") {
      REQUIRE(m.ClaimAndRun("e1", 2) == Statuses{ClaimStatus::kClaimed});
      m.Resolve("e1", 1, Outcome::kNotRun);
      CHECK(m.ClaimAndRun("e3", 1) == Statuses{ClaimStatus::kDuplicate});
    }
  }
}

TEST_CASE("a copy of a claim arrives while the first is being recorded") {
  Manager m;
  m.Claim("e1", 1);
  CHECK(m.ClaimAndRun("e1", 1) == Statuses{ClaimStatus::kClaimed});
}

}  // namespace
}  // namespace dotterelbarrow::core
