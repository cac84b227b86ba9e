// Fake stores that hold a desired state: one behind a slow link, and one that
// answers at once and can refuse calls or drop its history.
#ifndef DOTTERELBARROW_TEST_MEMBER_DESIRED_STORES_H_
#define DOTTERELBARROW_TEST_MEMBER_DESIRED_STORES_H_

#include <json/json.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "dotterelbarrow/core/codec.h"
#include "dotterelbarrow/wire/http_server.h"
#include "platform/base64.h"
#include "test/wire/raw_socket.h"

namespace dotterelbarrow::member {

// Returns the text of a desired state with that many queues.
inline std::string DesiredText(std::uint64_t version, std::size_t queues) {
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

inline Json::Value RowsWith(const std::string& text, std::uint64_t row_version,
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

// A store that holds one desired state and evacuations, and sends its answers
// at most `bytes_per_tick` at a time to each connection, one tick apart.
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
  void Evacuate(const std::string& zone) {
    evacuated_.push_back(zone);
    ++version_;
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
    if (request.find("from=evacuate") != std::string::npos) {
      answer["rows"] = Json::Value(Json::arrayValue);
      for (const std::string& zone : evacuated_) {
        Json::Value row = RowsWith("{}", version_, version_)["rows"][0];
        row["key"] = "evacuate/" + zone;
        answer["rows"].append(std::move(row));
      }
      Send(answer, connection);
      return;
    }
    const std::string after = "depends_on=";
    const std::size_t begin = request.find(after);
    const bool has_text =
        begin == std::string::npos ||
        std::stoull(request.substr(begin + after.size())) < changed_at_;
    if (!has_text) {
      answer["rows"] = Json::Value(Json::arrayValue);
    }
    texts_begun_ += has_text ? 1 : 0;
    Send(answer, connection);
  }

  static void Send(const Json::Value& answer, Connection* connection) {
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
  std::vector<std::string> evacuated_;
  std::uint64_t version_ = 0;
  // The version of the desired state.
  std::uint64_t changed_at_ = 0;
  bool is_stalled_ = false;
  int requests_ = 0;
  std::string last_request_;
  int texts_begun_ = 0;
  std::vector<std::unique_ptr<Connection>> connections_;
  wire::PeriodicTimer timer_;
};

// A store that answers at once, and that takes writes of other tables without
// keeping them. Its feed lists every change.
class FastStore {
 public:
  explicit FastStore(const wire::EventLoop& loop)
      : http_(loop, wire::HttpServerOptions()) {
    http_.Route(wire::HttpMethod::kGet, "/rows-get",
                [this](const wire::HttpRequest& request) { OnRead(request); });
    http_.Route(wire::HttpMethod::kGet, "/rows-feed",
                [this](const wire::HttpRequest& request) { OnFeed(request); });
    http_.Route(wire::HttpMethod::kPost, "/rows-tx",
                [this](const wire::HttpRequest& request) {
                  Reply(request, Json::Value(Json::arrayValue), ++version_,
                        false);
                });
    base::Failure reason;
    address_ = "127.0.0.1:" +
               std::to_string(http_.Listen("127.0.0.1:0", &reason).value_or(0));
  }

  const std::string& address() const { return address_; }
  void Put(const std::string& text) { PutRow("config", text); }
  void Delete() { DeleteRow("config"); }
  void PutRow(const std::string& key, const std::string& text) {
    changes_.push_back({++version_, key, text});
  }
  void DeleteRow(const std::string& key) {
    changes_.push_back({++version_, key, std::nullopt});
  }
  void DropHistory() { history_begin_ = version_; }
  void set_refusing(bool refusing) { is_refusing_ = refusing; }
  // How many changes the feed has listed.
  int listed() const { return listed_; }
  // Lets the feed return one change an answer, and a read one row.
  void set_pages(bool pages) { pages_ = pages; }
  // How many reads of the desired state there were.
  int reads() const { return reads_; }
  int feeds() const { return feeds_; }

 private:
  struct Change {
    std::uint64_t version;
    std::string key;
    std::optional<std::string> text;
  };

  static Json::Value RowOf(const Change& change) {
    Json::Value row(Json::objectValue);
    row["table"] = "op";
    row["part"] = "";
    row["key"] = change.key;
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
    const auto parameter = [&request](const char* name) {
      const auto it = request.query.find(name);
      return it == request.query.end() ? std::string() : it->second;
    };
    reads_ += parameter("from") == "config" ? 1 : 0;
    std::map<std::string, Change> rows_by_key;
    for (const Change& change : changes_) {
      rows_by_key.insert_or_assign(change.key, change);
    }
    Json::Value rows(Json::arrayValue);
    bool has_more = false;
    for (const auto& [key, change] : rows_by_key) {
      const bool is_asked = parameter("table") == "op" && change.text &&
                            key >= parameter("from") &&
                            key < parameter("target");
      has_more = has_more || (is_asked && pages_ && !rows.empty());
      if (is_asked && !has_more) {
        rows.append(RowOf(change));
      }
    }
    Reply(request, std::move(rows), version_, has_more);
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
      if (change.version <= after || request.query.at("table") != "op") {
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

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_TEST_MEMBER_DESIRED_STORES_H_
