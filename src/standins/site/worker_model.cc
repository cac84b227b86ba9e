// Orders, leases and ends of a model worker.
#include "src/standins/site/worker_model.h"

#include <algorithm>
#include <utility>

namespace dotterelbarrow::standins::site {
namespace {

constexpr std::int64_t kStopMs = 200;
constexpr std::int64_t kPermille = 1000;

}  // namespace

void WorkerModel::AdvanceTo(std::int64_t now_ms) {
  const std::int64_t passed =
      (now_ms - world_ms_) * (kPermille - slowness_permille_) +
      clock_remainder_;
  world_ms_ = now_ms;
  clock_ms_ += passed / kPermille;
  clock_remainder_ = passed % kPermille;
  if (!is_up_) {
    return;
  }
  std::vector<std::pair<TaskRef, RunEnd>> ending;
  for (const auto& [task, run] : runs_) {
    if (clock_ms_ >= lease_until_ms_) {
      ending.emplace_back(task, RunEnd::kLeaseExpired);
    } else if (run.stop_at_ms && clock_ms_ >= *run.stop_at_ms) {
      ending.emplace_back(task, RunEnd::kStopped);
    } else if (run.plan.gang_size == 0 &&
               clock_ms_ - run.started_ms >= run.plan.duration_ms) {
      ending.emplace_back(task,
                          run.plan.fails ? RunEnd::kFailed : RunEnd::kDone);
    }
  }
  for (const auto& [task, end] : ending) {
    End(task, end);
  }
}

bool WorkerModel::PassesFence(FencingToken token) {
  if (token < fence_) {
    return false;
  }
  fence_ = token;
  return true;
}

void WorkerModel::End(const TaskRef& task, RunEnd end) {
  const auto it = runs_.find(task);
  if (it == runs_.end()) {
    return;
  }
  closed_[task] = std::max(closed_[task], it->second.attempt);
  ends_.push_back({++last_end_, task, it->second.attempt, end, {}});
  runs_.erase(it);
}

CommandOutcome WorkerModel::Start(const core::scheduler::StartTask& order,
                                  FencingToken token, const RunPlan& plan) {
  if (!PassesFence(token)) {
    return CommandOutcome::kFenced;
  }
  if (order.lease_until_ms <= clock_ms_) {
    return CommandOutcome::kDeadlinePassed;
  }
  lease_until_ms_ = std::max(lease_until_ms_, order.lease_until_ms);
  const auto present = runs_.find(order.task);
  if (present != runs_.end() && present->second.attempt == order.attempt) {
    return CommandOutcome::kDone;
  }
  const auto closed = closed_.find(order.task);
  if (present != runs_.end() ||
      (closed != closed_.end() && order.attempt <= closed->second)) {
    return CommandOutcome::kOutdated;
  }
  runs_[order.task] = Run{order.attempt, plan, clock_ms_, std::nullopt};
  base::Resources used;
  for (const auto& [task, run] : runs_) {
    used += run.plan.needs;
  }
  was_overloaded_ = was_overloaded_ || !used.FitsIn(listing_.capacity);
  return CommandOutcome::kDone;
}

CommandOutcome WorkerModel::Stop(const core::scheduler::StopTask& order,
                                 FencingToken token) {
  if (!PassesFence(token)) {
    return CommandOutcome::kFenced;
  }
  const auto it = runs_.find(order.task);
  if (it != runs_.end() && it->second.attempt <= order.attempt) {
    it->second.stop_at_ms = clock_ms_ + kStopMs;
  } else {
    closed_[order.task] = std::max(closed_[order.task], order.attempt);
  }
  return CommandOutcome::kDone;
}

PollResult WorkerModel::Look(const core::scheduler::PollWorker& order,
                             FencingToken token) {
  PollResult result;
  result.clock_ms = clock_ms_;
  result.born_ms = listing_.born_ms;
  if (!PassesFence(token)) {
    result.outcome = CommandOutcome::kFenced;
    return result;
  }
  result.outcome = CommandOutcome::kDone;
  if (order.lease_until_ms) {
    lease_until_ms_ = std::max(lease_until_ms_, *order.lease_until_ms);
  }
  std::erase_if(ends_, [&order](const ListedEnd& end) {
    return end.number <= order.ends_stored;
  });
  for (const auto& [task, run] : runs_) {
    result.active.push_back({task, run.attempt, {}});
  }
  result.ended = ends_;
  return result;
}

void WorkerModel::Crash() {
  is_up_ = false;
  runs_.clear();
}

void WorkerModel::Restart(std::int64_t born_ms) {
  is_up_ = true;
  listing_.born_ms = born_ms;
  fence_ = FencingToken(0);
  lease_until_ms_ = 0;
  clock_ms_ = 0;
  closed_.clear();
  ends_.clear();
  last_end_ = 0;
}

}  // namespace dotterelbarrow::standins::site
