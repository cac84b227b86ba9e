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

// When a client whose request was refused for want of memory may repeat it.
constexpr base::Duration kOverloadRetryAfter = std::chrono::seconds(1);
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// Limits the connections to half of the process's descriptors, so that some
// remain for everything else, and lets a request of the greatest size pass.
HttpServerOptions Effective(HttpServerOptions options) {
  options.max_connections =
      std::min(options.max_connections, DescriptorLimit() / 2);
  options.max_buffered_bytes =
      std::max(options.max_buffered_bytes,
               2 * (options.max_header_bytes + options.max_body_bytes));
  return options;
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

std::size_t DescriptorLimit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  return static_cast<std::size_t>(limit.rlim_cur);
}

const char* ToString(LimitReason reason) {
  switch (reason) {
    case LimitReason::kSlowRequest:
      return "slow_request";
    case LimitReason::kMemory:
      return "memory";
    case LimitReason::kConnections:
      return "connections";
    case LimitReason::kRequestMemory:
      return "request_memory";
    case LimitReason::kDescriptors:
      return "descriptors";
  }
  return "";
}

class HttpServer::Impl {
 public:
  // `options` must be effective ones.
  Impl(const EventLoop& loop, const HttpServerOptions& options)
      : loop_(loop),
        max_request_memory_(options.max_buffered_bytes / 2),
        monitor_(loop, options, [this] { UpdateAccepting(); }),
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
    ServerOf()[http_] = this;
  }
  ~Impl() {
    ServerOf().erase(http_);
    // evhttp frees the listeners first. It then closes the connections, which
    // the monitor reports.
    listeners_.clear();
    evhttp_free(http_);
  }
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
    evconnlistener_set_error_cb(listener, &Impl::OnAcceptFailed);
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

  bool Reserve(ExchangeId exchange, std::size_t bytes) {
    const auto it = exchanges_.find(exchange);
    if (it == exchanges_.end()) {
      return false;
    }
    // The only request in hand is always accepted, as it has a limit of its
    // own.
    if (request_memory_ + bytes > max_request_memory_ &&
        exchanges_.size() > 1) {
      Refuse(exchange);
      return false;
    }
    it->second.reserved_bytes += bytes;
    request_memory_ += bytes;
    return true;
  }

  void Reply(ExchangeId exchange, const HttpReply& reply) {
    const auto it = exchanges_.find(exchange);
    if (it == exchanges_.end()) {
      return;
    }
    const Exchange found = it->second;
    exchanges_.erase(it);
    request_memory_ -= found.reserved_bytes;
    Send(found, reply);
  }

  std::size_t open_exchanges() const { return exchanges_.size(); }
  std::size_t unsent_replies() const { return monitor_.unsent_replies(); }
  std::size_t connections() const { return monitor_.connections(); }
  std::size_t held_bytes() const {
    return monitor_.buffered_bytes() + request_memory_;
  }
  const LimitCounts& limit_counts() const { return monitor_.counts(); }

 private:
  using Methods = std::map<HttpMethod, Handler>;

  struct Exchange {
    evhttp_request* request = nullptr;
    // What the request itself takes, and what it takes with all that its
    // handler has reserved.
    std::size_t received_bytes = 0;
    std::size_t reserved_bytes = 0;
  };

  // Returns the servers by their evhttp, which is all that a listener passes to
  // its error callback.
  static std::unordered_map<void*, Impl*>& ServerOf() {
    static auto& servers = *new std::unordered_map<void*, Impl*>();
    return servers;
  }

  static bufferevent* OnAccept(event_base* /*base*/, void* self) {
    auto* server = static_cast<Impl*>(self);
    bufferevent* connection = server->monitor_.NewConnection();
    if (server->monitor_.is_full()) {
      // The descriptor of the connection that was closed in its place is freed
      // only after this turn's other connections would be accepted.
      server->SetAccepting(false);
    }
    return connection;
  }

  static void OnAcceptFailed(evconnlistener* /*listener*/, void* http) {
    const auto server = ServerOf().find(http);
    if (server != ServerOf().end()) {
      server->second->monitor_.Count(LimitReason::kDescriptors);
      server->second->monitor_.CloseIdlest();
      // Until a connection is closed, or the next sweep: trying again at once
      // would fail again.
      server->second->SetAccepting(false);
    }
  }

  static void OnRequest(evhttp_request* request, void* self) {
    static_cast<Impl*>(self)->Handle(request);
  }

  static void OnSent(evhttp_request* request, void* self) {
    static_cast<Impl*>(self)->monitor_.OnReplySent(ConnectionOf(request));
  }

  // Returns null if the connection is closed.
  static bufferevent* ConnectionOf(evhttp_request* request) {
    evhttp_connection* connection = evhttp_request_get_connection(request);
    return connection == nullptr
               ? nullptr
               : evhttp_connection_get_bufferevent(connection);
  }

  evconnlistener* Bind(const SocketAddress& address) {
    sockaddr_storage storage{};
    const int size = FillSockaddr(address, &storage);
    return evconnlistener_new_bind(
        loop_.base(), nullptr, nullptr,
        LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
        kListenBacklog, reinterpret_cast<sockaddr*>(&storage), size);
  }

  void UpdateAccepting() { SetAccepting(monitor_.HasRoom()); }

  void SetAccepting(bool accepts) {
    for (evhttp_bound_socket* bound : listeners_) {
      evconnlistener* listener = evhttp_bound_socket_get_listener(bound);
      accepts ? evconnlistener_enable(listener)
              : evconnlistener_disable(listener);
    }
  }

  void Handle(evhttp_request* request) {
    const std::size_t received =
        monitor_.OnRequestComplete(ConnectionOf(request));
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
    exchanges_.emplace(parsed.exchange, Exchange{.request = request,
                                                 .received_bytes = received});
    if (Reserve(parsed.exchange, received)) {
      Dispatch(&parsed);
    }
  }

  void Dispatch(HttpRequest* request) {
    const Methods* methods = FindRoute(request);
    if (methods == nullptr) {
      Reply(request->exchange, {.status = kNotFound, .body = {}});
      return;
    }
    const auto handler = methods->find(request->method);
    if (handler == methods->end()) {
      Reply(request->exchange, {.status = kMethodNotAllowed, .body = {}});
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

  void Refuse(ExchangeId exchange) {
    monitor_.Count(LimitReason::kRequestMemory);
    const bool is_post =
        evhttp_request_get_command(exchanges_.at(exchange).request) ==
        EVHTTP_REQ_POST;
    Reply(exchange, {.status = is_post ? kGatewayTimeout : kUnavailable,
                     .body = {},
                     .retry_after = kOverloadRetryAfter});
  }

  void Send(const Exchange& exchange, const HttpReply& reply) {
    evhttp_request* request = exchange.request;
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
    if (bufferevent* connection = ConnectionOf(request)) {
      monitor_.OnReply(connection, exchange.received_bytes);
      evhttp_request_set_on_complete_cb(request, &Impl::OnSent, this);
    }
    evbuffer* body = evbuffer_new();
    evbuffer_add(body, reply.body.data(), reply.body.size());
    evhttp_send_reply(request, reply.status, nullptr, body);
    evbuffer_free(body);
  }

  const EventLoop& loop_;
  std::map<std::string, Methods> routes_;
  std::vector<evhttp_bound_socket*> listeners_;
  ExchangeId last_exchange_;
  // Invariant: each request here was received from evhttp and not replied to.
  std::unordered_map<ExchangeId, Exchange> exchanges_;
  std::size_t max_request_memory_;
  // Invariant: the sum of what the requests in `exchanges_` take.
  std::size_t request_memory_ = 0;
  bool closing_ = false;
  // Must outlive `http_`, which uses its bufferevents.
  ConnectionMonitor monitor_;
  evhttp* http_;
};

HttpServer::HttpServer(const EventLoop& loop, const HttpServerOptions& options)
    : impl_(std::make_unique<Impl>(loop, Effective(options))) {}

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

bool HttpServer::Reserve(ExchangeId exchange, std::size_t bytes) {
  return impl_->Reserve(exchange, bytes);
}

void HttpServer::Reply(ExchangeId exchange, const HttpReply& reply) {
  impl_->Reply(exchange, reply);
}

std::size_t HttpServer::open_exchanges() const {
  return impl_->open_exchanges();
}

std::size_t HttpServer::unsent_replies() const {
  return impl_->unsent_replies();
}

std::size_t HttpServer::connections() const { return impl_->connections(); }

std::size_t HttpServer::held_bytes() const { return impl_->held_bytes(); }

const LimitCounts& HttpServer::limit_counts() const {
  return impl_->limit_counts();
}

}  // namespace dotterelbarrow::wire
