// Decides which new jobs to refuse at once because they can't be served in
// time.
//
// Load pattern: a burst, or one organisation at several times its share, brings
// more than the fleet can do for seconds. What waits is placed by its latest
// start, so that the wait of a new job is about that of the most pressed one of
// its queue. Jobs beyond an organisation's share go as soon as others wait for
// a noticeable part of their slack; other jobs only when those before them are
// about to be late; neither while fleet and owner have room. An organisation at
// its cap is measured by its own waiting jobs, however free the fleet is.
// Nothing that was accepted is given up.
#ifndef DOTTERELBARROW_CORE_PLACEMENT_OVERLOAD_GUARD_H_
#define DOTTERELBARROW_CORE_PLACEMENT_OVERLOAD_GUARD_H_

#include <algorithm>
#include <unordered_map>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/core/desired/desired_state.h"

namespace dotterelbarrow::core::placement {

enum class Refusal {
  kNone,
  kOverShare,   // The organisation is beyond its share, and others wait.
  kOverloaded,  // It would be late: those before it are about to be.
  kAtCap,       // The same, under the organisation's cap.
};

class OverloadGuard {
 public:
  // Parts of the slack that the most pressed job has used up.
  static constexpr double kOthersWait = 0.3;
  static constexpr double kAboutToBeLate = 0.9;
  // Part of the fleet's processors or memory in use from which it counts as
  // full: the rest is in pieces that fit few tasks.
  static constexpr double kFullFleet = 0.9;
  // The same for work beyond a share: a part of the rest is kept for gangs.
  static constexpr double kBusyFleet = 0.75;

  // Begins a new look at what waits, with this part of the fleet in use.
  void Clear(double fleet_use) {
    used_slack_.clear();
    capped_.clear();
    most_used_ = 0;
    fleet_use_ = fleet_use;
  }
  // A job of `queue` within its share waits for room on workers; it has used
  // this part of its slack, from 0 to 1.
  void NoteWaiting(const desired::QueueId& queue, double used_slack) {
    double& most = used_slack_[queue];
    most = std::max(most, used_slack);
    most_used_ = std::max(most_used_, used_slack);
  }

  // A job of `organisation` waits for room under its cap.
  void NoteCapped(const base::OrganisationId& organisation, double used_slack) {
    double& most = capped_[organisation];
    most = std::max(most, used_slack);
  }
  // Whether the owner's processor, not the fleet, is what work waits for.
  void set_saturated(bool saturated) { is_saturated_ = saturated; }

  Refusal Decide(const desired::QueueId& queue,
                 const base::OrganisationId& organisation,
                 bool over_share) const {
    if (const auto it = capped_.find(organisation); it != capped_.end()) {
      if (over_share && it->second > kOthersWait) {
        return Refusal::kOverShare;
      }
      if (it->second > kAboutToBeLate) {
        return Refusal::kAtCap;
      }
    }
    const bool is_busy = fleet_use_ >= kBusyFleet || is_saturated_;
    if (over_share && is_busy && most_used_ > kOthersWait) {
      return Refusal::kOverShare;
    }
    if (fleet_use_ < kFullFleet && !is_saturated_) {
      return Refusal::kNone;
    }
    const auto it = used_slack_.find(queue);
    const bool is_pressed =
        it != used_slack_.end() && it->second > kAboutToBeLate;
    return is_pressed ? Refusal::kOverloaded : Refusal::kNone;
  }

 private:
  std::unordered_map<desired::QueueId, double> used_slack_;
  std::unordered_map<base::OrganisationId, double> capped_;
  double most_used_ = 0;
  double fleet_use_ = 0;
  bool is_saturated_ = false;
};

}  // namespace dotterelbarrow::core::placement

#endif  // DOTTERELBARROW_CORE_PLACEMENT_OVERLOAD_GUARD_H_
