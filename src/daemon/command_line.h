// Parses the command line of dotterelbarrowd.
#ifndef DOTTERELBARROW_SRC_DAEMON_COMMAND_LINE_H_
#define DOTTERELBARROW_SRC_DAEMON_COMMAND_LINE_H_

#include <string>
#include <variant>

#include "dotterelbarrow/base/failure.h"
#include "dotterelbarrow/core/shards/shard_plan.h"

namespace dotterelbarrow::daemon {

// The commands that a command line can select.
struct ShowHelp {
  std::string text;
};
struct ShowVersion {};
struct PrintSampleSettings {};
struct CheckSettings {
  std::string path;
};
struct RunDaemon {
  std::string path;
};
// Serves on the users' platform. The environment variable
// DOTTERELBARROW_CONFIG names the settings file.
struct RunOnPlatform {
  core::shards::ShardPlannerSettings planner;
};
using Command =
    std::variant<base::Failure, ShowHelp, ShowVersion, PrintSampleSettings,
                 CheckSettings, RunDaemon, RunOnPlatform>;

// Returns the selected command, or a base::Failure with the reason if the
// command line is invalid or selects no command.
Command ParseCommandLine(int argc, const char* const* argv);

}  // namespace dotterelbarrow::daemon

#endif  // DOTTERELBARROW_SRC_DAEMON_COMMAND_LINE_H_
