// Tests that DesiredWatch follows a desired state that is large for the link on
// which it arrives.
#include "src/member/desired_watch.h"

#include <doctest/doctest.h>
#include <json/json.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dotterelbarrow/core/codec.h"
#include "dotterelbarrow/wire/http_server.h"
#include "platform/base64.h"
#include "src/member/clock.h"
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
  const std::string& last_request() const { return last_request_; }
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
      if (connection->socket.Send(connection->unsent.substr(0, size))) {
        connection->unsent.erase(0, size);
      }
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
    last_request_ = request;
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
  std::string last_request_;
  int texts_begun_ = 0;
  std::vector<std::unique_ptr<Connection>> connections_;
  wire::PeriodicTimer timer_;
};

class DiscardingLog : public core::scheduler::DecisionLog {
 public:
  void Write(std::string_view,
             std::initializer_list<core::scheduler::LogField>) override {}
};

// A store that answers at once. Its feed lists every change.
class FastStore {
 public:
  explicit FastStore(const wire::EventLoop& loop)
      : http_(loop, wire::HttpServerOptions()) {
    http_.Route(wire::HttpMethod::kGet, "/rows-get",
                [this](const wire::HttpRequest& request) { OnRead(request); });
    http_.Route(wire::HttpMethod::kGet, "/rows-feed",
                [this](const wire::HttpRequest& request) { OnFeed(request); });
    base::Failure reason;
    address_ = "127.0.0.1:" +
               std::to_string(http_.Listen("127.0.0.1:0", &reason).value_or(0));
  }

  const std::string& address() const { return address_; }
  void Put(const std::string& text) { changes_.push_back({++version_, text}); }
  void Delete() { changes_.push_back({++version_, std::nullopt}); }
  void DropHistory() { history_begin_ = version_; }
  void set_refusing(bool refusing) { is_refusing_ = refusing; }
  // How many changes the feed has listed.
  int listed() const { return listed_; }
  // Lets the feed return one change an answer.
  void set_pages(bool pages) { pages_ = pages; }
  int reads() const { return reads_; }
  int feeds() const { return feeds_; }

 private:
  struct Change {
    std::uint64_t version;
    std::optional<std::string> text;
  };

  static Json::Value RowOf(const Change& change) {
    Json::Value row(Json::objectValue);
    row["table"] = "op";
    row["part"] = "";
    row["key"] = "config";
    row["schema_version"] = static_cast<Json::UInt64>(change.version);
    if (change.text) {
      row["value"] = platform::EncodeBase64(*change.text);
    } else {
      row["deleted"] = true;
    }
    return row;
  }
  void Reply(const wire::HttpRequest& request, Json::Value rows,
             std::uint64_t version, bool has_more) {
    if (is_refusing_) {
      http_.Reply(request.exchange, {.status = 503, .body = "{}"});
      return;
    }
    Json::Value answer(Json::objectValue);
    answer["rows"] = std::move(rows);
    answer["has_more"] = has_more;
    answer["schema_version"] = static_cast<Json::UInt64>(version);
    http_.Reply(request.exchange,
                {.status = 200, .body = core::WriteJson(answer)});
  }
  void OnRead(const wire::HttpRequest& request) {
    ++reads_;
    Json::Value rows(Json::arrayValue);
    if (!changes_.empty() && changes_.back().text) {
      rows.append(RowOf(changes_.back()));
    }
    Reply(request, std::move(rows), version_, false);
  }
  void OnFeed(const wire::HttpRequest& request) {
    ++feeds_;
    const std::uint64_t after = std::stoull(request.query.at("depends_on"));
    if (after < history_begin_) {
      http_.Reply(request.exchange, {.status = 410, .body = "{}"});
      return;
    }
    Json::Value rows(Json::arrayValue);
    for (const Change& change : changes_) {
      if (change.version <= after) {
        continue;
      }
      rows.append(RowOf(change));
      listed_ += is_refusing_ ? 0 : 1;
      if (pages_) {
        Reply(request, std::move(rows), change.version,
              change.version < version_);
        return;
      }
    }
    Reply(request, std::move(rows), version_, false);
  }

  wire::HttpServer http_;
  std::string address_;
  // Version 1 is that of another row.
  std::uint64_t version_ = 1;
  std::uint64_t history_begin_ = 0;
  std::vector<Change> changes_;
  bool pages_ = false;
  bool is_refusing_ = false;
  int listed_ = 0;
  int reads_ = 0;
  int feeds_ = 0;
};

// A DesiredWatch of the store at `address`.
struct Watched {
  Watched(wire::EventLoop* event_loop, const std::string& address)
      : loop(event_loop),
        client(*event_loop, {}),
        store(&client, address, &counters),
        watch(*event_loop, &store, {&log, &counters, nullptr}, milliseconds(50),
              [](const auto&) {}) {}

  // Returns whether `done` became true in time.
  bool RunUntil(const std::function<bool()>& done) {
    const base::TimePoint begun = wire::MonotonicNow();
    bool is_done = false;
    loop->RunUntil([&] {
      is_done = done();
      return is_done || wire::MonotonicNow() - begun > kTestTimeout;
    });
    return is_done;
  }
  bool RunUntilVersion(std::uint64_t version) {
    return RunUntil([&] {
      return watch.current() != nullptr &&
             watch.current()->version() == base::ConfigVersion(version);
    });
  }
  // Returns whether the state is confirmed by a call that begins now or later.
  bool IsConfirmedAnew() {
    const base::TimePoint begun = Now();
    return RunUntil([&] {
      const auto age = watch.TimeSinceRead();
      return age && Now() - *age > begun;
    });
  }

  wire::EventLoop* loop;
  core::Counters counters;
  DiscardingLog log;
  wire::HttpClient client;
  platform::StoreClient store;
  DesiredWatch watch;
};

TEST_CASE("DesiredWatch: a state that takes long to arrive") {
  wire::EventLoop loop;
  // Several thousand queues over a link that carries them in two seconds.
  const std::string text = DesiredText(7, 4000);
  constexpr base::Duration kTick = milliseconds(20);
  constexpr int kTicks = 100;
  SlowStore store(loop, kTick, platform::EncodeBase64(text).size() / kTicks);
  store.Put(text);
  Watched w(&loop, store.address());

  SUBCASE("is applied") {
    CHECK(w.RunUntilVersion(7));
    SUBCASE("and confirmed from then on without another transfer") {
      const int requests = store.requests();
      REQUIRE(w.RunUntil([&] { return store.requests() > requests + 5; }));
      CHECK(w.IsConfirmedAnew());
      CHECK(store.texts_begun() == 1);
    }
  }
  SUBCASE("is read as a whole if a list of changes stops arriving") {
    REQUIRE(w.RunUntilVersion(7));
    store.Put(DesiredText(8, 4000));
    REQUIRE(w.RunUntil([&] { return store.texts_begun() == 2; }));
    CHECK(store.last_request().find("/rows-feed") != std::string::npos);
    store.Stall();
    CHECK(w.RunUntil([&] {
      return store.last_request().find("/rows-get") != std::string::npos;
    }));
  }
  SUBCASE("is requested again if it stops arriving") {
    REQUIRE(w.RunUntil([&] { return store.texts_begun() == 1; }));
    store.Stall();
    CHECK(w.RunUntil([&] { return store.texts_begun() > 1; }));
  }
}

TEST_CASE("DesiredWatch: following the feed of changes") {
  wire::EventLoop loop;
  FastStore store(loop);
  Watched w(&loop, store.address());

  SUBCASE("without a state confirms none") {
    REQUIRE(w.RunUntil([&] { return store.feeds() > 0; }));
    store.Delete();
    REQUIRE(w.RunUntil([&] { return store.feeds() > 3; }));
    CHECK(w.watch.current() == nullptr);
    CHECK_FALSE(w.watch.ConfirmationAge());
  }
  SUBCASE("from a first state on") {
    store.Put(DesiredText(7, 1));
    REQUIRE(w.RunUntilVersion(7));
    const int reads = store.reads();
    SUBCASE("applies a newer one") {
      store.Put(DesiredText(8, 1));
      CHECK(w.RunUntilVersion(8));
      CHECK(w.IsConfirmedAnew());
      CHECK(store.reads() == reads);
    }
    SUBCASE("applies the newest of several, and reads it once more") {
      store.Put(DesiredText(8, 1));
      store.Put(DesiredText(9, 1));
      CHECK(w.RunUntilVersion(9));
      CHECK(w.RunUntil([&] { return store.reads() == reads + 1; }));
    }
    SUBCASE("reads only the newest of those that it missed in an outage") {
      store.set_refusing(true);
      const int feeds = store.feeds();
      REQUIRE(w.RunUntil([&] { return store.feeds() > feeds; }));
      for (std::uint64_t version = 8; version <= 20; ++version) {
        store.Put(DesiredText(version, 1));
      }
      store.set_refusing(false);
      CHECK(w.RunUntilVersion(20));
      CHECK(store.listed() == 0);
    }
    SUBCASE("asks for the rest of a list in pages before it confirms") {
      store.set_pages(true);
      store.Put(DesiredText(8, 1));
      store.Put(DesiredText(9, 1));
      CHECK(w.RunUntilVersion(9));
      CHECK(w.IsConfirmedAnew());
    }
    SUBCASE("reads the state again if the history is gone") {
      store.Put(DesiredText(8, 1));
      store.DropHistory();
      CHECK(w.RunUntilVersion(8));
      CHECK(store.reads() > reads);
    }
    SUBCASE(
        "keeps, but doesn't confirm, a state that was replaced by one it "
        "can't use") {
      bool is_deleted = false;
      SUBCASE("as it isn't readable") {}
      SUBCASE("as it was deleted") { is_deleted = true; }
      is_deleted ? store.Delete() : store.Put("no state");
      const int feeds = store.feeds();
      REQUIRE(w.RunUntil([&] { return store.feeds() > feeds + 2; }));
      const base::Duration age = *w.watch.ConfirmationAge();
      REQUIRE(w.RunUntil([&] { return store.feeds() > feeds + 5; }));
      CHECK(*w.watch.ConfirmationAge() > age);
      CHECK(w.watch.current()->version() == base::ConfigVersion(7));
      SUBCASE("until there is a newer one") {
        store.Put(DesiredText(8, 1));
        CHECK(w.RunUntilVersion(8));
        CHECK(w.IsConfirmedAnew());
      }
    }
    SUBCASE("confirms it also after another host sent the same text") {
      w.watch.OnPeerText(DesiredText(7, 1), Now(), base::Duration(0));
      CHECK(w.IsConfirmedAnew());
    }
    SUBCASE("confirms another host's newer state once the store has it") {
      w.watch.OnPeerText(DesiredText(8, 1), Now(), base::Duration(0));
      const int feeds = store.feeds();
      REQUIRE(w.RunUntil([&] { return store.feeds() > feeds + 2; }));
      CHECK(w.watch.current()->version() == base::ConfigVersion(8));
      store.Put(DesiredText(8, 1));
      CHECK(w.IsConfirmedAnew());
    }
  }
}

}  // namespace
}  // namespace dotterelbarrow::member
