// The configuration set by operators: queues, organisations with their keys and
// caps, and services. A `DesiredState` holds one complete version of it.
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

// How long a queue's placement advisor takes for a call, as a fixed part and a
// part per worker, and how long its tickets are valid.
struct AdvicePolicy {
  base::Duration decision{0};
  base::Duration per_worker{0};
  base::Duration ticket_validity{0};
};

// A queue accepts the jobs submitted under one host name and path prefix.
struct Queue {
  QueueId id;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  // Whether calls need no API key.
  bool open_to_all = false;
  base::ServiceId service;
  // The lower, the more urgent; 0 comes first.
  int priority = 0;
  // Number of failed runs of one task, or of one gang, after which the job
  // fails.
  std::uint32_t max_attempts = 1;
  // The completion objective is `slack_factor` times the duration of the job's
  // longest chain of dependent steps, plus `completion_target`.
  double slack_factor = 1.0;
  base::Duration completion_target{0};
  std::optional<AdvicePolicy> advice;
};

struct Organisation {
  base::OrganisationId id;
  std::vector<base::ApiKey> keys;
  // Its share of a full fleet, relative to the other organisations' weights.
  double weight = 1.0;
  // Upper limit of the resources that its running tasks use; a dimension of 0
  // is unlimited.
  base::Resources cap;
};

struct Service {
  base::ServiceId id;
  // Whether workers refuse tasks that don't fit. Otherwise they accept them and
  // become overloaded.
  bool enforces_capacity = true;
  // Whether the service's machines are switched off.
  bool standby = false;
};

struct CallLimits {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{256} * 1024;
  base::Duration idle_timeout = std::chrono::seconds(15);
};

// One version of the desired state, indexed for look-ups.
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
  const std::vector<Service>& services() const { return services_; }
  const CallLimits& limits() const { return limits_; }

  // Returns the queue of `host` with the longest path prefix that `path` starts
  // with, or null. A port after the host name is ignored.
  const Queue* FindQueue(std::string_view host, std::string_view path) const;
  const Queue* FindQueue(const QueueId& id) const;
  const Organisation* FindOrganisation(const base::OrganisationId& id) const;
  // Returns the organisation that has the key, or null.
  const Organisation* FindOrganisationByKey(const base::ApiKey& key) const;
  // Returns null if the desired state doesn't name the service.
  const Service* FindService(const base::ServiceId& id) const;

 private:
  base::ConfigVersion version_;
  std::vector<Queue> queues_;
  std::vector<Organisation> organisations_;
  std::vector<Service> services_;
  CallLimits limits_;
  // Invariant: the values are indices into the vectors above. The queues of one
  // host are ordered by path prefix, the longest first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> queues_by_host_;
  std::unordered_map<QueueId, std::size_t> queues_by_id_;
  std::unordered_map<base::ApiKey, std::size_t> organisations_by_key_;
  std::unordered_map<base::OrganisationId, std::size_t> organisations_by_id_;
};

}  // namespace dotterelbarrow::core::desired

#endif  // DOTTERELBARROW_CORE_DESIRED_DESIRED_STATE_H_
