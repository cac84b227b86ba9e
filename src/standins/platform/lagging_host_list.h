// The platform's host list, which shows each change only after a delay.
#ifndef DOTTERELBARROW_STANDINS_PLATFORM_LAGGING_HOST_LIST_H_
#define DOTTERELBARROW_STANDINS_PLATFORM_LAGGING_HOST_LIST_H_

#include <deque>
#include <utility>
#include <vector>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/messages.h"

namespace dotterelbarrow::standins {

class LaggingHostList {
 public:
  explicit LaggingHostList(base::Duration lag) : lag_(lag) {}

  // Replaces the list. The new list is shown once the lag has passed. `now`
  // must never decrease.
  void Replace(std::vector<core::HostRecord> hosts, base::TimePoint now);
  // Replaces the list at once and drops all pending changes.
  void Reset(std::vector<core::HostRecord> hosts);

  // Returns the list as the platform shows it at `now`, which must never
  // decrease.
  const std::vector<core::HostRecord>& Shown(base::TimePoint now);

 private:
  base::Duration lag_;
  std::vector<core::HostRecord> shown_;
  // Lists not yet shown, with the time from which each is shown, in order.
  std::deque<std::pair<base::TimePoint, std::vector<core::HostRecord>>>
      pending_;
};

}  // namespace dotterelbarrow::standins

#endif  // DOTTERELBARROW_STANDINS_PLATFORM_LAGGING_HOST_LIST_H_
