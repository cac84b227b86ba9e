// dotterel-standin-platform: simulates the platform's table service, object
// store and host list in one process.
#include <glog/logging.h>

#include <boost/program_options.hpp>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "dotterelbarrow/base/failure.h"
#include "dotterelbarrow/wire/event_loop.h"
#include "src/standins/host_file.h"
#include "src/standins/platform/platform_service.h"
#include "src/standins/program.h"

namespace dotterelbarrow::standins {
namespace {

struct Options {
  std::vector<std::string> listen;
  std::string hosts;
  std::uint32_t host_list_lag_ms = 0;
};

// Returns nothing if the help text was printed.
std::optional<Options> ParseOptions(int argc, char** argv) {
  namespace po = boost::program_options;
  Options options;
  po::options_description flags("dotterel-standin-platform");
  flags.add_options()("help", "show this")(
      "listen", po::value(&options.listen)->required()->composing(),
      "ip:port to serve on; may be given several times")(
      "hosts", po::value(&options.hosts), "file with the host list")(
      "host-list-lag-ms", po::value(&options.host_list_lag_ms),
      "delay before the host list shows a change");
  if (!ReadFlags(argc, argv, flags)) {
    return std::nullopt;
  }
  return options;
}

int Run(const Options& options) {
  wire::EventLoop loop;
  const StopOnSignals stop(&loop);
  PlatformService service(&loop,
                          std::chrono::milliseconds(options.host_list_lag_ms));
  base::Failure reason;
  if (!options.hosts.empty()) {
    auto hosts = ReadHostFile(options.hosts, &reason);
    if (!hosts) {
      LOG(ERROR) << options.hosts << ": " << reason.detail;
      return 1;
    }
    service.SetHosts(std::move(*hosts));
  }
  for (const std::string& address : options.listen) {
    if (!service.Listen(address, &reason)) {
      LOG(ERROR) << address << ": " << reason.detail;
      return 1;
    }
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
