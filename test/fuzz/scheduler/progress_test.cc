// Fuzzes progress: whatever else was accepted, what can run does run. Random
// work of two organisations, among it jobs that no worker can hold, gangs that
// need nearly all, jobs whose runs all fail, and workers that crash; a trickle
// of urgent work goes on all the time.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "test/fuzz/scheduler/cell.h"

namespace dotterelbarrow::test {
namespace {

using core::jobs::JobKey;
using core::jobs::JobSpec;
using core::jobs::StepSpec;

constexpr int kWorkers = 8;
constexpr std::int64_t kCheckIntervalMs = 100;
constexpr std::int64_t kLookupIntervalMs = 200;
// A job that can run, in a cell and under a cap that are less than half in use,
// may have nothing running for so long.
constexpr std::int64_t kMaxIdleMs = 14'000;
// After the faults, all that can run has ended within this time.
constexpr std::int64_t kSettleMs = 60'000;
constexpr base::Duration kLongEstimate = std::chrono::seconds(10);

class Players {
 public:
  explicit Players(std::uint32_t seed) : cell_(seed, kWorkers) {
    cell_.renames_workers = seed % 2 == 0;
    cell_.faults.runs_failing = 0;
    cell_.Run(1000);
  }

  Cell& cell() { return cell_; }
  const std::vector<std::string>& idle() const { return idle_; }

  // Runs the cell with its trickle of urgent work.
  void Play(std::int64_t duration_ms, bool are_faults_over) {
    for (std::int64_t passed = 0; passed < duration_ms;
         passed += kCheckIntervalMs) {
      if (cell_.now_ms() % kLookupIntervalMs == 0) {
        SubmitLookup();
      }
      cell_.Run(kCheckIntervalMs);
      if (are_faults_over) {
        FindIdle();
      }
    }
  }
  // Whether all jobs that can run have ended, but for the trickle.
  std::string Unfinished() const {
    std::string names;
    for (const JobKey job : possible_) {
      const auto state = cell_.StateOf(job);
      if (cell_.accepted().contains(job) &&
          (!state || !core::jobs::IsFinal(*state))) {
        names += core::jobs::ToString(job) + "; ";
      }
    }
    return names;
  }

  void SubmitOrdinary(int argument) {
    StepSpec step = Step(1 + argument % 4, 500 * (1 + argument % 8));
    step.gang = argument % 3 == 0;
    // Runs take up to 2 s, so that half of the second steps are late.
    step.estimate = std::chrono::milliseconds(200 + argument);
    StepSpec next = step;
    next.depends_on = {0};
    Submit({step, next}, argument, true);
  }
  // Needs all workers, or all of the cap, or the only worker with a label.
  void SubmitLarge(int argument) {
    switch (argument % 4) {
      case 0:
        SubmitAs(Gang(kWorkers, Cell::kWorkerCores * 1000), Cell::kUncapped,
                 true);
        break;
      case 1:
        SubmitAs(Gang(4, Cell::kCapCores * 250), Cell::kOrganisation, true);
        break;
      case 2:
        SubmitAs(Step(1, Cell::kWorkerCores * 1000), Cell::kUncapped, true);
        break;
      default:
        StepSpec rare = Step(2, 2000);
        rare.required_label = Cell::kRareLabel;
        SubmitAs(rare, Cell::kUncapped, true);
        break;
    }
  }
  void SubmitImpossible(int argument) {
    StepSpec step;
    switch (argument % 5) {
      case 0:
        step = Gang(2, (Cell::kWorkerCores + 1) * 1000);
        break;
      case 1:
        step = Gang(kWorkers + 1, Cell::kWorkerCores * 1000);
        break;
      case 2:
        step = Gang(kWorkers + 1, 1000);
        step.max_per_worker = 1;
        break;
      case 3:
        step = Step(3, 1000);
        step.required_label = "none";
        break;
      default:
        step = Step(1, (Cell::kWorkerCores + 1) * 1000);
        break;
    }
    // Late for long before it expires, and so before late ordinary work.
    step.estimate = kLongEstimate;
    Submit({step}, argument, false);
  }
  void SubmitHopeless(int argument) {
    StepSpec step = Step(1, 500);
    if (argument % 2 == 0) {
      step.required_label = Cell::kRareLabel;
    }
    cell_.MakeHopeless(Submit({step}, argument, true));
  }

 private:
  static StepSpec Step(int tasks, std::int64_t millicores) {
    StepSpec step;
    step.tasks = static_cast<std::uint32_t>(tasks);
    step.needs.cpu = base::Millicores(millicores);
    step.needs.memory = base::Mebibytes(1);
    step.estimate = std::chrono::milliseconds(400);
    return step;
  }
  static StepSpec Gang(int tasks, std::int64_t millicores) {
    StepSpec step = Step(tasks, millicores);
    step.gang = true;
    return step;
  }
  JobKey SubmitAs(StepSpec step, const char* organisation, bool is_possible) {
    step.estimate = kLongEstimate;
    return SubmitSteps({std::move(step)}, organisation, is_possible);
  }
  JobKey Submit(std::vector<StepSpec> steps, int argument, bool is_possible) {
    return SubmitSteps(
        std::move(steps),
        argument % 2 == 0 ? Cell::kOrganisation : Cell::kUncapped, is_possible);
  }
  JobKey SubmitSteps(std::vector<StepSpec> steps, const char* organisation,
                     bool is_possible) {
    JobSpec spec;
    spec.steps = std::move(steps);
    const JobKey job = cell_.Submit(std::move(spec), "lookups", organisation);
    if (is_possible) {
      possible_.insert(job);
    }
    return job;
  }
  void SubmitLookup() {
    JobSpec spec;
    spec.steps = {Step(1, 200)};
    cell_.Submit(std::move(spec), "lookups",
                 cell_.now_ms() / kLookupIntervalMs % 2 == 0
                     ? Cell::kOrganisation
                     : Cell::kUncapped);
  }
  // Records the jobs that have run nothing for too long.
  void FindIdle() {
    const bool has_room = cell_.FleetUse() < 0.5 && cell_.CapUse() < 0.5;
    for (const JobKey job : possible_) {
      const auto state = cell_.StateOf(job);
      std::int64_t& since =
          idle_since_.try_emplace(job, cell_.now_ms()).first->second;
      if (!has_room || !cell_.accepted().contains(job) || !state ||
          core::jobs::IsFinal(*state) || cell_.IsRunning(job)) {
        since = cell_.now_ms();
      } else if (cell_.now_ms() - since > kMaxIdleMs) {
        idle_.push_back(core::jobs::ToString(job));
        since = cell_.now_ms();
      }
    }
  }

  Cell cell_;
  // The accepted or refused jobs that some worker could run.
  std::set<JobKey> possible_;
  std::map<JobKey, std::int64_t> idle_since_;
  std::vector<std::string> idle_;
};

// Guards against measures that withhold room from work that could use it, for
// work that can't, or for ever (review/12, 13 and 14).
TEST_CASE("a cell under work of which some can never run") {
  const bool held = rc::check("all that can run does, and soon", [] {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    const auto things = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::inRange(0, 1000)));
    Players players(seed);
    for (const auto& [choice, argument] : things) {
      const auto worker = static_cast<std::size_t>(argument) % kWorkers;
      if (choice < 5) {
        players.SubmitOrdinary(argument);
      } else if (choice < 7) {
        players.SubmitLarge(argument);
      } else if (choice < 9) {
        players.SubmitImpossible(argument);
      } else if (choice < 10) {
        players.SubmitHopeless(argument);
      } else {
        players.cell().CrashWorker(worker);
      }
      players.Play(kCheckIntervalMs * (1 + argument % 4), false);
    }
    players.cell().EndFaults();
    players.Play(kSettleMs, true);
    if (!players.idle().empty()) {
      RC_FAIL("ran nothing for 14 s in an idle cell: " + players.idle()[0]);
    }
    if (const std::string left = players.Unfinished(); !left.empty()) {
      RC_FAIL("unfinished: " + left);
    }
    if (!players.cell().broken().empty()) {
      RC_FAIL(players.cell().broken()[0]);
    }
  });
  CHECK(held);
}

}  // namespace
}  // namespace dotterelbarrow::test
