// Implementation of the host list that shows changes late.
#include "src/standins/platform/lagging_host_list.h"

namespace dotterelbarrow::standins {

void LaggingHostList::Replace(std::vector<core::HostRecord> hosts,
                              base::TimePoint now) {
  pending_.emplace_back(now + lag_, std::move(hosts));
}

void LaggingHostList::Reset(std::vector<core::HostRecord> hosts) {
  pending_.clear();
  shown_ = std::move(hosts);
}

const std::vector<core::HostRecord>& LaggingHostList::Shown(
    base::TimePoint now) {
  while (!pending_.empty() && pending_.front().first <= now) {
    shown_ = std::move(pending_.front().second);
    pending_.pop_front();
  }
  return shown_;
}

}  // namespace dotterelbarrow::standins
