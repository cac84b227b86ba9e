// Tests what StoreClient tells of the store's health while answers are slow.
#include "platform/store_client.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>

#include "test/wire/raw_socket.h"

namespace dotterelbarrow::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A store whose answers the test sends itself.
struct Fixture {
  wire::EventLoop loop;
  wire::RawSocket listener;
  std::string address = "127.0.0.1:" + std::to_string(listener.Listen());
  std::unique_ptr<wire::RawSocket> connection;
  // Lets RunUntil look again although no event has come.
  wire::PeriodicTimer timer{loop, milliseconds(5), [] {}};
  core::Counters counters;
  wire::HttpClient client{loop, {}};
  StoreClient store{&client, address, &counters};
  int answers = 0;

  // Runs the loop until `done`; fails the test after ten seconds.
  void RunUntil(const std::function<bool()>& done) {
    const base::TimePoint end = wire::MonotonicNow() + seconds(10);
    bool is_done = false;
    loop.RunUntil([&] {
      is_done = done();
      return is_done || wire::MonotonicNow() > end;
    });
    REQUIRE(is_done);
  }
  void AwaitRequest() {
    RunUntil([this] {
      if (connection == nullptr) {
        const int fd = listener.Accept();
        connection = fd < 0 ? nullptr : std::make_unique<wire::RawSocket>(fd);
        return false;
      }
      connection->Receive();
      return !connection->received().empty();
    });
  }
  void SendHalfAnAnswer() {
    connection->Send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{");
  }
};

// Load pattern: a read that takes seconds, because its answer is large for the
// link, while a write is in flight. If it counted as unanswered, the owner
// would offer the cell because of a store that doesn't serve it.
TEST_CASE("StoreClient: a read whose answer has begun") {
  Fixture f;
  bool is_feed = false;
  SUBCASE("of rows") {}
  SUBCASE("of a feed that doesn't wait") { is_feed = true; }
  if (is_feed) {
    f.store.ReadFeed("op", base::RowVersion(1), base::Duration(0), seconds(10),
                     [&](const FeedResult&) { ++f.answers; });
  } else {
    f.store.Read(SingleRowRange({"op", "", "config"}), seconds(10),
                 [&](const ReadResult&) { ++f.answers; });
  }
  f.AwaitRequest();
  CHECK(f.store.OldestReadAge() > base::Duration(0));
  f.SendHalfAnAnswer();
  f.RunUntil([&] { return f.store.OldestReadAge() == base::Duration(0); });
  CHECK(f.answers == 0);
  CHECK(f.store.read_latency() > base::Duration(0));
  // Nor does it count again when the rest fails to arrive.
  f.connection.reset();
  f.RunUntil([&] { return f.answers == 1; });
  CHECK(f.store.OldestReadAge() == base::Duration(0));
}

TEST_CASE("StoreClient: a feed that may wait tells nothing about the store") {
  Fixture f;
  f.store.ReadFeed("op", base::RowVersion(1), seconds(10), seconds(10),
                   [&](const FeedResult&) { ++f.answers; });
  f.AwaitRequest();
  CHECK(f.store.OldestReadAge() == base::Duration(0));
}

}  // namespace
}  // namespace dotterelbarrow::platform
