// Carries out the commands of dotterelctl.
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

class CommandRunner {
 public:
  // All pointers must outlive this. `poll_period` is the time between two
  // looks at a job that is followed.
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
  ExitCode operator()(const ShowPage& command);

 private:
  std::optional<std::string> ReadFile(const std::string& file);
  // Returns the answer that `result` holds; otherwise says what is wrong and
  // sets `*code`.
  template <typename Message>
  std::optional<Message> AnswerOf(const wire::HttpResult& result,
                                  ExitCode* code);
  ExitCode Explain(const wire::HttpResult& result);
  void Show(const std::string& json);
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
