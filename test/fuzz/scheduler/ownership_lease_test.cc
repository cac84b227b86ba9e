// What owners do at the end of their ownership lease, and what later owners
// expect of them.
#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <utility>

#include "test/fuzz/scheduler/cell.h"

namespace dotterelbarrow::test {
namespace {

constexpr int kWorkers = 8;
constexpr std::uint32_t kSeeds = 12;
constexpr std::int64_t kNoCap = 1000;
constexpr std::int64_t kCores = 16;
constexpr int kJobs = 8;
// The jobs' first tasks end around the end of the ownership lease of six
// seconds, so that room for the others appears then.
constexpr int kFirstEstimateMs = 5900;
constexpr int kEstimateStepMs = 25;

// Guards against an owner that grants leases for longer than the next owner
// waits for. Tickets expire while a step's tasks run, so that the answer of the
// advisor starts the tasks that follow, outside of a pass.
TEST_CASE("an advisor answers after the ownership lease") {
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    Cell cell(seed, kWorkers, kNoCap);
    cell.runs_as_estimated = true;
    cell.faults = {.runs_failing = 0, .runs_slow = 0};
    cell.Run(1000);
    for (int i = 0; i < kJobs; ++i) {
      core::jobs::StepSpec step;
      step.tasks = 6;
      step.needs.cpu = base::Millicores(4000);
      step.estimate =
          std::chrono::milliseconds(kFirstEstimateMs + kEstimateStepMs * i);
      core::jobs::JobSpec spec;
      spec.steps.push_back(step);
      cell.Submit(std::move(spec), "advised");
    }
    cell.Run(200);
    cell.SetStoreDown(true);
    cell.Run(8000);
    cell.SetStoreDown(false);
    CHECK(cell.Mend());
    CHECK(cell.broken().empty());
    for (const std::string& broken : cell.broken()) {
      MESSAGE(broken);
    }
  }
}

// Guards against tasks that run twice, because the third owner waits for the
// leases of the second one only, which has stopped, while the first one renews
// the leases of workers that no other owner reaches.
TEST_CASE("the second of three owners stops soon") {
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    Cell cell(seed, kWorkers, kNoCap);
    cell.runs_as_estimated = true;
    cell.faults = {.runs_failing = 0, .runs_slow = 0};
    cell.Run(1000);
    // Everything runs on the workers of the first owner, so that it places
    // nothing anew while it is cut off.
    const std::size_t free_worker = cell.workers() - 1;
    std::set<std::size_t> isolated;
    for (std::size_t i = 0; i < free_worker; ++i) {
      isolated.insert(i);
    }
    cell.ResizeWorker(free_worker, 0);
    cell.Run(1000);
    for (int i = 0; i < kJobs; ++i) {
      core::jobs::StepSpec step;
      step.tasks = 1;
      step.needs.cpu = base::Millicores(1000);
      step.estimate = std::chrono::seconds(12);
      core::jobs::JobSpec spec;
      spec.steps.push_back(step);
      cell.Submit(std::move(spec), "plain");
    }
    cell.Run(500);
    cell.IsolateOwner(isolated);
    cell.Run(300 + 50 * seed);
    cell.ChangeOwnerKeepingPrevious();
    cell.ResizeWorker(free_worker, kCores);
    cell.Run(2000);
    cell.ReplaceStoppedOwner();
    cell.Run(9000);
    cell.EndIsolation();
    CHECK(cell.Mend());
    CHECK(cell.broken().empty());
    for (const std::string& broken : cell.broken()) {
      MESSAGE(broken);
    }
  }
}

}  // namespace
}  // namespace dotterelbarrow::test
