// Measures configuration tickets, urgent work and entry failures in simulated
// cells, which are built from the fuzzer's fakes.
#include "bench/cell/timings.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <vector>

#include "bench/figure.h"
#include "dotterelbarrow/core/partitions.h"

namespace dotterelbarrow::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kTickets = 20;
constexpr int kUrgentJobs = 200;
constexpr std::uint32_t kTasksPerJob = 400;
constexpr base::Duration kStep = milliseconds(10);
constexpr base::Duration kTimeAfterFailure = seconds(20);

double Seconds(base::Duration time) {
  return std::chrono::duration<double>(time).count();
}

core::WorkRequest MakeJob(const std::string& id, std::uint32_t tasks,
                          int run_ms) {
  core::WorkRequest request;
  request.id = base::RequestId(id);
  request.key = base::ApiKey("key-ovens");
  request.service = base::ServiceId("seats");
  request.kind = core::WorkKind::kBatch;
  request.task_count = tasks;
  request.demand = {base::Millicores(1000), base::Mebibytes(2048), {}, {}};
  request.payload = R"({"run_ms":)" + std::to_string(run_ms) + "}";
  return request;
}

void SetUp(fuzz::Cell* cell) {
  cell->Run(seconds(5));
  cell->SubmitTicket(0, fuzz::SetupTicket(1));
  cell->Run(seconds(5));
}

// Returns whether all entries have applied `version` or a later one.
bool IsAppliedEverywhere(fuzz::Cell* cell, base::ConfigVersion version) {
  for (int i = 0; i < cell->entries(); ++i) {
    if (cell->node(i).catalogue().version() < version) {
      return false;
    }
  }
  return true;
}

// Measures the time from the answer that confirms a ticket to the operator
// until all entries have applied it.
void MeasureTickets(const std::string& name, fuzz::Cell* cell) {
  std::vector<double> times;
  for (int i = 0; i < kTickets; ++i) {
    const int entry = i % cell->entries();
    const auto next = cell->node(entry).catalogue().version().next();
    const auto token = cell->SubmitTicket(entry, fuzz::LimitTicket(2 + i, 3));
    cell->RunUntil(seconds(10),
                   [&] { return cell->TicketAnswerTo(token) != nullptr; });
    const base::TimePoint accepted = cell->now();
    cell->RunUntil(seconds(10),
                   [&] { return IsAppliedEverywhere(cell, next); });
    times.push_back(Seconds(cell->now() - accepted));
    cell->Run(milliseconds(370));
  }
  PrintFigure(name + ".ticket_in_force_p50", Percentile(times, 0.5), "s");
  PrintFigure(name + ".ticket_in_force_max", Percentile(times, 1), "s");
}

// Fills all workers with batch tasks, then submits urgent jobs of one task each
// and measures how long they wait for their start.
void MeasureUrgent(const std::string& name, const fuzz::CellSize& size,
                   fuzz::Cell* cell) {
  const std::int64_t cores = size.workers * size.worker.cpu.value() / 1000;
  const auto filler_jobs = static_cast<int>(cores / kTasksPerJob + 1);
  for (int i = 0; i < filler_jobs; ++i) {
    cell->Ask(i % cell->entries(),
              MakeJob("filler" + std::to_string(i), kTasksPerJob, 600'000));
  }
  cell->Run(seconds(20));
  PrintFigure(name + ".urgent_batch_tasks_running",
              static_cast<double>(cell->ledger().totals().running), "tasks");
  for (int i = 0; i < kUrgentJobs; ++i) {
    core::WorkRequest urgent = MakeJob("urgent" + std::to_string(i), 1, 1000);
    urgent.urgent = true;
    cell->Ask(i % cell->entries(), urgent);
    cell->Run(milliseconds(50));
  }
  cell->Run(seconds(10));
  std::vector<double> waits;
  for (int i = 0; i < kUrgentJobs; ++i) {
    const auto token = cell->SendJobCommand(
        0, core::CallerJobCommand::Verb::kStatus, base::ApiKey("key-ovens"),
        base::RequestId("urgent" + std::to_string(i)));
    cell->RunUntil(seconds(5),
                   [&] { return cell->AnswerTo(token) != nullptr; });
    const core::Answer* answer = cell->AnswerTo(token);
    if (answer != nullptr && answer->outcome == core::Outcome::kDone) {
      waits.push_back(Seconds(answer->waited));
    }
  }
  PrintFigure(name + ".urgent_done", static_cast<double>(waits.size()), "jobs");
  PrintFigure(name + ".urgent_wait_p50", Percentile(waits, 0.5), "s");
  PrintFigure(name + ".urgent_wait_p99", Percentile(waits, 0.99), "s");
  PrintFigure(name + ".urgent_wait_max", Percentile(waits, 1), "s");
}

// Returns the entry that manages the partition of the team that submits the
// jobs; 0 if there is none.
int ManagerOf(fuzz::Cell* cell, const fuzz::CellSize& size) {
  const base::PartitionId partition =
      core::PartitionOf(base::TeamId("ovens"), size.partitions);
  for (int i = 0; i < cell->entries(); ++i) {
    const auto managed = cell->node(i).partitions();
    if (std::find(managed.begin(), managed.end(), partition) != managed.end()) {
      return i;
    }
  }
  return 0;
}

// Measures the longest time without a task start after an entry fails, while
// ten jobs of one task are submitted every 100 ms.
void MeasureEntryFailure(const std::string& name, const fuzz::CellSize& size,
                         bool manager_fails) {
  fuzz::Cell cell(size, 1);
  SetUp(&cell);
  const int manager = ManagerOf(&cell, size);
  const int failing_entry =
      manager_fails ? manager : (manager + 1) % cell.entries();
  const int receiving_entry = (manager + 2) % cell.entries();
  int jobs = 0;
  base::TimePoint last_start;
  base::Duration longest_gap{0};
  std::uint64_t started = 0;
  const auto run = [&](base::Duration time) {
    for (base::Duration elapsed{0}; elapsed < time; elapsed += kStep) {
      cell.Ask(receiving_entry,
               MakeJob("job" + std::to_string(jobs++), 1, 500));
      cell.Run(kStep);
      const std::uint64_t now_started = cell.ledger().totals().runs.started;
      if (now_started > started) {
        longest_gap = std::max(longest_gap, cell.now() - last_start);
        last_start = cell.now();
        started = now_started;
      }
    }
  };
  last_start = cell.now();
  run(seconds(5));
  longest_gap = base::Duration(0);
  cell.Kill(failing_entry);
  run(kTimeAfterFailure);
  PrintFigure(name + (manager_fails ? ".death_of_manager" : ".death_of_other") +
                  "_longest_without_start",
              Seconds(longest_gap), "s");
}

}  // namespace

void MeasureTimings(const std::string& name, const fuzz::CellSize& size) {
  {
    fuzz::Cell cell(size, 1);
    SetUp(&cell);
    MeasureTickets(name, &cell);
    MeasureUrgent(name, size, &cell);
  }
  MeasureEntryFailure(name, size, true);
  MeasureEntryFailure(name, size, false);
}

}  // namespace dotterelbarrow::bench
