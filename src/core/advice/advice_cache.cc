// Distributes calls to the placement advisor over entry hosts.
#include "dotterelbarrow/core/advice/advice_cache.h"

#include <algorithm>
#include <utility>

namespace dotterelbarrow::core::advice {

void AdviceClientChooser::SetHosts(const std::vector<base::EntryId>& hosts) {
  std::map<base::EntryId, Host> next;
  for (const base::EntryId& host : hosts) {
    const auto it = hosts_.find(host);
    next[host] = it == hosts_.end() ? Host() : it->second;
  }
  hosts_ = std::move(next);
}

std::pair<const base::EntryId, AdviceClientChooser::Host>*
AdviceClientChooser::FindFree(base::Duration cost, base::TimePoint now) {
  const bool is_long = cost >= kLongCall;
  if (is_long) {
    last_long_call_ = now;
  }
  const bool are_hosts_separate =
      last_long_call_ && now - *last_long_call_ < kLongCallHostsRelease;
  // The first half of the hosts, rounded up, serves short calls, the rest long
  // ones.
  const std::size_t short_hosts = (hosts_.size() + 1) / 2;
  const auto serves_kind = [&](std::size_t position) {
    return !are_hosts_separate || hosts_.size() == 1 ||
           (position >= short_hosts) == is_long;
  };
  const auto is_free = [&](const Host& host) {
    if (now < host.failed_until) {
      return false;
    }
    return host.calls == 0 ||
           (!is_long && host.calls < 2 && host.busy_until <= now + kSendAhead);
  };
  auto best = hosts_.end();
  std::size_t position = 0;
  for (auto it = hosts_.begin(); it != hosts_.end(); ++it) {
    if (serves_kind(position++) && is_free(it->second) &&
        (best == hosts_.end() || it->second.calls < best->second.calls)) {
      best = it;
    }
  }
  return best == hosts_.end() ? nullptr : &*best;
}

bool AdviceClientChooser::CanChoose(base::Duration cost, base::TimePoint now) {
  return FindFree(cost, now) != nullptr;
}

std::optional<base::EntryId> AdviceClientChooser::Choose(base::Duration cost,
                                                         base::TimePoint now) {
  auto* const best = FindFree(cost, now);
  if (best == nullptr) {
    return std::nullopt;
  }
  ++best->second.calls;
  best->second.busy_until = std::max(best->second.busy_until, now) + cost;
  return best->first;
}

void AdviceClientChooser::OnEnded(const base::EntryId& host,
                                  base::TimePoint now) {
  const auto it = hosts_.find(host);
  if (it == hosts_.end()) {
    return;
  }
  it->second.calls = std::max(0, it->second.calls - 1);
  if (it->second.calls == 0) {
    it->second.busy_until = now;
  }
}

void AdviceClientChooser::OnFailed(const base::EntryId& host,
                                   base::TimePoint now) {
  OnEnded(host, now);
  const auto it = hosts_.find(host);
  if (it != hosts_.end()) {
    it->second.failed_until = now + kFailedHostPause;
  }
}

StepAdvice* AdviceCache::Find(const jobs::StepRef& step) {
  const auto it = steps_.find(step);
  return it == steps_.end() ? nullptr : &it->second;
}

const StepAdvice* AdviceCache::Find(const jobs::StepRef& step) const {
  const auto it = steps_.find(step);
  return it == steps_.end() ? nullptr : &it->second;
}

base::Duration ExpectedCallDuration(const desired::AdvicePolicy& policy,
                                    std::size_t workers) {
  return policy.decision +
         policy.per_worker * static_cast<base::Duration::rep>(workers);
}

}  // namespace dotterelbarrow::core::advice
