// Parses the command line with Boost.Program_options.
#include "src/daemon/command_line.h"

#include <boost/program_options.hpp>
#include <cstddef>
#include <sstream>

namespace dotterelbarrow::daemon {
namespace {

namespace options = boost::program_options;

options::options_description DescribeOptions() {
  options::options_description description("dotterelbarrowd, options");
  auto add = description.add_options();
  add("settings", options::value<std::string>()->value_name("FILE"),
      "serve with the settings of this INI file");
  add("platform",
      "serve on the users' platform, with the settings file that the "
      "environment variable DOTTERELBARROW_CONFIG names");
  add("workers-per-owner",
      options::value<std::size_t>()->value_name("N")->default_value(
          core::shards::ShardPlannerSettings().workers_per_shard),
      "with --platform: a fleet of at least twice as many workers is divided "
      "into shards of about N workers, each with its own owner; 0 for never");
  add("min-workers-of-kind",
      options::value<std::size_t>()->value_name("N")->default_value(
          core::shards::ShardPlannerSettings().min_workers_of_kind),
      "with --platform: how many workers of each service and label a shard has "
      "at least");
  add("check-settings", options::value<std::string>()->value_name("FILE"),
      "check this settings file and exit: 0 if it is valid, 2 if not");
  add("print-sample-settings",
      "print a sample settings file that documents every setting");
  add("help", "show this text");
  add("version", "show the version");
  return description;
}

std::string ToText(const options::options_description& description) {
  std::ostringstream text;
  text << description;
  return text.str();
}

Command ToCommand(const options::variables_map& values) {
  if (values.contains("help")) {
    return ShowHelp{ToText(DescribeOptions())};
  }
  if (values.contains("version")) {
    return ShowVersion();
  }
  if (values.contains("print-sample-settings")) {
    return PrintSampleSettings();
  }
  if (values.contains("check-settings")) {
    return CheckSettings{values["check-settings"].as<std::string>()};
  }
  if (values.contains("platform")) {
    return RunOnPlatform{
        {.workers_per_shard = values["workers-per-owner"].as<std::size_t>(),
         .min_workers_of_kind =
             values["min-workers-of-kind"].as<std::size_t>()}};
  }
  if (values.contains("settings")) {
    return RunDaemon{values["settings"].as<std::string>()};
  }
  return base::Failure{base::FailureCode::kMissingField,
                       "specify one of --settings FILE, --platform, "
                       "--check-settings FILE, --print-sample-settings, --help "
                       "and --version"};
}

}  // namespace

Command ParseCommandLine(int argc, const char* const* argv) {
  try {
    options::variables_map values;
    options::store(options::command_line_parser(argc, argv)
                       .options(DescribeOptions())
                       .positional(options::positional_options_description())
                       .run(),
                   values);
    return ToCommand(values);
  } catch (const options::error& error) {
    return base::Failure{base::FailureCode::kMalformed, error.what()};
  }
}

}  // namespace dotterelbarrow::daemon
