// Monitors the connections of an HTTP server: closes those on which a request
// takes too long to arrive, and counts the open ones. evhttp itself limits only
// how long a connection may be idle, so a client that keeps sending a few bytes
// could hold a connection forever.
#ifndef DOTTERELBARROW_SRC_WIRE_CONNECTION_MONITOR_H_
#define DOTTERELBARROW_SRC_WIRE_CONNECTION_MONITOR_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/wire/event_loop.h"

namespace dotterelbarrow::wire {

class ConnectionMonitor {
 public:
  // Calls `on_sweep` after each periodic check of all connections. `loop` must
  // outlive this object, which must outlive the evhttp that uses it.
  ConnectionMonitor(const EventLoop& loop, base::Duration receive_timeout,
                    std::function<void()> on_sweep);
  ~ConnectionMonitor();
  ConnectionMonitor(const ConnectionMonitor&) = delete;
  ConnectionMonitor& operator=(const ConnectionMonitor&) = delete;

  // Creates the bufferevent for a connection that is being accepted.
  bufferevent* NewConnection();
  // Must be called when a request on `connection` was received completely.
  void OnRequestComplete(bufferevent* connection);

  // Returns the number of connections that were open at the last check or
  // opened since.
  std::size_t connections() const { return connections_.size(); }
  std::uint64_t slow_requests() const { return slow_requests_; }

 private:
  // Invariant: holds a reference to `bev`, so that `bev` stays valid after
  // evhttp frees it.
  struct Connection {
    bufferevent* bev = nullptr;
    // When the first byte of a request arrived that is still incomplete.
    std::optional<base::TimePoint> receive_start;
  };

  static void OnInput(evbuffer* buffer, const evbuffer_cb_info* info,
                      void* connection);
  static void Release(Connection* connection);
  static bool IsClosed(const Connection& connection);
  void Sweep();
  void DropIfSlow(const Connection& connection, base::TimePoint now);

  const EventLoop& loop_;
  base::Duration receive_timeout_;
  std::function<void()> on_sweep_;
  std::unordered_map<bufferevent*, std::unique_ptr<Connection>> connections_;
  std::uint64_t slow_requests_ = 0;
  PeriodicTimer sweep_timer_;
};

}  // namespace dotterelbarrow::wire

#endif  // DOTTERELBARROW_SRC_WIRE_CONNECTION_MONITOR_H_
