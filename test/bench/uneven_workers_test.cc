// Replays the load of customer Z, with and without learnt run times.
#include <doctest/doctest.h>

#include <string>

#include "bench/experiment/experiment.h"
#include "bench/experiment/pattern.h"

namespace dotterelbarrow::bench {
namespace {

Pattern ReadUnevenWorkers() {
  base::Failure reason;
  const auto pattern = ReadPattern(
      std::string(DOTTEREL_PATTERNS) + "/uneven-workers.json", &reason);
  REQUIRE(pattern);
  return *pattern;
}

// Returns the fraction of the lookups that are not on time.
double LateLookups(const Pattern& pattern, bool uses_run_times) {
  constexpr int kSeeds = 2;
  int jobs = 0;
  int on_time = 0;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    ExperimentOptions options;
    options.seed = seed;
    options.uses_run_times = uses_run_times;
    const KindOutcome lookups = Experiment(pattern, options).Run().kinds.at(2);
    jobs += lookups.jobs;
    on_time += lookups.on_time;
  }
  return 1 - static_cast<double>(on_time) / jobs;
}

// Guards against lookups that are late because they run on slow workers. At
// least half of those must be on time, learning included.
TEST_CASE("lookups on a fleet of uneven workers") {
  const Pattern uneven = ReadUnevenWorkers();
  Pattern even = uneven;
  even.speeds.clear();
  even.spells = SlowSpells();
  const double late_on_even = LateLookups(even, true);
  const double late_without = LateLookups(uneven, false);
  const double late_with = LateLookups(uneven, true);
  CAPTURE(late_without);
  CAPTURE(late_with);
  CHECK(late_without > late_on_even + 0.03);
  CHECK(late_with - late_on_even <= (late_without - late_on_even) / 2);
}

}  // namespace
}  // namespace dotterelbarrow::bench
