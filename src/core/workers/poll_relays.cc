// Keeps a few strong hosts as relays, and hashes the workers onto them.
#include "dotterelbarrow/core/workers/poll_relays.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "dotterelbarrow/base/hash.h"

namespace dotterelbarrow::core::workers {

bool PollRelays::IsPaused(const base::EntryId& host,
                          base::TimePoint now) const {
  const auto it = paused_until_.find(host);
  return it != paused_until_.end() && now < it->second;
}

void PollRelays::Update(std::vector<Host> live_hosts, double own_share,
                        std::size_t workers, base::TimePoint now) {
  std::erase_if(paused_until_,
                [now](const auto& entry) { return now >= entry.second; });
  if (workers <= kMinWorkers) {
    relays_.clear();
    return;
  }
  std::erase_if(live_hosts, [&](const Host& host) {
    return host.cpu_share < kMinShareRatio * own_share ||
           IsPaused(host.id, now);
  });
  const auto is_relay = [this](const base::EntryId& id) {
    return std::find(relays_.begin(), relays_.end(), id) != relays_.end();
  };
  std::stable_sort(live_hosts.begin(), live_hosts.end(),
                   [&](const Host& a, const Host& b) {
                     return std::pair(is_relay(a.id), a.cpu_share) >
                            std::pair(is_relay(b.id), b.cpu_share);
                   });
  const std::size_t wanted =
      std::min({live_hosts.size(), kMaxRelays,
                (workers + kWorkersPerRelay - 1) / kWorkersPerRelay});
  std::vector<base::EntryId> chosen;
  for (std::size_t i = 0; i < wanted; ++i) {
    chosen.push_back(live_hosts[i].id);
  }
  relays_ = std::move(chosen);
}

std::optional<base::EntryId> PollRelays::RelayOf(const base::BackendId& worker,
                                                 base::TimePoint now) const {
  const base::RendezvousSubject subject(worker.value());
  std::optional<base::EntryId> best;
  std::uint64_t best_weight = 0;
  for (const base::EntryId& relay : relays_) {
    const std::uint64_t weight = subject.Weight(relay.value());
    if (!IsPaused(relay, now) && (!best || weight > best_weight)) {
      best = relay;
      best_weight = weight;
    }
  }
  return best;
}

void PollRelays::OnFailed(const base::EntryId& host, base::TimePoint now) {
  paused_until_[host] = now + kFailedHostPause;
}

}  // namespace dotterelbarrow::core::workers
