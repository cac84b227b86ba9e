// Tests the exchange of messages between two entry hosts on one event loop.
#include "dotterelbarrow/wire/peer_link.h"

#include <doctest/doctest.h>

#include <vector>

#include "dotterelbarrow/wire/codec.h"
#include "dotterelbarrow/wire/http_server.h"
#include "dotterelbarrow/wire/peer_server.h"
#include "test/wire/raw_socket.h"

namespace dotterelbarrow::wire {
namespace {

using base::EntryId;
using std::chrono::milliseconds;

constexpr PeerLinkOptions kSmallOptions = {.max_queued_bytes = 2000,
                                           .max_pending_posts = 1,
                                           .post_timeout = milliseconds(100)};

// Entry "a" sends messages, and entry "b" receives them.
struct Fixture {
  EventLoop loop;
  HttpServer server{loop, HttpServerOptions()};
  HttpClient client{loop, HttpClientOptions()};
  core::Counters counters;
  std::vector<core::FromPeer> received;
  core::NodeSettings settings;
  std::unique_ptr<PeerServer> peer_server;

  Fixture() {
    base::Failure reason;
    const std::uint16_t port = server.Listen("127.0.0.1:0", &reason).value();
    settings.self = EntryId("a");
    settings.incarnation = base::Incarnation(1ULL << 63);
    settings.entries = {{EntryId("a"), "127.0.0.1:1", {}, {}},
                        {EntryId("b"), AddressOf(port), {}, {}}};
    peer_server = std::make_unique<PeerServer>(
        &server, settings,
        [this](const core::FromPeer& message) { received.push_back(message); },
        &counters);
  }
  static std::string AddressOf(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
  }
  std::unique_ptr<PeerLink> MakeLink(const PeerLinkOptions& options) {
    return std::make_unique<PeerLink>(loop, &client, settings, options,
                                      &counters);
  }
  // Posts `body` to /rpc of entry "b" and returns the HTTP status.
  int Post(const std::string& body) {
    int status = 0;
    client.Call({.address = settings.entries[1].address,
                 .uri = "/rpc",
                 .body = body,
                 .timeout = std::chrono::seconds(5)},
                [&](const HttpResult& result) { status = result.status; });
    loop.RunUntil([&] { return client.calls_under_way() == 0; });
    return status;
  }
};

core::PeerMessage MakeAck(std::uint64_t sequence) {
  core::HeartbeatAck ack;
  ack.sequence = sequence;
  return ack;
}

std::uint64_t SequenceOf(const core::FromPeer& message) {
  return std::get<core::HeartbeatAck>(message.message).sequence;
}

TEST_CASE("messages arrive unchanged") {
  Fixture f;
  const auto link = f.MakeLink(PeerLinkOptions());
  SUBCASE("for each message type") {
    const auto send = [&]<typename... Messages>(std::variant<Messages...>*) {
      (link->Send({EntryId("b"), Messages()}), ...);
    };
    send(static_cast<core::PeerMessage*>(nullptr));
    f.loop.RunUntil([&] { return link->is_idle(); });
    REQUIRE(f.received.size() == std::variant_size_v<core::PeerMessage>);
    for (std::size_t i = 0; i < f.received.size(); ++i) {
      CHECK(f.received[i].message.index() == i);
      CHECK(f.received[i].from == EntryId("a"));
      CHECK(f.received[i].incarnation == f.settings.incarnation);
    }
  }
  SUBCASE("and those of one turn of the loop arrive in one batch, in order") {
    for (int i = 0; i < 100; ++i) {
      link->Send({EntryId("b"), MakeAck(i)});
    }
    f.loop.RunUntil([&] { return link->is_idle(); });
    REQUIRE(f.received.size() == 100);
    for (int i = 0; i < 100; ++i) {
      CHECK(SequenceOf(f.received[i]) == i);
    }
    CHECK(f.client.connections(f.settings.entries[1].address) == 1);
  }
  CHECK(f.counters.values().empty());
}

TEST_CASE("messages to a peer that does not answer") {
  Fixture f;
  RawSocket unresponsive;
  f.settings.entries[1].address = Fixture::AddressOf(unresponsive.Listen());
  const auto link = f.MakeLink(kSmallOptions);
  const EntryId b("b");
  link->Send({b, MakeAck(0)});
  f.loop.RunUntil([&] { return link->queued(b) == 0; });

  SUBCASE("are queued up to a limit, and the oldest are dropped") {
    for (int i = 1; i < 100; ++i) {
      link->Send({b, MakeAck(i)});
    }
    CHECK(link->queued(b) < 30);
    CHECK(f.counters.value("peer_messages_dropped", "queue_full") > 69);
  }
  SUBCASE("are lost after the post timeout, and the next batch is sent") {
    link->Send({b, MakeAck(1)});
    f.loop.RunUntil([&] { return link->queued(b) == 0; });
    CHECK(f.counters.value("peer_posts_failed", "lost") == 1);
  }
}

TEST_CASE("an invalid peer message is counted and dropped") {
  Fixture f;
  const std::string message =
      R"({"jsonrpc":"2.0","method":"task_update_ack","params":{"from":"a",)"
      R"("incarnation":1,"message":{"task":{"team":"t","request":"r",)"
      R"("index":1,"attempt":2}}}})";
  const auto replaced = [&](const std::string& old, const std::string& text) {
    std::string result = message;
    return result.replace(result.find(old), old.size(), text);
  };
  SUBCASE("text that is not JSON-RPC") {
    for (const char* bad : {"", "{", "[]", "7", "null", "{}"}) {
      CAPTURE(bad);
      CHECK(f.Post(bad) == 400);
    }
    CHECK(f.Post(std::string(100000, '[')) == 400);
    CHECK(f.received.empty());
  }
  SUBCASE("an unknown method") {
    CHECK(f.Post(replaced("task_update_ack", "reboot")) == 400);
    CHECK(f.counters.value("peer_messages_refused", "malformed") == 1);
  }
  SUBCASE("a sender that isn't configured") {
    f.Post(replaced("\"a\"", "\"z\""));
    f.Post(replaced("\"from\":\"a\",", ""));
    CHECK(f.counters.value("peer_messages_refused", "unknown_sender") == 1);
    CHECK(f.counters.value("peer_messages_refused", "no_sender") == 1);
    CHECK(f.received.empty());
  }
  SUBCASE("a malformed message, while the rest of its batch is delivered") {
    CHECK(f.Post("[" + message + "," + replaced("\"index\":1", "\"index\":-1") +
                 "," + message + "]") == 204);
    CHECK(f.counters.value("peer_messages_refused", "out_of_range") == 1);
    CHECK(f.received.size() == 2);
  }
  SUBCASE("an unknown method, while the rest of its batch is delivered") {
    f.Post("[" + replaced("task_update_ack", "reboot") + "," + message + "]");
    CHECK(f.received.size() == 1);
  }
}

}  // namespace
}  // namespace dotterelbarrow::wire
