// Implements the record of configuration versions in force.
#include "test/fuzz/config_watch.h"

#include <algorithm>
#include <utility>

namespace dotterelbarrow::fuzz {

ConfigWatch::ConfigWatch(base::TeamId team, std::set<base::ApiKey> keys)
    : team_(std::move(team)), watched_(std::move(keys)) {}

void ConfigWatch::OnInForce(const config::Catalogue& catalogue,
                            base::TimePoint now) {
  const config::Team* team = catalogue.FindTeam(team_);
  if (team == nullptr) {
    return;
  }
  const auto [it, is_new] = versions_.try_emplace(catalogue.version());
  Version& version = it->second;
  version.last_seen = now;
  if (!is_new) {
    return;
  }
  version.first_seen = now;
  version.limit = team->limit;
  for (const base::ApiKey& key : watched_) {
    if (catalogue.FindTeamByKey(key)) {
      version.keys.insert(key);
    }
  }
}

std::optional<base::Resources> ConfigWatch::HighestLimit(
    base::TimePoint now) const {
  std::optional<base::Resources> highest;
  for (const auto& [number, version] : versions_) {
    if (now - version.last_seen > kInForceBound || !version.limit) {
      continue;
    }
    const base::Resources limit = *version.limit;
    const base::Resources& most = highest ? *highest : limit;
    highest = base::Resources{std::max(most.cpu, limit.cpu),
                              std::max(most.memory, limit.memory),
                              std::max(most.accelerators, limit.accelerators),
                              std::max(most.slots, limit.slots)};
  }
  return highest;
}

bool ConfigWatch::IsLongRevoked(const base::ApiKey& key,
                                base::TimePoint now) const {
  // Goes from the latest version back to the one that was the latest
  // `kInForceBound` ago.
  bool reached_bound = false;
  for (auto it = versions_.rbegin(); it != versions_.rend() && !reached_bound;
       ++it) {
    if (it->second.keys.contains(key)) {
      return false;
    }
    reached_bound = now - it->second.first_seen > kInForceBound;
  }
  return reached_bound;
}

}  // namespace dotterelbarrow::fuzz
