// Measures the cost of the core: simulates whole cells in virtual time and
// counts the time that the core's own calls take, its messages and its table
// operations.
//
// Prints one result per line: `figure NAME VALUE UNIT`. Times depend on the
// machine; counts are deterministic for a seed.
#include <sys/resource.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "bench/cell/timings.h"
#include "bench/figure.h"
#include "test/fuzz/cell.h"

namespace dotterelbarrow::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Scenario {
  std::string name;
  fuzz::CellSize size;
  // Tasks submitted per second, in jobs of `tasks_per_job` tasks.
  int starts_per_second = 0;
  int tasks_per_job = 10;
  base::Duration measured = seconds(5);
};

fuzz::CellSize MakeCellSize(int entries, int workers, int runners,
                            std::uint32_t partitions) {
  fuzz::CellSize size;
  size.entries = entries;
  size.workers = workers;
  size.runners = runners;
  size.per_shard = 8;
  size.partitions = partitions;
  size.worker = {base::Millicores(16000), base::Mebibytes(65536), {}, {}};
  size.slots = base::Slots(8);
  return size;
}

std::vector<Scenario> Scenarios() {
  return {
      {"amman_idle", MakeCellSize(7, 50, 50, 16), 0},
      {"amman_100_starts", MakeCellSize(7, 50, 50, 16), 100},
      {"workers_500_idle", MakeCellSize(7, 500, 50, 16), 0},
      {"workers_500_260_starts", MakeCellSize(7, 500, 50, 16), 260},
      {"fleet_3900_idle", MakeCellSize(63, 3900, 50, 64), 0},
      {"fleet_3900_260_starts", MakeCellSize(63, 3900, 50, 64), 260},
      {"one_entry_2000_starts", MakeCellSize(1, 500, 8, 16), 2000},
  };
}

struct TimingScenario {
  std::string name;
  fuzz::CellSize size;
};

std::vector<TimingScenario> TimingScenarios() {
  return {{"amman_timings", MakeCellSize(7, 50, 50, 16)},
          {"workers_500_timings", MakeCellSize(7, 500, 50, 16)}};
}

void Print(const Scenario& scenario, const char* name, double value,
           const char* unit) {
  std::printf("figure %s.%s %.3f %s\n", scenario.name.c_str(), name, value,
              unit);
}

core::WorkRequest MakeJob(int number, int tasks) {
  core::WorkRequest request;
  request.id = base::RequestId("job" + std::to_string(number));
  request.key = base::ApiKey("key-ovens");
  request.service = base::ServiceId("seats");
  request.kind = core::WorkKind::kBatch;
  request.task_count = static_cast<std::uint32_t>(tasks);
  request.demand = {base::Millicores(200), base::Mebibytes(256), {}, {}};
  request.payload = R"({"run_ms":1000})";
  return request;
}

// Submits jobs at the scenario's constant rate for `time` of virtual time.
// `jobs` counts the jobs submitted so far and numbers the next one.
void SubmitLoad(const Scenario& scenario, fuzz::Cell* cell, base::Duration time,
                int* jobs) {
  const base::TimePoint begin = cell->now();
  const int first = *jobs;
  while (cell->now() - begin < time) {
    const auto elapsed =
        std::chrono::duration<double>(cell->now() - begin).count();
    const double due =
        elapsed * scenario.starts_per_second / scenario.tasks_per_job;
    while (*jobs - first < due) {
      cell->Ask(*jobs % cell->entries(),
                MakeJob(*jobs, scenario.tasks_per_job));
      ++*jobs;
    }
    cell->Run(milliseconds(10));
  }
}

fuzz::Traffic SumTraffic(const std::map<std::string, fuzz::Traffic>& by_name) {
  fuzz::Traffic sum;
  for (const auto& [name, traffic] : by_name) {
    sum.messages += traffic.messages;
    sum.bytes += traffic.bytes;
  }
  return sum;
}

void AddTraffic(const std::map<std::string, fuzz::Traffic>& more,
                std::map<std::string, fuzz::Traffic>* sum) {
  for (const auto& [name, traffic] : more) {
    (*sum)[name].messages += traffic.messages;
    (*sum)[name].bytes += traffic.bytes;
  }
}

// The cost of the whole cell, and the longest time in core calls and the most
// bytes sent of a single entry.
struct CellCost {
  fuzz::Cost sum;
  double busiest_seconds = 0;
  double busiest_bytes = 0;
};

CellCost SumCosts(const std::vector<fuzz::Cost>& costs) {
  CellCost total;
  for (const fuzz::Cost& cost : costs) {
    const std::uint64_t bytes =
        SumTraffic(cost.to_peers).bytes + SumTraffic(cost.to_backends).bytes;
    total.busiest_seconds = std::max(total.busiest_seconds, cost.seconds);
    total.busiest_bytes =
        std::max(total.busiest_bytes, static_cast<double>(bytes));
    total.sum.seconds += cost.seconds;
    total.sum.table_reads += cost.table_reads;
    total.sum.table_writes += cost.table_writes;
    total.sum.reports.messages += cost.reports.messages;
    total.sum.reports.bytes += cost.reports.bytes;
    AddTraffic(cost.to_peers, &total.sum.to_peers);
    AddTraffic(cost.to_backends, &total.sum.to_backends);
    total.sum.handle_us.insert(total.sum.handle_us.end(),
                               cost.handle_us.begin(), cost.handle_us.end());
  }
  return total;
}

// Prints, for each kind of message, the messages and the bytes that the whole
// cell sends per second.
void PrintTraffic(const Scenario& scenario, const fuzz::Cost& sum,
                  double time) {
  const auto print = [&](const std::string& name,
                         const fuzz::Traffic& traffic) {
    const auto messages = static_cast<double>(traffic.messages);
    Print(scenario, ("message." + name + ".rate").c_str(), messages / time,
          "1/s");
    Print(scenario, ("message." + name + ".rate_bytes").c_str(),
          static_cast<double>(traffic.bytes) / time / 1000, "kB/s");
  };
  for (const auto& [name, traffic] : sum.to_peers) {
    print(name, traffic);
  }
  for (const auto& [name, traffic] : sum.to_backends) {
    print(name, traffic);
  }
  print("report", sum.reports);
}

// Events in the cell since its start.
struct Events {
  std::uint32_t starts = 0;
  // Changes of ownership, summed over the entries that observed them.
  std::uint64_t owner_changes = 0;
};

Events CountEvents(fuzz::Cell* cell) {
  Events events;
  events.starts = cell->ledger().totals().runs.started;
  for (int i = 0; i < cell->entries(); ++i) {
    events.owner_changes += cell->node(i).membership().owners_version();
  }
  return events;
}

void Report(const Scenario& scenario, const fuzz::Cell& cell,
            const Events& events) {
  const double time = std::chrono::duration<double>(scenario.measured).count();
  CellCost total = SumCosts(cell.costs());
  fuzz::Cost& sum = total.sum;
  const auto entries = static_cast<double>(cell.costs().size());
  Print(scenario, "core_cpu_mean", sum.seconds / time / entries * 100, "%");
  Print(scenario, "core_cpu_busiest", total.busiest_seconds / time * 100, "%");
  Print(scenario, "sent_busiest", total.busiest_bytes / time / 1000, "kB/s");
  const fuzz::Traffic peers = SumTraffic(sum.to_peers);
  const fuzz::Traffic backends = SumTraffic(sum.to_backends);
  const auto sent = static_cast<double>(peers.bytes + backends.bytes);
  Print(scenario, "sent_mean", sent / time / entries / 1000, "kB/s");
  Print(scenario, "peer_messages_mean",
        static_cast<double>(peers.messages) / time / entries, "1/s");
  Print(scenario, "backend_messages_mean",
        static_cast<double>(backends.messages) / time / entries, "1/s");
  PrintTraffic(scenario, sum, time);
  Print(scenario, "table_reads", static_cast<double>(sum.table_reads) / time,
        "1/s");
  Print(scenario, "table_writes", static_cast<double>(sum.table_writes) / time,
        "1/s");
  Print(scenario, "owner_changes", static_cast<double>(events.owner_changes),
        "times");
  Print(scenario, "starts", events.starts / time, "1/s");
  if (events.starts > 0) {
    Print(scenario, "core_time_a_start", sum.seconds / events.starts * 1e6,
          "us");
  }
  Print(scenario, "call_p50", Percentile(sum.handle_us, 0.5), "us");
  Print(scenario, "call_p99", Percentile(sum.handle_us, 0.99), "us");
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  Print(scenario, "process_peak", static_cast<double>(usage.ru_maxrss) / 1024,
        "MiB");
}

void Measure(const Scenario& scenario) {
  fuzz::Cell cell(scenario.size, 1);
  cell.Run(seconds(5));
  cell.SubmitTicket(0, fuzz::SetupTicket(1));
  cell.Run(seconds(3));
  int jobs = 0;
  SubmitLoad(scenario, &cell, seconds(3), &jobs);
  const Events before = CountEvents(&cell);
  cell.StartMeter();
  SubmitLoad(scenario, &cell, scenario.measured, &jobs);
  const Events after = CountEvents(&cell);
  Report(scenario, cell,
         {after.starts - before.starts,
          after.owner_changes - before.owner_changes});
}

}  // namespace
}  // namespace dotterelbarrow::bench

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  options::options_description description("dotterel-bench-cell");
  description.add_options()("help", "show this text")(
      "only", options::value<std::string>()->default_value(""),
      "run only the scenarios whose names contain this text");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description),
                   values);
  } catch (const options::error& error) {
    std::cerr << error.what() << "\n" << description;
    return 2;
  }
  if (values.contains("help")) {
    std::cout << description;
    return 0;
  }
  const std::string only = values["only"].as<std::string>();
  for (const auto& scenario : dotterelbarrow::bench::Scenarios()) {
    if (scenario.name.find(only) != std::string::npos) {
      dotterelbarrow::bench::Measure(scenario);
      std::fflush(stdout);
    }
  }
  for (const auto& timing : dotterelbarrow::bench::TimingScenarios()) {
    if (timing.name.find(only) != std::string::npos) {
      dotterelbarrow::bench::MeasureTimings(timing.name, timing.size);
    }
  }
  return 0;
}
