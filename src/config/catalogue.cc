// Look-ups in the configuration, and replacement of whole objects.
#include "dotterelbarrow/config/catalogue.h"

#include <utility>

namespace dotterelbarrow::config {
namespace {

constexpr double kDefaultShare = 1.0;

}  // namespace

std::optional<base::TeamId> Catalogue::FindTeamByKey(
    const base::ApiKey& key) const {
  const auto it = keys_.find(key);
  if (it == keys_.end() || !teams_.contains(it->second)) {
    return std::nullopt;
  }
  return it->second;
}

const Team* Catalogue::FindTeam(const base::TeamId& id) const {
  const auto it = teams_.find(id);
  return it == teams_.end() ? nullptr : &it->second;
}

const Service* Catalogue::FindService(const base::ServiceId& id) const {
  const auto it = services_.find(id);
  return it == services_.end() ? nullptr : &it->second;
}

void Catalogue::PutTeam(Team team) {
  const base::TeamId id = team.id;
  const auto share = shares_.find(id);
  if (share != shares_.end()) {
    team.share = share->second;
  }
  const auto limit = limits_.find(id);
  if (limit != limits_.end()) {
    team.limit = limit->second;
  }
  teams_.insert_or_assign(id, std::move(team));
}

void Catalogue::RemoveTeam(const base::TeamId& id) { teams_.erase(id); }

void Catalogue::PutService(Service service) {
  const base::ServiceId id = service.id;
  services_.insert_or_assign(id, std::move(service));
}

void Catalogue::RemoveService(const base::ServiceId& id) {
  services_.erase(id);
}

void Catalogue::PutKey(const base::ApiKey& key, const base::TeamId& team) {
  keys_.insert_or_assign(key, team);
}

void Catalogue::RemoveKey(const base::ApiKey& key) { keys_.erase(key); }

void Catalogue::PutShare(const base::TeamId& team, double weight) {
  shares_.insert_or_assign(team, weight);
  const auto it = teams_.find(team);
  if (it != teams_.end()) {
    it->second.share = weight;
  }
}

void Catalogue::RemoveShare(const base::TeamId& team) {
  shares_.erase(team);
  const auto it = teams_.find(team);
  if (it != teams_.end()) {
    it->second.share = kDefaultShare;
  }
}

void Catalogue::PutLimit(const base::TeamId& team,
                         const base::Resources& limit) {
  limits_.insert_or_assign(team, limit);
  const auto it = teams_.find(team);
  if (it != teams_.end()) {
    it->second.limit = limit;
  }
}

void Catalogue::RemoveLimit(const base::TeamId& team) {
  limits_.erase(team);
  const auto it = teams_.find(team);
  if (it != teams_.end()) {
    it->second.limit.reset();
  }
}

void Catalogue::PutJob(const base::JobId& id, JobSpec spec) {
  jobs_.insert_or_assign(id, std::move(spec));
}

void Catalogue::RemoveJob(const base::JobId& id) { jobs_.erase(id); }

}  // namespace dotterelbarrow::config
