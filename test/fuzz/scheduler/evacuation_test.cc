// A whole cell whose zones are evacuated while its owner changes, and while
// commands and answers are lost. Checks that nothing is started in a zone later
// than its evacuation is known, and that nothing is lost.
#include <doctest/doctest.h>

#include <string>

#include "test/fuzz/scheduler/cell.h"

namespace dotterelbarrow::test {
namespace {

constexpr int kWorkers = 8;
// Enough for all reads of an evacuation, and for the pass under way.
constexpr std::int64_t kKnownMs = Cell::kMaxEvacuationDelayMs + 100;

std::string Violations(const Cell& cell) {
  return cell.broken().empty() ? std::string() : cell.broken().front();
}

void SubmitFor(Cell* cell, std::int64_t duration_ms) {
  for (const std::int64_t end = cell->now_ms() + duration_ms;
       cell->now_ms() < end;) {
    cell->SubmitAny();
    // Slow workers and copies leave room for this rate under the cap.
    cell->Run(75);
  }
}

TEST_CASE("a cell whose zones are evacuated") {
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    Cell cell(seed, kWorkers);
    if (seed % 2 == 0) {
      cell.faults = {
          .commands_lost = 30, .answers_lost = 20, .commands_late = 20};
    }
    cell.Run(1000);
    SubmitFor(&cell, 1000);
    cell.SetEvacuation(0, true);
    SubmitFor(&cell, kKnownMs);
    const std::uint64_t before = cell.starts_in_zone(0);
    // The next owner knows it before its first start.
    cell.ChangeOwner();
    SubmitFor(&cell, 2000);
    cell.SetEvacuation(1, true);
    SubmitFor(&cell, 1000);
    cell.ChangeOwnerKeepingPrevious();
    SubmitFor(&cell, 2000);
    CHECK(cell.starts_in_zone(0) == before);
    const std::uint64_t before_all = cell.starts_in_zone(1);
    cell.SetEvacuation(2, true);
    SubmitFor(&cell, 3000);
    CHECK(cell.starts_in_zone(0) == before);
    CHECK(cell.starts_in_zone(1) == before_all);
    // Work returns to the zone that is taken back, while others stay empty.
    cell.SetEvacuation(0, false);
    SubmitFor(&cell, kKnownMs + 3000);
    CHECK(cell.starts_in_zone(0) > before);
    CHECK(cell.starts_in_zone(1) == before_all);
    CHECK_MESSAGE(cell.Mend(), cell.Unfinished());
    CHECK_MESSAGE(cell.broken().empty(), Violations(cell));
  }
}

}  // namespace
}  // namespace dotterelbarrow::test
