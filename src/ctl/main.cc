// dotterelctl: the command-line client of the entry hosts, for operators and
// callers.
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <variant>
#include <vector>

#include "src/ctl/command_line.h"
#include "src/ctl/commands.h"
#include "src/ctl/entry_client.h"

namespace dotterelbarrow::ctl {
namespace {

constexpr base::Duration kPollPeriod = std::chrono::seconds(1);

ExitCode Main(const std::vector<std::string>& arguments) {
  const char* key = std::getenv("DOTTEREL_KEY");
  const CommandLine line =
      ParseCommandLine(arguments, key == nullptr ? "" : key);
  wire::EventLoop loop;
  EntryClient client(&loop, line.common.entries, line.common.key,
                     line.common.timeout);
  CommandRunner runner(&client, line.common.output, kPollPeriod, &std::cin,
                       &std::cout, &std::cerr);
  return std::visit(runner, line.command);
}

}  // namespace
}  // namespace dotterelbarrow::ctl

int main(int argc, char** argv) {
  // Ignored, so that an entry host that closes the connection early causes a
  // failed call instead of terminating the process.
  std::signal(SIGPIPE, SIG_IGN);
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return static_cast<int>(dotterelbarrow::ctl::Main(arguments));
}
