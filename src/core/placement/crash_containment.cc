// Decides which queues are on alert, and how many workers may be exposed.
#include "dotterelbarrow/core/placement/crash_containment.h"

#include <algorithm>

namespace dotterelbarrow::core::placement {

void CrashContainment::BeginPass(std::size_t workers, double usage) {
  workers_ = static_cast<double>(workers);
  usage_ = usage;
}

std::size_t CrashContainment::MaxKeptWorkers() const {
  const double fraction =
      usage_ < kIdleUsage ? kMaxKeptIdleFraction : kMaxKeptFraction;
  return static_cast<std::size_t>(std::max(1.0, workers_ * fraction));
}

void CrashContainment::RecordLoss(const std::vector<desired::QueueId>& queues,
                                  base::TimePoint now) {
  if (queues.empty()) {
    return;
  }
  ForgetOldExposures(now);
  exposures_.push_back(now + kWorkerDowntime);
  const bool is_one_queue = std::all_of(
      queues.begin(), queues.end(),
      [&](const desired::QueueId& queue) { return queue == queues.front(); });
  if (!is_one_queue) {
    return;
  }
  std::deque<base::TimePoint>& losses = losses_[queues.front()];
  while (!losses.empty() && now - losses.front() > kAlertDuration) {
    losses.pop_front();
  }
  if (losses.empty() || now - losses.back() > kSameLoss) {
    losses.push_back(now);
  }
}

void CrashContainment::RecordProof(const desired::QueueId& queue,
                                   base::Duration lived, base::TimePoint now) {
  proofs_[queue] = now;
  if (lived > base::Duration(0)) {
    longest_lived_ = std::max(longest_lived_, lived);
    suspect_gap_ = std::clamp(longest_lived_ * kAgeFactor,
                              workers::kMinSuspectGap, workers::kSuspectAge);
  }
}

bool CrashContainment::HasProof(const desired::QueueId& queue,
                                base::TimePoint now) const {
  const auto proof = proofs_.find(queue);
  return proof != proofs_.end() && now - proof->second <= kAlertDuration;
}

bool CrashContainment::IsOnAlert(const desired::QueueId& queue,
                                 base::TimePoint now) const {
  if (HasProof(queue, now)) {
    return true;
  }
  const auto it = losses_.find(queue);
  return it != losses_.end() && it->second.size() >= kLossesBeforeAlert &&
         now - it->second.back() <= kAlertDuration;
}

bool CrashContainment::MayExposeToSuspect(base::TimePoint now) const {
  const auto exposed =
      std::count_if(exposures_.begin(), exposures_.end(),
                    [now](base::TimePoint until) { return now < until; });
  const double fraction =
      usage_ < kIdleUsage ? 1 - usage_ : kMaxExposedFraction;
  return static_cast<double>(exposed) + 1 <= std::max(1.0, workers_ * fraction);
}

void CrashContainment::RecordSuspectStart(base::TimePoint now) {
  ForgetOldExposures(now);
  exposures_.push_back(now + workers::kSuspectAge);
}

void CrashContainment::ForgetOldExposures(base::TimePoint now) {
  std::erase_if(exposures_,
                [now](base::TimePoint until) { return now >= until; });
}

}  // namespace dotterelbarrow::core::placement
