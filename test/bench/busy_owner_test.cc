// Replays the load of hundreds of hosts for an owner whose processor can just
// bear it, or can't.
#include <doctest/doctest.h>

#include <string>

#include "bench/experiment/experiment.h"
#include "bench/experiment/pattern.h"

namespace dotterelbarrow::bench {
namespace {

// How many times the usual costs of its work an owner can just bear at this
// load.
constexpr double kBearableCosts = 2;

// Returns the fraction of the value that the jobs earn, with a load of some
// seconds.
double Earned(const SlowTime& slow_time, double counted_from_s = 0) {
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
  for (const KindOutcome& kind : Experiment(*pattern, options).Run().kinds) {
    value += kind.value;
    earned += kind.earned;
  }
  return earned / value;
}

SlowTime Always(double factor) {
  return {.at_s = 0, .for_s = 1000, .factor = factor};
}

// Guards against an owner whose passes cost the more the more waits, so that a
// little more load than it can bear leaves a tenth of the goodput.
TEST_CASE("an owner with half as much load again as it can bear") {
  const double peak = Earned(Always(1));
  REQUIRE(peak > 0.9);
  CHECK(Earned(Always(1.5 * kBearableCosts)) >= 0.9 * peak / 1.5);
}

TEST_CASE("an owner with twice the load that it can bear") {
  const double peak = Earned(Always(1));
  CHECK(Earned(Always(2 * kBearableCosts)) >= 0.9 * peak / 2);
}

// Guards against a backlog that keeps the owner busy after its cause is gone.
TEST_CASE("an owner that was too slow for six seconds") {
  const SlowTime slow{.at_s = 2, .for_s = 6, .factor = 2 * kBearableCosts};
  const double recovered_s = slow.at_s + slow.for_s + 2;
  CHECK(Earned(slow, recovered_s) >= 0.9 * Earned(Always(1), recovered_s));
}

}  // namespace
}  // namespace dotterelbarrow::bench
