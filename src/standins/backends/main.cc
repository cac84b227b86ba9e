// dotterel-standin-backends: simulates many workers and runners in one process,
// each on its own port.
//
// They are given either by a file with a JSON array of HostRecords (--hosts) or
// by flags that describe a number of identical ones.
#include <glog/logging.h>

#include <boost/program_options.hpp>
#include <cstddef>
#include <cstdint>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "dotterelbarrow/base/failure.h"
#include "dotterelbarrow/wire/event_loop.h"
#include "src/standins/backends/fleet.h"
#include "src/standins/backends/host_plan.h"
#include "src/standins/host_file.h"
#include "src/standins/program.h"

namespace dotterelbarrow::standins {
namespace {

struct Options {
  std::string hosts;
  std::string control;
  std::size_t connections = 64;
  HostPlan plan;
  std::string kind = "worker";
  std::string availability_zones;
  std::int64_t cpu_millicores = 16'000;
  std::int64_t memory_mib = 65'536;
  std::int64_t accelerators = 0;
  std::int64_t slots = 8;
};

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

// Completes the plan from the flags that aren't bound to it directly.
void CompletePlan(Options* options) {
  HostPlan& plan = options->plan;
  plan.availability_zones = SplitAtCommas(options->availability_zones);
  if (options->kind == core::ToString(core::BackendKind::kRunner)) {
    plan.kind = core::BackendKind::kRunner;
    plan.capacity.slots = base::Slots(options->slots);
  } else {
    plan.capacity.cpu = base::Millicores(options->cpu_millicores);
    plan.capacity.memory = base::Mebibytes(options->memory_mib);
    plan.capacity.accelerators = base::Accelerators(options->accelerators);
  }
}

// Returns nothing if the help text was printed.
std::optional<Options> ParseOptions(int argc, char** argv) {
  namespace po = boost::program_options;
  Options options;
  HostPlan& plan = options.plan;
  po::options_description flags("dotterel-standin-backends");
  flags.add_options()("help", "show this")("hosts", po::value(&options.hosts),
                                           "file with the hosts to simulate")(
      "control", po::value(&options.control)->required(),
      "ip:port of the control pages")(
      "connections", po::value(&options.connections),
      "connection limit of each backend server")(
      "kind", po::value(&options.kind), "worker or runner")(
      "count", po::value(&plan.count),
      "number of backend servers, without --hosts")("ip", po::value(&plan.ip),
                                                    "address to listen on")(
      "base-port", po::value(&plan.base_port),
      "port of the first backend server")(
      "cpu-millicores", po::value(&options.cpu_millicores), "of a worker")(
      "memory-mib", po::value(&options.memory_mib), "of a worker")(
      "accelerators", po::value(&options.accelerators), "of a worker")(
      "slots", po::value(&options.slots), "of a runner")(
      "shard-prefix", po::value(&plan.shard_prefix),
      "prefix of the shard names")("per-rack", po::value(&plan.per_rack),
                                   "hosts in a shard")(
      "availability-zones", po::value(&options.availability_zones),
      "comma-separated")("service", po::value(&plan.service),
                         "service of the runners");
  if (!ReadFlags(argc, argv, flags)) {
    return std::nullopt;
  }
  CompletePlan(&options);
  return options;
}

int Run(const Options& options) {
  wire::EventLoop loop;
  const StopOnSignals stop(&loop);
  base::Failure reason;
  std::vector<core::HostRecord> hosts = MakeHosts(options.plan);
  if (!options.hosts.empty()) {
    auto read = ReadHostFile(options.hosts, &reason);
    if (!read) {
      LOG(ERROR) << options.hosts << ": " << reason.detail;
      return 1;
    }
    hosts = std::move(*read);
  }
  Fleet fleet(&loop);
  for (const core::HostRecord& host : hosts) {
    if (!fleet.Add(host, options.connections, &reason)) {
      LOG(ERROR) << host.address << ": " << reason.detail;
      return 1;
    }
  }
  if (!fleet.ListenControl(options.control, &reason)) {
    LOG(ERROR) << options.control << ": " << reason.detail;
    return 1;
  }
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace dotterelbarrow::standins

int main(int argc, char** argv) {
  namespace standins = dotterelbarrow::standins;
  return standins::Main(argc, argv, standins::ParseOptions, standins::Run);
}
