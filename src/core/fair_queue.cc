// Implements the weighted fair queue of waiting requests.
#include "src/core/fair_queue.h"

#include <algorithm>
#include <utility>

namespace dotterelbarrow::core {

void FairQueue::Push(const base::ServiceId& service, const base::TeamId& team,
                     ServeId id) {
  if (services_[service][team].insert(id).second) {
    ++size_;
  }
}

void FairQueue::Remove(const base::ServiceId& service, const base::TeamId& team,
                       ServeId id) {
  const auto teams = services_.find(service);
  if (teams == services_.end()) {
    return;
  }
  const auto ids = teams->second.find(team);
  if (ids == teams->second.end()) {
    return;
  }
  size_ -= ids->second.erase(id);
  if (ids->second.empty()) {
    teams->second.erase(ids);
  }
  if (teams->second.empty()) {
    services_.erase(teams);
  }
}

std::optional<ServeId> FairQueue::Next(const base::ServiceId& service,
                                       const Rank& rank) const {
  const auto teams = services_.find(service);
  if (teams == services_.end()) {
    return std::nullopt;
  }
  std::optional<std::pair<double, ServeId>> best;
  for (const auto& [team, ids] : teams->second) {
    const std::optional<double> position = rank(team);
    if (!position) {
      continue;
    }
    const std::pair candidate(*position, *ids.begin());
    if (!best || candidate < *best) {
      best = candidate;
    }
  }
  return best ? std::optional(best->second) : std::nullopt;
}

std::optional<ServeId> FairQueue::NextToRefuse(const Share& share) const {
  std::optional<std::pair<double, ServeId>> worst;
  for (const auto& [service, teams] : services_) {
    for (const auto& [team, ids] : teams) {
      const double waiting = static_cast<double>(ids.size()) / share(team);
      const std::pair candidate(waiting, *ids.rbegin());
      if (!worst || candidate > *worst) {
        worst = candidate;
      }
    }
  }
  return worst ? std::optional(worst->second) : std::nullopt;
}

double FairQueue::PositionOfLast(const base::ServiceId& service,
                                 const base::TeamId& team,
                                 const Share& share) const {
  const auto teams = services_.find(service);
  if (teams == services_.end()) {
    return 0;
  }
  const double own = static_cast<double>(size(service, team));
  const double rounds = own / share(team);
  double position = own;
  for (const auto& [other, ids] : teams->second) {
    if (other != team) {
      position +=
          std::min(static_cast<double>(ids.size()), rounds * share(other));
    }
  }
  return position;
}

std::size_t FairQueue::size(const base::ServiceId& service,
                            const base::TeamId& team) const {
  const auto teams = services_.find(service);
  if (teams == services_.end()) {
    return 0;
  }
  const auto ids = teams->second.find(team);
  return ids == teams->second.end() ? 0 : ids->second.size();
}

std::vector<base::ServiceId> FairQueue::services() const {
  std::vector<base::ServiceId> names;
  for (const auto& [service, teams] : services_) {
    names.push_back(service);
  }
  return names;
}

std::vector<ServeId> FairQueue::waiting(const base::ServiceId& service) const {
  std::vector<ServeId> all;
  const auto teams = services_.find(service);
  if (teams == services_.end()) {
    return all;
  }
  for (const auto& [team, ids] : teams->second) {
    all.insert(all.end(), ids.begin(), ids.end());
  }
  return all;
}

}  // namespace dotterelbarrow::core
