// Implements routes, exchanges and listening sockets with evhttp.
#include "dotterelbarrow/wire/http_server.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/wire/connection_monitor.h"

namespace dotterelbarrow::wire {
namespace {

constexpr int kListenBacklog = 1024;
constexpr base::Duration kSecond = std::chrono::seconds(1);
constexpr std::string_view kBearerPrefix = "Bearer ";

timeval ToTimeval(base::Duration duration) {
  timeval value{};
  value.tv_sec = duration / kSecond;
  value.tv_usec = (duration % kSecond).count();
  return value;
}

// Returns half of the process's limit on open files, so that descriptors remain
// for everything else.
std::size_t ConnectionsPermittedByFileLimit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  return static_cast<std::size_t>(limit.rlim_cur / 2);
}

HttpMethod ToMethod(evhttp_cmd_type command) {
  switch (command) {
    case EVHTTP_REQ_POST:
      return HttpMethod::kPost;
    case EVHTTP_REQ_PUT:
      return HttpMethod::kPut;
    case EVHTTP_REQ_DELETE:
      return HttpMethod::kDelete;
    default:
      return HttpMethod::kGet;
  }
}

std::string DecodeUri(const char* text) {
  std::size_t size = 0;
  char* decoded = evhttp_uridecode(text, 0, &size);
  if (decoded == nullptr) {
    return {};
  }
  std::string result(decoded, size);
  std::free(decoded);
  return result;
}

std::map<std::string, std::string> ParseQuery(const char* text) {
  std::map<std::string, std::string> query;
  evkeyvalq pairs{};
  if (text == nullptr || evhttp_parse_query_str(text, &pairs) != 0) {
    return query;
  }
  for (evkeyval* pair = pairs.tqh_first; pair != nullptr;
       pair = pair->next.tqe_next) {
    query.insert_or_assign(pair->key, pair->value);
  }
  evhttp_clear_headers(&pairs);
  return query;
}

std::string BearerOf(evhttp_request* request) {
  const char* header = evhttp_find_header(
      evhttp_request_get_input_headers(request), "Authorization");
  if (header == nullptr) {
    return {};
  }
  const std::string_view text(header);
  return text.starts_with(kBearerPrefix)
             ? std::string(text.substr(kBearerPrefix.size()))
             : std::string();
}

std::string BodyOf(evhttp_request* request) {
  evbuffer* buffer = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, body.data(), body.size());
  return body;
}

// Writes `address` to `*storage` and returns the size of the sockaddr written.
int FillSockaddr(const SocketAddress& address, sockaddr_storage* storage) {
  auto* ipv4 = reinterpret_cast<sockaddr_in*>(storage);
  if (inet_pton(AF_INET, address.ip.c_str(), &ipv4->sin_addr) == 1) {
    ipv4->sin_family = AF_INET;
    ipv4->sin_port = htons(address.port);
    return sizeof(sockaddr_in);
  }
  auto* ipv6 = reinterpret_cast<sockaddr_in6*>(storage);
  inet_pton(AF_INET6, address.ip.c_str(), &ipv6->sin6_addr);
  ipv6->sin6_family = AF_INET6;
  ipv6->sin6_port = htons(address.port);
  return sizeof(sockaddr_in6);
}

std::uint16_t PortOf(evutil_socket_t fd) {
  sockaddr_storage address{};
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  // sockaddr_in and sockaddr_in6 have the port at the same offset.
  return ntohs(reinterpret_cast<sockaddr_in*>(&address)->sin_port);
}

}  // namespace

class HttpServer::Impl {
 public:
  Impl(const EventLoop& loop, const HttpServerOptions& options)
      : loop_(loop),
        max_connections_(std::min(options.max_connections,
                                  ConnectionsPermittedByFileLimit())),
        monitor_(loop, options.receive_timeout, [this] { UpdateAccepting(); }),
        http_(evhttp_new(loop.base())) {
    evhttp_set_max_headers_size(
        http_, static_cast<ev_ssize_t>(options.max_header_bytes));
    evhttp_set_max_body_size(http_,
                             static_cast<ev_ssize_t>(options.max_body_bytes));
    const timeval idle = ToTimeval(options.idle_timeout);
    evhttp_set_timeout_tv(http_, &idle);
    evhttp_set_allowed_methods(http_, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                          EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
    evhttp_set_bevcb(http_, &Impl::OnAccept, this);
    evhttp_set_gencb(http_, &Impl::OnRequest, this);
  }
  ~Impl() { evhttp_free(http_); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Route(HttpMethod method, const std::string& path, Handler handler) {
    routes_[path].insert_or_assign(method, std::move(handler));
  }

  std::optional<std::uint16_t> Listen(const std::string& address,
                                      base::Failure* reason) {
    const auto parsed = ParseSocketAddress(address, reason);
    if (!parsed) {
      return std::nullopt;
    }
    evconnlistener* listener = Bind(*parsed);
    if (listener == nullptr) {
      *reason = {base::FailureCode::kUnavailable,
                 "can't listen on " + address + ": " + std::strerror(errno)};
      return std::nullopt;
    }
    const int enable = 1;
    // Accepted sockets inherit TCP_NODELAY from the listening socket.
    setsockopt(evconnlistener_get_fd(listener), IPPROTO_TCP, TCP_NODELAY,
               &enable, sizeof(enable));
    listeners_.push_back(evhttp_bind_listener(http_, listener));
    return PortOf(evconnlistener_get_fd(listener));
  }

  void StopAccepting() {
    for (evhttp_bound_socket* listener : listeners_) {
      evhttp_del_accept_socket(http_, listener);
    }
    listeners_.clear();
    closing_ = true;
  }

  void Reply(ExchangeId exchange, const HttpReply& reply) {
    const auto it = exchanges_.find(exchange);
    if (it == exchanges_.end()) {
      return;
    }
    evhttp_request* request = it->second;
    exchanges_.erase(it);
    Send(request, reply);
  }

  std::size_t open_exchanges() const { return exchanges_.size(); }
  std::size_t unsent_replies() const { return unsent_replies_; }
  std::uint64_t slow_requests() const { return monitor_.slow_requests(); }

 private:
  using Methods = std::map<HttpMethod, Handler>;

  static bufferevent* OnAccept(event_base* /*base*/, void* self) {
    auto* server = static_cast<Impl*>(self);
    bufferevent* connection = server->monitor_.NewConnection();
    server->UpdateAccepting();
    return connection;
  }

  static void OnRequest(evhttp_request* request, void* self) {
    static_cast<Impl*>(self)->Handle(request);
  }

  static void OnSent(evhttp_request* /*request*/, void* self) {
    --static_cast<Impl*>(self)->unsent_replies_;
  }

  evconnlistener* Bind(const SocketAddress& address) {
    sockaddr_storage storage{};
    const int size = FillSockaddr(address, &storage);
    return evconnlistener_new_bind(
        loop_.base(), nullptr, nullptr,
        LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
        kListenBacklog, reinterpret_cast<sockaddr*>(&storage), size);
  }

  // Stops accepting while `max_connections_` are open, and resumes otherwise.
  void UpdateAccepting() {
    const bool full = monitor_.connections() >= max_connections_;
    for (evhttp_bound_socket* bound : listeners_) {
      evconnlistener* listener = evhttp_bound_socket_get_listener(bound);
      full ? evconnlistener_disable(listener) : evconnlistener_enable(listener);
    }
  }

  void Handle(evhttp_request* request) {
    monitor_.OnRequestComplete(evhttp_connection_get_bufferevent(
        evhttp_request_get_connection(request)));
    HttpRequest parsed;
    last_exchange_ = last_exchange_.next();
    parsed.exchange = last_exchange_;
    parsed.method = ToMethod(evhttp_request_get_command(request));
    const char* host = evhttp_request_get_host(request);
    parsed.host = host == nullptr ? "" : host;
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
    parsed.path = DecodeUri(evhttp_uri_get_path(uri));
    parsed.query = ParseQuery(evhttp_uri_get_query(uri));
    parsed.bearer = BearerOf(request);
    parsed.body = BodyOf(request);
    exchanges_.emplace(parsed.exchange, request);
    Dispatch(&parsed);
  }

  void Dispatch(HttpRequest* request) {
    const Methods* methods = FindRoute(request);
    if (methods == nullptr) {
      Reply(request->exchange, {.status = 404, .body = {}});
      return;
    }
    const auto handler = methods->find(request->method);
    if (handler == methods->end()) {
      Reply(request->exchange, {.status = 405, .body = {}});
      return;
    }
    handler->second(*request);
  }

  // Returns the handlers of the route that matches the request's path, or null.
  // For a route that ends in a slash, sets `request->path_suffix`.
  const Methods* FindRoute(HttpRequest* request) const {
    const auto exact = routes_.find(request->path);
    if (exact != routes_.end()) {
      return &exact->second;
    }
    for (const auto& [path, methods] : routes_) {
      if (path.ends_with('/') && request->path.starts_with(path)) {
        request->path_suffix = request->path.substr(path.size());
        return &methods;
      }
    }
    return nullptr;
  }

  void Send(evhttp_request* request, const HttpReply& reply) {
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Content-Type", reply.content_type.c_str());
    if (reply.retry_after > base::Duration(0)) {
      const auto seconds =
          std::chrono::ceil<std::chrono::seconds>(reply.retry_after);
      evhttp_add_header(headers, "Retry-After",
                        std::to_string(seconds.count()).c_str());
    }
    if (closing_) {
      evhttp_add_header(headers, "Connection", "close");
    }
    if (evhttp_request_get_connection(request) != nullptr) {
      ++unsent_replies_;
      evhttp_request_set_on_complete_cb(request, &Impl::OnSent, this);
    }
    evbuffer* body = evbuffer_new();
    evbuffer_add(body, reply.body.data(), reply.body.size());
    evhttp_send_reply(request, reply.status, nullptr, body);
    evbuffer_free(body);
  }

  const EventLoop& loop_;
  std::size_t max_connections_;
  std::map<std::string, Methods> routes_;
  std::vector<evhttp_bound_socket*> listeners_;
  ExchangeId last_exchange_;
  // Invariant: each request here was received from evhttp and not replied to.
  std::unordered_map<ExchangeId, evhttp_request*> exchanges_;
  std::size_t unsent_replies_ = 0;
  bool closing_ = false;
  // Must outlive `http_`, which uses its bufferevents.
  ConnectionMonitor monitor_;
  evhttp* http_;
};

HttpServer::HttpServer(const EventLoop& loop, const HttpServerOptions& options)
    : impl_(std::make_unique<Impl>(loop, options)) {}

HttpServer::~HttpServer() = default;

void HttpServer::Route(HttpMethod method, const std::string& path,
                       Handler handler) {
  impl_->Route(method, path, std::move(handler));
}

std::optional<std::uint16_t> HttpServer::Listen(const std::string& address,
                                                base::Failure* reason) {
  return impl_->Listen(address, reason);
}

void HttpServer::StopAccepting() { impl_->StopAccepting(); }

void HttpServer::Reply(ExchangeId exchange, const HttpReply& reply) {
  impl_->Reply(exchange, reply);
}

std::size_t HttpServer::open_exchanges() const {
  return impl_->open_exchanges();
}

std::size_t HttpServer::unsent_replies() const {
  return impl_->unsent_replies();
}

std::uint64_t HttpServer::slow_requests() const {
  return impl_->slow_requests();
}

}  // namespace dotterelbarrow::wire
