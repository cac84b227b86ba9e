// Tests the HTTP client with servers that answer, refuse connections, or stop
// responding.
#include "dotterelbarrow/wire/http_client.h"

#include <doctest/doctest.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "dotterelbarrow/wire/http_server.h"
#include "test/wire/raw_socket.h"

namespace dotterelbarrow::wire {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string AddressOf(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

struct Fixture {
  EventLoop loop;
  HttpClient client{loop,
                    {.max_connections = 2,
                     .max_waiting_calls = 1,
                     .connect_timeout = milliseconds(100),
                     .idle_timeout = milliseconds(200),
                     .unacknowledged_timeout = std::chrono::hours(1)}};
  std::vector<HttpResult> results;

  void Call(const std::string& address, base::Duration timeout = seconds(10)) {
    client.Call(
        {.address = address, .uri = "/", .body = "b", .timeout = timeout},
        [this](const HttpResult& result) { results.push_back(result); });
  }
  void RunUntilResults(std::size_t count) {
    loop.RunUntil([&] { return results.size() >= count; });
  }
};

// A server that answers a request only when AnswerOldest is called.
struct Server {
  HttpServer http;
  std::deque<ExchangeId> unanswered;
  std::string address;

  explicit Server(const EventLoop& loop) : http(loop, HttpServerOptions()) {
    http.Route(HttpMethod::kPost, "/", [this](const HttpRequest& request) {
      unanswered.push_back(request.exchange);
    });
    base::Failure reason;
    address = AddressOf(http.Listen("127.0.0.1:0", &reason).value_or(0));
  }
  void AnswerOldest(int status, const std::string& body) {
    http.Reply(unanswered.front(), {.status = status, .body = body});
    unanswered.pop_front();
  }
};

TEST_CASE("an answered call") {
  Fixture f;
  Server server(f.loop);
  f.Call(server.address);
  f.loop.RunUntil([&] { return !server.unanswered.empty(); });
  server.AnswerOldest(503, "busy");
  f.RunUntilResults(1);
  CHECK(f.results[0].outcome == HttpOutcome::kAnswered);
  CHECK(f.results[0].status == 503);
  CHECK(f.results[0].body == "busy");
  SUBCASE("leaves its connection open for the next call") {
    f.Call(server.address);
    f.loop.RunUntil([&] { return !server.unanswered.empty(); });
    CHECK(f.client.connections(server.address) == 1);
  }
  SUBCASE("leaves a connection that is closed after the idle timeout") {
    f.loop.RunUntil([&] { return f.client.connections(server.address) == 0; });
    CHECK(f.client.calls_under_way() == 0);
  }
}

TEST_CASE("a connection that the server closes is removed from the pool") {
  Fixture f;
  Server server(f.loop);
  f.Call(server.address);
  f.loop.RunUntil([&] { return !server.unanswered.empty(); });
  server.http.StopAccepting();
  server.AnswerOldest(200, "the last");
  f.RunUntilResults(1);
  CHECK(f.results[0].body == "the last");
  CHECK(f.client.connections(server.address) == 0);
}

constexpr std::size_t kLargeBody = std::size_t{256} * 1024;
// The turns that libevent needs for kLargeBody by default, when it writes 16
// KiB per turn.
constexpr int kDefaultTurns = 16;

TEST_CASE("a large body is written in few turns of the loop") {
  Fixture f;
  RawSocket listener;
  const std::string address = AddressOf(listener.Listen());
  f.client.Call({.address = address,
                 .uri = "/",
                 .body = std::string(kLargeBody, 'b'),
                 .timeout = seconds(10)},
                [](const HttpResult&) {});
  int accepted = -1;
  f.loop.RunUntil([&] { return (accepted = listener.Accept()) >= 0; });
  RawSocket connection(accepted);
  int turns = 0;
  f.loop.RunUntil([&] {
    ++turns;
    connection.Receive();
    return connection.received().size() > kLargeBody;
  });
  CHECK(turns < kDefaultTurns);
}

TEST_CASE("more calls than connections") {
  Fixture f;
  Server server(f.loop);
  f.Call(server.address);
  f.Call(server.address);
  f.Call(server.address);
  f.Call(server.address);
  f.RunUntilResults(1);
  CHECK(f.results[0].outcome == HttpOutcome::kNotSent);
  f.loop.RunUntil([&] { return server.unanswered.size() == 2; });
  CHECK(f.client.connections(server.address) == 2);
  SUBCASE("wait until a connection is free") {
    server.AnswerOldest(200, "1");
    f.RunUntilResults(2);
    f.loop.RunUntil([&] { return server.unanswered.size() == 2; });
    CHECK(f.client.connections(server.address) == 2);
  }
}

TEST_CASE("a call that waits too long for a connection was not sent") {
  Fixture f;
  Server server(f.loop);
  f.Call(server.address);
  f.Call(server.address);
  f.Call(server.address, milliseconds(20));
  f.RunUntilResults(1);
  CHECK(f.results[0].outcome == HttpOutcome::kNotSent);
  CHECK(server.unanswered.size() == 2);
}

TEST_CASE("a call to an address where no process listens was not sent") {
  Fixture f;
  std::string address = "no address";
  SUBCASE("at a closed port") {
    RawSocket socket;
    address = AddressOf(socket.Listen());
    shutdown(socket.fd(), SHUT_RDWR);
  }
  SUBCASE("at an invalid address") {}
  f.Call(address);
  CHECK(f.results.empty());
  f.RunUntilResults(1);
  CHECK(f.results[0].outcome == HttpOutcome::kNotSent);
  CHECK(f.client.connections(address) == 0);
}

TEST_CASE("a call whose connection is not established in time was not sent") {
  Fixture f;
  RawSocket listener;
  const std::uint16_t port = listener.Listen(0);
  std::deque<RawSocket> waiting(3);
  for (RawSocket& socket : waiting) {
    socket.Connect(port);
  }
  f.Call(AddressOf(port), std::chrono::hours(1));
  f.RunUntilResults(1);
  CHECK(f.results[0].outcome == HttpOutcome::kNotSent);
}

TEST_CASE("a call that was sent and gets no complete answer is lost") {
  Fixture f;
  RawSocket listener;
  const std::string address = AddressOf(listener.Listen());
  std::string partial_answer;
  SUBCASE("when the server does not answer") {
    f.Call(address, milliseconds(50));
  }
  SUBCASE("when the server closes the connection") {
    f.Call(address);
    int accepted = -1;
    PeriodicTimer accept(f.loop, milliseconds(5), [&] {
      accepted = accepted < 0 ? listener.Accept() : accepted;
    });
    f.loop.RunUntil([&] { return accepted >= 0; });
    RawSocket connection(accepted);
    f.loop.RunUntil([&] {
      connection.Receive();
      return !connection.received().empty();
    });
    SUBCASE("before its answer") {}
    SUBCASE("in the middle of its answer") {
      partial_answer = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf";
      connection.Send(partial_answer);
    }
    shutdown(accepted, SHUT_RDWR);
    f.RunUntilResults(1);
  }
  f.RunUntilResults(1);
  CHECK(f.results[0].outcome == HttpOutcome::kLost);
  CHECK(f.results[0].received_bytes == partial_answer.size());
  CHECK(f.client.connections(address) == 0);
}

// A server whose answer arrives in parts, one tick apart.
struct SteadyAnswer {
  static constexpr base::Duration kTick = milliseconds(20);

  RawSocket listener;
  std::string address = AddressOf(listener.Listen());
  std::unique_ptr<RawSocket> connection;
  int parts_left = 0;
  PeriodicTimer timer;

  SteadyAnswer(const EventLoop& loop, int body_bytes, int parts)
      : parts_left(parts), timer(loop, kTick, [this, body_bytes] {
          if (const int fd = listener.Accept(); fd >= 0) {
            connection = std::make_unique<RawSocket>(fd);
            connection->Send("HTTP/1.1 200 OK\r\nContent-Length: " +
                             std::to_string(body_bytes) + "\r\n\r\n");
          } else if (connection != nullptr && parts_left > 0) {
            --parts_left;
            connection->Send("x");
          }
        }) {}
};

// Load pattern: an answer that takes longer than any time-out for an
// unresponsive server, because the link is slow.
TEST_CASE("HttpClient: an answer that keeps arriving after the timeout") {
  constexpr base::Duration kTimeout = SteadyAnswer::kTick * 20;
  constexpr int kBodyBytes = 60;
  Fixture f;
  const auto call = [&](const SteadyAnswer& server, base::Duration longest) {
    f.client.Call(
        {.address = server.address,
         .uri = "/",
         .body = {},
         .timeout = kTimeout,
         .max_transfer_time = longest},
        [&](const HttpResult& result) { f.results.push_back(result); });
    f.RunUntilResults(1);
  };
  SUBCASE("is complete if the call may take that long") {
    SteadyAnswer server(f.loop, kBodyBytes, kBodyBytes);
    call(server, seconds(10));
    CHECK(f.results[0].outcome == HttpOutcome::kAnswered);
    CHECK(f.results[0].body.size() == kBodyBytes);
  }
  SUBCASE("is lost if the call has only its timeout") {
    SteadyAnswer server(f.loop, kBodyBytes, kBodyBytes);
    call(server, base::Duration(0));
    CHECK(f.results[0].outcome == HttpOutcome::kLost);
  }
  SUBCASE("is lost once it has stopped arriving for the timeout") {
    SteadyAnswer server(f.loop, kBodyBytes, kBodyBytes / 2);
    call(server, std::chrono::hours(1));
    CHECK(f.results[0].outcome == HttpOutcome::kLost);
  }
  SUBCASE("is lost at the end of the longest time, however steadily it comes") {
    SteadyAnswer server(f.loop, 1'000'000, 1'000'000);
    call(server, kTimeout * 2);
    CHECK(f.results[0].outcome == HttpOutcome::kLost);
  }
}

// A server that receives a request at a limited rate, and answers it once its
// body has arrived.
struct SlowReceiver {
  static constexpr base::Duration kTick = milliseconds(10);
  static constexpr std::size_t kBytesPerTick = 8'000;

  RawSocket listener;
  std::string address;
  std::unique_ptr<RawSocket> connection;
  // How many bytes it receives before it stops.
  std::size_t bytes_left;
  std::size_t body_bytes;
  PeriodicTimer timer;

  SlowReceiver(const EventLoop& loop, std::size_t body, std::size_t most)
      : bytes_left(most),
        body_bytes(body),
        timer(loop, kTick, [this] { Tick(); }) {
    // Small against the bodies of the tests.
    constexpr int kReceiveBuffer = 64 * 1024;
    setsockopt(listener.fd(), SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer,
               sizeof(kReceiveBuffer));
    address = AddressOf(listener.Listen());
  }

  void Tick() {
    if (connection == nullptr) {
      const int fd = listener.Accept();
      connection = fd < 0 ? nullptr : std::make_unique<RawSocket>(fd);
      return;
    }
    std::string bytes(std::min(kBytesPerTick, bytes_left), '\0');
    const ssize_t size = recv(connection->fd(), bytes.data(), bytes.size(), 0);
    if (size <= 0) {
      return;
    }
    bytes_left -= static_cast<std::size_t>(size);
    body_bytes -= std::min(body_bytes, static_cast<std::size_t>(size));
    if (body_bytes == 0) {
      connection->Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
  }
};

// Load pattern: a transaction that takes longer to send than any time-out for
// an unresponsive server, because the link is slow.
TEST_CASE("HttpClient: a request that keeps being sent after the timeout") {
  constexpr base::Duration kTimeout = milliseconds(500);
  constexpr std::size_t kBodyBytes = 1'200'000;
  Fixture f;
  int progress = 0;
  const auto call = [&](const SlowReceiver& server, base::Duration longest) {
    f.client.Call(
        {.address = server.address,
         .uri = "/",
         .body = std::string(kBodyBytes, 'x'),
         .timeout = kTimeout,
         .max_transfer_time = longest,
         .on_request_progress = [&] { ++progress; }},
        [&](const HttpResult& result) { f.results.push_back(result); });
    f.RunUntilResults(1);
  };
  SUBCASE("is answered if the call may take that long") {
    SlowReceiver server(f.loop, kBodyBytes, SIZE_MAX);
    call(server, seconds(20));
    CHECK(f.results[0].outcome == HttpOutcome::kAnswered);
    CHECK(progress > 1);
  }
  SUBCASE("is lost if the call has only its timeout") {
    SlowReceiver server(f.loop, kBodyBytes, SIZE_MAX);
    call(server, base::Duration(0));
    CHECK(f.results[0].outcome == HttpOutcome::kLost);
  }
  SUBCASE("is lost once no more of it is taken for the timeout") {
    SlowReceiver server(f.loop, kBodyBytes, kBodyBytes / 2);
    call(server, std::chrono::hours(1));
    CHECK(f.results[0].outcome == HttpOutcome::kLost);
  }
  SUBCASE("is lost at the end of the longest time, however steadily it goes") {
    SlowReceiver server(f.loop, kBodyBytes, SIZE_MAX);
    call(server, kTimeout * 2);
    CHECK(f.results[0].outcome == HttpOutcome::kLost);
  }
}

// Load pattern: a burst of calls to more than a thousand addresses, each of
// which may have several connections, in a process with some thousand
// descriptors.
TEST_CASE("HttpClient: a limit on all connections") {
  EventLoop loop;
  HttpClient client{loop, {.max_connections = 2, .max_total_connections = 2}};
  std::vector<HttpResult> results;
  const auto call = [&](const Server& server) {
    client.Call(
        {.address = server.address,
         .uri = "/",
         .body = "b",
         .timeout = seconds(10)},
        [&results](const HttpResult& result) { results.push_back(result); });
  };
  Server first(loop);
  Server second(loop);
  Server third(loop);
  SUBCASE("closes the longest idle connection for a call elsewhere") {
    for (Server* server : {&first, &second, &third}) {
      call(*server);
      loop.RunUntil([&] { return !server->unanswered.empty(); });
      server->AnswerOldest(200, "");
      loop.RunUntil([&] { return client.calls_under_way() == 0; });
    }
    CHECK(results.size() == 3);
    CHECK(client.total_connections() == 2);
    CHECK(client.connections(first.address) == 0);
    CHECK(client.connections(third.address) == 1);
  }
  SUBCASE("lets a call wait while all connections are busy") {
    call(first);
    call(second);
    call(third);
    loop.RunUntil([&] {
      return !first.unanswered.empty() && !second.unanswered.empty();
    });
    CHECK(client.total_connections() == 2);
    CHECK(third.unanswered.empty());
    first.AnswerOldest(200, "");
    loop.RunUntil([&] { return !third.unanswered.empty(); });
    CHECK(client.total_connections() == 2);
    second.AnswerOldest(200, "");
    third.AnswerOldest(200, "");
    loop.RunUntil([&] { return results.size() == 3; });
    CHECK(results[2].outcome == HttpOutcome::kAnswered);
  }
}

}  // namespace
}  // namespace dotterelbarrow::wire
