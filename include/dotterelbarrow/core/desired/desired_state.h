// What operators want in force: queues, organisations with their keys and
// caps, services. One value of it is one whole version.
//
//   const Queue* queue = state.FindQueue("parts.example", "/lookup/17");
#ifndef DOTTERELBARROW_CORE_DESIRED_DESIRED_STATE_H_
#define DOTTERELBARROW_CORE_DESIRED_DESIRED_STATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core::desired {

using QueueId = base::StringId<struct QueueIdTag>;

// How long the placement advisor of a queue takes, and how long its tickets
// hold.
struct AdvicePolicy {
  base::Duration decision{0};
  base::Duration per_worker{0};
  base::Duration ticket_validity{0};
};

// Takes jobs under one host name and path prefix.
struct Queue {
  QueueId id;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  // Whether calls need no key.
  bool open_to_all = false;
  base::ServiceId service;
  // 0 comes first.
  int priority = 0;
  // Failed runs of one task, or of one gang, after which the job has failed.
  std::uint32_t max_attempts = 1;
  // The completion objective is this times the job's longest chain of work,
  // and `completion_target` more.
  double slack_factor = 1.0;
  base::Duration completion_target{0};
  std::optional<AdvicePolicy> advice;
};

struct Organisation {
  base::OrganisationId id;
  std::vector<base::ApiKey> keys;
  // Its part of the fleet when all is full, against the other organisations'.
  double weight = 1.0;
  // What it may have running at most; a dimension of 0 is unlimited.
  base::Resources cap;
};

struct Service {
  base::ServiceId id;
  // Whether workers refuse what doesn't fit. If not, they overload themselves.
  bool enforces_capacity = true;
  // Whether its machines are switched off.
  bool standby = false;
};

struct CallLimits {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{256} * 1024;
  base::Duration idle_timeout = std::chrono::seconds(15);
};

// One version, with what it takes to look things up.
class DesiredState {
 public:
  DesiredState() = default;
  DesiredState(base::ConfigVersion version, std::vector<Queue> queues,
               std::vector<Organisation> organisations,
               std::vector<Service> services, CallLimits limits);

  base::ConfigVersion version() const { return version_; }
  const std::vector<Queue>& queues() const { return queues_; }
  const std::vector<Organisation>& organisations() const {
    return organisations_;
  }
  const CallLimits& limits() const { return limits_; }

  // Returns the queue under `host` whose prefix is the longest that `path`
  // begins with, or null. A port after the host name is passed over.
  const Queue* FindQueue(std::string_view host, std::string_view path) const;
  const Queue* FindQueue(const QueueId& id) const;
  const Organisation* FindOrganisation(const base::OrganisationId& id) const;
  // Returns whose key it is, or null.
  const Organisation* OrganisationOf(const base::ApiKey& key) const;
  // Returns null for a service that isn't named.
  const Service* FindService(const base::ServiceId& id) const;

 private:
  base::ConfigVersion version_;
  std::vector<Queue> queues_;
  std::vector<Organisation> organisations_;
  std::vector<Service> services_;
  CallLimits limits_;
  // Invariant: these hold indices into the vectors above. Queues of one host
  // are ordered by prefix, the longest first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> queues_by_host_;
  std::unordered_map<QueueId, std::size_t> queues_by_id_;
  std::unordered_map<base::ApiKey, std::size_t> organisations_by_key_;
  std::unordered_map<base::OrganisationId, std::size_t> organisations_by_id_;
};

}  // namespace dotterelbarrow::core::desired

#endif  // DOTTERELBARROW_CORE_DESIRED_DESIRED_STATE_H_
