// Tests the HTTP server with correct, slow and misbehaving clients.
#include "dotterelbarrow/wire/http_server.h"

#include <doctest/doctest.h>

#include <vector>

#include "test/wire/raw_socket.h"

namespace dotterelbarrow::wire {
namespace {

using std::chrono::milliseconds;

constexpr HttpServerOptions kShortOptions = {
    .max_body_bytes = 1000,
    .idle_timeout = milliseconds(300),
    .receive_timeout = milliseconds(100)};

// A server that records requests; the test replies to them.
struct Fixture {
  EventLoop loop;
  HttpServer server{loop, kShortOptions};
  std::vector<HttpRequest> requests;
  std::uint16_t port = 0;

  Fixture() {
    const auto record = [this](const HttpRequest& request) {
      requests.push_back(request);
    };
    server.Route(HttpMethod::kPost, "/v1/work", record);
    server.Route(HttpMethod::kGet, "/v1/jobs/", record);
    base::Failure reason;
    port = server.Listen("127.0.0.1:0", &reason).value_or(0);
  }

  // Runs the loop until the server has closed the connection of `socket`.
  void RunUntilClosed(RawSocket* socket) {
    PeriodicTimer wakeup(loop, milliseconds(5), [] {});
    loop.RunUntil([socket] { return socket->Receive(); });
  }
  void RunUntilReceived(RawSocket* socket, const std::string& text) {
    PeriodicTimer wakeup(loop, milliseconds(5), [] {});
    loop.RunUntil([&] {
      return socket->Receive() ||
             socket->received().find(text) != std::string::npos;
    });
  }
  void RunFor(base::Duration duration) {
    bool elapsed = false;
    Timer end(loop, [&elapsed] { elapsed = true; });
    end.StartOnce(duration);
    loop.RunUntil([&elapsed] { return elapsed; });
  }
};

TEST_CASE("a complete request is passed to its route") {
  Fixture f;
  RawSocket client;
  client.Connect(f.port);
  SUBCASE("with its body and bearer token") {
    client.Send(
        "POST /v1/work HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer s3cret\r\n"
        "Content-Length: 4\r\n\r\nbody");
    f.loop.RunUntil([&] { return !f.requests.empty(); });
    CHECK(f.requests[0].body == "body");
    CHECK(f.requests[0].bearer == "s3cret");
    f.server.Reply(
        f.requests[0].exchange,
        {.status = 503, .body = "later", .retry_after = milliseconds(1001)});
    f.RunUntilReceived(&client, "later");
    CHECK(client.received().starts_with("HTTP/1.1 503"));
    CHECK(client.received().find("Retry-After: 2\r\n") != std::string::npos);
    CHECK(f.server.unsent_replies() == 0);
  }
  SUBCASE("with the decoded suffix of its path, and its query") {
    client.Send("GET /v1/jobs/a%2Fb?x=1%262&y= HTTP/1.1\r\nHost: a\r\n\r\n");
    f.loop.RunUntil([&] { return !f.requests.empty(); });
    CHECK(f.requests[0].path_suffix == "a/b");
    CHECK(f.requests[0].query.at("x") == "1&2");
    CHECK(f.requests[0].query.at("y").empty());
  }
  SUBCASE("and an unknown path or method is refused") {
    client.Send("GET /v1/nothing HTTP/1.1\r\nHost: a\r\n\r\n");
    f.RunUntilReceived(&client, "404");
    client.Send("GET /v1/work HTTP/1.1\r\nHost: a\r\n\r\n");
    f.RunUntilReceived(&client, "405");
    CHECK(f.requests.empty());
  }
  SUBCASE("and its connection stays open however long the reply takes") {
    client.Send("GET /v1/jobs/a HTTP/1.1\r\nHost: a\r\n\r\n");
    f.loop.RunUntil([&] { return !f.requests.empty(); });
    SUBCASE("while the client waits") {}
    SUBCASE("while the client already sends its next request") {
      client.Send("GET /v1/jobs/b HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    f.RunFor(2 * kShortOptions.idle_timeout);
    f.server.Reply(f.requests[0].exchange, {.status = 200, .body = "answer"});
    f.RunUntilReceived(&client, "answer");
    CHECK(client.received().find("answer") != std::string::npos);
  }
}

TEST_CASE("an incomplete or oversized request is not handled") {
  Fixture f;
  RawSocket client;
  client.Connect(f.port);
  SUBCASE("when only a part of its header arrives") {
    client.Send("POST /v1/work HTTP/1.1\r\nHos");
    f.RunUntilClosed(&client);
    CHECK(f.server.limit_counts().at(LimitReason::kSlowRequest) == 1);
  }
  SUBCASE("when only a part of its body arrives") {
    client.Send("POST /v1/work HTTP/1.1\r\nContent-Length: 4\r\n\r\nbo");
    f.RunUntilClosed(&client);
    CHECK(f.server.limit_counts().at(LimitReason::kSlowRequest) == 1);
  }
  SUBCASE(
      "when it arrives so slowly that it takes too long, but never pauses") {
    client.Send("POST /v1/work HTTP/1.1\r\nX: ");
    PeriodicTimer send_byte(f.loop, milliseconds(10),
                            [&] { client.Send("x"); });
    f.RunUntilClosed(&client);
    CHECK(f.server.limit_counts().at(LimitReason::kSlowRequest) == 1);
  }
  SUBCASE("when its body is too large") {
    client.Send("POST /v1/work HTTP/1.1\r\nContent-Length: 1001\r\n\r\n" +
                std::string(1001, 'x'));
    f.RunUntilClosed(&client);
    CHECK(client.received().starts_with("HTTP/1.1 413"));
  }
  SUBCASE("when its header is too large") {
    client.Send("GET /" + std::string(20000, 'x') + " HTTP/1.1\r\n\r\n");
    f.RunUntilClosed(&client);
    CHECK(client.received().starts_with("HTTP/1.1 400"));
  }
  SUBCASE("when nothing arrives at all") { f.RunUntilClosed(&client); }
  CHECK(f.requests.empty());

  RawSocket other;
  other.Connect(f.port);
  other.Send("GET /v1/jobs/a HTTP/1.1\r\n\r\n");
  f.loop.RunUntil([&] { return !f.requests.empty(); });
  CHECK(f.requests.size() == 1);
}

TEST_CASE("a reply to a client that has disconnected is discarded") {
  Fixture f;
  {
    RawSocket client;
    client.Connect(f.port);
    client.Send("POST /v1/work HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    f.loop.RunUntil([&] { return !f.requests.empty(); });
  }
  f.RunFor(milliseconds(20));
  CHECK(f.server.open_exchanges() == 1);
  f.server.Reply(f.requests[0].exchange, {.status = 200, .body = "late"});
  f.server.Reply(f.requests[0].exchange, {.status = 200, .body = "twice"});
  f.RunFor(milliseconds(20));
  CHECK(f.server.open_exchanges() == 0);
}

TEST_CASE("an address that is not an IP number and a port is refused") {
  Fixture f;
  for (const char* bad : {"", "localhost:80", "127.0.0.1", "127.0.0.1:x",
                          "127.0.0.1:65536", "127.0.0.1:-1"}) {
    CAPTURE(bad);
    base::Failure reason;
    CHECK_FALSE(f.server.Listen(bad, &reason));
    CHECK(reason.code == base::FailureCode::kMalformed);
  }
  base::Failure reason;
  const std::string taken = "127.0.0.1:" + std::to_string(f.port);
  CHECK_FALSE(f.server.Listen(taken, &reason));
  CHECK(reason.code == base::FailureCode::kUnavailable);
}

}  // namespace
}  // namespace dotterelbarrow::wire
