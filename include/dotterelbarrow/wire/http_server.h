// An asynchronous HTTP server on the event loop, based on evhttp.
//
//   HttpServer server(loop, HttpServerOptions());
//   server.Route(HttpMethod::kGet, "/healthz", [&](const HttpRequest& request)
//   {
//     server.Reply(request.exchange, {.status = 200, .body = "ok\n"});
//   });
//   const auto port = server.Listen("127.0.0.1:0", &reason);
//
// A handler may reply immediately or later, but must reply to each request
// exactly once.
//
// What clients can make a server hold is bounded, for each connection and for
// all of them together: see HttpServerOptions. A server that reaches a limit
// closes connections whose clients make no progress, and refuses requests. It
// never closes one on which a request awaits its reply.
#ifndef DOTTERELBARROW_WIRE_HTTP_SERVER_H_
#define DOTTERELBARROW_WIRE_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "dotterelbarrow/base/failure.h"
#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/wire/event_loop.h"
#include "dotterelbarrow/wire/http_types.h"

namespace dotterelbarrow::wire {

// Identifies a request that awaits its reply. Unique within a server.
using ExchangeId = base::NumberId<struct ExchangeIdTag>;

struct HttpRequest {
  ExchangeId exchange;
  HttpMethod method = HttpMethod::kGet;
  // The Host header; empty without one.
  std::string host;
  // Percent-decoded.
  std::string path;
  // For a route that ends in a slash, the percent-decoded part of the path
  // after that slash; else empty.
  std::string path_suffix;
  std::map<std::string, std::string> query;
  // The text after "Bearer " in the Authorization header; else empty.
  std::string bearer;
  std::string body;
};

struct HttpReply {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  // Sent as the Retry-After header, rounded up to whole seconds. Zero omits the
  // header.
  base::Duration retry_after{0};
};

// Why a server has closed a connection or refused a request.
enum class LimitReason {
  // A request was not completely received within `receive_timeout`.
  kSlowRequest,
  // All connections together held more than `max_buffered_bytes`.
  kMemory,
  // A new connection exceeded `max_connections`.
  kConnections,
  // The requests in hand would have exceeded half of `max_buffered_bytes`.
  kRequestMemory,
  // The process had no descriptor left to accept a connection with.
  kDescriptors,
};
const char* ToString(LimitReason reason);
// How often each limit was reached; a reason that is missing counts as zero.
using LimitCounts = std::map<LimitReason, std::uint64_t>;

struct HttpServerOptions {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{16} * 1024 * 1024;
  // A connection is closed after it was idle for this long, or after its client
  // read nothing of a reply for this long.
  base::Duration idle_timeout = std::chrono::seconds(60);
  // A connection is closed if a request is not completely received within this
  // time after its first byte, even if bytes keep arriving. One second is added
  // for each 16 KiB received.
  base::Duration receive_timeout = std::chrono::seconds(10);
  // When a client connects while this many connections are open, the one that
  // was idle for longest is closed, or else the one on which a request or reply
  // has made no progress for longest. While a request is in hand on all of
  // them, the server accepts no further ones. If half of the process's limit on
  // open files is less, that applies instead.
  std::size_t max_connections = 4096;
  // The input that has arrived, incomplete requests and unsent replies of all
  // connections may take this many bytes. Beyond that, those of them that have
  // made no progress for longest are closed. Requests in hand may take half as
  // much in addition; beyond that, requests are refused. At least twice the
  // greatest request applies.
  std::size_t max_buffered_bytes = std::size_t{64} * 1024 * 1024;
};

// Returns the process's limit on open files.
std::size_t DescriptorLimit();

class HttpServer {
 public:
  using Handler = std::function<void(const HttpRequest&)>;

  // `loop` must outlive this object.
  HttpServer(const EventLoop& loop, const HttpServerOptions& options);
  // Closes all connections.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Calls `handler` for requests with `method` for `path`. A `path` that ends
  // in a slash matches every path that begins with it. Unknown paths are
  // answered with 404, other methods on a known path with 405.
  void Route(HttpMethod method, const std::string& path, Handler handler);

  // Listens on `address`, "ip:port", and returns the port; for port 0 the
  // operating system chooses one. On failure returns nullopt and sets
  // `*reason`. May be called for several addresses.
  std::optional<std::uint16_t> Listen(const std::string& address,
                                      base::Failure* reason);
  // Stops accepting connections. Each open connection is closed after its next
  // reply.
  void StopAccepting();

  // Charges `bytes` to a request in hand, until its reply, for what its handler
  // keeps. If the requests in hand would then exceed their limit, returns false
  // and replies to the request: 504 to a POST, which an earlier copy may have
  // carried out, else 503.
  bool Reserve(ExchangeId exchange, std::size_t bytes);

  // Sends the reply to a request. Does nothing if `exchange` is unknown or was
  // already replied to. Discards the reply if the connection is closed.
  void Reply(ExchangeId exchange, const HttpReply& reply);

  // Returns the number of requests that await their reply.
  std::size_t open_exchanges() const;
  // Returns the number of replies that are not yet completely handed to the
  // kernel.
  std::size_t unsent_replies() const;
  std::size_t connections() const;
  // Returns how many bytes the clients make this server hold.
  std::size_t held_bytes() const;
  const LimitCounts& limit_counts() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dotterelbarrow::wire

#endif  // DOTTERELBARROW_WIRE_HTTP_SERVER_H_
