// Implements the states of a worker's quarantine.
#include "dotterelbarrow/core/workers/quarantine.h"

#include <algorithm>

namespace dotterelbarrow::core::workers {
namespace {

constexpr base::Duration kFirstRetryDelay = std::chrono::seconds(2);
constexpr base::Duration kMaxRetryDelay = std::chrono::seconds(6);

}  // namespace

Quarantine::Quarantine() : state_(Trusted()) {}

base::Duration Quarantine::RetryDelay(std::size_t failures) {
  base::Duration delay = kFirstRetryDelay;
  for (std::size_t i = 1; i < failures && delay < kMaxRetryDelay; ++i) {
    delay *= 2;
  }
  return failures == 0 ? base::Duration(0) : std::min(delay, kMaxRetryDelay);
}

const Quarantine::Distrusted* Quarantine::FindDistrust(
    base::TimePoint now) const {
  const auto* distrusted = std::get_if<Distrusted>(&state_);
  return distrusted == nullptr ||
                 now >= distrusted->isolated_until() + kProbation
             ? nullptr
             : distrusted;
}

bool Quarantine::IsIsolated(base::TimePoint now) const {
  const Distrusted* distrusted = FindDistrust(now);
  return distrusted != nullptr && now < distrusted->isolated_until();
}

bool Quarantine::IsProbed(base::TimePoint now) const {
  return FindDistrust(now) != nullptr;
}

bool Quarantine::AdmitsStart(base::TimePoint now) const {
  const Distrusted* distrusted = FindDistrust(now);
  return distrusted == nullptr || now >= distrusted->next_probe;
}

bool Quarantine::IsIsolatedSince(base::TimePoint time,
                                 base::TimePoint now) const {
  return IsIsolated(now) && std::get<Distrusted>(state_).isolated_at > time;
}

bool Quarantine::is_blameless() const {
  const auto* trusted = std::get_if<Trusted>(&state_);
  return trusted != nullptr && trusted->failures == 0;
}

void Quarantine::OnStart(base::TimePoint now) {
  if (auto* distrusted = std::get_if<Distrusted>(&state_)) {
    distrusted->next_probe = now + kProbeInterval;
  }
}

void Quarantine::OnSuccess(base::TimePoint started_at) {
  const auto* distrusted = std::get_if<Distrusted>(&state_);
  if (distrusted == nullptr || started_at >= distrusted->failing_since) {
    state_ = Trusted();
  }
}

bool Quarantine::OnFailure(jobs::JobKey job, base::TimePoint started_at,
                           base::TimePoint now) {
  if (FindDistrust(now) != nullptr) {
    auto& distrusted = std::get<Distrusted>(state_);
    if (started_at < distrusted.isolated_at) {
      return false;
    }
    distrusted.isolated_at = now;
    distrusted.period = std::min(distrusted.period * 2, kMaxPeriod);
    last_failed_job_ = job;
    return true;
  }
  if (std::holds_alternative<Distrusted>(state_)) {
    state_ = Trusted();
  }
  if (job == last_failed_job_) {
    return false;
  }
  last_failed_job_ = job;
  auto& trusted = std::get<Trusted>(state_);
  if (trusted.failures == 0) {
    trusted.failing_since = now;
  }
  if (++trusted.failures < kFailures) {
    return false;
  }
  state_ = Distrusted{.failing_since = trusted.failing_since,
                      .isolated_at = now,
                      .period = kFirstPeriod,
                      .next_probe = now + kProbeInterval};
  return true;
}

}  // namespace dotterelbarrow::core::workers
