// Executes the commands of dotterelctl.
#ifndef DOTTERELBARROW_SRC_CTL_COMMANDS_H_
#define DOTTERELBARROW_SRC_CTL_COMMANDS_H_

#include <iosfwd>
#include <optional>
#include <string>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/work.h"
#include "src/ctl/command_line.h"
#include "src/ctl/entry_client.h"
#include "src/ctl/exit_code.h"

namespace dotterelbarrow::ctl {

// A visitor of Command. Each call operator executes one command, writes its
// result or error and returns the exit code of the program.
class CommandRunner {
 public:
  // All pointers must outlive this. `poll_period` is the time between two
  // status queries for a job that is followed.
  CommandRunner(EntryClient* client, OutputFormat output,
                base::Duration poll_period, std::istream* in, std::ostream* out,
                std::ostream* errors);

  ExitCode operator()(const base::Failure& failure);
  ExitCode operator()(const ShowHelp& help);
  ExitCode operator()(const ApplyTicket& command);
  ExitCode operator()(const SubmitFile& command);
  ExitCode operator()(const SubmitRequest& command);
  ExitCode operator()(const JobStatus& command);
  ExitCode operator()(const CancelJob& command);
  ExitCode operator()(const ExplainJob& command);
  ExitCode operator()(const ExplainPlacement& command);
  ExitCode operator()(const ShowPage& command);

 private:
  // Returns the content of `file`, or of standard input if it is "-". If it
  // can't be read, prints an error and returns nullopt.
  std::optional<std::string> ReadFile(const std::string& file);
  // Decodes and prints the answer in `result`. If there is none, prints an
  // error, sets `*code` and returns nullopt.
  template <typename Message>
  std::optional<Message> DecodeAnswer(const wire::HttpResult& result,
                                      ExitCode* code);
  // Prints why a call got no usable answer, and returns the exit code.
  ExitCode ReportFailure(const wire::HttpResult& result);
  // Prints `json` in the output format; text that isn't JSON is printed as it
  // is.
  void Print(const std::string& json);
  // Repeats `call`, a status query, until the job has ended or too many queries
  // in a row have failed, and prints each change.
  ExitCode Follow(const EntryCall& call);

  EntryClient* client_;
  OutputFormat output_;
  base::Duration poll_period_;
  std::istream* in_;
  std::ostream* out_;
  std::ostream* errors_;
};

}  // namespace dotterelbarrow::ctl

#endif  // DOTTERELBARROW_SRC_CTL_COMMANDS_H_
