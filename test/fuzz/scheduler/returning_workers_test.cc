// Workers that crash, return under their old ids within a second and are cut
// off soon after, while long tasks run: a cell in virtual time.
#include <doctest/doctest.h>

#include <random>
#include <string>

#include "test/fuzz/scheduler/cell.h"

namespace dotterelbarrow::test {
namespace {

constexpr int kWorkers = 8;
constexpr std::uint32_t kSeeds = 40;
constexpr int kRounds = 4;

std::int64_t Draw(std::mt19937* random, std::int64_t least, std::int64_t most) {
  return std::uniform_int_distribution<std::int64_t>(least, most)(*random);
}

void SubmitLongTasks(Cell* cell, std::mt19937* random) {
  core::jobs::StepSpec step;
  step.tasks = static_cast<std::uint32_t>(Draw(random, 1, 3));
  step.needs.cpu = base::Millicores(1000);
  step.needs.memory = base::Mebibytes(4);
  step.estimate = std::chrono::milliseconds(Draw(random, 6000, 14'000));
  core::jobs::JobSpec spec;
  spec.steps.push_back(step);
  cell->Submit(std::move(spec), "plain");
}

enum class OwnerChanges { kNone, kStopped, kLost };

void ChangeOwner(Cell* cell, OwnerChanges owner_changes) {
  if (owner_changes == OwnerChanges::kStopped) {
    cell->ReplaceStoppedOwner();
  } else if (owner_changes == OwnerChanges::kLost) {
    cell->ChangeOwner();
  }
}

// Plays rounds in which half of the workers return and are then cut off, and
// returns what was violated.
std::string Play(std::uint32_t seed, OwnerChanges owner_changes) {
  std::mt19937 random(seed);
  Cell cell(seed, kWorkers);
  cell.runs_as_estimated = true;
  cell.has_hard_cuts = true;
  cell.faults.runs_failing = 0;
  cell.Run(1000);
  for (int round = 0; round < kRounds; ++round) {
    const auto first = static_cast<std::size_t>(Draw(&random, 0, 1));
    for (int i = 0; i < 8; ++i) {
      SubmitLongTasks(&cell, &random);
      cell.Run(Draw(&random, 10, 60));
    }
    const std::int64_t down_ms = Draw(&random, 100, 700);
    for (std::size_t i = first; i < cell.workers(); i += 2) {
      cell.RestartWorkerUnnoticed(i, down_ms);
    }
    // Tasks are started while the workers are away and just after.
    for (std::int64_t passed = 0; passed < down_ms + 300; passed += 40) {
      SubmitLongTasks(&cell, &random);
      cell.Run(40);
    }
    cell.Run(Draw(&random, 100, 2500));
    const bool is_claimed_by_next = Draw(&random, 0, 1) == 1;
    if (is_claimed_by_next) {
      ChangeOwner(&cell, owner_changes);
      cell.Run(Draw(&random, 10, 1500));
    }
    const std::int64_t cut_ms = Draw(&random, 5000, 12'000);
    for (std::size_t i = first; i < cell.workers(); i += 2) {
      cell.SilenceWorker(i, cut_ms, Draw(&random, 0, 1) == 1);
    }
    if (!is_claimed_by_next) {
      cell.Run(Draw(&random, 0, 2000));
      ChangeOwner(&cell, owner_changes);
    }
    cell.Run(cut_ms + Draw(&random, 0, 3000));
  }
  std::string broken;
  if (!cell.Mend()) {
    broken += "unfinished: " + cell.Unfinished();
  }
  for (const std::string& violation : cell.broken()) {
    broken += violation + "; ";
  }
  return broken;
}

void PlayAll(OwnerChanges owner_changes) {
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    CHECK(Play(seed, owner_changes) == "");
  }
}

// Guards against a task that runs twice at once: a command that was sent to the
// former incarnation has granted the next one a longer lease than the owner
// knows of.
TEST_CASE("workers that return and are cut off soon after") {
  SUBCASE("under one owner") { PlayAll(OwnerChanges::kNone); }
  SUBCASE("under owners that stop in between") {
    PlayAll(OwnerChanges::kStopped);
  }
  SUBCASE("under owners that are lost in between") {
    PlayAll(OwnerChanges::kLost);
  }
}

}  // namespace
}  // namespace dotterelbarrow::test
