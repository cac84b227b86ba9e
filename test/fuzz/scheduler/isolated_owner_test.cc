// Owners that are partitioned from the store, and from a part of the workers,
// while another host takes over the rest.
#include <doctest/doctest.h>

#include <cstdint>
#include <set>
#include <string>

#include "test/fuzz/scheduler/cell.h"

namespace dotterelbarrow::test {
namespace {

constexpr int kWorkers = 9;
constexpr std::uint32_t kSeeds = 24;
constexpr std::int64_t kNoCap = 1000;

void SubmitJobs(Cell* cell, int jobs) {
  for (int i = 0; i < jobs; ++i) {
    cell->SubmitAny();
    cell->Run(50);
  }
}

// Guards against tasks that run twice, because an owner without the store took
// the leases of workers for expired that the next owner was renewing.
TEST_CASE("an owner is left alone with a third of the workers") {
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    Cell cell(seed, kWorkers, kNoCap);
    cell.Run(1000);
    SubmitJobs(&cell, 30);
    for (int partition = 0; partition < 2; ++partition) {
      cell.IsolateOwner({0, 3, 6});
      cell.Run(300 + 100 * (seed % 5));
      cell.ChangeOwnerKeepingPrevious();
      SubmitJobs(&cell, 20);
      cell.Run(8000);
      cell.EndIsolation();
      cell.Run(1000);
    }
    CHECK(cell.Mend());
    CHECK(cell.broken().empty());
    for (const std::string& broken : cell.broken()) {
      MESSAGE(broken);
    }
  }
}

}  // namespace
}  // namespace dotterelbarrow::test
