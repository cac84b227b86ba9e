// Implements the order of looks and the accounting of copies.
#include "dotterelbarrow/core/scheduler/copy_tracker.h"

namespace dotterelbarrow::core::scheduler {

void CopyTracker::Watch(WatchedRun run, base::TimePoint next_look) {
  const PlacedRun key = run.run;
  if (const auto it = watched_.find(key); it != watched_.end()) {
    by_next_look_.erase({it->second.next_look, key});
  }
  watched_.insert_or_assign(key, Watched{std::move(run), next_look});
  by_next_look_.emplace(next_look, key);
}

std::optional<CopyTracker::WatchedRun> CopyTracker::TakeDue(
    base::TimePoint now) {
  if (by_next_look_.empty() || by_next_look_.begin()->first > now) {
    return std::nullopt;
  }
  const auto it = watched_.find(by_next_look_.begin()->second);
  by_next_look_.erase(by_next_look_.begin());
  WatchedRun run = std::move(it->second.run);
  watched_.erase(it);
  return run;
}

void CopyTracker::AddCopy(const jobs::TaskRef& task, jobs::Attempt attempt,
                          const base::Resources& needs) {
  RemoveCopy(task);
  copies_[task] = {attempt, needs, false};
  usage_ += needs;
}

void CopyTracker::RemoveCopy(const jobs::TaskRef& task) {
  if (const auto it = copies_.find(task); it != copies_.end()) {
    usage_ -= it->second.needs;
    copies_.erase(it);
  }
}

std::pair<bool, CopyOutcome> CopyTracker::OnRunEnded(const PlacedRun& run,
                                                     jobs::RunEnd end) {
  bool is_full_run = false;
  if (const auto it = watched_.find(run); it != watched_.end()) {
    is_full_run = it->second.run.is_full_run;
    by_next_look_.erase({it->second.next_look, run});
    watched_.erase(it);
  }
  const auto copy = copies_.find(run.task);
  if (copy == copies_.end()) {
    return {is_full_run, CopyOutcome::kNone};
  }
  if (copy->second.attempt == run.attempt) {
    const bool has_won = end == jobs::RunEnd::kDone && !copy->second.is_beaten;
    RemoveCopy(run.task);
    return {is_full_run, has_won ? CopyOutcome::kWon : CopyOutcome::kLost};
  }
  if (end == jobs::RunEnd::kDone) {
    copy->second.is_beaten = true;
  }
  if (copy->second.is_beaten) {
    return {is_full_run, CopyOutcome::kNone};
  }
  RemoveCopy(run.task);
  return {is_full_run, CopyOutcome::kTookOver};
}

}  // namespace dotterelbarrow::core::scheduler
