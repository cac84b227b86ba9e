// Tests that OwnershipWriter stores a batch that is large for the link.
#include "src/member/ownership_writer.h"

#include <doctest/doctest.h>
#include <sys/socket.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dotterelbarrow/core/scheduler/job_pages.h"
#include "src/member/clock.h"
#include "test/wire/raw_socket.h"

namespace dotterelbarrow::member {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// More than any of these tests needs.
constexpr base::Duration kTestTimeout = seconds(30);

// A store at the end of a link: the bytes of all connections together arrive at
// `bytes_per_tick`. Answers that each write was done.
class StoreOnSlowLink {
 public:
  StoreOnSlowLink(const wire::EventLoop& loop, base::Duration tick,
                  std::size_t bytes_per_tick)
      : bytes_per_tick_(bytes_per_tick),
        port_(Listen()),
        timer_(loop, tick, [this] { Tick(); }) {}

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  // Stops receiving, in the middle of a request if one is being received.
  void Stall() { is_stalled_ = true; }
  // Bytes of all requests so far.
  std::size_t received_bytes() const { return received_bytes_; }

 private:
  struct Connection {
    explicit Connection(int descriptor) : socket(descriptor) {}
    wire::RawSocket socket;
    std::string received;
    bool is_closed = false;
  };

  std::uint16_t Listen() {
    // Connections inherit it. Bytes in this buffer count as taken by the link.
    constexpr int kReceiveBuffer = 64 * 1024;
    setsockopt(listener_.fd(), SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer,
               sizeof(kReceiveBuffer));
    return listener_.Listen();
  }

  void Tick() {
    int descriptor = -1;
    while ((descriptor = listener_.Accept()) >= 0) {
      connections_.push_back(std::make_unique<Connection>(descriptor));
    }
    for (const auto& connection : connections_) {
      if (!is_stalled_) {
        Receive(connection.get(), bytes_per_tick_ / connections_.size());
      }
    }
    std::erase_if(connections_,
                  [](const auto& connection) { return connection->is_closed; });
  }

  void Receive(Connection* connection, std::size_t most) {
    std::string bytes(most, '\0');
    const ssize_t size =
        recv(connection->socket.fd(), bytes.data(), bytes.size(), 0);
    if (size <= 0) {
      connection->is_closed = size == 0;
      return;
    }
    received_bytes_ += static_cast<std::size_t>(size);
    connection->received.append(bytes, 0, static_cast<std::size_t>(size));
    const std::string length = "Content-Length: ";
    const std::size_t head_end = connection->received.find("\r\n\r\n");
    if (head_end == std::string::npos) {
      return;
    }
    const std::size_t field = connection->received.find(length);
    const std::size_t body_bytes =
        field > head_end
            ? 0
            : std::stoull(connection->received.substr(field + length.size()));
    if (connection->received.size() >= head_end + 4 + body_bytes) {
      const std::string body =
          R"({"schema_version":7,"now_ms":1,"rows":[],"has_more":false})";
      connection->socket.Send("HTTP/1.1 200 OK\r\nContent-Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body);
      connection->received.clear();
    }
  }

  std::size_t bytes_per_tick_;
  wire::RawSocket listener_;
  std::uint16_t port_;
  bool is_stalled_ = false;
  std::size_t received_bytes_ = 0;
  std::vector<std::unique_ptr<Connection>> connections_;
  wire::PeriodicTimer timer_;
};

class DiscardingLog : public core::scheduler::DecisionLog {
 public:
  void Write(std::string_view,
             std::initializer_list<core::scheduler::LogField>) override {}
};

// A batch of full pages with `bytes` of records.
std::vector<core::scheduler::RecordChange> BatchOf(std::size_t bytes) {
  using core::scheduler::JobPages;
  std::vector<core::scheduler::RecordChange> changes;
  for (std::size_t i = 0; i < bytes / JobPages::kPageBytes; ++i) {
    changes.push_back({core::scheduler::RecordTable::kLivePages,
                       std::to_string(i),
                       std::string(JobPages::kPageBytes, 'r')});
  }
  return changes;
}

// Load pattern: after a burst of submissions the owner's batches are as large
// as they may be, and its link carries 10 Mbit/s, less what others use of it.
TEST_CASE("OwnershipWriter: a batch that takes long to send") {
  wire::EventLoop loop;
  constexpr base::Duration kTick = milliseconds(10);
  // Half of 10 Mbit/s.
  constexpr std::size_t kLinkBytesPerTick = 6'250;
  // The largest batch: two records or a page may exceed `max_bytes`.
  const std::size_t kBatchBytes =
      core::scheduler::JobRegistrySettings().max_bytes +
      2 * core::scheduler::JobPages::kPageBytes;
  StoreOnSlowLink slow_store(loop, kTick, kLinkBytesPerTick);
  core::Counters counters;
  DiscardingLog log;
  wire::HttpClient client(loop, {});
  platform::StoreClient store(&client, slow_store.address(), &counters);
  core::leadership::Leadership leadership({});
  OwnershipWriter writer(loop, &store, core::shards::ShardNumber(0),
                         &leadership, {&log, &counters, nullptr});
  int stored = 0;
  bool has_offered = false;
  bool has_failed = false;
  const auto run_until = [&](const std::function<bool()>& done) {
    const base::TimePoint begun = wire::MonotonicNow();
    bool is_done = false;
    loop.RunUntil([&] {
      if (const auto signs = writer.Signs(Now())) {
        has_offered =
            has_offered ||
            core::leadership::StoreTimeoutPolicy::ShouldOfferHandOver(*signs);
        has_failed = has_failed || signs->has_failed;
      }
      is_done = done();
      return is_done || wire::MonotonicNow() - begun > kTestTimeout;
    });
    return is_done;
  };
  leadership.OnRead(std::nullopt, base::RowVersion(), base::Duration(0), Now());
  writer.Write({}, BatchOf(kBatchBytes),
               [&](OwnershipWriteOutcome end, std::int64_t) {
                 stored += end == OwnershipWriteOutcome::kStored ? 1 : 0;
               });

  SUBCASE("is stored by its first copy, and the owner keeps the cell") {
    CHECK(run_until([&] { return stored == 1; }));
    CHECK_FALSE(has_failed);
    CHECK_FALSE(has_offered);
  }
  SUBCASE("is sent again once no more of it is taken") {
    REQUIRE(run_until([&] { return slow_store.received_bytes() > 100'000; }));
    slow_store.Stall();
    // Two copies and the read that probes the store.
    constexpr std::size_t kConnections = 3;
    CHECK(run_until([&] {
      return client.connections(slow_store.address()) >= kConnections;
    }));
    SUBCASE("and the owner offers the cell") {
      CHECK(run_until([&] { return has_offered; }));
    }
  }
}

}  // namespace
}  // namespace dotterelbarrow::member
