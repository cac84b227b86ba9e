// Implements the count of runs without a waiting caller.
#include "src/core/lost_runs.h"

#include <chrono>
#include <utility>

namespace dotterelbarrow::core {
namespace {

// While any run is lost, refresh at least this often, because runs expire with
// time.
constexpr base::Duration kRefreshPeriod = std::chrono::milliseconds(100);

}  // namespace

LostRuns::LostRuns(const NodeSettings* settings, const ShardOwner* owner,
                   TeamSlices* slices)
    : settings_(settings), owner_(owner), slices_(slices) {}

void LostRuns::Add(const RunnerTask& run, const base::Epoch& epoch) {
  lost_[run] = LostRun{epoch, std::nullopt};
  if (counted_.insert(run).second) {
    slices_->AddRunning(run.task.job.team);
  }
}

bool LostRuns::NeedsRefresh(base::TimePoint now) const {
  return owner_->runner_task_changes() != seen_changes_ ||
         (!lost_.empty() && now >= next_refresh_);
}

void LostRuns::Refresh(const std::set<RunnerTask>& awaited,
                       base::TimePoint now) {
  next_refresh_ = now + kRefreshPeriod;
  seen_changes_ = owner_->runner_task_changes();
  std::set<RunnerTask> listed = owner_->ListedRunnerTasks();
  std::erase_if(listed, [&awaited](const RunnerTask& run) {
    return awaited.contains(run);
  });
  AddListedByGivenUpRunners(listed);
  UpdateUnownedSince(now);
  std::erase_if(lost_, [this, now](const auto& entry) {
    return HasEnded(entry.first, entry.second, now);
  });
  std::set<RunnerTask> counted = listed;
  for (const auto& [run, lost] : lost_) {
    counted.insert(run);
  }
  for (const RunnerTask& run : counted_) {
    if (!counted.contains(run)) {
      slices_->RemoveRunning(run.task.job.team);
    }
  }
  for (const RunnerTask& run : counted) {
    if (!counted_.contains(run)) {
      slices_->AddRunning(run.task.job.team);
    }
  }
  listed_ = std::move(listed);
  counted_ = std::move(counted);
}

void LostRuns::AddListedByGivenUpRunners(const std::set<RunnerTask>& listed) {
  for (const RunnerTask& run : listed_) {
    const bool given_up =
        !listed.contains(run) && !owner_->IsOwned(run.backend);
    if (given_up) {
      lost_.emplace(run, LostRun{});
    }
  }
}

void LostRuns::UpdateUnownedSince(base::TimePoint now) {
  for (auto& [run, lost] : lost_) {
    if (!owner_->IsOwned(run.backend)) {
      lost.unowned_since = lost.unowned_since.value_or(now);
    }
  }
}

bool LostRuns::HasEnded(const RunnerTask& run, const LostRun& lost,
                        base::TimePoint now) const {
  if (!owner_->MayStillRun(run, lost.epoch)) {
    return true;
  }
  // The margin gives the next owner's request for a quota slice time to arrive.
  const base::Duration retention =
      WithDrift(*settings_, settings_->backend_lease) +
      settings_->member_timeout;
  return lost.unowned_since && now - *lost.unowned_since >= retention;
}

}  // namespace dotterelbarrow::core
