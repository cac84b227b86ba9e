// An HTTP server on the loopback address that records all requests and sends
// the same reply to each.
#ifndef DOTTERELBARROW_TEST_WIRE_SCRIPTED_SERVER_H_
#define DOTTERELBARROW_TEST_WIRE_SCRIPTED_SERVER_H_

#include <string>
#include <vector>

#include "dotterelbarrow/wire/http_server.h"

namespace dotterelbarrow::wire {

class ScriptedServer {
 public:
  explicit ScriptedServer(const EventLoop& loop)
      : http_(loop, HttpServerOptions()) {
    for (const HttpMethod method :
         {HttpMethod::kGet, HttpMethod::kPost, HttpMethod::kPut}) {
      http_.Route(method, "/", [this](const HttpRequest& request) {
        requests_.push_back(request);
        if (status_ != 0) {
          http_.Reply(request.exchange, {.status = status_, .body = body_});
        }
      });
    }
    base::Failure reason;
    const auto port = http_.Listen("127.0.0.1:0", &reason);
    address_ = "127.0.0.1:" + std::to_string(port.value());
  }

  // Sets the reply to later requests. With status 0, the initial value,
  // requests get no reply.
  void Answer(int status, const std::string& body) {
    status_ = status;
    body_ = body;
  }
  const std::string& address() const { return address_; }
  const std::vector<HttpRequest>& requests() const { return requests_; }

 private:
  HttpServer http_;
  int status_ = 0;
  std::string body_;
  std::string address_;
  std::vector<HttpRequest> requests_;
};

// An address at which no process listens.
inline constexpr const char* kClosedAddress = "127.0.0.1:1";

}  // namespace dotterelbarrow::wire

#endif  // DOTTERELBARROW_TEST_WIRE_SCRIPTED_SERVER_H_
