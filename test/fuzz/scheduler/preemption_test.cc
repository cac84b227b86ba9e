// Replays the load for which running work is preempted: batch work fills the
// fleet all the time, and a burst of lookups arrives that are due within about
// a second. Compares the same load with and without preemption.
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <map>

#include "test/fuzz/scheduler/cell.h"

namespace dotterelbarrow::test {
namespace {

using core::jobs::JobKey;
using core::jobs::JobSpec;
using core::jobs::JobState;

constexpr std::int64_t kPassMs = 10;
constexpr int kWorkers = 20;
// More than the 320 cores of the fleet: the cap has no effect.
constexpr std::int64_t kCapCores = 1000;
constexpr std::int64_t kFillMs = 6000;
constexpr std::int64_t kBurstMs = 4000;
constexpr std::int64_t kDrainMs = 120'000;
// 8 tasks of 4 cores and 30 s each: ten jobs fill the fleet, and one every 3 s
// keeps it full. Due after 4 x 30 s + 3 s.
constexpr int kFirstBatchJobs = 10;
constexpr std::int64_t kBatchMs = 30'000;
constexpr std::int64_t kBatchEveryMs = 3000;
constexpr std::int64_t kBatchDueMs = 123'000;
// 2 tasks of 5 cores and 0.6 s each: 4.3 jobs per second need another 8% of the
// fleet, as the bursts of customer K do (1.7 times the usual load, for 3 to 4
// s). Due after 1.5 x 0.6 s + 0.25 s.
constexpr std::int64_t kLookupEveryMs = 230;
constexpr std::int64_t kLookupDueMs = 1150;

JobSpec SpecOf(std::uint32_t tasks, std::int64_t cores, std::int64_t ms,
               bool checkpoints) {
  core::jobs::StepSpec step;
  step.tasks = tasks;
  step.needs.cpu = base::Millicores(cores * 1000);
  step.estimate = std::chrono::milliseconds(ms);
  step.checkpoints = checkpoints;
  JobSpec spec;
  spec.steps.push_back(step);
  return spec;
}

struct Results {
  int lookups = 0;
  int lookups_on_time = 0;
  int batch = 0;
  int batch_on_time = 0;
  std::size_t preemptions = 0;
  std::size_t violations = 0;
};

Results Replay(core::placement::PreemptionSettings preemption) {
  Cell cell(3, kWorkers, kCapCores, preemption);
  cell.faults.runs_failing = 0;
  cell.runs_as_estimated = true;
  cell.Run(1000);
  struct Submitted {
    std::int64_t at_ms = 0;
    bool is_lookup = false;
  };
  std::map<JobKey, Submitted> open;
  Results results;
  for (std::int64_t ms = 0; ms < kFillMs + kBurstMs + kDrainMs; ms += kPassMs) {
    const int batch_jobs = ms == 0                   ? kFirstBatchJobs
                           : ms % kBatchEveryMs == 0 ? 1
                                                     : 0;
    for (int i = 0; i < batch_jobs && ms < kFillMs + kBurstMs; ++i) {
      ++results.batch;
      open[cell.Submit(SpecOf(8, 4, kBatchMs, true), "batch")] = {cell.now_ms(),
                                                                  false};
    }
    if (ms >= kFillMs && ms < kFillMs + kBurstMs && ms % kLookupEveryMs == 0) {
      ++results.lookups;
      open[cell.Submit(SpecOf(2, 5, 600, false), "lookups")] = {cell.now_ms(),
                                                                true};
    }
    cell.Run(kPassMs);
    std::erase_if(open, [&](const auto& entry) {
      if (cell.StateOf(entry.first) != JobState::kCompleted) {
        return false;
      }
      const std::int64_t took_ms = cell.now_ms() - entry.second.at_ms;
      if (entry.second.is_lookup) {
        results.lookups_on_time += took_ms <= kLookupDueMs ? 1 : 0;
      } else {
        results.batch_on_time += took_ms <= kBatchDueMs ? 1 : 0;
      }
      return true;
    });
  }
  results.preemptions = cell.preemptions();
  results.violations = cell.broken().size();
  return results;
}

// Guards against lookups that are late behind batch work that could wait, and
// against batch work that makes no progress in a burst.
TEST_CASE("a burst of lookups in a fleet that batch work fills") {
  const Results with = Replay(Cell::kPreemption);
  const Results without = Replay({});
  MESSAGE("lookups on time: ", with.lookups_on_time, " of ", with.lookups,
          ", without preemption ", without.lookups_on_time);
  MESSAGE("batch on time: ", with.batch_on_time, " of ", with.batch,
          ", without preemption ", without.batch_on_time, "; ",
          with.preemptions, " runs preempted");
  CHECK(with.violations == 0);
  CHECK(without.violations == 0);
  CHECK(without.preemptions == 0);
  CHECK(with.preemptions > 0);
  CHECK(without.lookups_on_time < without.lookups);
  CHECK(with.lookups_on_time == with.lookups);
  CHECK(with.batch_on_time == with.batch);
}

// Guards against batch work that is stopped all the time in a burst of several
// times the size of the fleet.
TEST_CASE("a burst far beyond the capacity of the fleet") {
  Cell cell(5, kWorkers, kCapCores);
  cell.faults.runs_failing = 0;
  cell.runs_as_estimated = true;
  cell.Run(1000);
  for (int i = 0; i < kFirstBatchJobs; ++i) {
    cell.Submit(SpecOf(8, 4, kBatchMs, true), "batch");
  }
  cell.Run(kFillMs);
  for (std::int64_t ms = 0; ms < kBurstMs; ms += kPassMs) {
    cell.Submit(SpecOf(2, 5, 600, false), "lookups");
    cell.Run(kPassMs);
  }
  // 80 runs: a tenth of them per second, a second's worth at the beginning, and
  // the rest of the last plan.
  constexpr std::int64_t kRunsPerSecond = 8;
  constexpr std::int64_t kRunsPerPlan = 4;
  CHECK(cell.preemptions() > 0);
  CHECK(cell.preemptions() <=
        kRunsPerSecond * (1 + kBurstMs / 1000) + kRunsPerPlan);
  CHECK(cell.broken().empty());
}

}  // namespace
}  // namespace dotterelbarrow::test
