// Parses the command line with Boost.Program_options in two steps: first the
// options of every command and the name of the command, then the command's
// own options and arguments.
#include "src/ctl/command_line.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <limits>
#include <sstream>
#include <utility>

#include "dotterelbarrow/base/socket_address.h"

namespace dotterelbarrow::ctl {
namespace {

namespace options = boost::program_options;
using base::Failure;
using base::FailureCode;

constexpr char kDefaultEntry[] = "127.0.0.1:7101";
constexpr std::int64_t kDefaultTimeoutMs = 30'000;
constexpr std::int64_t kMaxTimeoutMs = 3'600'000;
constexpr std::int64_t kMaxAmount = 1'000'000'000'000;

constexpr char kExitCodes[] = R"(
exit codes:
  0 done, running or accepted    2 invalid usage
  3 rejected, nothing was run    4 ran, and failed or was cancelled
  5 unknown, may have run        6 no entry host could be reached
)";

struct CommandHelp {
  const char* name;
  const char* arguments;
  const char* help;
};

// The maximum number of log files of one command; more than a cell has hosts.
constexpr std::size_t kMaxLogFiles = 1000;

constexpr CommandHelp kCommands[] = {
    {"ticket apply", "FILE|-", "submit a change ticket"},
    {"ticket history", "", "show the latest applied tickets"},
    {"submit", "[FILE|-] [flags]", "submit a request or a job"},
    {"status", "JOB [--follow]", "show the status of a job"},
    {"cancel", "JOB", "cancel a job"},
    {"explain", "JOB [LOG...] | FILE|- --queue QUEUE --organisation NAME",
     "show a job's timeline from entry hosts' logs; without logs, ask the "
     "owner's metrics address (--entry) where the job, or one described in "
     "FILE, would be placed now"},
    {"members", "", "show the entry hosts and which of them are alive"},
    {"teams", "", "show teams, shares and limits"},
    {"services", "", "show services and who may use them"},
    {"room", "", "show the free resources of the entry host's backend servers"},
    {"metrics", "", "show the entry host's metrics"},
};

constexpr std::pair<const char*, Page> kPages[] = {
    {"ticket history", Page::kTicketHistory},
    {"members", Page::kMembers},
    {"teams", Page::kTeams},
    {"services", Page::kServices},
    {"room", Page::kRoom},
    {"metrics", Page::kMetrics}};

options::options_description CommonDescription() {
  options::options_description description("options of every command");
  auto add = description.add_options();
  add("entry",
      options::value<std::vector<std::string>>()->composing()->value_name(
          "IP:PORT"),
      "an entry host; may be repeated, each is tried in turn until one can be "
      "reached (default 127.0.0.1:7101)");
  add("key", options::value<std::string>()->value_name("KEY"),
      "the team's key (default: the environment variable DOTTEREL_KEY)");
  add("output",
      options::value<std::string>()->default_value("table")->value_name(
          "table|json"),
      "output format");
  add("timeout-ms",
      options::value<std::int64_t>()
          ->default_value(kDefaultTimeoutMs)
          ->value_name("MS"),
      "timeout of a call to one entry host");
  add("help", "show help, or the help of COMMAND");
  return description;
}

options::options_description SubmitDescription() {
  options::options_description description("submit");
  auto add = description.add_options();
  const auto text = [] { return options::value<std::string>(); };
  const auto number = [] { return options::value<std::int64_t>(); };
  add("id", text(), "the request's id, unique within the team; required");
  add("service", text(), "the service or queue; required");
  add("kind", text()->default_value("interactive"),
      "interactive, batch, all_at_once or service");
  add("tasks", number()->default_value(1), "number of tasks of a job");
  add("cpu", number()->default_value(0), "thousandths of a core for each task");
  add("memory", number()->default_value(0), "MiB for each task");
  add("accelerators", number()->default_value(0), "accelerators for each task");
  add("slots", number(),
      "slots for each task (default 1 for interactive, else 0)");
  add("expected-run-ms", number()->default_value(0),
      "expected run time of a task");
  add("deadline-ms", number()->default_value(0),
      "how long to wait for the outcome; required for interactive requests");
  add("not-idempotent", options::bool_switch(), "must run at most once");
  add("idempotency-key", text()->default_value(""),
      "identifies a request that must run at most once");
  add("urgent", options::bool_switch(), "may preempt batch work");
  add("payload", text()->default_value(""),
      "passed on to the backend server unchanged");
  return description;
}

options::options_description StatusDescription() {
  options::options_description description("status");
  description.add_options()("follow", options::bool_switch(),
                            "wait until the job has ended");
  return description;
}

options::options_description ExplainDescription() {
  options::options_description description("explain");
  auto add = description.add_options();
  add("queue", options::value<std::string>()->default_value(""),
      "the queue of a job described in FILE");
  add("organisation", options::value<std::string>()->default_value(""),
      "its organisation");
  return description;
}

// Returns the value of the option `name`. Sets `*failure` if it is out of
// range.
std::int64_t IntegerOption(const options::variables_map& values,
                           const char* name, std::int64_t min, std::int64_t max,
                           Failure* failure) {
  const auto value = values[name].as<std::int64_t>();
  if (value < min || value > max) {
    *failure = {FailureCode::kOutOfRange,
                std::string("--") + name + ": found " + std::to_string(value) +
                    ", expected " + std::to_string(min) + " to " +
                    std::to_string(max)};
  }
  return value;
}

std::string GeneralHelpText() {
  std::ostringstream text;
  text << "usage: dotterelctl [options] COMMAND\n\ncommands:\n";
  for (const CommandHelp& command : kCommands) {
    text << "  " << command.name << " " << command.arguments << "\n      "
         << command.help << "\n";
  }
  text << "\n" << CommonDescription() << kExitCodes;
  return text.str();
}

std::string HelpText(const CommandHelp& command) {
  const std::string name = command.name;
  std::ostringstream text;
  text << "usage: dotterelctl [options] " << name << " " << command.arguments
       << "\n"
       << command.help << "\n\n";
  if (name == "submit") {
    text << SubmitDescription() << "\n";
  } else if (name == "status") {
    text << StatusDescription() << "\n";
  } else if (name == "explain") {
    text << ExplainDescription() << "\n";
  }
  text << CommonDescription() << kExitCodes;
  return text.str();
}

// Removes the name of a command from the front of `arguments` and returns the
// command, or returns null if there is none.
const CommandHelp* ExtractCommand(std::vector<std::string>* arguments) {
  for (const CommandHelp& command : kCommands) {
    std::istringstream name(command.name);
    std::vector<std::string> parts;
    for (std::string part; name >> part;) {
      parts.push_back(part);
    }
    if (arguments->size() >= parts.size() &&
        std::equal(parts.begin(), parts.end(), arguments->begin())) {
      arguments->erase(
          arguments->begin(),
          arguments->begin() + static_cast<std::ptrdiff_t>(parts.size()));
      return &command;
    }
  }
  return nullptr;
}

Failure ParseCommonOptions(const options::variables_map& values,
                           CommonOptions* common) {
  Failure failure;
  const std::string output = values["output"].as<std::string>();
  if (output != "table" && output != "json") {
    failure = {FailureCode::kUnknownValue,
               "--output: found \"" + output + "\", expected table or json"};
  }
  common->output =
      output == "json" ? OutputFormat::kJson : OutputFormat::kTable;
  common->timeout = std::chrono::milliseconds(
      IntegerOption(values, "timeout-ms", 1, kMaxTimeoutMs, &failure));
  if (values.contains("key")) {
    common->key = values["key"].as<std::string>();
  }
  common->entries = {kDefaultEntry};
  if (values.contains("entry")) {
    common->entries = values["entry"].as<std::vector<std::string>>();
  }
  for (const std::string& entry : common->entries) {
    base::ParseSocketAddress(entry, &failure);
  }
  return failure;
}

Command ParseSubmitFlags(const options::variables_map& values) {
  Failure failure;
  core::WorkRequest request;
  for (const char* required : {"id", "service"}) {
    if (!values.contains(required)) {
      return Failure{FailureCode::kMissingField,
                     std::string("submit needs a FILE, or --") + required};
    }
  }
  request.id = base::RequestId(values["id"].as<std::string>());
  request.service = base::ServiceId(values["service"].as<std::string>());
  const auto kind = core::ParseWorkKind(values["kind"].as<std::string>());
  if (!kind) {
    return Failure{FailureCode::kUnknownValue,
                   "--kind: expected interactive, batch, all_at_once or "
                   "service"};
  }
  request.kind = *kind;
  const auto amount = [&](const char* name) {
    return IntegerOption(values, name, 0, kMaxAmount, &failure);
  };
  request.task_count = static_cast<std::uint32_t>(IntegerOption(
      values, "tasks", 1, std::numeric_limits<std::uint32_t>::max(), &failure));
  request.demand.cpu = base::Millicores(amount("cpu"));
  request.demand.memory = base::Mebibytes(amount("memory"));
  request.demand.accelerators = base::Accelerators(amount("accelerators"));
  const bool is_interactive = *kind == core::WorkKind::kInteractive;
  request.demand.slots = base::Slots(
      values.contains("slots") ? amount("slots") : (is_interactive ? 1 : 0));
  request.expected_run = std::chrono::milliseconds(amount("expected-run-ms"));
  request.deadline = std::chrono::milliseconds(amount("deadline-ms"));
  request.idempotent = !values["not-idempotent"].as<bool>();
  request.idempotency_key =
      base::IdempotencyKey(values["idempotency-key"].as<std::string>());
  request.urgent = values["urgent"].as<bool>();
  request.payload = values["payload"].as<std::string>();
  if (failure.code != FailureCode::kNone) {
    return failure;
  }
  return SubmitRequest{std::move(request)};
}

Command ParseSubmitFile(const std::string& file,
                        const options::variables_map& values) {
  for (const auto& [name, value] : values) {
    const bool is_set = value.value().type() == typeid(bool)
                            ? value.as<bool>()
                            : !value.defaulted();
    if (is_set) {
      std::string detail = "submit takes a FILE or flags, found both ";
      detail.append(file).append(" and --").append(name);
      return Failure{FailureCode::kUnknownField, std::move(detail)};
    }
  }
  return SubmitFile{file};
}

// Parses `arguments` as the options in `description` and at most
// `max_positional` positional arguments.
Failure ParseCommandOptions(const std::vector<std::string>& arguments,
                            const options::options_description& description,
                            std::size_t max_positional,
                            options::variables_map* values,
                            std::vector<std::string>* positional) {
  const auto parsed = options::command_line_parser(arguments)
                          .options(description)
                          .allow_unregistered()
                          .run();
  options::store(parsed, *values);
  for (const auto& option : parsed.options) {
    if (option.unregistered && option.position_key < 0) {
      return {FailureCode::kUnknownField,
              "unknown option " + option.original_tokens.front()};
    }
    if (option.position_key >= 0) {
      positional->insert(positional->end(), option.value.begin(),
                         option.value.end());
    }
  }
  if (positional->size() > max_positional) {
    return {FailureCode::kUnknownField, "unexpected " + positional->back()};
  }
  return {};
}

Command ParseCommand(const CommandHelp& command,
                     const std::vector<std::string>& arguments) {
  const std::string name = command.name;
  const bool takes_argument = command.arguments[0] != '\0';
  options::options_description command_options;
  if (name == "submit") {
    command_options.add(SubmitDescription());
  } else if (name == "status") {
    command_options.add(StatusDescription());
  } else if (name == "explain") {
    command_options.add(ExplainDescription());
  }
  options::variables_map values;
  std::vector<std::string> positional;
  const bool takes_files = name == "explain";
  const std::size_t max_positional = takes_files      ? kMaxLogFiles + 1
                                     : takes_argument ? 1
                                                      : 0;
  const Failure failure = ParseCommandOptions(
      arguments, command_options, max_positional, &values, &positional);
  if (failure.code != FailureCode::kNone) {
    return failure;
  }
  if (name == "submit" && positional.empty()) {
    return ParseSubmitFlags(values);
  }
  if (name == "submit") {
    return ParseSubmitFile(positional.front(), values);
  }
  if (takes_argument && positional.empty()) {
    return Failure{FailureCode::kMissingField,
                   name + " needs " + command.arguments};
  }
  if (name == "ticket apply") {
    return ApplyTicket{positional.front()};
  }
  if (name == "status") {
    return JobStatus{positional.front(), values["follow"].as<bool>()};
  }
  if (name == "cancel") {
    return CancelJob{positional.front()};
  }
  if (takes_files && positional.size() == 1) {
    ExplainPlacement explain{positional.front(),
                             values["queue"].as<std::string>(),
                             values["organisation"].as<std::string>()};
    if (explain.queue.empty() != explain.organisation.empty()) {
      return Failure{FailureCode::kMissingField,
                     "explain needs both --queue and --organisation for a "
                     "FILE, and neither for a JOB"};
    }
    return explain;
  }
  if (takes_files) {
    return ExplainJob{positional.front(),
                      {positional.begin() + 1, positional.end()}};
  }
  for (const auto& [page_name, page] : kPages) {
    if (name == page_name) {
      return ShowPage{page};
    }
  }
  return Failure{FailureCode::kUnknownValue, "unknown command " + name};
}

Command ParseArguments(const std::vector<std::string>& arguments,
                       CommonOptions* common) {
  // A variable, since `parsed` keeps a pointer to it.
  const options::options_description description = CommonDescription();
  const options::parsed_options parsed = options::command_line_parser(arguments)
                                             .options(description)
                                             .allow_unregistered()
                                             .run();
  options::variables_map values;
  options::store(parsed, values);
  std::vector<std::string> rest = options::collect_unrecognized(
      parsed.options, options::include_positional);
  const CommandHelp* command = ExtractCommand(&rest);
  if (values.contains("help")) {
    return ShowHelp{command == nullptr ? GeneralHelpText()
                                       : HelpText(*command)};
  }
  if (command == nullptr) {
    return Failure{FailureCode::kUnknownValue,
                   rest.empty() ? "a command is required; see --help"
                                : "unknown command " + rest.front()};
  }
  const Failure failure = ParseCommonOptions(values, common);
  if (failure.code != FailureCode::kNone) {
    return failure;
  }
  return ParseCommand(*command, rest);
}

}  // namespace

CommandLine ParseCommandLine(const std::vector<std::string>& arguments,
                             const std::string& environment_key) {
  CommandLine line;
  line.common.key = environment_key;
  try {
    line.command = ParseArguments(arguments, &line.common);
  } catch (const options::error& error) {
    line.command = Failure{FailureCode::kMalformed, error.what()};
  }
  return line;
}

}  // namespace dotterelbarrow::ctl
