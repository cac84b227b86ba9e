// Builds the admission chain of an entry host.
#include "dotterelbarrow/core/admission.h"

#include <utility>

#include "src/core/admission_filters.h"

namespace dotterelbarrow::core {

FilterChain MakeAdmissionChain(const NodeSettings* settings,
                               const ConfigController* config,
                               const bool* shutting_down, Counters* counters) {
  const ConfigView view{
      [config]() -> const config::Catalogue& { return config->catalogue(); },
      [config](base::TimePoint now) { return config->IsConfirmed(now); },
      [config] { return config->is_behind(); }, settings->config_read_period};
  std::vector<std::unique_ptr<RequestFilter>> filters;
  filters.push_back(std::make_unique<ShutdownFilter>(shutting_down));
  filters.push_back(std::make_unique<ValidationFilter>());
  filters.push_back(std::make_unique<ServiceFilter>(view));
  filters.push_back(std::make_unique<IdentityFilter>(view));
  return FilterChain(std::move(filters), counters);
}

}  // namespace dotterelbarrow::core
