// Queues notifications to peers and posts them in batches.
#include "dotterelbarrow/wire/peer_link.h"

#include <utility>
#include <variant>

#include "dotterelbarrow/wire/codec.h"

namespace dotterelbarrow::wire {
namespace {

std::string MakeEnvelope(const core::NodeSettings& settings) {
  return R"({"jsonrpc":"2.0","params":{"from":)" +
         WriteJson(Json::Value(settings.self.value())) + R"(,"incarnation":)" +
         std::to_string(settings.incarnation.value()) + R"(,"message":)";
}

std::string EncodeNotification(const std::string& envelope,
                               const core::PeerMessage& message) {
  return std::visit(
      [&envelope]<typename Message>(const Message& alternative) {
        return envelope + Encode(alternative, Defaults::kOmitted) +
               R"(},"method":")" + MethodName<Message>() + R"("})";
      },
      message);
}

}  // namespace

PeerLink::PeerLink(const EventLoop& loop, HttpClient* client,
                   const core::NodeSettings& settings,
                   const PeerLinkOptions& options, core::Counters* counters)
    : client_(client),
      options_(options),
      counters_(counters),
      envelope_(MakeEnvelope(settings)),
      flush_timer_(loop, [this] { Flush(); }) {
  for (const core::EntryRecord& record : settings.entries) {
    peers_[record.entry].address = record.address;
  }
}

void PeerLink::Send(const core::ToPeer& message) {
  const auto it = peers_.find(message.to);
  if (it == peers_.end()) {
    counters_->Increment("peer_messages_dropped", "unknown_peer");
    return;
  }
  Peer& peer = it->second;
  peer.queue.push_back(EncodeNotification(envelope_, message.message));
  peer.queued_bytes += peer.queue.back().size();
  while (peer.queued_bytes > options_.max_queued_bytes) {
    peer.queued_bytes -= peer.queue.front().size();
    peer.queue.pop_front();
    counters_->Increment("peer_messages_dropped", "queue_full");
  }
  flush_timer_.RunSoon();
}

std::size_t PeerLink::queued(const base::EntryId& peer) const {
  const auto it = peers_.find(peer);
  return it == peers_.end() ? 0 : it->second.queue.size();
}

bool PeerLink::is_idle() const {
  for (const auto& [entry, peer] : peers_) {
    if (!peer.queue.empty() || peer.pending_posts > 0) {
      return false;
    }
  }
  return true;
}

void PeerLink::Flush() {
  for (auto& [entry, peer] : peers_) {
    FlushPeer(&peer);
  }
}

void PeerLink::FlushPeer(Peer* peer) {
  while (!peer->queue.empty() &&
         peer->pending_posts < options_.max_pending_posts) {
    Post(peer);
  }
}

std::string PeerLink::DequeueBatch(Peer* peer) {
  std::string batch = "[";
  do {
    const std::string& next = peer->queue.front();
    batch += batch.size() > 1 ? "," : "";
    batch += next;
    peer->queued_bytes -= next.size();
    peer->queue.pop_front();
  } while (!peer->queue.empty() && batch.size() + peer->queue.front().size() <
                                       options_.max_batch_bytes);
  return batch + "]";
}

void PeerLink::Post(Peer* peer) {
  ++peer->pending_posts;
  client_->Call(
      {.address = peer->address,
       .uri = "/rpc",
       .body = DequeueBatch(peer),
       .timeout = options_.post_timeout},
      [this, peer](const HttpResult& result) { OnPosted(peer, result); });
}

void PeerLink::OnPosted(Peer* peer, const HttpResult& result) {
  --peer->pending_posts;
  if (result.outcome == HttpOutcome::kNotSent) {
    counters_->Increment("peer_posts_failed", "not_sent");
  } else if (result.outcome == HttpOutcome::kLost) {
    counters_->Increment("peer_posts_failed", "lost");
  } else if (result.status / 100 != 2) {
    counters_->Increment("peer_posts_failed", "refused");
  }
  FlushPeer(peer);
}

}  // namespace dotterelbarrow::wire
