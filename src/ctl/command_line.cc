// Reads the command line with Boost.Program_options, in two steps: what holds
// for all commands and the command's words, then the command's own options.
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
  0 done, running or accepted    2 wrong usage
  3 refused, nothing was run     4 ran, and failed or was cancelled
  5 unknown, may have run        6 no entry host could be reached
)";

struct CommandHelp {
  const char* words;
  const char* arguments;
  const char* help;
};

// Logs that one command reads; more than a cell has hosts.
constexpr std::size_t kMostLogs = 1000;

constexpr CommandHelp kCommands[] = {
    {"ticket apply", "FILE|-", "hand in a change ticket"},
    {"ticket history", "", "show the latest tickets in force"},
    {"submit", "[FILE|-] [flags]", "hand in a request or a job"},
    {"status", "JOB [--follow]", "show what became of a job"},
    {"cancel", "JOB", "withdraw a job"},
    {"explain", "JOB FILE...", "tell a job's story from entry hosts' logs"},
    {"members", "", "show the entry hosts and who of them is alive"},
    {"teams", "", "show teams, shares and limits"},
    {"services", "", "show services and who may use them"},
    {"room", "", "show what the entry host's backend servers have free"},
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
      "an entry host; may be given again, the next one is tried where one "
      "can't be reached (default 127.0.0.1:7101)");
  add("key", options::value<std::string>()->value_name("KEY"),
      "the team's key (default: the environment's DOTTEREL_KEY)");
  add("output",
      options::value<std::string>()->default_value("table")->value_name(
          "table|json"),
      "how to show the answer");
  add("timeout-ms",
      options::value<std::int64_t>()
          ->default_value(kDefaultTimeoutMs)
          ->value_name("MS"),
      "how long one entry host's answer is awaited");
  add("help", "show help, for the command if one is given");
  return description;
}

options::options_description SubmitDescription() {
  options::options_description description("submit");
  auto add = description.add_options();
  const auto text = [] { return options::value<std::string>(); };
  const auto number = [] { return options::value<std::int64_t>(); };
  add("id", text(), "the request's id, unique for the team; required");
  add("service", text(), "the service or queue; required");
  add("kind", text()->default_value("interactive"),
      "interactive, batch, all_at_once or service");
  add("tasks", number()->default_value(1), "tasks of a job");
  add("cpu", number()->default_value(0), "thousandths of a core a task");
  add("memory", number()->default_value(0), "MiB a task");
  add("accelerators", number()->default_value(0), "accelerators a task");
  add("slots", number(), "slots a task (default 1 for interactive, else 0)");
  add("expected-run-ms", number()->default_value(0), "how long a task runs");
  add("deadline-ms", number()->default_value(0),
      "how long the outcome is waited for; required for interactive requests");
  add("not-idempotent", options::bool_switch(), "must run at most once");
  add("idempotency-key", text()->default_value(""),
      "claims a request that must run at most once");
  add("urgent", options::bool_switch(), "may preempt batch work");
  add("payload", text()->default_value(""), "passed on unread");
  return description;
}

options::options_description StatusDescription() {
  options::options_description description("status");
  description.add_options()("follow", options::bool_switch(),
                            "wait until the job has ended");
  return description;
}

// A number on the command line, or a failure that names it.
std::int64_t Amount(const options::variables_map& values, const char* name,
                    std::int64_t least, std::int64_t most, Failure* failure) {
  const auto value = values[name].as<std::int64_t>();
  if (value < least || value > most) {
    *failure = {FailureCode::kOutOfRange,
                std::string("--") + name + ": found " + std::to_string(value) +
                    ", expected " + std::to_string(least) + " to " +
                    std::to_string(most)};
  }
  return value;
}

std::string GeneralHelp() {
  std::ostringstream text;
  text << "usage: dotterelctl [options] COMMAND\n\ncommands:\n";
  for (const CommandHelp& command : kCommands) {
    text << "  " << command.words << " " << command.arguments << "\n      "
         << command.help << "\n";
  }
  text << "\n" << CommonDescription() << kExitCodes;
  return text.str();
}

std::string HelpOf(const CommandHelp& command) {
  const std::string words = command.words;
  std::ostringstream text;
  text << "usage: dotterelctl [options] " << words << " " << command.arguments
       << "\n"
       << command.help << "\n\n";
  if (words == "submit") {
    text << SubmitDescription() << "\n";
  } else if (words == "status") {
    text << StatusDescription() << "\n";
  }
  text << CommonDescription() << kExitCodes;
  return text.str();
}

// Splits the command's words off the front of `words`, or returns null.
const CommandHelp* TakeCommand(std::vector<std::string>* words) {
  for (const CommandHelp& command : kCommands) {
    std::istringstream expected(command.words);
    std::vector<std::string> parts;
    for (std::string part; expected >> part;) {
      parts.push_back(part);
    }
    if (words->size() >= parts.size() &&
        std::equal(parts.begin(), parts.end(), words->begin())) {
      words->erase(words->begin(),
                   words->begin() + static_cast<std::ptrdiff_t>(parts.size()));
      return &command;
    }
  }
  return nullptr;
}

Failure ReadCommon(const options::variables_map& values,
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
      Amount(values, "timeout-ms", 1, kMaxTimeoutMs, &failure));
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

Command ReadSubmit(const options::variables_map& values) {
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
    return Amount(values, name, 0, kMaxAmount, &failure);
  };
  request.task_count = static_cast<std::uint32_t>(Amount(
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

Command ReadSubmitFile(const std::string& file,
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

// Reads `arguments` by `description`, with at most `most` words besides.
Failure ReadOwn(const std::vector<std::string>& arguments,
                const options::options_description& description,
                std::size_t most, options::variables_map* values,
                std::vector<std::string>* words) {
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
      words->insert(words->end(), option.value.begin(), option.value.end());
    }
  }
  if (words->size() > most) {
    return {FailureCode::kUnknownField, "unexpected " + words->back()};
  }
  return {};
}

Command ReadCommand(const CommandHelp& command,
                    const std::vector<std::string>& arguments) {
  const std::string name = command.words;
  const bool takes_word = command.arguments[0] != '\0';
  options::options_description own;
  if (name == "submit") {
    own.add(SubmitDescription());
  } else if (name == "status") {
    own.add(StatusDescription());
  }
  options::variables_map values;
  std::vector<std::string> words;
  const bool takes_files = name == "explain";
  const std::size_t most = takes_files ? kMostLogs + 1 : takes_word ? 1 : 0;
  const Failure failure = ReadOwn(arguments, own, most, &values, &words);
  if (failure.code != FailureCode::kNone) {
    return failure;
  }
  if (name == "submit" && words.empty()) {
    return ReadSubmit(values);
  }
  if (name == "submit") {
    return ReadSubmitFile(words.front(), values);
  }
  if ((takes_word && words.empty()) || (takes_files && words.size() < 2)) {
    return Failure{FailureCode::kMissingField,
                   name + " needs " + command.arguments};
  }
  if (name == "ticket apply") {
    return ApplyTicket{words.front()};
  }
  if (name == "status") {
    return JobStatus{words.front(), values["follow"].as<bool>()};
  }
  if (name == "cancel") {
    return CancelJob{words.front()};
  }
  if (takes_files) {
    return ExplainJob{words.front(), {words.begin() + 1, words.end()}};
  }
  for (const auto& [page_name, page] : kPages) {
    if (name == page_name) {
      return ShowPage{page};
    }
  }
  return Failure{FailureCode::kUnknownValue, "unknown command " + name};
}

Command Read(const std::vector<std::string>& arguments, CommonOptions* common) {
  // The parsed options point to it.
  const options::options_description description = CommonDescription();
  const options::parsed_options parsed = options::command_line_parser(arguments)
                                             .options(description)
                                             .allow_unregistered()
                                             .run();
  options::variables_map values;
  options::store(parsed, values);
  std::vector<std::string> rest = options::collect_unrecognized(
      parsed.options, options::include_positional);
  const CommandHelp* command = TakeCommand(&rest);
  if (values.contains("help")) {
    return ShowHelp{command == nullptr ? GeneralHelp() : HelpOf(*command)};
  }
  if (command == nullptr) {
    return Failure{FailureCode::kUnknownValue,
                   rest.empty() ? "a command is needed; see --help"
                                : "unknown command " + rest.front()};
  }
  const Failure failure = ReadCommon(values, common);
  if (failure.code != FailureCode::kNone) {
    return failure;
  }
  return ReadCommand(*command, rest);
}

}  // namespace

CommandLine ParseCommandLine(const std::vector<std::string>& arguments,
                             const std::string& environment_key) {
  CommandLine line;
  line.common.key = environment_key;
  try {
    line.command = Read(arguments, &line.common);
  } catch (const options::error& error) {
    line.command = Failure{FailureCode::kMalformed, error.what()};
  }
  return line;
}

}  // namespace dotterelbarrow::ctl
