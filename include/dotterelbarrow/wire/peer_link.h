// Sends messages to the other entry hosts as JSON-RPC notifications. Messages
// sent to the same peer within one turn of the event loop are batched.
//
// Delivery is best-effort, as core/messages.h specifies: a message may be lost
// and is never sent again.
#ifndef DOTTERELBARROW_WIRE_PEER_LINK_H_
#define DOTTERELBARROW_WIRE_PEER_LINK_H_

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/settings.h"
#include "dotterelbarrow/wire/event_loop.h"
#include "dotterelbarrow/wire/http_client.h"

namespace dotterelbarrow::wire {

struct PeerLinkOptions {
  // Bytes queued for one peer. When the queue exceeds this, the oldest messages
  // are dropped.
  std::size_t max_queued_bytes = std::size_t{8} * 1024 * 1024;
  // A single message larger than this is sent as a batch of its own.
  std::size_t max_batch_bytes = std::size_t{256} * 1024;
  // Batches to one peer that may await their HTTP answer at the same time.
  std::size_t max_pending_posts = 4;
  // Shorter than the membership timeout, so that an unresponsive connection is
  // abandoned before its peer is considered failed.
  base::Duration post_timeout = std::chrono::milliseconds(400);
};

class PeerLink {
 public:
  // All pointers must outlive this object.
  PeerLink(const EventLoop& loop, HttpClient* client,
           const core::NodeSettings& settings, const PeerLinkOptions& options,
           core::Counters* counters);
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  // Queues a message. It is sent at the end of this turn of the loop, or, if
  // `max_pending_posts` batches await their answer from the peer, after one of
  // them ends.
  void Send(const core::ToPeer& message);

  // Returns the number of messages queued for `peer`.
  std::size_t queued(const base::EntryId& peer) const;
  // Returns whether no message is queued and no batch awaits its answer.
  bool is_idle() const;

 private:
  struct Peer {
    std::string address;
    // Encoded notifications. `queued_bytes` is the sum of their sizes.
    std::deque<std::string> queue;
    std::size_t queued_bytes = 0;
    std::size_t pending_posts = 0;
  };

  void Flush();
  void FlushPeer(Peer* peer);
  std::string DequeueBatch(Peer* peer);
  void Post(Peer* peer);
  void OnPosted(Peer* peer, const HttpResult& result);

  HttpClient* client_;
  PeerLinkOptions options_;
  core::Counters* counters_;
  // The beginning of each encoded notification, up to its message.
  std::string envelope_;
  // Has an element for each configured entry; none is added or removed later.
  std::map<base::EntryId, Peer> peers_;
  Timer flush_timer_;
};

}  // namespace dotterelbarrow::wire

#endif  // DOTTERELBARROW_WIRE_PEER_LINK_H_
