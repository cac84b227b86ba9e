// Tests that DesiredWatch follows a desired state that is large for the link on
// which it arrives.
#include "src/member/desired_watch.h"

#include <doctest/doctest.h>
#include <json/json.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dotterelbarrow/core/codec.h"
#include "platform/base64.h"
#include "test/wire/raw_socket.h"

namespace dotterelbarrow::member {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// More than any of these tests needs.
constexpr base::Duration kTestTimeout = seconds(20);

std::string DesiredText(std::uint64_t version, std::size_t queues) {
  Json::Value state(Json::objectValue);
  state["version"] = static_cast<Json::UInt64>(version);
  state["routes"] = Json::Value(Json::arrayValue);
  for (std::size_t i = 0; i < queues; ++i) {
    Json::Value route(Json::objectValue);
    route["name"] = "queue-" + std::to_string(i);
    route["host"] = "site.example";
    route["path_prefix"] = "/" + std::to_string(i) + "/";
    route["service"] = "tasks";
    state["routes"].append(std::move(route));
  }
  Json::Value service(Json::objectValue);
  service["name"] = "tasks";
  state["services"].append(std::move(service));
  return core::WriteJson(state);
}

Json::Value RowsWith(const std::string& text, std::uint64_t row_version,
                     std::uint64_t store_version) {
  Json::Value row(Json::objectValue);
  row["table"] = "op";
  row["part"] = "";
  row["key"] = "config";
  row["value"] = platform::EncodeBase64(text);
  row["schema_version"] = static_cast<Json::UInt64>(row_version);
  Json::Value answer(Json::objectValue);
  answer["rows"] = Json::Value(Json::arrayValue);
  answer["rows"].append(std::move(row));
  answer["has_more"] = false;
  answer["schema_version"] = static_cast<Json::UInt64>(store_version);
  return answer;
}

// A store that holds one desired state, and sends its answers at most
// `bytes_per_tick` at a time to each connection, one tick apart.
class SlowStore {
 public:
  SlowStore(const wire::EventLoop& loop, base::Duration tick,
            std::size_t bytes_per_tick)
      : bytes_per_tick_(bytes_per_tick),
        port_(listener_.Listen()),
        timer_(loop, tick, [this] { Tick(); }) {}

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  void Put(const std::string& text) {
    text_ = text;
    changed_at_ = ++version_;
  }
  // Stops sending, in the middle of an answer if one is being sent.
  void Stall() { is_stalled_ = true; }
  int requests() const { return requests_; }
  // How many answers held the desired state.
  int texts_begun() const { return texts_begun_; }

 private:
  struct Connection {
    explicit Connection(int descriptor) : socket(descriptor) {}
    wire::RawSocket socket;
    std::size_t requests_read = 0;
    std::string unsent;
    bool is_closed = false;
  };

  void Tick() {
    int descriptor = -1;
    while ((descriptor = listener_.Accept()) >= 0) {
      connections_.push_back(std::make_unique<Connection>(descriptor));
    }
    for (const auto& connection : connections_) {
      connection->is_closed = connection->socket.Receive();
      ReadRequests(connection.get());
      const std::size_t size =
          is_stalled_ ? 0
                      : std::min(bytes_per_tick_, connection->unsent.size());
      connection->socket.Send(connection->unsent.substr(0, size));
      connection->unsent.erase(0, size);
    }
    std::erase_if(connections_,
                  [](const auto& connection) { return connection->is_closed; });
  }

  void ReadRequests(Connection* connection) {
    const std::string& received = connection->socket.received();
    std::size_t end = 0;
    while ((end = received.find("\r\n\r\n", connection->requests_read)) !=
           std::string::npos) {
      Answer(received.substr(connection->requests_read,
                             end - connection->requests_read),
             connection);
      connection->requests_read = end + 4;
    }
  }

  void Answer(const std::string& request, Connection* connection) {
    ++requests_;
    Json::Value answer = RowsWith(text_, changed_at_, version_);
    const std::string after = "depends_on=";
    const std::size_t begin = request.find(after);
    const bool has_text =
        begin == std::string::npos ||
        std::stoull(request.substr(begin + after.size())) < changed_at_;
    if (!has_text) {
      answer["rows"] = Json::Value(Json::arrayValue);
    }
    texts_begun_ += has_text ? 1 : 0;
    const std::string body = core::WriteJson(answer);
    connection->unsent +=
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Content-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  std::size_t bytes_per_tick_;
  wire::RawSocket listener_;
  std::uint16_t port_;
  std::string text_;
  std::uint64_t version_ = 0;
  // The version of the only row.
  std::uint64_t changed_at_ = 0;
  bool is_stalled_ = false;
  int requests_ = 0;
  int texts_begun_ = 0;
  std::vector<std::unique_ptr<Connection>> connections_;
  wire::PeriodicTimer timer_;
};

class DiscardingLog : public core::scheduler::DecisionLog {
 public:
  void Write(std::string_view,
             std::initializer_list<core::scheduler::LogField>) override {}
};

TEST_CASE("DesiredWatch: a state that takes long to arrive") {
  wire::EventLoop loop;
  // Several thousand queues over a link that carries them in two seconds.
  const std::string text = DesiredText(7, 4000);
  constexpr base::Duration kTick = milliseconds(20);
  constexpr int kTicks = 100;
  SlowStore slow_store(loop, kTick,
                       platform::EncodeBase64(text).size() / kTicks);
  slow_store.Put(text);
  core::Counters counters;
  DiscardingLog log;
  const core::scheduler::Telemetry telemetry{&log, &counters, nullptr};
  wire::HttpClient client(loop, {});
  platform::StoreClient store(&client, slow_store.address(), &counters);
  DesiredWatch watch(loop, &store, telemetry, milliseconds(100),
                     [](const auto&) {});
  const auto run_until = [&](const std::function<bool()>& done) {
    const base::TimePoint begun = wire::MonotonicNow();
    bool is_done = false;
    loop.RunUntil([&] {
      is_done = done();
      return is_done || wire::MonotonicNow() - begun > kTestTimeout;
    });
    return is_done;
  };

  SUBCASE("is applied") {
    CHECK(run_until([&] { return watch.current() != nullptr; }));
    SUBCASE("and confirmed from then on without another transfer") {
      const int requests = slow_store.requests();
      REQUIRE(run_until([&] { return slow_store.requests() > requests + 5; }));
      CHECK(slow_store.texts_begun() == 1);
      CHECK(*watch.ConfirmationAge() < seconds(1));
    }
  }
  SUBCASE("is requested again if it stops arriving") {
    REQUIRE(run_until([&] { return slow_store.texts_begun() == 1; }));
    slow_store.Stall();
    CHECK(run_until([&] { return slow_store.texts_begun() > 1; }));
  }
}

}  // namespace
}  // namespace dotterelbarrow::member
