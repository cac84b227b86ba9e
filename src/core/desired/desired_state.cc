// Builds the indices of a desired state and looks up its elements.
#include "dotterelbarrow/core/desired/desired_state.h"

#include <algorithm>
#include <utility>

namespace dotterelbarrow::core::desired {
namespace {

// Returns the element whose position `index` holds for `key`, or null.
template <typename Element, typename Index, typename Key>
const Element* Find(const std::vector<Element>& elements, const Index& index,
                    const Key& key) {
  const auto it = index.find(key);
  return it == index.end() ? nullptr : &elements[it->second];
}

}  // namespace

DesiredState::DesiredState(base::ConfigVersion version,
                           std::vector<Queue> queues,
                           std::vector<Organisation> organisations,
                           std::vector<Service> services, CallLimits limits)
    : version_(version),
      queues_(std::move(queues)),
      organisations_(std::move(organisations)),
      services_(std::move(services)),
      limits_(limits) {
  for (std::size_t i = 0; i < queues_.size(); ++i) {
    queues_by_host_[queues_[i].host].push_back(i);
    queues_by_id_.emplace(queues_[i].id, i);
  }
  for (auto& [host, indices] : queues_by_host_) {
    std::stable_sort(
        indices.begin(), indices.end(), [this](std::size_t a, std::size_t b) {
          return queues_[a].path_prefix.size() > queues_[b].path_prefix.size();
        });
  }
  for (std::size_t i = 0; i < organisations_.size(); ++i) {
    organisations_by_id_.emplace(organisations_[i].id, i);
    for (const base::ApiKey& key : organisations_[i].keys) {
      organisations_by_key_.emplace(key, i);
    }
  }
}

const Queue* DesiredState::FindQueue(std::string_view host,
                                     std::string_view path) const {
  host = host.substr(0, host.find(':'));
  const auto it = queues_by_host_.find(host);
  if (it == queues_by_host_.end()) {
    return nullptr;
  }
  for (const std::size_t index : it->second) {
    if (path.starts_with(queues_[index].path_prefix)) {
      return &queues_[index];
    }
  }
  return nullptr;
}

const Queue* DesiredState::FindQueue(const QueueId& id) const {
  return Find(queues_, queues_by_id_, id);
}

const Organisation* DesiredState::FindOrganisation(
    const base::OrganisationId& id) const {
  return Find(organisations_, organisations_by_id_, id);
}

const Organisation* DesiredState::FindOrganisationByKey(
    const base::ApiKey& key) const {
  return Find(organisations_, organisations_by_key_, key);
}

const Service* DesiredState::FindService(const base::ServiceId& id) const {
  const auto it =
      std::find_if(services_.begin(), services_.end(),
                   [&id](const Service& service) { return service.id == id; });
  return it == services_.end() ? nullptr : &*it;
}

}  // namespace dotterelbarrow::core::desired
