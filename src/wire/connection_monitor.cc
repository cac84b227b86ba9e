// Holds a reference to each connection's bufferevent and checks all connections
// periodically.
#include "src/wire/connection_monitor.h"

#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace dotterelbarrow::wire {
namespace {

// The longest time between two checks of all connections. A shorter receive
// timeout shortens it.
constexpr base::Duration kMaxSweepPeriod = std::chrono::seconds(1);

}  // namespace

ConnectionMonitor::ConnectionMonitor(const EventLoop& loop,
                                     base::Duration receive_timeout,
                                     std::function<void()> on_sweep)
    : loop_(loop),
      receive_timeout_(receive_timeout),
      on_sweep_(std::move(on_sweep)),
      sweep_timer_(loop, std::min(kMaxSweepPeriod, receive_timeout),
                   [this] { Sweep(); }) {}

ConnectionMonitor::~ConnectionMonitor() {
  for (auto& [bev, connection] : connections_) {
    Release(connection.get());
  }
}

bufferevent* ConnectionMonitor::NewConnection() {
  bufferevent* bev =
      bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  auto connection = std::make_unique<Connection>();
  connection->bev = bev;
  bufferevent_incref(bev);
  evbuffer_add_cb(bufferevent_get_input(bev), &ConnectionMonitor::OnInput,
                  connection.get());
  connections_.insert_or_assign(bev, std::move(connection));
  return bev;
}

void ConnectionMonitor::OnRequestComplete(bufferevent* connection) {
  const auto it = connections_.find(connection);
  if (it != connections_.end()) {
    it->second->receive_start.reset();
  }
}

void ConnectionMonitor::OnInput(evbuffer* /*buffer*/,
                                const evbuffer_cb_info* info,
                                void* connection) {
  auto* self = static_cast<Connection*>(connection);
  if (info->n_added > 0 && !self->receive_start) {
    self->receive_start = MonotonicNow();
  }
}

void ConnectionMonitor::Release(Connection* connection) {
  evbuffer_remove_cb(bufferevent_get_input(connection->bev),
                     &ConnectionMonitor::OnInput, connection);
  bufferevent_decref(connection->bev);
}

bool ConnectionMonitor::IsClosed(const Connection& connection) {
  // evhttp closes a connection with bufferevent_free, which clears the
  // callbacks.
  bufferevent_event_cb event_callback = nullptr;
  bufferevent_getcb(connection.bev, nullptr, nullptr, &event_callback, nullptr);
  return event_callback == nullptr;
}

void ConnectionMonitor::Sweep() {
  const base::TimePoint now = MonotonicNow();
  for (auto it = connections_.begin(); it != connections_.end();) {
    if (IsClosed(*it->second)) {
      Release(it->second.get());
      it = connections_.erase(it);
    } else {
      DropIfSlow(*it->second, now);
      ++it;
    }
  }
  on_sweep_();
}

void ConnectionMonitor::DropIfSlow(const Connection& connection,
                                   base::TimePoint now) {
  if (!connection.receive_start ||
      now - *connection.receive_start < receive_timeout_) {
    return;
  }
  // evhttp sees the end of the stream and frees the connection.
  if (shutdown(bufferevent_getfd(connection.bev), SHUT_RDWR) == 0) {
    ++slow_requests_;
  }
}

}  // namespace dotterelbarrow::wire
