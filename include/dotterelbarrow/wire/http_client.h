// An asynchronous HTTP client on the event loop, based on evhttp. It keeps one
// pool of keep-alive connections per address; each connection carries one
// request at a time.
//
//   client.Call({.address = "127.0.0.1:80", .method = HttpMethod::kGet,
//                .uri = "/healthz", .timeout = std::chrono::seconds(1)},
//               [](const HttpResult& result) { ... });
//
// The client never retries a call. Whether to repeat a failed call is up to the
// code that made it.
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
  // Path and query, percent-encoded.
  std::string uri;
  std::string body;
  // Sent as "Authorization: Bearer <bearer>" unless empty.
  std::string bearer{};
  // Additional headers as (name, value), sent without encoding.
  std::vector<std::pair<std::string, std::string>> headers{};
  // The limit on the time from Call to the complete answer, including the wait
  // for a connection.
  base::Duration timeout{0};
  // If longer than `timeout`, a request that the kernel doesn't take at once,
  // and an answer that has begun to arrive, may take until this long after
  // Call, as long as never `timeout` passes without a byte of them. For
  // transfers of unbounded size: a slow link is no reason to give up and
  // transfer the same bytes again.
  base::Duration max_transfer_time{0};
  // Called whenever the kernel has taken bytes of the request. Must not use the
  // client.
  std::function<void()> on_request_progress{};
  // Called when the first bytes of the answer have arrived. Must not use the
  // client.
  std::function<void()> on_answer_begun{};
};

enum class HttpOutcome {
  kAnswered,
  kNotSent,  // No byte of the request was handed to the kernel.
  kLost,     // Some bytes may have been sent, but no complete answer arrived.
};

struct HttpResult {
  HttpOutcome outcome = HttpOutcome::kLost;
  // `status` and `body` are set only for kAnswered.
  int status = 0;
  std::string body;
  // How many bytes of the answer arrived, headers included. Positive also for
  // an answer that was not complete in time.
  std::size_t received_bytes = 0;
};

struct HttpClientOptions {
  // Connections per address.
  std::size_t max_connections = 64;
  // Connections to all addresses; 0 for no limit. At the limit, the connection
  // that has been idle for longest is closed before another one is opened; if
  // none is idle, the call waits.
  std::size_t max_total_connections = 0;
  // Calls per address that may wait for a connection. Further calls fail with
  // kNotSent.
  std::size_t max_waiting_calls = 1024;
  // If a connection is not established within this time, its call fails with
  // kNotSent.
  base::Duration connect_timeout = std::chrono::seconds(1);
  // Idle connections are closed after this time. It should be shorter than the
  // server's idle timeout, so that no call starts on a connection that the
  // server is closing.
  base::Duration idle_timeout = std::chrono::seconds(5);
  // A connection is closed if the remote host acknowledges no TCP segment or
  // keepalive probe for about this long, even while a call awaits its answer.
  base::Duration unacknowledged_timeout = std::chrono::seconds(3);
  std::size_t max_body_bytes = std::size_t{16} * 1024 * 1024;
};

class HttpClient {
 public:
  using Callback = std::function<void(const HttpResult&)>;

  // `loop` must outlive this object.
  HttpClient(const EventLoop& loop, const HttpClientOptions& options);
  // Closes all connections. The callbacks of pending calls are not called.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts a call. `done` is called exactly once, never from within Call
  // itself. It may start other calls but must not destroy the client.
  void Call(HttpCall call, Callback done);

  // Returns the number of connections to `address`, for tests and metrics.
  std::size_t connections(const std::string& address) const;
  // Returns the number of connections to all addresses.
  std::size_t total_connections() const;
  // Returns the number of calls whose callback has not been called yet.
  std::size_t calls_under_way() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dotterelbarrow::wire

#endif  // DOTTERELBARROW_WIRE_HTTP_CLIENT_H_
