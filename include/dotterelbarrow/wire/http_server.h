// An HTTP server on the event loop, by evhttp.
//
//   HttpServer server(loop, HttpServerOptions());
//   server.Route(HttpMethod::kGet, "/healthz", [&](const HttpRequest& request)
//   {
//     server.Reply(request.exchange, {.status = 200, .body = "ok\n"});
//   });
//   const auto port = server.Listen("127.0.0.1:0", &reason);
//
// A handler may reply at once or later; each exchange is replied to once.
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

// One request that awaits its reply; unique within a server.
using ExchangeId = base::NumberId<struct ExchangeIdTag>;

struct HttpRequest {
  ExchangeId exchange;
  HttpMethod method = HttpMethod::kGet;
  // The Host header; empty without one.
  std::string host;
  // Decoded.
  std::string path;
  // What follows a route's trailing slash, decoded; else empty.
  std::string rest;
  std::map<std::string, std::string> query;
  // The text after "Bearer " in the Authorization header; else empty.
  std::string bearer;
  std::string body;
};

struct HttpReply {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  // Sent as Retry-After, rounded up to seconds; zero leaves it out.
  base::Duration retry_after{0};
};

struct HttpServerOptions {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{16} * 1024 * 1024;
  // A connection is dropped once it was idle, or didn't take its reply, for
  // this long.
  base::Duration idle_timeout = std::chrono::seconds(60);
  // A connection is dropped if a request that it began isn't there whole
  // within this time, however steadily it drips in.
  base::Duration receive_timeout = std::chrono::seconds(10);
  // Beyond this many connections no more are accepted until some close.
  std::size_t max_connections = 4096;
};

class HttpServer {
 public:
  using Handler = std::function<void(const HttpRequest&)>;

  // `loop` must outlive this.
  HttpServer(const EventLoop& loop, const HttpServerOptions& options);
  // Drops all connections.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Sends requests with `method` for `path` to `handler`. A path that ends in
  // a slash takes all that begin with it. Unknown paths are answered with 404,
  // other methods on a known path with 405.
  void Route(HttpMethod method, const std::string& path, Handler handler);

  // Listens on "ip:port" and returns the port, which the system chooses for
  // port 0. May be called for several addresses.
  std::optional<std::uint16_t> Listen(const std::string& address,
                                      base::Failure* reason);
  // Accepts no more connections, and closes the open ones as they are
  // replied to.
  void StopAccepting();

  // Sends the reply of an exchange; unknown or replied ones are passed over.
  // If the connection is gone the reply is dropped.
  void Reply(ExchangeId exchange, const HttpReply& reply);

  // Exchanges that await their reply.
  std::size_t open_exchanges() const;
  // Replies that are not yet wholly handed to the system.
  std::size_t unsent_replies() const;
  // Connections that were dropped because a request took too long to arrive.
  std::uint64_t slow_requests() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dotterelbarrow::wire

#endif  // DOTTERELBARROW_WIRE_HTTP_SERVER_H_
