// Bounds what the clients of an HTTP server can make it hold. evhttp bounds the
// size of one request and how long a connection may be idle. It bounds neither
// the input that it reads ahead while a reply is sent, nor the time in which a
// request must arrive, nor the sum over all connections.
//
// Each connection reads ahead only a little while a request is in hand. If the
// sum of all buffers exceeds its limit, the connections that have made no
// progress for longest are closed; if there are too many connections, the one
// that has been idle for longest is. A connection whose request awaits its
// reply is never closed for others.
#ifndef DOTTERELBARROW_SRC_WIRE_CONNECTION_MONITOR_H_
#define DOTTERELBARROW_SRC_WIRE_CONNECTION_MONITOR_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/wire/event_loop.h"
#include "dotterelbarrow/wire/http_server.h"

namespace dotterelbarrow::wire {

class ConnectionMonitor {
 public:
  // Calls `on_change` soon after connections were closed, and periodically.
  // `loop` must outlive this object, which must outlive the evhttp that uses
  // it.
  ConnectionMonitor(const EventLoop& loop, const HttpServerOptions& options,
                    std::function<void()> on_change);
  ~ConnectionMonitor();
  ConnectionMonitor(const ConnectionMonitor&) = delete;
  ConnectionMonitor& operator=(const ConnectionMonitor&) = delete;

  // Creates the bufferevent for a connection that is being accepted. If there
  // are as many connections as permitted, closes another one first, if one can
  // be closed.
  bufferevent* NewConnection();
  bool is_full() const { return connections_.size() >= max_connections_; }
  // Returns whether a further connection can be accepted now.
  bool HasRoom() const;
  // Closes the connection that has been idle for longest, if there is one.
  void CloseIdlest();

  // Must be called when a request on `connection` was received completely.
  // Returns how much memory the request takes.
  std::size_t OnRequestComplete(bufferevent* connection);
  // Must be called when a reply on `connection` is about to be sent to a
  // request that takes `request_bytes`, and when evhttp has sent it.
  void OnReply(bufferevent* connection, std::size_t request_bytes);
  void OnReplySent(bufferevent* connection);

  std::size_t connections() const { return connections_.size(); }
  // Returns the number of replies that are being sent.
  std::size_t unsent_replies() const {
    return in_phase_[Index(Phase::kSending)].size();
  }
  std::size_t buffered_bytes() const { return buffered_bytes_; }
  const LimitCounts& counts() const { return counts_; }
  void Count(LimitReason reason) { ++counts_[reason]; }

 private:
  enum class Phase { kIdle, kReceiving, kHandling, kSending };
  static constexpr std::size_t kPhases = 4;

  // Invariant: holds a reference to `bev`, so that `bev` stays valid until the
  // connection is removed here.
  struct Connection {
    ConnectionMonitor* monitor = nullptr;
    bufferevent* bev = nullptr;
    Phase phase = Phase::kIdle;
    // When the phase began, or when the client last read some of a reply.
    base::TimePoint since;
    // Its place in `in_phase_`.
    std::list<Connection*>::iterator place;
    std::size_t input_bytes = 0;
    std::size_t output_bytes = 0;
    // What the request that is being received or replied to takes. While one is
    // received, includes the input.
    std::size_t request_bytes = 0;
    // How much has been received since the request began. Lines are counted up
    // to the size of the greatest header only.
    std::size_t received_bytes = 0;
    // Invariant: the sum over all connections is `buffered_bytes_`.
    std::size_t charged_bytes = 0;
    // Reading pauses while there is this much input.
    std::size_t read_limit = 0;
    bool has_close_callback = false;
  };

  static constexpr std::size_t Index(Phase phase) {
    return static_cast<std::size_t>(phase);
  }
  static void OnInput(evbuffer* buffer, const evbuffer_cb_info* info,
                      void* connection);
  static void OnOutput(evbuffer* buffer, const evbuffer_cb_info* info,
                       void* connection);
  static void OnClosed(evhttp_connection* evcon, void* connection);
  // Registers OnClosed with evhttp, which knows the connection only after
  // NewConnection has returned.
  static void SetCloseCallback(Connection* connection);
  static void SetReadLimit(Connection* connection, std::size_t bytes);

  void SetPhase(Connection* connection, Phase phase);
  void Charge(Connection* connection);
  void Received(Connection* connection, std::size_t bytes);
  void Close(Connection* connection, LimitReason reason);
  // Closes connections other than `spared`, which may be null, until all
  // buffers are well below their limit.
  void RelieveMemory(const Connection* spared);
  void RaiseReadLimits();
  void FollowUp();
  void Sweep();
  Connection* Find(bufferevent* connection) const;
  void Remove(Connection* connection);

  const EventLoop& loop_;
  base::Duration receive_timeout_;
  std::size_t max_connections_;
  std::size_t max_buffered_bytes_;
  std::size_t max_header_bytes_;
  // How much of the input is read ahead of the request in hand, and how much a
  // request may need to be received.
  std::size_t read_ahead_bytes_;
  std::size_t max_request_bytes_;
  std::function<void()> on_change_;
  std::unordered_map<bufferevent*, std::unique_ptr<Connection>> connections_;
  // The connections in each phase, by `since`.
  std::array<std::list<Connection*>, kPhases> in_phase_;
  // Connections that were accepted, and those whose input reached its limit,
  // since the last call of FollowUp, and in the one before that. May have been
  // closed since.
  std::vector<bufferevent*> accepted_;
  std::vector<bufferevent*> full_;
  std::vector<bufferevent*> full_before_;
  std::size_t buffered_bytes_ = 0;
  LimitCounts counts_;
  Timer follow_up_timer_;
  PeriodicTimer sweep_timer_;
};

}  // namespace dotterelbarrow::wire

#endif  // DOTTERELBARROW_SRC_WIRE_CONNECTION_MONITOR_H_
