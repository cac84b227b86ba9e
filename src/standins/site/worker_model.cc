// Implementation of the simulated worker.
#include "src/standins/site/worker_model.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace dotterelbarrow::standins::site {
namespace {

constexpr std::int64_t kStopDelayMs = 200;
constexpr std::int64_t kPermille = 1000;

}  // namespace

void WorkerModel::AdvanceTo(std::int64_t now_ms) {
  const std::int64_t passed =
      (now_ms - site_ms_) * (kPermille - clock_loss_permille_) +
      clock_remainder_;
  site_ms_ = now_ms;
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
               ProgressOf(run) >= run.plan.duration_ms) {
      ending.emplace_back(task,
                          run.plan.fails ? RunEnd::kFailed : RunEnd::kDone);
    }
  }
  for (const auto& [task, end] : ending) {
    End(task, end);
  }
  if (clock_ms_ >= lease_until_ms_) {
    lapsed_through_ = last_end_;
  }
}

bool WorkerModel::AcceptToken(FencingToken token) {
  if (token < fence_) {
    return false;
  }
  fence_ = token;
  return true;
}

void WorkerModel::ExtendLease(std::int64_t until_ms) {
  lease_until_ms_ =
      std::max(lease_until_ms_, std::min(until_ms, clock_ms_ + kMaxLeaseMs));
}

void WorkerModel::End(const TaskRef& task, RunEnd end) {
  const auto it = runs_.find(task);
  if (it == runs_.end()) {
    return;
  }
  closed_attempts_[task] = std::max(closed_attempts_[task], it->second.attempt);
  const bool is_lost = end == RunEnd::kDone || end == RunEnd::kFailed;
  ends_.push_back(
      {++last_end_, task, it->second.attempt, end,
       is_lost ? "" : CheckpointOf(it->second, end == RunEnd::kStopped)});
  runs_.erase(it);
}

std::int64_t WorkerModel::ProgressOf(const Run& run) const {
  const std::int64_t restore_ms =
      run.resumed_from_ms > 0 ? run.plan.restore_ms : 0;
  return run.resumed_from_ms +
         std::max<std::int64_t>(0, clock_ms_ - run.started_ms - restore_ms);
}

std::string WorkerModel::CheckpointOf(const Run& run, bool is_stopped) const {
  const std::int64_t interval_ms = run.plan.checkpoint_interval_ms;
  if (interval_ms == 0) {
    return "";
  }
  const std::int64_t progress_ms = ProgressOf(run);
  const std::int64_t saved_ms =
      is_stopped ? progress_ms
                 : std::max(run.resumed_from_ms,
                            progress_ms - progress_ms % interval_ms);
  return saved_ms > 0 ? std::to_string(saved_ms) : "";
}

CommandOutcome WorkerModel::Start(const core::scheduler::StartTask& command,
                                  FencingToken token, const RunPlan& plan) {
  if (!AcceptToken(token)) {
    return CommandOutcome::kFenced;
  }
  if (command.lease_until_ms <= clock_ms_) {
    return CommandOutcome::kDeadlinePassed;
  }
  ExtendLease(command.lease_until_ms);
  const auto present = runs_.find(command.task);
  if (present != runs_.end() && present->second.attempt == command.attempt) {
    return CommandOutcome::kDone;
  }
  const auto closed = closed_attempts_.find(command.task);
  if (present != runs_.end() ||
      (closed != closed_attempts_.end() && command.attempt <= closed->second)) {
    return CommandOutcome::kOutdated;
  }
  std::int64_t resumed_from_ms = 0;
  std::from_chars(command.checkpoint.data(),
                  command.checkpoint.data() + command.checkpoint.size(),
                  resumed_from_ms);
  runs_[command.task] =
      Run{command.attempt, plan, clock_ms_, std::nullopt, resumed_from_ms};
  base::Resources used;
  for (const auto& [task, run] : runs_) {
    used += run.plan.needs;
  }
  was_overloaded_ = was_overloaded_ || !used.FitsIn(CapacityInForce());
  return CommandOutcome::kDone;
}

CommandOutcome WorkerModel::Stop(const core::scheduler::StopTask& command,
                                 FencingToken token) {
  if (!AcceptToken(token)) {
    return CommandOutcome::kFenced;
  }
  const auto it = runs_.find(command.task);
  if (it != runs_.end() && it->second.attempt <= command.attempt) {
    it->second.stop_at_ms = clock_ms_ + kStopDelayMs;
  } else {
    closed_attempts_[command.task] =
        std::max(closed_attempts_[command.task], command.attempt);
  }
  return CommandOutcome::kDone;
}

PollResult WorkerModel::Look(const core::scheduler::PollWorker& command,
                             FencingToken token) {
  PollResult result;
  result.clock_ms = clock_ms_;
  result.born_ms = listing_.born_ms;
  if (!AcceptToken(token)) {
    result.outcome = CommandOutcome::kFenced;
    return result;
  }
  result.outcome = CommandOutcome::kDone;
  if (command.lease_until_ms) {
    ExtendLease(*command.lease_until_ms);
  }
  std::erase_if(ends_, [&command](const ListedEnd& end) {
    return end.number <= command.ends_stored;
  });
  for (const auto& [task, run] : runs_) {
    result.active.push_back({task, run.attempt, CheckpointOf(run, false)});
  }
  const std::size_t listed = std::min(ends_.size(), max_listed_ends_);
  result.ended.assign(ends_.begin(),
                      ends_.begin() + static_cast<std::ptrdiff_t>(listed));
  result.lists_all = listed < max_listed_ends_;
  return result;
}

void WorkerModel::SetCapacity(const base::Resources& capacity) {
  former_capacities_.push_back({listing_.capacity, site_ms_});
  listing_.capacity = capacity;
  ++listing_.revision;
}

base::Resources WorkerModel::CapacityInForce() const {
  base::Resources largest = listing_.capacity;
  for (const FormerCapacity& former : former_capacities_) {
    if (site_ms_ - former.until_ms <= kCapacityNoticeMs) {
      largest.cpu = std::max(largest.cpu, former.capacity.cpu);
      largest.memory = std::max(largest.memory, former.capacity.memory);
      largest.accelerators =
          std::max(largest.accelerators, former.capacity.accelerators);
    }
  }
  return largest;
}

void WorkerModel::Crash() {
  is_up_ = false;
  runs_.clear();
}

void WorkerModel::Restart(std::int64_t born_ms, std::int64_t clock_ms) {
  is_up_ = true;
  listing_.born_ms = born_ms;
  fence_ = FencingToken(0);
  lease_until_ms_ = 0;
  clock_ms_ = clock_ms;
  closed_attempts_.clear();
  ends_.clear();
  last_end_ = 0;
  lapsed_through_ = 0;
}

}  // namespace dotterelbarrow::standins::site
