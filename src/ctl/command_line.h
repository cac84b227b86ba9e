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

// The options of every command.
struct CommonOptions {
  OutputFormat output = OutputFormat::kTable;
  // Addresses as "ip:port", in the order in which they are tried.
  std::vector<std::string> entries;
  // The API key; empty if there is none.
  std::string key;
  // The timeout of a call to one entry host.
  base::Duration timeout{0};
};

struct ShowHelp {
  std::string text;
};
struct ApplyTicket {
  // A file name, or "-" for standard input.
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
  // Names of log files of entry hosts.
  std::vector<std::string> files;
};
// Asks the owner where a job would be placed now.
struct ExplainPlacement {
  // The id of a submitted job or, if `queue` is set, the name of a file with a
  // submission.
  std::string job_or_file;
  std::string queue;
  std::string organisation;
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

// A Failure if the command line is invalid.
using Command = std::variant<base::Failure, ShowHelp, ApplyTicket, SubmitFile,
                             SubmitRequest, JobStatus, CancelJob, ExplainJob,
                             ExplainPlacement, ShowPage>;

struct CommandLine {
  CommonOptions common;
  Command command;
};

// Parses `arguments`, which do not include the program's name.
// `environment_key` is the key if `arguments` contain none.
CommandLine ParseCommandLine(const std::vector<std::string>& arguments,
                             const std::string& environment_key);

}  // namespace dotterelbarrow::ctl

#endif  // DOTTERELBARROW_SRC_CTL_COMMAND_LINE_H_
