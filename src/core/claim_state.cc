// Tracks the claim of one backend server.
#include "dotterelbarrow/core/claim_state.h"

#include <algorithm>

namespace dotterelbarrow::core {

void ClaimState::Raise() {
  highest_counter_ = std::max(highest_counter_, epoch_.counter);
  epoch_ = base::Epoch{highest_counter_ + 1, self_};
  state_ = Claiming{};
}

bool ClaimState::IsOutdated(const BackendReport& report) const {
  if (!heard_ || report.incarnation > incarnation_) {
    return false;
  }
  return report.incarnation < incarnation_ || report.sequence <= sequence_;
}

ClaimState::Verdict ClaimState::OnReport(const BackendReport& report) {
  if (IsOutdated(report)) {
    return Verdict::kOutdated;
  }
  const bool first = !heard_;
  const bool restarted = heard_ && report.incarnation != incarnation_;
  heard_ = true;
  incarnation_ = report.incarnation;
  sequence_ = report.sequence;
  highest_counter_ = std::max(highest_counter_, report.epoch.counter);
  if (restarted) {
    return Verdict::kRestarted;
  }
  if (report.epoch < epoch_) {
    return Verdict::kOutdated;
  }
  if (report.epoch > epoch_) {
    return Verdict::kOvertaken;
  }
  if (first) {
    return Verdict::kAmbiguous;
  }
  if (is_claimed()) {
    return Verdict::kCurrent;
  }
  state_ = Claimed{};
  return Verdict::kClaimed;
}

}  // namespace dotterelbarrow::core
