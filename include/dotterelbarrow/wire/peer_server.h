// Receives messages from other entry hosts: serves POST /rpc of an HTTP server
// with libjsonrpccpp.
#ifndef DOTTERELBARROW_WIRE_PEER_SERVER_H_
#define DOTTERELBARROW_WIRE_PEER_SERVER_H_

#include <functional>
#include <memory>

#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/settings.h"
#include "dotterelbarrow/wire/http_server.h"

namespace dotterelbarrow::wire {

class PeerServer {
 public:
  using Deliver = std::function<void(const core::FromPeer&)>;

  // Adds the route to `server` and calls `deliver` for each valid message from
  // a configured entry. Any other message is counted and dropped. All pointers
  // must outlive this object.
  PeerServer(HttpServer* server, const core::NodeSettings& settings,
             Deliver deliver, core::Counters* counters);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dotterelbarrow::wire

#endif  // DOTTERELBARROW_WIRE_PEER_SERVER_H_
