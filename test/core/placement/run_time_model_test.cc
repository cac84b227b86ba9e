// Learning the speeds of workers and the run times of queues' tasks.
#include "dotterelbarrow/core/placement/run_time_model.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cmath>
#include <cstdint>
#include <map>
#include <random>
#include <vector>

#include "dotterelbarrow/core/placement/speed_preference.h"

namespace dotterelbarrow::core::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const desired::QueueId kQueue("lookups");
constexpr std::uint32_t kTasksPerStep = 6;
constexpr double kTaskSeconds = 0.7;

// Workers that end two runs a second each, of steps with six tasks, under the
// load of customer Z: tasks of a step vary by 25%, jobs by more, estimates are
// up to 45% too low and 90% too high, and 3% of the runs take 7 times as long.
class SimulatedFleet {
 public:
  // The first `slow` workers take 1.6 times as long, and the next `fast` ones
  // 0.6 times.
  SimulatedFleet(std::uint64_t workers, std::uint64_t slow, std::uint64_t fast,
                 std::uint32_t seed)
      : random_(seed) {
    for (std::uint64_t i = 0; i < workers; ++i) {
      factors_.push_back(i < slow ? 1.6 : (i < slow + fast ? 0.6 : 1.0));
    }
  }

  double long_share = 0.03;

  void Run(base::Duration duration) {
    const base::TimePoint end = now_ + duration;
    const auto step_interval = std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(
            kTasksPerStep / (2.0 * static_cast<double>(factors_.size()))));
    for (; now_ < end; now_ += step_interval) {
      StartStep();
      while (!ends_.empty() && ends_.begin()->first <= now_) {
        const auto& [end, sample] = *ends_.begin();
        model.RecordRun(sample, end);
        observed_ends_ += sample.worker.value() == observed_ &&
                                  end - sample.run_time >= observed_since_
                              ? 1
                              : 0;
        ends_.erase(ends_.begin());
      }
    }
  }
  // Changes the factor of the worker, and runs until `runs` runs have ended
  // there that were started since.
  void ChangeAndRun(std::uint64_t worker, double factor, int runs) {
    factors_[worker] = factor;
    observed_ = worker;
    observed_since_ = now_;
    observed_ends_ = 0;
    while (observed_ends_ < runs) {
      Run(milliseconds(10));
    }
  }
  // Records one run of a step of its own, which takes `factor` times as long
  // as its estimate says.
  void RecordSingleRun(std::uint64_t worker, double factor) {
    now_ += milliseconds(100);
    model.RecordRun({.worker = workers::WorkerNumber(worker),
                     .queue = kQueue,
                     .task = {{jobs::JobKey(++last_job_), 0, 0}, 0},
                     .estimate = seconds(1),
                     .run_time = milliseconds(std::llround(1000 * factor))},
                    now_);
  }
  bool IsSlow(std::uint64_t worker) const {
    return WastesGang(model.SlownessOf(workers::WorkerNumber(worker)));
  }
  base::TimePoint now() const { return now_; }

  RunTimeModel model;

 private:
  double Uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  void StartStep() {
    const jobs::JobKey job(++last_job_);
    const double work = kTaskSeconds * Uniform(0.4, 1.6);
    const double estimate = work * Uniform(0.55, 1.9);
    for (std::uint32_t i = 0; i < kTasksPerStep; ++i) {
      const auto worker = static_cast<std::size_t>(
          Uniform(0, static_cast<double>(factors_.size())));
      const double noise =
          std::exp(std::normal_distribution<double>(0, 0.25)(random_));
      const std::chrono::duration<double> run_time(
          work * factors_[worker] * noise *
          (Uniform(0, 1) < long_share ? 7 : 1));
      const RunSample sample{
          .worker = workers::WorkerNumber(worker),
          .queue = kQueue,
          .task = {{job, 0, 0}, i},
          .estimate = std::chrono::duration_cast<base::Duration>(
              std::chrono::duration<double>(estimate)),
          .run_time = std::chrono::duration_cast<base::Duration>(run_time)};
      ends_.emplace(now_ + sample.run_time, sample);
    }
  }

  std::mt19937 random_;
  std::vector<double> factors_;
  std::uint64_t observed_ = 0;
  base::TimePoint observed_since_;
  int observed_ends_ = 0;
  base::TimePoint now_ = base::TimePoint(seconds(100));
  std::uint64_t last_job_ = 0;
  std::multimap<base::TimePoint, RunSample> ends_;
};

// Guards against decisions that differ from those without the model although
// nothing is known.
TEST_CASE("run times of which nothing is recorded") {
  const RunTimeModel model;
  CHECK(model.SlownessOf(workers::WorkerNumber(7)) == 1);
  CHECK(model.ExpectedRunTime(kQueue, milliseconds(730)) == milliseconds(730));
  CHECK(model.HighRunTime(kQueue, milliseconds(730)) == milliseconds(1460));
  CHECK_FALSE(model.has_uneven_workers());
  CHECK_FALSE(model.IsKnown(kQueue));
}

// Guards against speeds that are learnt too late for a short burst of load, or
// taken from noise. A worker is misplaced if its estimate is on the wrong side
// of 1.25: then lookups run there late, or gangs avoid it. Five seconds of load
// give ten runs on each worker. One misplaced slow worker in ten leaves two
// lookups in a hundred on one; one typical worker in fifty is spare capacity.
TEST_CASE("a fleet with workers of three speeds is learnt in five seconds") {
  constexpr std::uint64_t kWorkers = 200;
  constexpr std::uint64_t kSlow = 40;
  for (const std::uint32_t seed : {1U, 2U, 3U}) {
    CAPTURE(seed);
    SimulatedFleet fleet(kWorkers, kSlow, kSlow, seed);
    fleet.Run(seconds(6));
    std::uint64_t slow_found = 0;
    std::uint64_t others_wrong = 0;
    for (std::uint64_t i = 0; i < kWorkers; ++i) {
      (i < kSlow ? slow_found : others_wrong) += fleet.IsSlow(i) ? 1 : 0;
    }
    CHECK(slow_found >= kSlow * 9 / 10);
    CHECK(others_wrong <= (kWorkers - kSlow) / 50);
  }
}

// Guards against a slow worker that seems typical because packing puts all
// tasks of a step there, so that they are compared with each other. Ten such
// steps are as much as the ten runs that a worker ends in five seconds.
TEST_CASE("all tasks of a step on one worker") {
  constexpr std::uint64_t kPacked = 60;
  SimulatedFleet fleet(50, 0, 0, 1);
  fleet.Run(seconds(15));
  const base::Duration run_time =
      fleet.model.ExpectedRunTime(kQueue, milliseconds(700)) * 8 / 5;
  for (std::uint32_t i = 0; i < 50; ++i) {
    fleet.model.RecordRun(
        {.worker = workers::WorkerNumber(kPacked),
         .queue = kQueue,
         .task = {{jobs::JobKey(1'000'000 + i / 5), 0, 0}, i % 5},
         .estimate = milliseconds(700),
         .run_time = run_time},
        fleet.now());
  }
  CHECK(fleet.IsSlow(kPacked));
}

// Guards against a task that takes 7 times as long making its worker slow.
TEST_CASE("a long task on one worker") {
  SimulatedFleet fleet(50, 0, 0, 1);
  fleet.long_share = 0;
  fleet.Run(seconds(6));
  REQUIRE_FALSE(fleet.IsSlow(3));
  fleet.RecordSingleRun(3, 7);
  CHECK_FALSE(fleet.IsSlow(3));
  SUBCASE("and on a worker of which little else is known") {
    fleet.RecordSingleRun(60, 1);
    fleet.RecordSingleRun(60, 7);
    CHECK_FALSE(fleet.IsSlow(60));
  }
}

// Guards against two long tasks among the first five runs of a worker making it
// slow.
TEST_CASE("long tasks among few runs") {
  WorkerSpeed speed;
  const base::TimePoint start(seconds(100));
  // The precision of a run whose step has several others.
  constexpr double kWeight = 12;
  constexpr double kLong = 1.95;
  for (const double log_slowness : {0.0, kLong, 0.0, kLong, 0.0}) {
    speed.Replace({}, speed.Clip({log_slowness, kWeight}), {start, start},
                  start);
  }
  CHECK_FALSE(WastesGang(std::exp(speed.log_slowness())));
}

// Guards against estimates that take as long as their memory to follow a worker
// that is slow for some seconds: a few runs, here six, must show a change.
constexpr int kFewRuns = 6;
constexpr std::uint32_t kSeeds = 8;

TEST_CASE("a worker that becomes slow") {
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    SimulatedFleet fleet(50, 0, 0, seed);
    fleet.long_share = 0;
    fleet.Run(seconds(15));
    REQUIRE_FALSE(fleet.IsSlow(3));
    fleet.ChangeAndRun(3, 2, kFewRuns);
    CHECK(fleet.IsSlow(3));
  }
}

TEST_CASE("a worker that recovers after some seconds") {
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    SimulatedFleet fleet(50, 0, 0, seed);
    fleet.long_share = 0;
    fleet.Run(seconds(15));
    fleet.ChangeAndRun(3, 2, kFewRuns);
    REQUIRE(fleet.IsSlow(3));
    fleet.ChangeAndRun(3, 1, kFewRuns);
    CHECK_FALSE(fleet.IsSlow(3));
  }
}

// Guards against a worker that is avoided for ever because it has no runs that
// would show its recovery, and against one that keeps its old speed after a
// restart.
TEST_CASE("old data") {
  SimulatedFleet fleet(50, 10, 0, 1);
  fleet.Run(seconds(15));
  REQUIRE(fleet.IsSlow(0));
  SUBCASE("loses weight without further runs") {
    for (int i = 1; i <= 90; ++i) {
      fleet.model.Decay(fleet.now() + seconds(i));
    }
    CHECK_FALSE(fleet.IsSlow(0));
  }
  SUBCASE("is discarded with the incarnation") {
    fleet.model.Forget(workers::WorkerNumber(0));
    CHECK(fleet.model.SlownessOf(workers::WorkerNumber(0)) == 1);
  }
}

// Guards against predictions that follow estimates which carry little
// information: P2 asks for the 95% quantile of the queue's tasks.
TEST_CASE("run times of a queue") {
  SimulatedFleet fleet(50, 10, 10, 1);
  fleet.long_share = 0;
  fleet.Run(seconds(20));
  const auto low = fleet.model.ExpectedRunTime(kQueue, milliseconds(200));
  const auto high = fleet.model.ExpectedRunTime(kQueue, milliseconds(2000));
  CHECK(low > milliseconds(200));
  CHECK(high < milliseconds(2000));
  CHECK(low < high);
  CHECK(fleet.model.HighRunTime(kQueue, milliseconds(700)) >
        fleet.model.ExpectedRunTime(kQueue, milliseconds(700)));
  int below = 0;
  std::mt19937 random(9);
  constexpr int kDraws = 2000;
  for (int i = 0; i < kDraws; ++i) {
    const double work =
        kTaskSeconds * std::uniform_real_distribution<double>(0.4, 1.6)(random);
    const double estimate =
        work * std::uniform_real_distribution<double>(0.55, 1.9)(random);
    const double run =
        work * std::exp(std::normal_distribution<double>(0, 0.25)(random));
    const auto bound = fleet.model.HighRunTime(
        kQueue, std::chrono::duration_cast<base::Duration>(
                    std::chrono::duration<double>(estimate)));
    below += std::chrono::duration<double>(run) <= bound ? 1 : 0;
  }
  CHECK(below >= kDraws * 92 / 100);
  CHECK(below <= kDraws * 98 / 100);
}

// Guards against urgent work on workers where it is late, against fast workers
// taken by work that has time, and against effects of noise in the speeds.
TEST_CASE("which speeds suit a step") {
  const SpeedPreference urgent(milliseconds(1000), milliseconds(700), 0.3);
  CHECK(urgent.CostOn(std::log(1.6)) > 1);
  CHECK(urgent.CostOn(std::log(0.6)) < 0);
  const SpeedPreference patient(seconds(20), seconds(2), 0.3);
  CHECK(patient.CostOn(std::log(1.6)) < 0);
  CHECK(patient.CostOn(std::log(0.6)) > 0);
  const SpeedPreference late(-seconds(1), seconds(2), 0.3);
  CHECK(late.CostOn(std::log(1.6)) < late.CostOn(std::log(0.6)));
  for (const SpeedPreference& preference : {urgent, patient, late}) {
    CHECK(preference.CostOn(std::log(1.05)) == 0);
    CHECK(preference.CostOn(std::log(1)) == 0);
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::placement
