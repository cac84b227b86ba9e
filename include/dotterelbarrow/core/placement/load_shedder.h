// Load shedding: decides which new jobs to refuse at once because they could
// not be completed in time.
//
// Load pattern: a burst, or one organisation submitting several times its
// share, brings more work than the fleet can do for seconds. Waiting jobs are
// placed by their latest start, so a new job will wait about as long as the job
// of its queue that has used up most of its slack. Jobs beyond an
// organisation's share are refused as soon as other jobs of their priority have
// waited for a noticeable part of their slack: capacity that waiting gangs
// can't use may be free for lookups, which are placed before them anyway. Other
// jobs are refused only when the jobs before them are about to be late. Nothing
// is refused while both the fleet and the owner have free capacity. For an
// organisation at its cap, its own waiting jobs decide, however free the fleet
// is. Accepted jobs are never dropped.
#ifndef DOTTERELBARROW_CORE_PLACEMENT_LOAD_SHEDDER_H_
#define DOTTERELBARROW_CORE_PLACEMENT_LOAD_SHEDDER_H_

#include <algorithm>
#include <map>
#include <unordered_map>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/core/desired/desired_state.h"

namespace dotterelbarrow::core::placement {

enum class Refusal {
  kNone,
  kOverShare,   // The organisation is beyond its share, and such jobs wait.
  kOverloaded,  // The jobs before it in its queue are about to be late.
  kAtCap,  // Jobs waiting under the organisation's cap are about to be late.
};

class LoadShedder {
 public:
  // Thresholds for the fraction of its slack that a waiting job has used up.
  // Above the first, others are noticeably waiting; above the second, the job
  // is about to be late.
  static constexpr double kWaitingSlackFraction = 0.3;
  static constexpr double kNearlyLateSlackFraction = 0.9;
  // The fleet counts as full when this fraction of its processors or memory is
  // in use: the free rest is too fragmented to fit many tasks.
  static constexpr double kFullFleetUsage = 0.9;
  // The same threshold for work beyond a share. It is lower because part of the
  // free capacity is held for gangs.
  static constexpr double kBusyFleetUsage = 0.75;

  // Forgets all waiting jobs and begins a new scheduling pass. `fleet_usage` is
  // the fraction of the fleet in use, from 0 to 1.
  void BeginPass(double fleet_usage) {
    used_slack_by_queue_.clear();
    used_slack_by_priority_.clear();
    used_slack_at_cap_.clear();
    max_used_slack_ = 0;
    fleet_usage_ = fleet_usage;
  }
  // Records that a job of `queue`, within its organisation's share, waits for
  // capacity on workers. `used_slack` is the fraction of its slack that it has
  // used up, from 0 to 1.
  void RecordWaiting(const desired::QueueId& queue, int priority,
                     double used_slack) {
    for (double* max_used :
         {&used_slack_by_queue_[queue], &used_slack_by_priority_[priority]}) {
      *max_used = std::max(*max_used, used_slack);
    }
    max_used_slack_ = std::max(max_used_slack_, used_slack);
  }

  // Records that a job waits because `organisation` is at its cap.
  void RecordCapped(const base::OrganisationId& organisation,
                    double used_slack) {
    double& max_used = used_slack_at_cap_[organisation];
    max_used = std::max(max_used, used_slack);
  }
  // Sets whether work waits for the owner's processor rather than for the
  // fleet.
  void set_saturated(bool saturated) { is_saturated_ = saturated; }

  // Returns whether and why to refuse a new job. `over_share` tells whether the
  // job is beyond its organisation's share.
  Refusal Decide(const desired::QueueId& queue, int priority,
                 const base::OrganisationId& organisation,
                 bool over_share) const {
    if (const auto it = used_slack_at_cap_.find(organisation);
        it != used_slack_at_cap_.end()) {
      if (over_share && it->second > kWaitingSlackFraction) {
        return Refusal::kOverShare;
      }
      if (it->second > kNearlyLateSlackFraction) {
        return Refusal::kAtCap;
      }
    }
    if (over_share && IsCompetedFor(priority)) {
      return Refusal::kOverShare;
    }
    if (fleet_usage_ < kFullFleetUsage && !is_saturated_) {
      return Refusal::kNone;
    }
    const auto it = used_slack_by_queue_.find(queue);
    const bool is_nearly_late = it != used_slack_by_queue_.end() &&
                                it->second > kNearlyLateSlackFraction;
    return is_nearly_late ? Refusal::kOverloaded : Refusal::kNone;
  }

 private:
  // Returns whether a new job of this priority would take what other jobs wait
  // for: capacity, or the owner's processor time, which all jobs need.
  bool IsCompetedFor(int priority) const {
    if (is_saturated_) {
      return max_used_slack_ > kWaitingSlackFraction;
    }
    const auto it = used_slack_by_priority_.find(priority);
    return fleet_usage_ >= kBusyFleetUsage &&
           it != used_slack_by_priority_.end() &&
           it->second > kWaitingSlackFraction;
  }

  std::unordered_map<desired::QueueId, double> used_slack_by_queue_;
  std::map<int, double> used_slack_by_priority_;
  std::unordered_map<base::OrganisationId, double> used_slack_at_cap_;
  double max_used_slack_ = 0;
  double fleet_usage_ = 0;
  bool is_saturated_ = false;
};

}  // namespace dotterelbarrow::core::placement

#endif  // DOTTERELBARROW_CORE_PLACEMENT_LOAD_SHEDDER_H_
