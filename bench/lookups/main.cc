// Measures the latency of interactive requests: end to end through entry hosts,
// or sent directly to runners for comparison.
//
//   dotterel-bench-lookups --entry 127.0.0.1:7101 --key KEY --rate 5000
//   dotterel-bench-lookups --runner runner0@127.0.0.1:7201 --rate 2500
//
// Prints "figure NAME VALUE UNIT" lines. scripts/bench-lookups starts the
// needed processes on loopback and runs this program.
#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bench/figure.h"
#include "bench/lookups/load.h"
#include "dotterelbarrow/wire/codec.h"

namespace dotterelbarrow::bench {
namespace {

namespace options = boost::program_options;

constexpr base::Duration kTimeout = std::chrono::seconds(10);
constexpr base::Duration kRenewalInterval = std::chrono::seconds(1);
constexpr base::Duration kLeaseDuration = std::chrono::seconds(6);
constexpr char kPayload[] = R"({"run_ms":1})";

struct Options {
  std::vector<std::string> entries;
  std::vector<std::string> runners;
  std::string key;
  std::string service;
  std::string prefix;
  double rate = 0;
  double seconds = 0;
};

std::optional<Options> ParseOptions(int argc, char** argv) {
  Options parsed;
  options::options_description description("options");
  auto add = description.add_options();
  add("help", "show this text");
  add("entry", options::value(&parsed.entries), "address of an entry host");
  add("runner", options::value(&parsed.runners), "NAME@ADDRESS of a runner");
  add("key", options::value(&parsed.key), "the team's API key");
  add("service", options::value(&parsed.service)->default_value("seats"),
      "service that the requests are for");
  add("name", options::value(&parsed.prefix)->default_value("lookups"),
      "prefix of the names of the results");
  add("rate", options::value(&parsed.rate)->default_value(1000),
      "requests per second");
  add("seconds", options::value(&parsed.seconds)->default_value(10),
      "duration of the load, in seconds");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    options::notify(values);
    if (values.count("help") == 0 &&
        parsed.entries.empty() != parsed.runners.empty()) {
      return parsed;
    }
  } catch (const options::error& error) {
    std::cerr << error.what() << '\n';
  }
  std::cerr << "specify either --entry or --runner, once or several times\n"
            << description;
  return std::nullopt;
}

// Claims a runner with a lease that this process renews, so that the runner
// accepts requests from this process.
class DirectRunner {
 public:
  DirectRunner(const wire::EventLoop* loop, wire::HttpClient* client,
               const std::string& name_at_address)
      : client_(client),
        renewal_(*loop, kRenewalInterval, [this] { Renew(); }) {
    const std::size_t at = name_at_address.find('@');
    sync_.backend = base::BackendId(name_at_address.substr(0, at));
    address_ = name_at_address.substr(at + 1);
    sync_.epoch = {1, base::EntryId("bench")};
    sync_.lease_duration = kLeaseDuration;
    Renew();
  }

  bool is_leased() const { return is_leased_; }

  wire::HttpCall CallOf(std::uint64_t number) const {
    core::RunCommand command;
    command.backend = sync_.backend;
    command.epoch = sync_.epoch;
    command.call = base::CallId(number + 1);
    command.task.id.job = {base::TeamId("bench"),
                           base::RequestId("d" + std::to_string(number))};
    command.task.kind = core::WorkKind::kInteractive;
    command.task.demand.slots = base::Slots(1);
    command.task.payload = kPayload;
    command.time_left = kTimeout;
    return {.address = address_,
            .uri = "/v1/run",
            .body = wire::Encode(command),
            .timeout = kTimeout};
  }

 private:
  void Renew() {
    client_->Call({.address = address_,
                   .uri = "/v1/sync",
                   .body = wire::Encode(sync_),
                   .timeout = kRenewalInterval},
                  [this](const wire::HttpResult& result) { OnReport(result); });
  }
  void OnReport(const wire::HttpResult& result) {
    base::Failure reason;
    const auto report = wire::Decode<core::BackendReport>(
        result.body, wire::Members::kAny, &reason);
    if (!report) {
      return;
    }
    // The lease is valid only after a renewal has echoed the token of an
    // earlier report. The first report provides that token.
    is_leased_ = report->lease_valid;
    sync_.lease_token = report->lease_token;
    if (!is_leased_) {
      Renew();
    }
  }

  wire::HttpClient* client_;
  std::string address_;
  core::BackendSync sync_;
  bool is_leased_ = false;
  wire::PeriodicTimer renewal_;
};

// Requests to the entry hosts in turn, as a caller sends them.
Load::Kind EntryRequests(const Options& parsed) {
  return {[&parsed](std::uint64_t number) {
            const std::string id = parsed.prefix + std::to_string(number);
            return wire::HttpCall{
                .address = parsed.entries[number % parsed.entries.size()],
                .uri = "/v1/requests",
                .body = R"({"id":")" + id + R"(","service":")" +
                        parsed.service +
                        R"(","kind":"interactive","demand":{"slots":1},)"
                        R"("deadline_us":5000000,"payload":"{\"run_ms\":1}"})",
                .bearer = parsed.key,
                .timeout = kTimeout};
          },
          [](const wire::HttpResult& result) {
            return result.body.find(R"("outcome":"done")") != std::string::npos;
          }};
}

// Run commands to the runners in turn, without an entry host.
Load::Kind RunnerCommands(
    const std::vector<std::unique_ptr<DirectRunner>>& runners) {
  return {[&runners](std::uint64_t number) {
            return runners[number % runners.size()]->CallOf(number);
          },
          [](const wire::HttpResult& result) {
            return result.body.find(R"("status":"done")") != std::string::npos;
          }};
}

void Print(const Options& parsed, const LoadResult& result) {
  const auto latency = [&](const char* name, double fraction) {
    PrintFigure(parsed.prefix + "_" + name,
                Percentile(result.latencies_ms, fraction), "ms");
  };
  PrintFigure(parsed.prefix + "_rate", parsed.rate, "requests/s");
  PrintFigure(parsed.prefix + "_sent", static_cast<double>(result.sent),
              "requests");
  PrintFigure(parsed.prefix + "_done", static_cast<double>(result.right),
              "requests");
  latency("p50", 0.5);
  latency("p99", 0.99);
  latency("p999", 0.999);
}

int Run(const Options& parsed) {
  wire::EventLoop loop;
  wire::HttpClient client(loop, {});
  std::vector<std::unique_ptr<DirectRunner>> runners;
  for (const std::string& runner : parsed.runners) {
    runners.push_back(std::make_unique<DirectRunner>(&loop, &client, runner));
  }
  loop.RunUntil([&] {
    for (const auto& runner : runners) {
      if (!runner->is_leased()) {
        return false;
      }
    }
    return true;
  });
  Load load(&loop, &client,
            runners.empty() ? EntryRequests(parsed) : RunnerCommands(runners),
            parsed.rate);
  load.Begin(static_cast<std::uint64_t>(parsed.rate * parsed.seconds));
  loop.RunUntil([&load] { return load.is_done(); });
  Print(parsed, load.result());
  return load.result().right == load.result().sent ? EXIT_SUCCESS
                                                   : EXIT_FAILURE;
}

}  // namespace
}  // namespace dotterelbarrow::bench

int main(int argc, char** argv) {
  const auto parsed = dotterelbarrow::bench::ParseOptions(argc, argv);
  return parsed ? dotterelbarrow::bench::Run(*parsed) : 2;
}
