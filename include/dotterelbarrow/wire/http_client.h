// An HTTP client on the event loop, by evhttp: pools of keep-alive
// connections, one pool an address, one request at a time on each connection.
//
//   client.Call({.address = "127.0.0.1:80", .method = HttpMethod::kGet,
//                .uri = "/healthz", .timeout = std::chrono::seconds(1)},
//               [](const HttpResult& result) { ... });
//
// Nothing is ever sent twice: a call that failed is the caller's to repeat.
#ifndef DOTTERELBARROW_WIRE_HTTP_CLIENT_H_
#define DOTTERELBARROW_WIRE_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/wire/event_loop.h"
#include "dotterelbarrow/wire/http_types.h"

namespace dotterelbarrow::wire {

struct HttpCall {
  // "ip:port".
  std::string address;
  HttpMethod method = HttpMethod::kPost;
  // Path and query, encoded.
  std::string uri;
  std::string body;
  // Sent as "Authorization: Bearer ..." unless empty.
  std::string bearer{};
  // Sent as they are: names and values.
  std::vector<std::pair<std::string, std::string>> headers{};
  // From the call to the whole answer, waiting for a connection included.
  base::Duration timeout{0};
};

enum class HttpOutcome {
  kAnswered,
  kNotSent,  // Surely no byte of it left this process.
  kLost,     // Some of it may have been sent, and no whole answer came.
};

struct HttpResult {
  HttpOutcome outcome = HttpOutcome::kLost;
  // Only where answered.
  int status = 0;
  std::string body;
};

struct HttpClientOptions {
  // At one address.
  std::size_t max_connections = 64;
  // Calls that wait for a connection at one address; beyond, they fail as not
  // sent.
  std::size_t max_waiting = 1024;
  // A connection that isn't made within this time fails its call as not sent.
  base::Duration connect_timeout = std::chrono::seconds(1);
  // Idle connections are closed after this time. It should be less than the
  // server's, so that a call doesn't meet a connection being closed.
  base::Duration idle_timeout = std::chrono::seconds(5);
  // A connection whose peer's host acknowledges nothing for about this long is
  // dropped, also while an answer is awaited.
  base::Duration silence_timeout = std::chrono::seconds(3);
  std::size_t max_body_bytes = std::size_t{16} * 1024 * 1024;
};

class HttpClient {
 public:
  using Callback = std::function<void(const HttpResult&)>;

  // `loop` must outlive this.
  HttpClient(const EventLoop& loop, const HttpClientOptions& options);
  // Closes all connections; calls under way are forgotten.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts a call. `done` is called exactly once, never from within Call, and
  // may start other calls. It must not destroy the client.
  void Call(HttpCall call, Callback done);

  // Connections to `address`, for tests and metrics.
  std::size_t connections(const std::string& address) const;
  // Calls that have not ended.
  std::size_t calls_under_way() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dotterelbarrow::wire

#endif  // DOTTERELBARROW_WIRE_HTTP_CLIENT_H_
