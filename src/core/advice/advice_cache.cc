// Distributes calls to the placement advisor over entry hosts.
#include "dotterelbarrow/core/advice/advice_cache.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dotterelbarrow::core::advice {
namespace {

// The pause between two tries of a host doubles at most this often.
constexpr int kMaxDoublings = 8;

}  // namespace

void AdviceClientChooser::SetHosts(const std::vector<base::EntryId>& hosts) {
  std::vector<Host> next;
  for (const base::EntryId& id : hosts) {
    const Host* known = Find(id);
    Host host = known == nullptr ? Host() : *known;
    host.id = id;
    next.push_back(std::move(host));
  }
  std::sort(next.begin(), next.end(),
            [](const Host& a, const Host& b) { return a.id < b.id; });
  hosts_ = std::move(next);
}

AdviceClientChooser::Host* AdviceClientChooser::Find(const base::EntryId& id) {
  const auto it = std::lower_bound(
      hosts_.begin(), hosts_.end(), id,
      [](const Host& host, const base::EntryId& key) { return host.id < key; });
  return it == hosts_.end() || it->id != id ? nullptr : &*it;
}

AdviceClientChooser::Host* AdviceClientChooser::FindFree(base::Duration cost,
                                                         base::TimePoint now,
                                                         CallFor call_for) {
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
  bool are_all_paused = true;
  for (std::size_t position = 0; position < hosts_.size(); ++position) {
    are_all_paused &=
        !serves_kind(position) || now < hosts_[position].failed_until;
  }
  const auto is_free = [&](const Host& host) {
    if (now < host.failed_until) {
      return are_all_paused && now >= host.retry_at && host.calls == 0;
    }
    return host.calls == 0 ||
           (!is_long && host.calls < 2 && host.busy_until <= now + kSendAhead);
  };
  Host* best = nullptr;
  for (std::size_t position = 0; position < hosts_.size(); ++position) {
    Host& host = hosts_[position];
    if (serves_kind(position) && is_free(host) &&
        (best == nullptr || host.calls < best->calls)) {
      best = &host;
      if (host.calls == 0) {
        break;
      }
    }
  }
  if (best == nullptr && is_long && are_hosts_separate) {
    best = FindLent(short_hosts, now, call_for);
  }
  return best;
}

AdviceClientChooser::Host* AdviceClientChooser::FindLent(
    std::size_t short_hosts, base::TimePoint now, CallFor call_for) {
  const auto needed =
      std::max(call_for == CallFor::kOverdue ? kMinShortHostsBesideOverdue
                                             : kMinShortHosts,
               1 + static_cast<std::size_t>(
                       std::ceil(ShortLoad(now) * kShortHostsFactor)));
  const auto is_lendable = [now](const Host& host) {
    return host.calls == 0 && now >= host.failed_until;
  };
  const auto end = hosts_.begin() + static_cast<std::ptrdiff_t>(short_hosts);
  // Those that are lent serve no short calls.
  const auto left = std::count_if(hosts_.begin(), end, [&](const Host& host) {
    return now >= host.failed_until && !host.is_lent;
  });
  if (static_cast<std::size_t>(left) <= needed) {
    return nullptr;
  }
  const auto it = std::find_if(hosts_.begin(), end, is_lendable);
  return it == end ? nullptr : &*it;
}

double AdviceClientChooser::ShortLoad(base::TimePoint now) const {
  const std::chrono::duration<double> age = now - short_load_at_;
  const std::chrono::duration<double> time_constant = kShortLoadTime;
  return short_load_ * std::exp(-age / time_constant);
}

bool AdviceClientChooser::CanChoose(base::Duration cost, base::TimePoint now,
                                    CallFor call_for) {
  return FindFree(cost, now, call_for) != nullptr;
}

std::optional<base::EntryId> AdviceClientChooser::Choose(base::Duration cost,
                                                         base::TimePoint now,
                                                         CallFor call_for) {
  Host* const best = FindFree(cost, now, call_for);
  if (best == nullptr) {
    return std::nullopt;
  }
  const bool is_long = cost >= kLongCall;
  const std::size_t short_hosts = (hosts_.size() + 1) / 2;
  best->is_lent = is_long && best - hosts_.data() <
                                 static_cast<std::ptrdiff_t>(short_hosts);
  if (!is_long && call_for == CallFor::kOnTime) {
    short_load_ =
        ShortLoad(now) + std::chrono::duration<double>(cost) /
                             std::chrono::duration<double>(kShortLoadTime);
    short_load_at_ = now;
  }
  ++best->calls;
  best->busy_until = std::max(best->busy_until, now) + cost;
  return best->id;
}

void AdviceClientChooser::RemoveCall(Host* host, base::TimePoint now) {
  host->calls = std::max(0, host->calls - 1);
  if (host->calls == 0) {
    host->is_lent = false;
    host->busy_until = now;
  }
}

void AdviceClientChooser::OnEnded(const base::EntryId& host,
                                  base::TimePoint now) {
  if (Host* const known = Find(host)) {
    RemoveCall(known, now);
    known->failed_until = base::TimePoint();
    known->failures = 0;
  }
}

void AdviceClientChooser::OnFailed(const base::EntryId& host,
                                   base::TimePoint now) {
  if (Host* const known = Find(host)) {
    RemoveCall(known, now);
    // Several calls that fail at once count once.
    if (now >= known->retry_at) {
      known->retry_at =
          now + std::min(kFailedHostPause,
                         kOnlyHostsPause *
                             (1 << std::min(known->failures, kMaxDoublings)));
      ++known->failures;
    }
    known->failed_until = now + kFailedHostPause;
  }
}

std::vector<TicketTable::Entry>::iterator TicketTable::LowerBound(
    workers::WorkerNumber worker) {
  return std::lower_bound(entries_.begin(), entries_.end(), worker,
                          [](const Entry& entry, workers::WorkerNumber number) {
                            return entry.first < number;
                          });
}

void TicketTable::Put(workers::WorkerNumber worker, Ticket ticket) {
  const auto it = LowerBound(worker);
  if (it != entries_.end() && it->first == worker) {
    it->second = std::move(ticket);
  } else {
    entries_.emplace(it, worker, std::move(ticket));
  }
}

Ticket* TicketTable::Find(workers::WorkerNumber worker) {
  const auto it = LowerBound(worker);
  return it == entries_.end() || it->first != worker ? nullptr : &it->second;
}

bool TicketTable::contains(workers::WorkerNumber worker) const {
  return std::binary_search(
      entries_.begin(), entries_.end(), Entry(worker, Ticket()),
      [](const Entry& a, const Entry& b) { return a.first < b.first; });
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
