// Tests that DesiredFetcher asks the owner for one text at a time, whatever
// becomes of the request.
#include "src/member/desired_fetcher.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "dotterelbarrow/wire/http_server.h"

namespace dotterelbarrow::member {
namespace {

struct Fixture {
  wire::EventLoop loop;
  core::Counters counters;
  wire::HttpServer http{loop, wire::HttpServerOptions()};
  RpcServer owner{&http, &counters};
  std::vector<RpcServer::Reply> requests;
  wire::HttpClient client{loop, {}};
  RpcClient rpc{&client, &counters};
  std::vector<std::string> texts;
  DesiredFetcher fetcher{&rpc, &counters,
                         [this](const std::string& text, base::TimePoint,
                                base::Duration) { texts.push_back(text); }};
  std::string address;

  Fixture() {
    owner.Bind("desired",
               [this](const Json::Value&, const RpcServer::Reply& reply) {
                 requests.push_back(reply);
               });
    base::Failure reason;
    address = "127.0.0.1:" +
              std::to_string(http.Listen("127.0.0.1:0", &reason).value_or(0));
  }
  void FetchAndAwaitRequest(std::size_t count) {
    fetcher.Fetch(address);
    loop.RunUntil([&] { return requests.size() >= count; });
  }
  void AwaitCounted(const char* outcome) {
    loop.RunUntil(
        [&] { return counters.value("desired_fetches", outcome) >= 1; });
  }
};

TEST_CASE("DesiredFetcher: while a request is pending") {
  Fixture f;
  f.FetchAndAwaitRequest(1);
  for (int heartbeat = 0; heartbeat < 10; ++heartbeat) {
    f.fetcher.Fetch(f.address);
  }
  CHECK(f.client.calls_under_way() == 1);
  SUBCASE("an answer delivers the text, and the next one may be requested") {
    Json::Value answer(Json::objectValue);
    answer["text"] = "the state";
    answer["age_ms"] = 5;
    f.requests[0](answer);
    f.AwaitCounted("received");
    CHECK(f.texts == std::vector<std::string>{"the state"});
    f.FetchAndAwaitRequest(2);
  }
  SUBCASE("an owner that sends to others first may be asked again") {
    f.requests[0](Json::Value(Json::objectValue));
    f.AwaitCounted("not_sent_yet");
    CHECK(f.texts.empty());
    f.FetchAndAwaitRequest(2);
  }
  SUBCASE("another owner is asked at once") {
    Fixture next;
    f.fetcher.Fetch(next.address);
    CHECK(f.client.calls_under_way() == 2);
    f.fetcher.Fetch(next.address);
    CHECK(f.client.calls_under_way() == 2);
  }
  SUBCASE("an owner that doesn't answer is given up") {
    f.AwaitCounted("unanswered");
    f.FetchAndAwaitRequest(2);
  }
}

}  // namespace
}  // namespace dotterelbarrow::member
