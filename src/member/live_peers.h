// Tracks the other entry hosts by their heartbeats.
//
// Load pattern: hundreds of hosts send a heartbeat to the owner several times a
// second. Each of them is told about all others that live, so going through the
// hosts for each heartbeat would cost the owner time in proportion to the
// square of their number. The owner sums them up at intervals instead.
#ifndef DOTTERELBARROW_SRC_MEMBER_LIVE_PEERS_H_
#define DOTTERELBARROW_SRC_MEMBER_LIVE_PEERS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::member {

class LivePeers {
 public:
  // A host counts as live for this long after its last heartbeat: until six
  // were missed.
  static constexpr base::Duration kTimeout = std::chrono::milliseconds(2000);
  // How old a summary may be: a third of the time between two heartbeats of a
  // host.
  static constexpr base::Duration kMaxSummaryAge =
      std::chrono::milliseconds(100);
  // Where the store refuses to serve a third of the hosts, it's unlikely to
  // refuse all of this many.
  static constexpr std::size_t kMaxDeputies = 4;

  struct Peer {
    // For calls from other hosts: "ip:port".
    std::string address;
    base::TimePoint last_heartbeat_at;
    // Its share of a processor that other shards leave it.
    double cpu_share = 0;
    // Whether the shard that it sent the heartbeat for is its home.
    bool is_at_home = true;
    // Whether it can follow the owners of several shards; hosts of earlier
    // versions can't.
    bool follows_shards = false;
  };
  // What is told to all hosts.
  struct Summary {
    // The addresses of the live hosts with the largest shares of a processor,
    // the largest first.
    std::vector<std::string> deputies;
    // The largest share of any live host; 0 if there is none.
    double largest_cpu_share = 0;
  };

  void RecordHeartbeat(const base::EntryId& host, Peer peer) {
    peers_[host] = std::move(peer);
  }
  // Returns null for a host that never sent a heartbeat.
  const Peer* Find(const base::EntryId& host) const;
  // All hosts that ever sent a heartbeat.
  const std::map<base::EntryId, Peer>& peers() const { return peers_; }
  // Returns the hosts that live at `now` and are at home.
  std::vector<base::EntryId> LiveHostsAtHome(base::TimePoint now) const;
  // Returns whether all hosts that live at `now` follow shards.
  bool AllFollowShards(base::TimePoint now) const;
  // Returns a summary that is at most `kMaxSummaryAge` old.
  const Summary& SummaryAt(base::TimePoint now);
  // How many times the hosts were summed up.
  std::uint64_t summaries_made() const { return summaries_made_; }

 private:
  static bool IsLive(const Peer& peer, base::TimePoint now) {
    return now - peer.last_heartbeat_at < kTimeout;
  }

  std::map<base::EntryId, Peer> peers_;
  Summary summary_;
  base::TimePoint next_summary_;
  std::uint64_t summaries_made_ = 0;
};

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_LIVE_PEERS_H_
