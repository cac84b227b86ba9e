// Orders reads and changes of the evacuated zones by the store's versions.
#include "dotterelbarrow/core/desired/evacuations.h"

#include <algorithm>

namespace dotterelbarrow::core::desired {

bool Evacuations::OnRead(const std::set<base::AvailabilityZone>& zones,
                         base::RowVersion version) {
  if (version < version_) {
    return false;
  }
  version_ = version;
  const bool has_changed = zones != zones_;
  zones_ = zones;
  return has_changed;
}

bool Evacuations::OnChange(const base::AvailabilityZone& zone,
                           bool is_evacuated, base::RowVersion version) {
  // A change without a version can only be taken in the order of its arrival.
  if (version != base::RowVersion() && version <= version_) {
    return false;
  }
  version_ = std::max(version_, version);
  return is_evacuated ? zones_.insert(zone).second : zones_.erase(zone) > 0;
}

void Evacuations::AdvanceTo(base::RowVersion version) {
  version_ = std::max(version_, version);
}

}  // namespace dotterelbarrow::core::desired
