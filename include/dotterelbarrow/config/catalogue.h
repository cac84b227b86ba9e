// The current configuration: the teams, keys, services and jobs that result
// from all tickets applied so far. A Catalogue is a plain value;
// ConfigController keeps it up to date.
//
// `catalogue.FindTeamByKey(key)` returns the team that a request belongs to;
// `catalogue.FindService(id)` returns a service and who may use it.
#ifndef DOTTERELBARROW_CONFIG_CATALOGUE_H_
#define DOTTERELBARROW_CONFIG_CATALOGUE_H_

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/config/objects.h"

namespace dotterelbarrow::config {

// A team with its fair share and its resource limit.
struct Team {
  base::TeamId id;
  base::OrganisationId organisation;
  // Weight in weighted dominant-resource fairness; greater than zero.
  double share = 1.0;
  // The maximum resources, fleet-wide, that the team's running work may use. A
  // dimension of zero forbids that resource; an unlimited dimension is set to
  // `kUnlimitedAmount`. nullopt: no limit in any dimension.
  std::optional<base::Resources> limit;

  friend bool operator==(const Team&, const Team&) = default;
};

// A service, or queue, that work is submitted to.
struct Service {
  base::ServiceId id;
  // Whether callers need no key. Their work is accounted to `open_team`.
  bool open = false;
  base::TeamId open_team;
  // Teams that may use the service; empty means every team with a valid key.
  std::set<base::TeamId> teams;

  friend bool operator==(const Service&, const Service&) = default;
};

// Invariants: a key whose team doesn't exist is not usable; a team's share and
// limit are those of the share and limit objects with the team's name,
// whatever the order in which the three objects were added.
class Catalogue {
 public:
  // The version of the last applied ticket; zero before the first one.
  base::ConfigVersion version() const { return version_; }

  // Returns the team that `key` belongs to, or nullopt if the key was never
  // issued or was revoked, or if its team was removed.
  std::optional<base::TeamId> FindTeamByKey(const base::ApiKey& key) const;

  // Return the team or service, or null if there is none. The pointer is valid
  // until the next change of the catalogue.
  const Team* FindTeam(const base::TeamId& id) const;
  const Service* FindService(const base::ServiceId& id) const;

  const std::map<base::TeamId, Team>& teams() const { return teams_; }
  const std::map<base::ServiceId, Service>& services() const {
    return services_;
  }

  // The jobs that tickets have requested.
  const std::map<base::JobId, JobSpec>& jobs() const { return jobs_; }

  // Changes made by tickets. Each Put function replaces the whole object.
  void set_version(base::ConfigVersion version) { version_ = version; }
  // An existing share or limit object of the same name overrides the share or
  // limit in `team`.
  void PutTeam(Team team);
  void RemoveTeam(const base::TeamId& id);
  void PutService(Service service);
  void RemoveService(const base::ServiceId& id);
  void PutKey(const base::ApiKey& key, const base::TeamId& team);
  void RemoveKey(const base::ApiKey& key);
  void PutShare(const base::TeamId& team, double weight);
  void RemoveShare(const base::TeamId& team);
  void PutLimit(const base::TeamId& team, const base::Resources& limit);
  void RemoveLimit(const base::TeamId& team);
  void PutJob(const base::JobId& id, JobSpec spec);
  void RemoveJob(const base::JobId& id);

 private:
  base::ConfigVersion version_;
  std::map<base::TeamId, Team> teams_;
  std::map<base::ServiceId, Service> services_;
  std::unordered_map<base::ApiKey, base::TeamId> keys_;
  std::map<base::TeamId, double> shares_;
  std::map<base::TeamId, base::Resources> limits_;
  std::map<base::JobId, JobSpec> jobs_;
};

}  // namespace dotterelbarrow::config

#endif  // DOTTERELBARROW_CONFIG_CATALOGUE_H_
