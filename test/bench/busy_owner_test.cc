// Replays the load of hundreds of hosts, for as many owners as their fleet gets
// and for an owner that is alone, whose processors can just bear it, or can't.
#include <doctest/doctest.h>

#include <string>

#include "bench/experiment/experiment.h"
#include "bench/experiment/pattern.h"
#include "bench/experiment/shards.h"

namespace dotterelbarrow::bench {
namespace {

// How many times the usual costs of its work an owner can just bear at this
// load.
constexpr double kBearableCosts = 2;

// Whether one owner manages the whole fleet, or as many as its size asks for.
enum class Division { kLoneOwner, kPlanned };

// Returns the fraction of the value that the jobs earn, with a load of some
// seconds.
double Earned(Division division, const SlowTime& slow_time,
              double counted_from_s = 0) {
  base::Failure reason;
  auto pattern = ReadPattern(
      std::string(DOTTEREL_PATTERNS) + "/hundreds-of-hosts.json", &reason);
  REQUIRE(pattern);
  pattern->seconds = 16;
  ExperimentOptions options;
  options.costs = OwnerCosts();
  options.slow_time = slow_time;
  options.counted_from_s = counted_from_s;
  double value = 0;
  double earned = 0;
  const int owners = division == Division::kPlanned ? OwnersOf(*pattern) : 1;
  for (const KindOutcome& kind :
       RunWithOwners(*pattern, options, owners).kinds) {
    value += kind.value;
    earned += kind.earned;
  }
  return earned / value;
}

SlowTime Always(double factor) {
  return {.at_s = 0, .for_s = 1000, .factor = factor};
}

void CheckHalfAsMuchAgain(Division division) {
  const double peak = Earned(division, Always(1));
  REQUIRE(peak > 0.9);
  CHECK(Earned(division, Always(1.5 * kBearableCosts)) >= 0.9 * peak / 1.5);
}

void CheckTwiceTheLoad(Division division) {
  const double peak = Earned(division, Always(1));
  CHECK(Earned(division, Always(2 * kBearableCosts)) >= 0.9 * peak / 2);
}

void CheckTooSlowForAWhile(Division division) {
  const SlowTime slow{.at_s = 2, .for_s = 6, .factor = 2 * kBearableCosts};
  const double recovered_s = slow.at_s + slow.for_s + 2;
  CHECK(Earned(division, slow, recovered_s) >=
        0.9 * Earned(division, Always(1), recovered_s));
}

// Guard against a fleet whose owners can't bear its load on hosts that are a
// third to a half as fast as usual, all the time or for a while.
TEST_CASE("a fleet with half as much load again as one owner can bear") {
  CheckHalfAsMuchAgain(Division::kPlanned);
}

TEST_CASE("a fleet with twice the load that one owner can bear") {
  CheckTwiceTheLoad(Division::kPlanned);
}

TEST_CASE("a fleet whose owners were too slow for six seconds") {
  CheckTooSlowForAWhile(Division::kPlanned);
}

// Guards against an owner whose passes cost the more the more waits, so that a
// little more load than it can bear leaves a tenth of the goodput.
TEST_CASE("an owner with half as much load again as it can bear") {
  CheckHalfAsMuchAgain(Division::kLoneOwner);
}

TEST_CASE("an owner with twice the load that it can bear") {
  CheckTwiceTheLoad(Division::kLoneOwner);
}

// Guards against a backlog that keeps the owner busy after its cause is gone.
TEST_CASE("an owner that was too slow for six seconds") {
  CheckTooSlowForAWhile(Division::kLoneOwner);
}

}  // namespace
}  // namespace dotterelbarrow::bench
