// One function for each command.
#include "src/ctl/commands.h"

#include <fstream>
#include <iterator>
#include <utility>

#include "dotterelbarrow/config/ticket.h"
#include "dotterelbarrow/core/codec.h"
#include "src/ctl/job_timeline.h"
#include "src/ctl/output.h"

namespace dotterelbarrow::ctl {
namespace {

using wire::HttpMethod;
using wire::HttpOutcome;

// The number of consecutive failed status queries after which --follow gives
// up.
constexpr int kMaxFollowFailures = 30;

constexpr int kHttpOk = 200;

const char* PathOf(Page page) {
  switch (page) {
    case Page::kTicketHistory:
      return "/v1/tickets";
    case Page::kMembers:
      return "/v1/members";
    case Page::kTeams:
      return "/v1/teams";
    case Page::kServices:
      return "/v1/services";
    case Page::kRoom:
      return "/v1/room";
    case Page::kMetrics:
      return "/metrics";
  }
  return "/";
}

std::string JobPath(const std::string& job) {
  return "/v1/jobs/" + wire::EncodeUriComponent(job);
}

// Returns whether `answer` says that the job's status is temporarily
// unavailable.
bool IsTransient(const core::Answer& answer) {
  return (answer.outcome == core::Outcome::kUnknown &&
          answer.reason != core::Reason::kNotFound) ||
         (answer.outcome == core::Outcome::kNotRun &&
          (answer.reason == core::Reason::kManagerUnavailable ||
           answer.reason == core::Reason::kStoreUnavailable ||
           answer.reason == core::Reason::kConfigUnconfirmed ||
           answer.reason == core::Reason::kShuttingDown));
}

bool HasEnded(const core::Answer& answer) {
  return answer.outcome != core::Outcome::kAccepted &&
         answer.outcome != core::Outcome::kRunning;
}

}  // namespace

CommandRunner::CommandRunner(EntryClient* client, OutputFormat output,
                             base::Duration poll_period, std::istream* in,
                             std::ostream* out, std::ostream* errors)
    : client_(client),
      output_(output),
      poll_period_(poll_period),
      in_(in),
      out_(out),
      errors_(errors) {}

ExitCode CommandRunner::operator()(const base::Failure& failure) {
  *errors_ << "dotterelctl: " << failure.detail << "\n";
  return ExitCode::kUsage;
}

ExitCode CommandRunner::operator()(const ShowHelp& help) {
  *out_ << help.text;
  return ExitCode::kOk;
}

ExitCode CommandRunner::operator()(const ApplyTicket& command) {
  const std::optional<std::string> text = ReadFile(command.file);
  if (!text) {
    return ExitCode::kUsage;
  }
  // Submitting a ticket is idempotent: the same ticket is accepted only once.
  const wire::HttpResult result = client_->Call(
      {.method = HttpMethod::kPost, .uri = "/v1/tickets", .body = *text});
  ExitCode code = ExitCode::kOk;
  const auto answer = DecodeAnswer<core::TicketAnswer>(result, &code);
  return answer ? ExitCodeOf(answer->status) : code;
}

ExitCode CommandRunner::operator()(const SubmitFile& command) {
  const std::optional<std::string> text = ReadFile(command.file);
  if (!text) {
    return ExitCode::kUsage;
  }
  base::Failure reason;
  const auto work =
      core::Decode<core::CallerWork>(*text, core::Members::kRejected, &reason);
  if (!work) {
    return (*this)(reason);
  }
  return (*this)(SubmitRequest{work->request});
}

ExitCode CommandRunner::operator()(const SubmitRequest& command) {
  const core::WorkRequest& request = command.request;
  // Submitting a job is idempotent, since it is identified by its id.
  const bool is_job = request.kind != core::WorkKind::kInteractive;
  const wire::HttpResult result =
      client_->Call({.method = HttpMethod::kPost,
                     .uri = "/v1/requests",
                     .body = core::Encode(core::CallerWork{request}),
                     .idempotent = is_job || request.idempotent});
  ExitCode code = ExitCode::kOk;
  const auto answer = DecodeAnswer<core::Answer>(result, &code);
  return answer ? ExitCodeOf(*answer) : code;
}

ExitCode CommandRunner::operator()(const JobStatus& command) {
  const EntryCall call{.uri = JobPath(command.job), .body = ""};
  if (command.follow) {
    return Follow(call);
  }
  ExitCode code = ExitCode::kOk;
  const auto answer = DecodeAnswer<core::Answer>(client_->Call(call), &code);
  return answer ? ExitCodeOf(*answer) : code;
}

ExitCode CommandRunner::Follow(const EntryCall& call) {
  std::optional<core::Answer> last_printed;
  int failures = 0;
  while (true) {
    const wire::HttpResult result = client_->Call(call);
    base::Failure reason;
    const auto answer =
        core::Decode<core::Answer>(result.body, core::Members::kAny, &reason);
    const bool failed = result.outcome != HttpOutcome::kAnswered || !answer ||
                        IsTransient(*answer);
    failures = failed ? failures + 1 : 0;
    if (failed && failures >= kMaxFollowFailures) {
      ExitCode code = ExitCode::kOk;
      const auto last = DecodeAnswer<core::Answer>(result, &code);
      return last ? ExitCodeOf(*last) : code;
    }
    if (!failed && (!last_printed || *last_printed != *answer)) {
      Print(result.body);
      last_printed = answer;
    }
    if (!failed && HasEnded(*answer)) {
      return ExitCodeOf(*answer);
    }
    client_->Wait(poll_period_);
  }
}

ExitCode CommandRunner::operator()(const CancelJob& command) {
  const wire::HttpResult result = client_->Call(
      {.method = HttpMethod::kDelete, .uri = JobPath(command.job), .body = ""});
  ExitCode code = ExitCode::kOk;
  const auto answer = DecodeAnswer<core::Answer>(result, &code);
  if (!answer) {
    return code;
  }
  return answer->outcome == core::Outcome::kCancelled ? ExitCode::kOk
                                                      : ExitCodeOf(*answer);
}

ExitCode CommandRunner::operator()(const ExplainJob& command) {
  std::vector<LogText> logs;
  for (const std::string& file : command.files) {
    auto text = ReadFile(file);
    if (!text) {
      return ExitCode::kUsage;
    }
    logs.push_back({file, std::move(*text)});
  }
  const std::vector<TimelineLine> timeline = BuildTimeline(command.job, logs);
  if (timeline.empty()) {
    *errors_ << "no line of these logs mentions " << command.job << "\n";
    return ExitCode::kFailed;
  }
  *out_ << ToText(timeline);
  return ExitCode::kOk;
}

ExitCode CommandRunner::operator()(const ExplainPlacement& command) {
  EntryCall call;
  if (command.queue.empty()) {
    call.uri = "/explain/" + wire::EncodeUriComponent(command.job_or_file);
  } else {
    auto text = ReadFile(command.job_or_file);
    if (!text) {
      return ExitCode::kUsage;
    }
    call.method = HttpMethod::kPost;
    call.uri =
        "/explain?queue=" + wire::EncodeUriComponent(command.queue) +
        "&organisation=" + wire::EncodeUriComponent(command.organisation);
    call.body = std::move(*text);
  }
  const wire::HttpResult result = client_->Call(call);
  if (result.outcome != HttpOutcome::kAnswered) {
    return ReportFailure(result);
  }
  Print(result.body);
  return result.status == kHttpOk ? ExitCode::kOk : ExitCode::kRefused;
}

ExitCode CommandRunner::operator()(const ShowPage& command) {
  const wire::HttpResult result =
      client_->Call({.uri = PathOf(command.page), .body = ""});
  if (result.outcome != HttpOutcome::kAnswered) {
    *errors_ << "dotterelctl: no entry host could be reached\n";
    return ExitCode::kUnreachable;
  }
  if (result.status != kHttpOk) {
    return ReportFailure(result);
  }
  if (command.page == Page::kMetrics) {
    *out_ << result.body;
  } else {
    Print(result.body);
  }
  return ExitCode::kOk;
}

std::optional<std::string> CommandRunner::ReadFile(const std::string& file) {
  if (file == "-") {
    return std::string(std::istreambuf_iterator<char>(*in_), {});
  }
  std::ifstream stream(file);
  if (!stream) {
    *errors_ << "dotterelctl: can't read " << file << "\n";
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(stream), {});
}

template <typename Message>
std::optional<Message> CommandRunner::DecodeAnswer(
    const wire::HttpResult& result, ExitCode* code) {
  if (result.outcome != HttpOutcome::kAnswered) {
    *code = ReportFailure(result);
    return std::nullopt;
  }
  base::Failure reason;
  std::optional<Message> answer =
      core::Decode<Message>(result.body, core::Members::kAny, &reason);
  if (!answer) {
    *errors_ << "dotterelctl: HTTP status " << result.status
             << " with an invalid answer: " << reason.detail << "\n";
    *code = ExitCode::kUnknown;
    return std::nullopt;
  }
  Print(result.body);
  return answer;
}

ExitCode CommandRunner::ReportFailure(const wire::HttpResult& result) {
  switch (result.outcome) {
    case HttpOutcome::kNotSent:
      *errors_ << "dotterelctl: no entry host could be reached\n";
      return ExitCode::kUnreachable;
    case HttpOutcome::kLost:
      *errors_ << "dotterelctl: request sent, but no answer was received\n";
      return ExitCode::kUnknown;
    case HttpOutcome::kAnswered:
      *errors_ << "dotterelctl: HTTP status " << result.status << "\n";
      return ExitCode::kRefused;
  }
  return ExitCode::kUnknown;
}

void CommandRunner::Print(const std::string& json) {
  base::Failure reason;
  const std::optional<Json::Value> value = core::ReadJson(json, &reason);
  if (!value) {
    *out_ << json << "\n";
    return;
  }
  *out_ << (output_ == OutputFormat::kJson ? RenderJson(*value)
                                           : RenderTable(*value));
}

}  // namespace dotterelbarrow::ctl
