// Runs steps that allow copies, with many slow runs, under lost and late
// messages, unreachable and crashing workers, owner changes and cancellations.
// Checks the same guarantees as the test under random work and faults. The
// events are drawn evenly, so that each fault is frequent from the first seed
// on.
#include <doctest/doctest.h>

#include <cstdlib>
#include <random>
#include <string>

#include "test/fuzz/scheduler/cell.h"

namespace dotterelbarrow::test {
namespace {

constexpr int kWorkers = 8;
constexpr int kEvents = 60;
constexpr std::uint32_t kSeeds = 40;

void ApplyEvent(Cell* cell, std::mt19937* random) {
  const auto draw = [random](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(*random);
  };
  const auto worker = static_cast<std::size_t>(draw(0, kWorkers - 1));
  switch (draw(0, 9)) {
    case 0:
      cell->CancelAny();
      break;
    case 1:
      cell->ChangeOwner();
      break;
    case 2:
      cell->ChangeOwnerKeepingPrevious();
      break;
    case 3:
      cell->CutWorker(worker, true);
      break;
    case 4:
      cell->CutWorker(worker, false);
      break;
    case 5:
      cell->CrashWorker(worker);
      break;
    case 6:
      cell->faults = {.commands_lost = draw(0, 150),
                      .answers_lost = draw(0, 150),
                      .commands_late = draw(0, 150),
                      .runs_failing = draw(0, 200),
                      .runs_slow = 400};
      break;
    case 7:
      cell->ResizeWorker(worker, draw(2, 16));
      break;
    default:
      cell->SubmitAny();
      break;
  }
}

TEST_CASE("slow runs and their copies under faults") {
  const char* const first_seed = std::getenv("FIRST_SEED");
  const char* const seeds = std::getenv("SEEDS");
  const auto first = static_cast<std::uint32_t>(
      first_seed == nullptr ? 1 : std::stoul(first_seed));
  const auto count =
      static_cast<std::uint32_t>(seeds == nullptr ? kSeeds : std::stoul(seeds));
  std::uint64_t copies = 0;
  for (std::uint32_t seed = first; seed < first + count; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    Cell cell(seed, kWorkers);
    cell.renames_workers = seed % 2 == 0;
    cell.faults.runs_slow = 400;
    cell.Run(1000);
    for (int i = 0; i < kEvents; ++i) {
      cell.SubmitAny();
      ApplyEvent(&cell, &random);
      cell.Run(std::uniform_int_distribution<int>(50, 1500)(random));
    }
    CHECK_MESSAGE(cell.Mend(), cell.Unfinished());
    std::string violations;
    for (const std::string& broken : cell.broken()) {
      violations += broken + "; ";
    }
    CHECK_MESSAGE(violations.empty(), violations);
    copies += cell.copies();
  }
  // Guards against a test in which no task ever has two runs.
  CHECK(copies >= count);
  MESSAGE("copies: " << copies);
}

}  // namespace
}  // namespace dotterelbarrow::test
