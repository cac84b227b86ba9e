// dotterel-standin-site: simulates the platform of one site in one process.
#include <boost/program_options.hpp>
#include <iostream>
#include <optional>

#include "dotterelbarrow/wire/event_loop.h"
#include "src/standins/program.h"
#include "src/standins/site/site_service.h"

namespace dotterelbarrow::standins::site {
namespace {

std::optional<SiteOptions> ParseOptions(int argc, char** argv) {
  namespace po = boost::program_options;
  SiteOptions options;
  po::options_description flags("dotterel-standin-site");
  flags.add_options()("help", "show this")(
      "store", po::value(&options.store)->required(), "ip:port of the store")(
      "advisor", po::value(&options.advisor)->required(),
      "ip:port of the advisor")("control",
                                po::value(&options.control)->required(),
                                "ip:port of the control requests")(
      "worker-ip", po::value(&options.worker_ip)->default_value("127.0.0.1"),
      "address of the workers")(
      "first-worker-port", po::value(&options.first_worker_port)->required(),
      "port of the first worker")(
      "workers", po::value(&options.workers)->required(), "number of workers")(
      "cores", po::value(&options.cores)->default_value(4),
      "cores of each worker")("seed",
                              po::value(&options.seed)->default_value(1),
                              "seed of random faults");
  if (!ReadFlags(argc, argv, flags)) {
    return std::nullopt;
  }
  return options;
}

int Run(const SiteOptions& options) {
  wire::EventLoop loop;
  const StopOnSignals stop(&loop);
  SiteService site(&loop, options);
  base::Failure reason;
  if (!site.Listen(&reason)) {
    std::cerr << reason.detail << "\n";
    return 1;
  }
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace dotterelbarrow::standins::site

int main(int argc, char** argv) {
  namespace site = dotterelbarrow::standins::site;
  return dotterelbarrow::standins::Main(argc, argv, site::ParseOptions,
                                        site::Run);
}
