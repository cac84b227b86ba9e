// Tests the results of commands to backend servers and the receipt of reports.
#include "dotterelbarrow/wire/backend_client.h"

#include <doctest/doctest.h>

#include <vector>

#include "dotterelbarrow/wire/codec.h"
#include "test/wire/scripted_server.h"

namespace dotterelbarrow::wire {
namespace {

using core::RunStatus;
using std::chrono::milliseconds;

struct Fixture {
  EventLoop loop;
  ScriptedServer server{loop};
  HttpClient http{loop, HttpClientOptions()};
  core::Counters counters;
  std::vector<core::Input> inputs;
  BackendClient client{
      &http, milliseconds(50),
      [this](core::Input input) { inputs.push_back(std::move(input)); },
      &counters};

  core::Input InputAfter(core::ToBackend message) {
    client.Send(message);
    loop.RunUntil([&] { return !inputs.empty(); });
    return inputs.back();
  }
  RunStatus StatusAfterRun(const std::string& address) {
    core::RunCommand command;
    command.backend = base::BackendId("r1");
    command.call = base::CallId(7);
    command.time_left = milliseconds(50);
    const core::Input input = InputAfter({address, command});
    const auto& result = std::get<core::RunResult>(input);
    CHECK(result.backend == command.backend);
    CHECK(result.call == command.call);
    return result.status;
  }
  void AnswerRun(const char* backend, std::uint64_t call, RunStatus status) {
    server.Answer(
        200, Encode(core::RunResult{
                 base::BackendId(backend), base::CallId(call), status, {}}));
  }
};

TEST_CASE("the result of a run command") {
  Fixture f;
  SUBCASE("is the runner's answer") {
    f.AnswerRun("r1", 7, RunStatus::kRefused);
    CHECK(f.StatusAfterRun(f.server.address()) == RunStatus::kRefused);
    CHECK(f.server.requests()[0].path == "/v1/run");
  }
  SUBCASE("is kNotSent when the runner is unreachable") {
    CHECK(f.StatusAfterRun(kClosedAddress) == RunStatus::kNotSent);
  }
  SUBCASE("is kLost when the runner does not answer in the time left") {
    CHECK(f.StatusAfterRun(f.server.address()) == RunStatus::kLost);
  }
  SUBCASE("is kLost, since the task may have run, when the answer") {
    SUBCASE("is an error") { f.server.Answer(503, ""); }
    SUBCASE("is malformed") { f.server.Answer(200, "{"); }
    SUBCASE("names another call") { f.AnswerRun("r1", 8, RunStatus::kDone); }
    SUBCASE("names another runner") { f.AnswerRun("r2", 7, RunStatus::kDone); }
    SUBCASE("has a status that a runner may not send") {
      f.AnswerRun("r1", 7, RunStatus::kNotSent);
    }
    CHECK(f.StatusAfterRun(f.server.address()) == RunStatus::kLost);
  }
}

TEST_CASE("the result of a sync with a backend server") {
  Fixture f;
  core::BackendSync sync;
  sync.backend = base::BackendId("w1");
  core::BackendReport report;
  report.backend = sync.backend;
  SUBCASE("is the report of the backend server") {
    f.server.Answer(200, Encode(report));
    const core::Input input = f.InputAfter({f.server.address(), sync});
    CHECK(std::get<core::BackendReport>(input) == report);
  }
  SUBCASE("is BackendUnreachable") {
    SUBCASE("when there is no answer") {}
    SUBCASE("when another backend server answers") {
      report.backend = base::BackendId("w2");
      f.server.Answer(200, Encode(report));
    }
    const core::Input input = f.InputAfter({f.server.address(), sync});
    CHECK(std::get<core::BackendUnreachable>(input).backend == sync.backend);
  }
}

TEST_CASE("an unsolicited report is delivered") {
  Fixture f;
  HttpServer report_server(f.loop, HttpServerOptions());
  f.client.AddReportRoute(&report_server);
  base::Failure reason;
  const auto port = report_server.Listen("127.0.0.1:0", &reason).value();
  core::BackendReport report;
  report.sequence = 5;
  std::vector<int> statuses;
  for (const std::string& body : {Encode(report), std::string("{}")}) {
    f.http.Call(
        {.address = "127.0.0.1:" + std::to_string(port),
         .uri = "/v1/backend-report",
         .body = body,
         .timeout = std::chrono::seconds(5)},
        [&](const HttpResult& result) { statuses.push_back(result.status); });
    f.loop.RunUntil([&] { return f.http.calls_under_way() == 0; });
  }
  CHECK(statuses == std::vector<int>{204, 400});
  REQUIRE(f.inputs.size() == 1);
  CHECK(std::get<core::BackendReport>(f.inputs[0]) == report);
}

}  // namespace
}  // namespace dotterelbarrow::wire
