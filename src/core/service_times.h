// The run time of the requests of each service, as an exponentially weighted
// moving average.
#ifndef DOTTERELBARROW_SRC_CORE_SERVICE_TIMES_H_
#define DOTTERELBARROW_SRC_CORE_SERVICE_TIMES_H_

#include <map>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core {

class ServiceTimes {
 public:
  void Record(const base::ServiceId& service, base::Duration took) {
    const auto [it, first] = average_.try_emplace(service, took);
    if (!first) {
      it->second += (took - it->second) / kSmoothing;
    }
  }

  // Returns the average, or zero if nothing has been recorded for `service`.
  base::Duration Average(const base::ServiceId& service) const {
    const auto it = average_.find(service);
    return it == average_.end() ? base::Duration(0) : it->second;
  }

 private:
  // A new value has a weight of 1 / kSmoothing.
  static constexpr int kSmoothing = 8;

  std::map<base::ServiceId, base::Duration> average_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_SRC_CORE_SERVICE_TIMES_H_
