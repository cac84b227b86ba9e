// Applies the checks that every call must pass, in order.
#include "dotterelbarrow/core/admission/gate.h"

namespace dotterelbarrow::core::admission {

GateDecision Gate::Decide(const GateInput& input) const {
  if (input.desired == nullptr || !input.confirmation_age ||
      *input.confirmation_age > max_confirmation_age_) {
    return NotConfirmed{};
  }
  const desired::Queue* queue =
      input.desired->FindQueue(input.host, input.path);
  if (queue == nullptr) {
    return NoSuchQueue{};
  }
  Admitted admitted;
  admitted.queue = queue;
  admitted.rest = input.path.substr(queue->path_prefix.size());
  if (!queue->open_to_all) {
    admitted.organisation = input.desired->FindOrganisationByKey(
        base::ApiKey(std::string(input.key)));
    if (admitted.organisation == nullptr) {
      return UnknownKey{};
    }
  }
  return admitted;
}

}  // namespace dotterelbarrow::core::admission
