// Spreads calls to the advisor over entry hosts.
#include "dotterelbarrow/core/advice/advice_book.h"

#include <algorithm>

namespace dotterelbarrow::core::advice {

void AskerChooser::SetHosts(const std::vector<base::EntryId>& hosts) {
  std::map<base::EntryId, base::TimePoint> next;
  for (const base::EntryId& host : hosts) {
    const auto it = busy_until_.find(host);
    next[host] = it == busy_until_.end() ? base::TimePoint() : it->second;
  }
  busy_until_ = std::move(next);
}

std::optional<base::EntryId> AskerChooser::Choose(base::Duration cost,
                                                  base::TimePoint now) {
  // Long calls go to the later half of the hosts only.
  const std::size_t first =
      cost >= kLongCall ? (busy_until_.size() - 1) / 2 : 0;
  auto best = busy_until_.end();
  std::size_t position = 0;
  for (auto it = busy_until_.begin(); it != busy_until_.end(); ++it) {
    if (position++ < first) {
      continue;
    }
    if (best == busy_until_.end() ||
        std::max(it->second, now) < std::max(best->second, now)) {
      best = it;
    }
  }
  if (best == busy_until_.end()) {
    return std::nullopt;
  }
  best->second = std::max(best->second, now) + cost;
  return best->first;
}

StepAdvice* AdviceBook::Find(const jobs::StepRef& step) {
  const auto it = steps_.find(step);
  return it == steps_.end() ? nullptr : &it->second;
}

base::Duration CallCost(const desired::AdvicePolicy& policy,
                        std::size_t workers) {
  return policy.decision +
         policy.per_worker * static_cast<base::Duration::rep>(workers);
}

}  // namespace dotterelbarrow::core::advice
