// Remembers which steps found no worker with free resources, so that a pass
// looks through the workers again only for steps for which something changed.
//
// Load pattern: after a burst fifty steps wait for room, each with a hundred
// workers that it may use, while single runs end all over the fleet. Most of
// these ends concern none of the waiting steps.
#ifndef DOTTERELBARROW_CORE_SCHEDULER_ROOM_WAITS_H_
#define DOTTERELBARROW_CORE_SCHEDULER_ROOM_WAITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/jobs/job_spec.h"
#include "dotterelbarrow/core/workers/worker_set.h"

namespace dotterelbarrow::core::scheduler {

class RoomWaits {
 public:
  // A step is tried again after this time in any case: workers may have been
  // released by a gang, or accept work again.
  static constexpr base::Duration kMaxWait = std::chrono::milliseconds(50);
  // The same for a step of a job that can't be on time any more.
  static constexpr base::Duration kMaxOverdueWait =
      std::chrono::milliseconds(500);
  // How many of the last workers with released resources are remembered. After
  // more than that, all steps are tried again.
  static constexpr std::size_t kMaxReleases = 256;

  // Resources were released on the worker.
  void RecordRelease(workers::WorkerNumber worker) {
    releases_.push_back(worker);
    if (releases_.size() > kMaxReleases) {
      releases_.pop_front();
      ++first_release_;
    }
  }
  // A pass found no free resources for the step.
  void RecordUnplaced(const jobs::StepRef& step, bool is_overdue,
                      base::TimePoint now) {
    waits_[step] = {now + (is_overdue ? kMaxOverdueWait : kMaxWait),
                    first_release_ + releases_.size()};
  }
  // The step is to be tried in the next pass, or waits no more.
  void Remove(const jobs::StepRef& step) { waits_.erase(step); }

  // Returns whether the step need not be tried: it was tried just before, and
  // on none of the workers on which resources were released since does
  // `may_use` return true.
  template <typename MayUse>
  bool KeepsWaiting(const jobs::StepRef& step, base::TimePoint now,
                    const MayUse& may_use) {
    const auto it = waits_.find(step);
    if (it == waits_.end() || now >= it->second.next_try ||
        it->second.releases_seen < first_release_) {
      return false;
    }
    std::uint64_t& seen = it->second.releases_seen;
    for (; seen < first_release_ + releases_.size(); ++seen) {
      if (may_use(releases_[static_cast<std::size_t>(seen - first_release_)])) {
        return false;
      }
    }
    return true;
  }

 private:
  struct Wait {
    base::TimePoint next_try;
    // Which releases the step has seen, counted from the first of all.
    std::uint64_t releases_seen = 0;
  };
  std::unordered_map<jobs::StepRef, Wait> waits_;
  std::deque<workers::WorkerNumber> releases_;
  // How many releases came before those in `releases_`.
  std::uint64_t first_release_ = 0;
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_ROOM_WAITS_H_
