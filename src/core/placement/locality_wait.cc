// Compares the expected wait for a local place with the cost of a remote run.
#include "dotterelbarrow/core/placement/locality_wait.h"

#include <algorithm>
#include <cmath>

namespace dotterelbarrow::core::placement {
namespace {

// A decision to wait is reviewed after this time at the latest: other work may
// have taken the expected place. A pass over many waiting steps stays cheap,
// because each is decided only this often.
constexpr base::Duration kMaxReviewInterval = std::chrono::milliseconds(100);
// Below this usage of the fleet the extra capacity of a remote run is free;
// from there on it counts more and more, and fully when the fleet is full. In
// the experiment with racks at 80% usage, 0.7 let the slowest twentieth of the
// batch jobs take up to 8% longer.
constexpr double kFreeUsage = 0.4;

// Returns how much other work lacks the capacity that a remote run takes, from
// 0 to 1.
double Pressure(double fleet_usage) {
  return std::clamp((fleet_usage - kFreeUsage) / (1 - kFreeUsage), 0.0, 1.0);
}

}  // namespace

const char* ToString(RemoteReason reason) {
  switch (reason) {
    case RemoteReason::kNoLocalWorker:
      return "no_local_worker";
    case RemoteReason::kLocalIsSlow:
      return "local_is_slow";
    case RemoteReason::kLongWait:
      return "long_wait";
    case RemoteReason::kWaitedEnough:
      return "waited_enough";
    case RemoteReason::kDeadline:
      return "deadline";
  }
  return "unknown";
}

base::Duration ScaleDuration(base::Duration duration, double factor) {
  return base::Duration(
      std::llround(static_cast<double>(duration.count()) * factor));
}

LocalityDecision DecideLocality(const LocalityInput& input) {
  const auto remote = [](RemoteReason reason) {
    return LocalityDecision{.reason = reason};
  };
  if (!input.local_place_at) {
    return remote(RemoteReason::kNoLocalWorker);
  }
  // What the remote run costs extra.
  const base::Duration extra = input.remote_run_time - input.local_run_time;
  if (extra <= base::Duration(0)) {
    return remote(RemoteReason::kLocalIsSlow);
  }
  // The time that the remote run takes longer and, as far as other work lacks
  // the capacity that it takes meanwhile, the same time again.
  const base::Duration cost =
      ScaleDuration(extra, 1 + Pressure(input.fleet_usage));
  base::TimePoint bound = input.waiting_since + cost;
  if (input.now >= bound) {
    return remote(RemoteReason::kWaitedEnough);
  }
  if (*input.local_place_at >= bound) {
    return remote(RemoteReason::kLongWait);
  }
  const base::TimePoint latest_remote_start = input.latest_start - extra;
  const bool is_remote_on_time = input.now <= latest_remote_start;
  const bool is_local_on_time = *input.local_place_at <= input.latest_start;
  if (is_remote_on_time) {
    bound = std::min(bound, latest_remote_start);
    if (*input.local_place_at > latest_remote_start) {
      return remote(RemoteReason::kDeadline);
    }
  }
  // If each expected place is obtained with this probability, the mean wait is
  // that many times as long. A job that is on time only if it runs locally has
  // nothing to lose by waiting.
  const bool has_much_to_win = is_local_on_time && !is_remote_on_time;
  const base::Duration wait =
      ScaleDuration(*input.local_place_at - input.now,
                    has_much_to_win ? 1 : 1 / std::max(input.confidence, 0.01));
  if (wait >= cost) {
    return remote(RemoteReason::kLongWait);
  }
  return {.waits = true,
          .decide_again_at = std::min(bound, input.now + kMaxReviewInterval)};
}

base::TimePoint ExpectedEnd(base::TimePoint started_at, base::Duration expected,
                            base::Duration high, base::TimePoint now) {
  if (started_at + expected > now) {
    return started_at + expected;
  }
  // A run that exceeds even the upper bound is expected to take as long again
  // as it has exceeded its expected time.
  return started_at + high > now ? started_at + high
                                 : now + (now - started_at - expected);
}

double LocalityRecord::WeightAt(base::TimePoint now) const {
  return std::exp2(-static_cast<double>((now - at_).count()) /
                   static_cast<double>(kHalfLife.count()));
}

void LocalityRecord::Record(bool is_local, base::TimePoint now) {
  const double weight = WeightAt(now);
  local_ = local_ * weight + (is_local ? 1 : 0);
  remote_ = remote_ * weight + (is_local ? 0 : 1);
  at_ = now;
}

double LocalityRecord::Confidence(base::TimePoint now) const {
  const double weight = WeightAt(now);
  return (local_ * weight + kPrior * kPriorWeight) /
         ((local_ + remote_) * weight + kPriorWeight);
}

LocalityWaits::Wait* LocalityWaits::Find(const jobs::StepRef& step) {
  const auto it = waits_.find(step);
  return it == waits_.end() ? nullptr : &it->second;
}

const LocalityWaits::Wait* LocalityWaits::Find(
    const jobs::StepRef& step) const {
  const auto it = waits_.find(step);
  return it == waits_.end() ? nullptr : &it->second;
}

LocalityWaits::Wait& LocalityWaits::FindOrAdd(const jobs::StepRef& step,
                                              base::TimePoint now) {
  const auto [it, is_new] = waits_.try_emplace(step);
  if (is_new) {
    it->second.since = now;
  }
  return it->second;
}

void LocalityWaits::AddClaim(workers::WorkerNumber worker, const Claim& claim) {
  claims_[worker].push_back(claim);
}

const std::vector<LocalityWaits::Claim>& LocalityWaits::ClaimsOn(
    workers::WorkerNumber worker) const {
  static const std::vector<Claim> none;
  const auto it = claims_.find(worker);
  return it == claims_.end() ? none : it->second;
}

bool LocalityWaits::IsDecisionDue(base::TimePoint now) const {
  return std::any_of(waits_.begin(), waits_.end(), [now](const auto& entry) {
    return entry.second.tasks > 0 && now >= entry.second.decide_again_at;
  });
}

}  // namespace dotterelbarrow::core::placement
