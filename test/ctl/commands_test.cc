// Tests of dotterelctl's commands against fake entry hosts: which of them is
// called, what is sent and which exit code results.
#include "src/ctl/commands.h"

#include <doctest/doctest.h>

#include <sstream>
#include <string>
#include <variant>
#include <vector>

#include "dotterelbarrow/core/codec.h"
#include "dotterelbarrow/wire/http_server.h"
#include "src/ctl/command_line.h"

namespace dotterelbarrow::ctl {
namespace {

// A fake entry host. It answers each request with the next of its replies, and
// closes its connections without an answer once no reply is left.
class FakeEntry {
 public:
  FakeEntry(const wire::EventLoop& loop, std::vector<wire::HttpReply> replies)
      : replies_(std::move(replies)),
        server_(std::make_unique<wire::HttpServer>(loop,
                                                   wire::HttpServerOptions())),
        drop_(loop, [this] { server_.reset(); }) {
    const auto answer = [this](const wire::HttpRequest& r) { Answer(r); };
    server_->Route(wire::HttpMethod::kPost, "/v1/requests", answer);
    server_->Route(wire::HttpMethod::kPost, "/v1/tickets", answer);
    server_->Route(wire::HttpMethod::kGet, "/v1/jobs/", answer);
    server_->Route(wire::HttpMethod::kDelete, "/v1/jobs/", answer);
    server_->Route(wire::HttpMethod::kGet, "/v1/teams", answer);
    server_->Route(wire::HttpMethod::kGet, "/explain/", answer);
    server_->Route(wire::HttpMethod::kPost, "/explain", answer);
    base::Failure reason;
    address_ = "127.0.0.1:" +
               std::to_string(server_->Listen("127.0.0.1:0", &reason).value());
  }

  const std::string& address() const { return address_; }
  const std::vector<wire::HttpRequest>& requests() const { return requests_; }

 private:
  void Answer(const wire::HttpRequest& request) {
    requests_.push_back(request);
    if (requests_.size() > replies_.size()) {
      drop_.RunSoon();
    } else {
      server_->Reply(request.exchange, replies_[requests_.size() - 1]);
    }
  }

  std::vector<wire::HttpReply> replies_;
  std::unique_ptr<wire::HttpServer> server_;
  wire::Timer drop_;
  std::string address_;
  std::vector<wire::HttpRequest> requests_;
};

// An address on which nothing listens.
constexpr char kUnreachableAddress[] = "127.0.0.1:1";

struct Run {
  ExitCode code = ExitCode::kOk;
  std::string out;
  std::string errors;
};

Run RunTool(wire::EventLoop* loop, std::vector<std::string> arguments,
            const std::vector<std::string>& entries,
            const std::string& input = "") {
  for (const std::string& entry : entries) {
    arguments.insert(arguments.end(), {"--entry", entry});
  }
  const CommandLine line = ParseCommandLine(arguments, "environment-key");
  EntryClient client(loop, line.common.entries, line.common.key,
                     line.common.timeout);
  std::istringstream in(input);
  std::ostringstream out;
  std::ostringstream errors;
  CommandRunner runner(&client, line.common.output,
                       std::chrono::milliseconds(1), &in, &out, &errors);
  Run run;
  run.code = std::visit(runner, line.command);
  run.out = out.str();
  run.errors = errors.str();
  return run;
}

wire::HttpReply Reply(core::Outcome outcome, core::Reason reason) {
  core::Answer answer;
  answer.id = base::RequestId("r1");
  answer.outcome = outcome;
  answer.reason = reason;
  return {.status = 200, .body = core::Encode(answer)};
}

wire::HttpReply Reply(core::TicketStatus status) {
  core::TicketAnswer answer;
  answer.status = status;
  return {.status = 200, .body = core::Encode(answer)};
}

using core::Outcome;
using core::Reason;

TEST_CASE("an entry host that can't be reached is skipped") {
  wire::EventLoop loop;
  FakeEntry entry(loop, {Reply(Outcome::kDone, Reason::kNone)});
  const std::vector<std::string> submit = {
      "submit",           "--id",          "r1", "--service", "seats",
      "--not-idempotent", "--deadline-ms", "500"};

  SUBCASE("and the next one receives the request, with the key") {
    const Run run =
        RunTool(&loop, submit, {kUnreachableAddress, entry.address()});
    CHECK(run.code == ExitCode::kOk);
    REQUIRE(entry.requests().size() == 1);
    CHECK(entry.requests()[0].bearer == "environment-key");
    base::Failure reason;
    const auto work = core::Decode<core::CallerWork>(
        entry.requests()[0].body, core::Members::kRejected, &reason);
    REQUIRE(work.has_value());
    CHECK_FALSE(work->request.idempotent);
    CHECK(work->request.demand.slots == base::Slots(1));
    CHECK(work->request.deadline == std::chrono::milliseconds(500));
  }
  SUBCASE("and the exit code is kUnreachable if none is left") {
    CHECK(RunTool(&loop, submit, {kUnreachableAddress}).code ==
          ExitCode::kUnreachable);
  }
}

TEST_CASE("a request whose answer is lost") {
  wire::EventLoop loop;
  FakeEntry closing_entry(loop, {});
  FakeEntry entry(loop, {Reply(Outcome::kDone, Reason::kNone)});
  std::vector<std::string> submit = {"submit", "--id", "r1", "--service",
                                     "seats"};
  SUBCASE("is never sent twice if it must run at most once") {
    submit.push_back("--not-idempotent");
    const Run run =
        RunTool(&loop, submit, {closing_entry.address(), entry.address()});
    CHECK(run.code == ExitCode::kUnknown);
    CHECK(entry.requests().empty());
  }
  SUBCASE("is sent to the next entry host if it is idempotent") {
    CHECK(RunTool(&loop, submit, {closing_entry.address(), entry.address()})
              .code == ExitCode::kOk);
  }
  SUBCASE("has an unknown outcome if no other entry host can be reached") {
    CHECK(RunTool(&loop, submit, {closing_entry.address(), kUnreachableAddress})
              .code == ExitCode::kUnknown);
  }
}

TEST_CASE("exit codes distinguish rejected, failed and unknown") {
  wire::EventLoop loop;
  SUBCASE("of a followed job, once it has ended") {
    FakeEntry entry(loop, {Reply(Outcome::kAccepted, Reason::kNone),
                           Reply(Outcome::kNotRun, Reason::kManagerUnavailable),
                           Reply(Outcome::kRunning, Reason::kNone),
                           Reply(Outcome::kFailed, Reason::kTaskFailed)});
    const Run run =
        RunTool(&loop, {"status", "r1", "--follow"}, {entry.address()});
    CHECK(run.code == ExitCode::kFailed);
    CHECK(entry.requests().size() == 4);
    CHECK(run.out.find("task_failed") != std::string::npos);
  }
  SUBCASE("of a followed job that does not exist, without retries") {
    FakeEntry entry(loop, {Reply(Outcome::kUnknown, Reason::kNotFound)});
    CHECK(
        RunTool(&loop, {"status", "r1", "--follow"}, {entry.address()}).code ==
        ExitCode::kUnknown);
    CHECK(entry.requests().size() == 1);
  }
  SUBCASE("of a cancelled job") {
    FakeEntry entry(loop, {Reply(Outcome::kCancelled, Reason::kCancelled),
                           Reply(Outcome::kCancelled, Reason::kCancelled)});
    CHECK(RunTool(&loop, {"cancel", "r1"}, {entry.address()}).code ==
          ExitCode::kOk);
    CHECK(RunTool(&loop, {"status", "r1"}, {entry.address()}).code ==
          ExitCode::kFailed);
  }
  SUBCASE("of a rejected request") {
    FakeEntry entry(loop, {Reply(Outcome::kNotRun, Reason::kQueueFull)});
    CHECK(RunTool(&loop, {"status", "r1"}, {entry.address()}).code ==
          ExitCode::kRefused);
  }
  SUBCASE("of tickets") {
    FakeEntry entry(loop, {Reply(core::TicketStatus::kAlreadyAccepted),
                           Reply(core::TicketStatus::kOvertaken),
                           Reply(core::TicketStatus::kUnknown)});
    const auto apply = [&] {
      return RunTool(&loop, {"ticket", "apply", "-"}, {entry.address()}, "{}")
          .code;
    };
    CHECK(apply() == ExitCode::kOk);
    CHECK(apply() == ExitCode::kRefused);
    CHECK(apply() == ExitCode::kUnknown);
    CHECK(entry.requests()[0].body == "{}");
  }
  SUBCASE("of an invalid command line, without any call") {
    for (const std::vector<std::string>& arguments :
         std::vector<std::vector<std::string>>{
             {},
             {"oven"},
             {"status"},
             {"teams", "more"},
             {"submit", "--id", "r1"},
             {"submit", "-", "--id", "r1"},
             {"submit", "--id", "r1", "--service", "s", "--tasks", "0"},
             {"teams", "--output", "xml"},
             {"teams", "--entry", "localhost:1"}}) {
      CHECK(RunTool(&loop, arguments, {}).code == ExitCode::kUsage);
    }
  }
}

TEST_CASE("where a job would be placed") {
  wire::EventLoop loop;
  FakeEntry entry(loop, {{.status = 200, .body = R"({"steps":[]})"}});
  SUBCASE("is asked about a submitted job by its id") {
    CHECK(RunTool(&loop, {"explain", "7f5226155a3adc71"}, {entry.address()})
              .code == ExitCode::kOk);
    REQUIRE(entry.requests().size() == 1);
    CHECK(entry.requests()[0].path == "/explain/7f5226155a3adc71");
  }
  // Guards against a question that submits the job.
  SUBCASE("is asked about a described job, which is not submitted") {
    const Run run = RunTool(
        &loop, {"explain", "-", "--queue", "a b", "--organisation", "o&1"},
        {entry.address()}, R"({"job_steps":[]})");
    CHECK(run.code == ExitCode::kOk);
    REQUIRE(entry.requests().size() == 1);
    const wire::HttpRequest& request = entry.requests()[0];
    CHECK(request.path == "/explain");
    CHECK(request.query.at("queue") == "a b");
    CHECK(request.query.at("organisation") == "o&1");
    CHECK(request.body == R"({"job_steps":[]})");
  }
  SUBCASE("needs the organisation with the queue") {
    CHECK(RunTool(&loop, {"explain", "-", "--queue", "a"}, {entry.address()})
              .code == ExitCode::kUsage);
    CHECK(entry.requests().empty());
  }
}

TEST_CASE("pages are printed as tables or as JSON") {
  wire::EventLoop loop;
  const wire::HttpReply page = {
      .status = 200,
      .body = R"({"version":3,"teams":[{"team":"ovens","share":2.0},
                 {"team":"\u001b[2J","limit":{"slots":4,"deep":{"er":1}}}]})"};
  FakeEntry entry(loop, {page, page});
  CHECK(RunTool(&loop, {"teams"}, {entry.address()}).out ==
        "version  3\n\nteams:\n"
        "share  team   limit.slots  \n"
        "2.0    ovens               \n"
        "       ?[2J   4            \n");
  CHECK(RunTool(&loop, {"teams", "--output", "json"}, {entry.address()})
            .out.starts_with("{\n  \"teams\""));
}

}  // namespace
}  // namespace dotterelbarrow::ctl
