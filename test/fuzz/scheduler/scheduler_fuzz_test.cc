// Runs random work and faults in a whole cell, among them workers whose
// capacity changes and tasks that crash each worker under them. Checks that no
// worker is overloaded, no task runs on two workers at once or again after its
// success, no cap is exceeded, deadly tasks are given up in time, nothing is
// sent to a zone that the owner knows to be evacuated, and every
// accepted job finishes once the faults have ended.
// capacity changes, tasks that crash each worker under them, and slow runs that
// get copies. Checks that no worker is overloaded, no task runs on two workers
// at once, on three if it may have copies, or again after its success or after
// the last failure that it may have, no cap is exceeded, deadly tasks are given
// up in time, and every accepted job finishes once the faults have ended.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <memory>
#include <string>

#include "test/fuzz/scheduler/cell.h"

namespace dotterelbarrow::test {
namespace {

constexpr int kWorkers = 8;

std::string DescribeViolations(const Cell& cell) {
  std::string text;
  for (const std::string& broken : cell.broken()) {
    text += broken + "; ";
    if (text.size() > 400) {
      break;
    }
  }
  return text;
}

// Applies one random event to the cell: new work, a fault or the end of one.
void ApplyRandomEvent(Cell* cell, int choice, int argument) {
  const auto worker = static_cast<std::size_t>(argument) % cell->workers();
  switch (choice) {
    case 0:
    case 1:
    case 2:
    case 3:
      cell->SubmitAny();
      break;
    case 4:
      cell->CancelAny();
      break;
    case 5:
      cell->ChangeOwner();
      break;
    case 6:
      cell->ChangeOwnerKeepingPrevious();
      break;
    case 7:
      cell->CutWorker(worker, true);
      break;
    case 8:
      cell->CutWorker(worker, false);
      break;
    case 9:
      cell->CrashWorker(worker);
      break;
    case 10:
      cell->faults = {.commands_lost = argument % 100,
                      .answers_lost = argument % 70,
                      .commands_late = argument % 60,
                      .runs_failing = argument % 200,
                      .runs_slow = argument % 500};
      break;
    case 11:
      cell->ResizeWorker(worker, 2 + argument % 15);
      break;
    case 12:
      cell->MakeDeadly(cell->SubmitAny(), argument % 2 == 0);
      break;
    case 13:
      cell->ToggleEvacuation(argument % Cell::kZones);
      break;
    case 14:
      // About as much as fills the cell.
      for (int i = 0; i < 8; ++i) {
        cell->SubmitBatch();
      }
      break;
    case 15:
      for (int i = 0; i < 3; ++i) {
        cell->SubmitLookup();
      }
      break;
    default:
      cell->faults = Faults();
      break;
  }
}

TEST_CASE("a cell under random work and faults") {
  const bool held =
      rc::check("no guarantee is violated, and all accepted jobs finish", [] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        const auto things =
            *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(
                rc::gen::inRange(0, 17), rc::gen::inRange(0, 1000)));
        Cell cell(seed, kWorkers);
        cell.renames_workers = seed % 2 == 0;
        cell.Run(1000);
        for (const auto& [choice, argument] : things) {
          ApplyRandomEvent(&cell, choice, argument);
          cell.Run(20 + argument % 400);
        }
        if (!cell.Mend()) {
          RC_FAIL("unfinished: " + cell.Unfinished());
        }
        if (!cell.broken().empty()) {
          RC_FAIL(DescribeViolations(cell));
        }
      });
  CHECK(held);
}

// Guards against violated guarantees while runs are preempted: stops that are
// lost or late, owners that change and jobs that are cancelled in between.
TEST_CASE("a cell full of batch work under lookups and faults") {
  // The events of ApplyRandomEvent that matter here.
  constexpr std::array kChoices{14, 15, 14, 15, 15, 4, 5, 6, 7, 8, 9, 10, 16};
  std::size_t preemptions = 0;
  const bool held = rc::check(
      "no guarantee is violated, and all accepted jobs finish",
      [&preemptions, &kChoices] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        const auto things =
            *rc::gen::container<std::vector<std::pair<std::size_t, int>>>(
                rc::gen::pair(rc::gen::inRange<std::size_t>(0, kChoices.size()),
                              rc::gen::inRange(0, 1000)));
        Cell cell(seed, kWorkers);
        cell.renames_workers = seed % 2 == 0;
        cell.Run(1000);
        for (const auto& [choice, argument] : things) {
          ApplyRandomEvent(&cell, kChoices.at(choice), argument);
          cell.Run(20 + argument % 400);
        }
        const bool is_mended = cell.Mend();
        preemptions += cell.preemptions();
        if (!is_mended) {
          RC_FAIL("unfinished: " + cell.Unfinished());
        }
        if (!cell.broken().empty()) {
          RC_FAIL(DescribeViolations(cell));
        }
      });
  CHECK(held);
  MESSAGE(preemptions, " runs preempted");
  CHECK(preemptions > 0);
}

// Runs forty jobs in a cell without faults, and returns it.
std::unique_ptr<Cell> RunWithoutFaults(std::uint32_t seed) {
  auto cell = std::make_unique<Cell>(seed, kWorkers);
  cell->faults.runs_failing = 0;
  cell->Run(1000);
  for (int i = 0; i < 40; ++i) {
    cell->SubmitAny();
    cell->Run(100);
  }
  return cell;
}

TEST_CASE("a cell without faults") {
  SUBCASE("finishes all jobs, some after a wait for a local worker") {
    std::uint64_t waits = 0;
    for (std::uint32_t seed = 7; seed < 12; ++seed) {
      CAPTURE(seed);
      const std::unique_ptr<Cell> cell = RunWithoutFaults(seed);
      CHECK_MESSAGE(cell->Mend(), cell->Unfinished());
      CHECK(cell->accepted().size() == 40);
      CHECK_MESSAGE(cell->broken().empty(), DescribeViolations(*cell));
      waits += cell->counters().value("locality", "waited_then_local");
    }
    // Guards against a fuzzer that never has a step wait for a local worker.
    CHECK(waits > 0);
  }
  SUBCASE("starts nothing again when its owner changes") {
    const std::unique_ptr<Cell> ran = RunWithoutFaults(7);
    Cell& cell = *ran;
    const std::uint64_t before = cell.starts();
    cell.ChangeOwner();
    cell.Run(50);
    CHECK(cell.starts() - before < 20);
    CHECK_MESSAGE(cell.Mend(), cell.Unfinished());
    CHECK_MESSAGE(cell.broken().empty(), DescribeViolations(cell));
  }
}

TEST_CASE("a cell with slow runs") {
  Cell cell(7, kWorkers);
  cell.faults.runs_slow = 500;
  cell.Run(1000);
  for (int i = 0; i < 20; ++i) {
    cell.SubmitAny();
    cell.Run(1000);
    if (i % 5 == 4) {
      cell.ChangeOwner();
    }
  }
  CHECK(cell.copies() > 0);
  CHECK_MESSAGE(cell.Mend(), cell.Unfinished());
  CHECK_MESSAGE(cell.broken().empty(), DescribeViolations(cell));
}

TEST_CASE("a previous owner that continues beside the next one") {
  Cell cell(11, kWorkers);
  cell.Run(1000);
  for (int i = 0; i < 30; ++i) {
    cell.SubmitAny();
    cell.Run(50);
  }
  cell.CutWorker(0, true);
  cell.ChangeOwnerKeepingPrevious();
  cell.Run(3000);
  cell.CutWorker(0, false);
  CHECK_MESSAGE(cell.Mend(), cell.Unfinished());
  CHECK_MESSAGE(cell.broken().empty(), DescribeViolations(cell));
}

TEST_CASE("a backlog larger than one transaction") {
  Cell cell(13, kWorkers);
  cell.Run(1000);
  for (int i = 0; i < 300; ++i) {
    cell.SubmitAny();
  }
  cell.Run(500);
  CHECK(cell.accepted().size() == 300);
}

}  // namespace
}  // namespace dotterelbarrow::test
