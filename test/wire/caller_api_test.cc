// Tests the API for callers and operators. The test takes the place of the
// core.
#include "dotterelbarrow/wire/caller_api.h"

#include <doctest/doctest.h>

#include <vector>

#include "dotterelbarrow/wire/codec.h"
#include "dotterelbarrow/wire/http_client.h"
#include "dotterelbarrow/wire/metrics.h"

namespace dotterelbarrow::wire {
namespace {

using core::Answer;
using core::Outcome;
using core::Reason;

constexpr std::size_t kMaxBodyBytes = 200;

struct Fixture {
  EventLoop loop;
  HttpServer server{loop, HttpServerOptions()};
  HttpClient http{loop, HttpClientOptions()};
  core::Counters counters;
  std::vector<core::Input> inputs;
  CallerApi api{
      &server, Audience::kCallersAndOperators, kMaxBodyBytes,
      [this](core::Input input) { inputs.push_back(std::move(input)); },
      &counters};
  std::string address;
  HttpResult result;
  bool answered = false;

  Fixture() {
    base::Failure reason;
    const auto port = server.Listen("127.0.0.1:0", &reason).value();
    address = "127.0.0.1:" + std::to_string(port);
  }
  void Call(HttpMethod method, const std::string& uri,
            const std::string& body) {
    answered = false;
    http.Call({.address = address,
               .method = method,
               .uri = uri,
               .body = body,
               .timeout = std::chrono::seconds(10)},
              [this](const HttpResult& r) {
                result = r;
                answered = true;
              });
    loop.RunUntil([&] { return answered || !inputs.empty(); });
  }
  Answer AnswerReceived() {
    loop.RunUntil([&] { return answered; });
    base::Failure reason;
    return Decode<Answer>(result.body, Members::kAny, &reason).value();
  }
};

TEST_CASE("a caller's request") {
  Fixture f;
  SUBCASE("is delivered to the core, and its answer is sent to the caller") {
    f.Call(HttpMethod::kPost, "/v1/requests",
           R"({"id":"r","service":"s","payload":"p"})");
    const auto& request = std::get<core::CallerRequest>(f.inputs.at(0));
    CHECK(request.request.payload == "p");
    Answer answer;
    answer.id = request.request.id;
    answer.outcome = Outcome::kDone;
    answer.result = "seat 7";
    f.api.Send({request.token, answer});
    CHECK(f.AnswerReceived() == answer);
    CHECK(f.result.status == 200);
  }
  SUBCASE("that is malformed is answered with kNotRun and counted") {
    f.Call(HttpMethod::kPost, "/v1/requests", R"({"id":"r"})");
    CHECK(f.AnswerReceived().outcome == Outcome::kNotRun);
    CHECK(f.result.status == 400);
    CHECK(f.counters.value("refusals", "malformed") == 1);
  }
  SUBCASE("must not name a team") {
    f.Call(HttpMethod::kPost, "/v1/requests",
           R"({"id":"r","service":"s","team":"ovens"})");
    CHECK(f.AnswerReceived().reason == Reason::kMalformed);
  }
  SUBCASE("that is too large is refused") {
    f.Call(HttpMethod::kPost, "/v1/requests",
           std::string(kMaxBodyBytes + 1, ' '));
    CHECK(f.AnswerReceived().reason == Reason::kTooLarge);
    CHECK(f.result.status == 413);
  }
}

TEST_CASE("a job's status is read and a job is cancelled by its id") {
  Fixture f;
  using Verb = core::CallerJobCommand::Verb;
  f.Call(HttpMethod::kGet, "/v1/jobs/night%2F7", "");
  const auto status = std::get<core::CallerJobCommand>(f.inputs.at(0));
  CHECK(status.verb == Verb::kStatus);
  CHECK(status.request == base::RequestId("night/7"));
  f.inputs.clear();
  f.Call(HttpMethod::kDelete, "/v1/jobs/night", "");
  CHECK(std::get<core::CallerJobCommand>(f.inputs.at(0)).verb == Verb::kCancel);
}

TEST_CASE("an operator's ticket is delivered to the core unchanged") {
  Fixture f;
  f.Call(HttpMethod::kPost, "/v1/tickets", "any text");
  const auto ticket = std::get<core::OperatorTicket>(f.inputs.at(0));
  CHECK(ticket.ticket == "any text");
  f.api.Send({ticket.token,
              core::TicketStatus::kOvertaken,
              {},
              base::TicketNumber(9),
              "why"});
  f.loop.RunUntil([&] { return f.answered; });
  CHECK(f.result.status == 409);
  CHECK(f.result.body.find("\"winner\":9") != std::string::npos);
}

TEST_CASE("the HTTP status corresponds to the answer") {
  const auto refusal = [](Reason reason) {
    Answer answer;
    answer.outcome = Outcome::kNotRun;
    answer.reason = reason;
    return HttpStatusOf(answer);
  };
  CHECK(refusal(Reason::kUnknownKey) == 401);
  CHECK(refusal(Reason::kWrongTeam) == 403);
  CHECK(refusal(Reason::kUnknownService) == 404);
  CHECK(refusal(Reason::kDuplicateInProgress) == 409);
  CHECK(refusal(Reason::kQueueFull) == 429);
  CHECK(refusal(Reason::kShuttingDown) == 503);
  Answer answer;
  answer.outcome = Outcome::kUnknown;
  CHECK(HttpStatusOf(answer) == 504);
  answer.outcome = Outcome::kAccepted;
  CHECK(HttpStatusOf(answer) == 202);
}

TEST_CASE("metrics contain the counters, gauges and process metrics") {
  Metrics metrics;
  core::Counters counters;
  counters.Increment("refusals", "queue_full", 2);
  metrics.Set(counters);
  counters.Increment("refusals", "queue_full", 3);
  metrics.Set(counters);
  metrics.Set("members_live", 7);
  metrics.SetProcessMetrics();
  const std::string text = metrics.Render();
  CAPTURE(text);
  CHECK(text.find("dotterel_refusals_total{reason=\"queue_full\"} 5\n") !=
        std::string::npos);
  CHECK(text.find("dotterel_members_live 7\n") != std::string::npos);
  CHECK(text.find("process_resident_memory_bytes ") != std::string::npos);
}

TEST_CASE("a separate address for callers only") {
  Fixture f;
  HttpServer callers{f.loop, HttpServerOptions()};
  CallerApi callers_api{
      &callers, Audience::kCallersOnly, kMaxBodyBytes,
      [&f](core::Input input) { f.inputs.push_back(std::move(input)); },
      &f.counters};
  base::Failure reason;
  const auto port = callers.Listen("127.0.0.1:0", &reason).value();
  const std::string shared_address = f.address;
  f.address = "127.0.0.1:" + std::to_string(port);

  SUBCASE("does not accept tickets") {
    f.Call(HttpMethod::kPost, "/v1/tickets", R"({"ticket":1,"objects":[]})");
    CHECK(f.result.status == 404);
    CHECK(f.inputs.empty());
  }
  SUBCASE("issues tokens distinct from those of the other address") {
    const std::string body = R"({"id":"r","service":"s","payload":"p"})";
    f.Call(HttpMethod::kPost, "/v1/requests", body);
    const auto caller_token =
        std::get<core::CallerRequest>(f.inputs.at(0)).token;
    CHECK(callers_api.Owns(caller_token));
    CHECK_FALSE(f.api.Owns(caller_token));
    f.inputs.clear();
    f.address = shared_address;
    f.Call(HttpMethod::kPost, "/v1/requests", body);
    const auto other_token =
        std::get<core::CallerRequest>(f.inputs.at(0)).token;
    CHECK(f.api.Owns(other_token));
    CHECK_FALSE(callers_api.Owns(other_token));
  }
}

}  // namespace
}  // namespace dotterelbarrow::wire
