// Sums up the live entry hosts at intervals.
#include "src/member/live_peers.h"

#include <algorithm>

namespace dotterelbarrow::member {

const LivePeers::Peer* LivePeers::Find(const base::EntryId& host) const {
  const auto it = peers_.find(host);
  return it == peers_.end() ? nullptr : &it->second;
}

std::vector<base::EntryId> LivePeers::LiveHostsAtHome(
    base::TimePoint now) const {
  std::vector<base::EntryId> hosts;
  for (const auto& [host, peer] : peers_) {
    if (IsLive(peer, now) && peer.is_at_home) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

bool LivePeers::AllFollowShards(base::TimePoint now) const {
  return std::all_of(peers_.begin(), peers_.end(), [now](const auto& entry) {
    return !IsLive(entry.second, now) || entry.second.follows_shards;
  });
}

const LivePeers::Summary& LivePeers::SummaryAt(base::TimePoint now) {
  if (now < next_summary_) {
    return summary_;
  }
  next_summary_ = now + kMaxSummaryAge;
  ++summaries_made_;
  std::vector<const Peer*> live;
  for (const auto& [host, peer] : peers_) {
    if (IsLive(peer, now)) {
      live.push_back(&peer);
    }
  }
  std::stable_sort(live.begin(), live.end(), [](const Peer* a, const Peer* b) {
    return a->cpu_share > b->cpu_share;
  });
  summary_ = Summary();
  summary_.largest_cpu_share = live.empty() ? 0 : live.front()->cpu_share;
  for (std::size_t i = 0; i < std::min(live.size(), kMaxDeputies); ++i) {
    summary_.deputies.push_back(live[i]->address);
  }
  return summary_;
}

}  // namespace dotterelbarrow::member
