// The command line of dotterelctl.
#ifndef DOTTERELBARROW_SRC_CTL_COMMAND_LINE_H_
#define DOTTERELBARROW_SRC_CTL_COMMAND_LINE_H_

#include <string>
#include <variant>
#include <vector>

#include "dotterelbarrow/base/failure.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/work.h"

namespace dotterelbarrow::ctl {

enum class OutputFormat { kTable, kJson };

// What holds for every command.
struct CommonOptions {
  OutputFormat output = OutputFormat::kTable;
  // "ip:port", in the order in which they are tried.
  std::vector<std::string> entries;
  std::string key;
  base::Duration timeout{0};
};

struct ShowHelp {
  std::string text;
};
struct ApplyTicket {
  // "-" for the standard input.
  std::string file;
};
struct SubmitFile {
  std::string file;
};
struct SubmitRequest {
  core::WorkRequest request;
};
struct JobStatus {
  std::string job;
  bool follow = false;
};
struct CancelJob {
  std::string job;
};
struct ExplainJob {
  std::string job;
  // Logs of entry hosts.
  std::vector<std::string> files;
};
enum class Page {
  kTicketHistory,
  kMembers,
  kTeams,
  kServices,
  kRoom,
  kMetrics
};
struct ShowPage {
  Page page = Page::kMembers;
};

// The failure says what is wrong with the line.
using Command =
    std::variant<base::Failure, ShowHelp, ApplyTicket, SubmitFile,
                 SubmitRequest, JobStatus, CancelJob, ExplainJob, ShowPage>;

struct CommandLine {
  CommonOptions common;
  Command command;
};

// Reads `arguments`, the program's name not included. `environment_key` is
// used where no key is on the line.
CommandLine ParseCommandLine(const std::vector<std::string>& arguments,
                             const std::string& environment_key);

}  // namespace dotterelbarrow::ctl

#endif  // DOTTERELBARROW_SRC_CTL_COMMAND_LINE_H_
