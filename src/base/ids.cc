// Text forms of composite identifiers.
#include "dotterelbarrow/base/ids.h"

namespace dotterelbarrow::base {

std::string ToString(const JobId& id) {
  return id.team.value() + "/" + id.request.value();
}

std::string ToString(const TaskId& id) {
  return ToString(id.job) + "/" + std::to_string(id.index) + "." +
         std::to_string(id.attempt);
}

std::string ToString(const Epoch& epoch) {
  return std::to_string(epoch.counter) + "@" + epoch.holder.value();
}

}  // namespace dotterelbarrow::base
