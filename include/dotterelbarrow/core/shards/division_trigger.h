// Decides when the owner of an undivided cell may divide it into shards.
//
// Load pattern: all hosts and workers of a cell start at the same time, and
// jobs come seconds later. The division must know the whole fleet and move no
// job to another owner.
#ifndef DOTTERELBARROW_CORE_SHARDS_DIVISION_TRIGGER_H_
#define DOTTERELBARROW_CORE_SHARDS_DIVISION_TRIGGER_H_

#include <cstddef>

#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core::shards {

class DivisionTrigger {
 public:
  // A cell may be divided once no worker was added or removed for this long:
  // longer than the time between two heartbeats of a worker.
  static constexpr base::Duration kSettleTime = std::chrono::milliseconds(2000);

  struct Input {
    std::size_t workers = 0;
    // Whether the owner knows a job, also one that has ended.
    bool has_jobs = true;
    // Whether all live hosts can follow the owners of several shards.
    bool can_hosts_follow = false;
  };

  // Returns whether to make a plan now. Returns true at most once for each size
  // of the fleet.
  bool ShouldPlan(const Input& input, base::TimePoint now) {
    if (input.workers != workers_) {
      workers_ = input.workers;
      since_ = now;
      has_planned_ = false;
    }
    if (has_planned_ || input.has_jobs || !input.can_hosts_follow ||
        now - since_ < kSettleTime) {
      return false;
    }
    has_planned_ = true;
    return true;
  }

 private:
  std::size_t workers_ = 0;
  base::TimePoint since_;
  // Whether a plan was made for that number of workers.
  bool has_planned_ = false;
};

}  // namespace dotterelbarrow::core::shards

#endif  // DOTTERELBARROW_CORE_SHARDS_DIVISION_TRIGGER_H_
