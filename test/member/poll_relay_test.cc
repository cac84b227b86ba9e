// Tests polls through another host: answers come back to the right poll, and
// each poll ends exactly once, also if the relay is gone, silent or sends what
// nobody asked for.
#include "src/member/poll_relay.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <string>

#include "dotterelbarrow/wire/http_server.h"

namespace dotterelbarrow::member {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSession = 7;
const base::EntryId kRelay("relay");

std::string Listen(wire::HttpServer* server) {
  base::Failure reason;
  return "127.0.0.1:" +
         std::to_string(server->Listen("127.0.0.1:0", &reason).value_or(0));
}

// An owner, a relay and a worker, each with a server of its own.
struct Scenario {
  wire::EventLoop loop;
  core::Counters counters;
  wire::HttpServer owner_server{loop, wire::HttpServerOptions()};
  wire::HttpServer relay_server{loop, wire::HttpServerOptions()};
  wire::HttpServer worker_server{loop, wire::HttpServerOptions()};
  wire::HttpClient http{loop, wire::HttpClientOptions()};
  std::string owner_address = Listen(&owner_server);
  std::string relay_address = Listen(&relay_server);
  std::string worker_address = Listen(&worker_server);
  std::vector<base::EntryId> failed;
  PollRelayClient client{loop,
                         &http,
                         &counters,
                         kSession,
                         owner_address,
                         [this](const base::EntryId& relay) {
        failed.push_back(relay); }};
  PollRelayServer server{loop, &http, &http, &counters};
  // Requests that reached the worker and are not answered yet.
  std::deque<wire::HttpRequest> at_worker;
  std::vector<std::pair<int, wire::HttpResult>> results;
  bool is_relay_silent = false;

  Scenario() {
    relay_server.Route(wire::HttpMethod::kPost, kRelayedPollsPath,
                       [this](const wire::HttpRequest& request) {
                         if (!is_relay_silent) {
                           server.OnPolls(request.body);
                           relay_server.Reply(request.exchange, {});
                         }
                       });
    owner_server.Route(wire::HttpMethod::kPost, kRelayedAnswersPath,
                       [this](const wire::HttpRequest& request) {
                         client.OnAnswers(request.body);
                         owner_server.Reply(request.exchange, {});
                       });
    worker_server.Route(wire::HttpMethod::kPost, "/hold",
                        [this](const wire::HttpRequest& request) {
                          at_worker.push_back(request);
                        });
  }

  void Poll(int number, const std::string& relay_at,
            base::Duration timeout = seconds(10)) {
    client.Poll(kRelay, relay_at,
                {.id = 0,
                 .address = worker_address,
                 .worker = "worker",
                 .body = "poll " + std::to_string(number),
                 .timeout = timeout},
                [this, number](const wire::HttpResult& result) {
                  results.emplace_back(number, result);
                });
  }
  void RunUntilAtWorker(std::size_t count) {
    loop.RunUntil([&] { return at_worker.size() >= count; });
  }
  void RunUntilResults(std::size_t count) {
    loop.RunUntil([&] { return results.size() >= count; });
  }
};

TEST_CASE("polls through a relay") {
  Scenario s;
  SUBCASE("reach the worker in one batch, and get its answers as they come") {
    s.Poll(1, s.relay_address);
    s.Poll(2, s.relay_address);
    s.RunUntilAtWorker(2);
    CHECK(s.counters.value("relayed_polls", "sent") == 2);
    // The second one is answered first.
    const bool is_first_second = s.at_worker[0].body == "poll 2";
    const auto& second = s.at_worker[is_first_second ? 0 : 1];
    const auto& first = s.at_worker[is_first_second ? 1 : 0];
    s.worker_server.Reply(second.exchange,
                          {.status = 409, .body = "{\"b\":2}"});
    s.RunUntilResults(1);
    CHECK(s.results[0].first == 2);
    CHECK(s.results[0].second.outcome == wire::HttpOutcome::kAnswered);
    CHECK(s.results[0].second.status == 409);
    CHECK(s.results[0].second.body == "{\"b\":2}");
    s.worker_server.Reply(first.exchange, {.status = 200, .body = "a \"q\"\n"});
    s.RunUntilResults(2);
    CHECK(s.results[1].first == 1);
    CHECK(s.results[1].second.body == "a \"q\"\n");
    CHECK(s.failed.empty());
  }
  SUBCASE("are lost at once, and the relay is reported, if it is gone") {
    s.Poll(1, "127.0.0.1:1");
    s.Poll(2, "127.0.0.1:1");
    s.RunUntilResults(2);
    CHECK(s.results[0].second.outcome == wire::HttpOutcome::kLost);
    CHECK(s.results[1].second.outcome == wire::HttpOutcome::kLost);
    CHECK(s.failed == std::vector{kRelay});
  }
  SUBCASE("that are under way are lost with the relay") {
    s.Poll(1, s.relay_address);
    s.RunUntilAtWorker(1);
    s.Poll(2, "127.0.0.1:1");  // The relay has restarted elsewhere.
    s.RunUntilResults(2);
    CHECK(s.results.size() == 2);
    SUBCASE("and an answer that comes later is ignored") {
      s.worker_server.Reply(s.at_worker[0].exchange, {.body = "{}"});
      s.Poll(3, s.relay_address);
      s.RunUntilAtWorker(2);
      s.worker_server.Reply(s.at_worker[1].exchange, {.body = "{}"});
      s.RunUntilResults(3);
      CHECK(s.results.size() == 3);
      CHECK(s.results[2].first == 3);
    }
  }
  SUBCASE("are lost if the relay is paused") {
    s.is_relay_silent = true;
    s.Poll(1, s.relay_address);
    s.RunUntilResults(1);
    CHECK(s.results[0].second.outcome == wire::HttpOutcome::kLost);
    CHECK(s.failed.size() == 1);
  }
  SUBCASE("that the worker doesn't answer in time are lost") {
    s.Poll(1, s.relay_address, milliseconds(30));
    s.RunUntilResults(1);
    CHECK(s.results[0].second.outcome == wire::HttpOutcome::kLost);
    CHECK(s.failed.empty());
  }
}

TEST_CASE("answers of a relay") {
  Scenario s;
  s.Poll(1, s.relay_address);
  s.RunUntilAtWorker(1);
  RelayedAnswers message{kSession,
                         {{1, {wire::HttpOutcome::kAnswered, 200, ""}}}};
  SUBCASE("to an earlier process at the owner's address are ignored") {
    message.session = kSession - 1;
    CHECK(s.client.OnAnswers(Encode(message)));
    CHECK(s.results.empty());
  }
  SUBCASE("that come twice end the poll once") {
    CHECK(s.client.OnAnswers(Encode(message)));
    CHECK(s.client.OnAnswers(Encode(message)));
    CHECK(s.results.size() == 1);
  }
  SUBCASE("that can't be read are refused and counted") {
    for (const char* text : {"", "[]", "{}", R"({"session":-1,"answers":[]})",
                             R"({"session":7,"answers":{}})"}) {
      CAPTURE(text);
      CHECK_FALSE(s.client.OnAnswers(text));
    }
    CHECK(s.counters.value("relayed_polls", "malformed") == 5);
    CHECK(s.results.empty());
  }
  SUBCASE("lose only the rows that can't be read") {
    CHECK(s.client.OnAnswers(
        R"({"session":7,"answers":[[],7,[1,"x",2,""],[1,0,200,"b"]]})"));
    REQUIRE(s.results.size() == 1);
    CHECK(s.results[0].second.body == "b");
  }
}

TEST_CASE("relay messages") {
  rc::check("are read as they were written", [] {
    RelayedPolls polls{
        *rc::gen::arbitrary<std::uint64_t>(), "10.0.0.1:7420", {}};
    const auto bodies = *rc::gen::arbitrary<std::vector<std::string>>();
    for (const std::string& body : bodies) {
      polls.polls.push_back({polls.polls.size(), "a", "w", body, seconds(1)});
    }
    base::Failure reason;
    const auto read = DecodeRelayedPolls(Encode(polls), &reason);
    RC_ASSERT(read.has_value());
    RC_ASSERT(read->session == polls.session);
    RC_ASSERT(read->reply_to == polls.reply_to);
    RC_ASSERT(read->polls == polls.polls);
  });
  rc::check("with any bytes changed or cut off do no harm", [] {
    std::string text = Encode(RelayedPolls{
        kSession, "10.0.0.1:7420", {{1, "a", "w", "{\"b\":1}", seconds(1)}}});
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    if (*rc::gen::arbitrary<bool>()) {
      text[at] = static_cast<char>(*rc::gen::inRange(0, 256));
    } else {
      text.resize(at);
    }
    base::Failure reason;
    DecodeRelayedPolls(text, &reason);
    DecodeRelayedAnswers(text, &reason);
  });
}

}  // namespace
}  // namespace dotterelbarrow::member
