// Models the runs and the run ends of workers.
#include "bench/experiment/fleet_model.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace dotterelbarrow::bench {
namespace {

using core::jobs::RunEnd;
using core::scheduler::CommandOutcome;
using core::scheduler::PollResult;

constexpr std::int64_t kMicrosPerMilli = 1000;

}  // namespace

void Timeline::RunUntil(std::int64_t end_us) {
  while (!events_.empty() && events_.begin()->first.first <= end_us) {
    const auto next = events_.begin();
    now_us_ = next->first.first;
    const Event event = std::move(next->second);
    events_.erase(next);
    event();
  }
  now_us_ = end_us;
}

std::int64_t FleetModel::ClockMillis() const {
  return timeline_->now_us() / kMicrosPerMilli + 1;
}

void FleetModel::Start(const core::scheduler::StartTask& command) {
  const std::string id = command.worker.id.value();
  const RunKey key(command.task, command.attempt);
  const RunPlan plan = plan_of_(command);
  ++starts_;
  std::int64_t done_us = 0;
  std::from_chars(command.checkpoint.data(),
                  command.checkpoint.data() + command.checkpoint.size(),
                  done_us);
  const std::int64_t restore_us = done_us > 0 ? plan.restore_us : 0;
  workers_[id].runs[key] = {plan.writes_checkpoints,
                            timeline_->now_us() + restore_us - done_us};
  if (plan.gang_size == 0) {
    const std::int64_t left_us =
        std::max<std::int64_t>(
            0, DurationOn(plan, plan.duration_us, {{id, key}}) - done_us) +
        restore_us;
    timeline_->After(left_us, [this, id, key, plan] {
      FinishRun(id, key, plan.fails ? RunEnd::kFailed : RunEnd::kDone);
    });
    return;
  }
  std::int64_t& duration_us =
      gang_durations_us_[{command.task.step, command.attempt}];
  duration_us = std::max(duration_us, plan.duration_us);
  auto& members = gangs_[{command.task.step, command.attempt}];
  members.emplace_back(id, key);
  if (members.size() == plan.gang_size) {
    timeline_->After(DurationOn(plan, duration_us, members),
                     [this, step = command.task.step, attempt = command.attempt,
                      plan] { FinishGang(step, attempt, plan); });
  }
}

std::int64_t FleetModel::DurationOn(
    const RunPlan& plan, std::int64_t duration_us,
    const std::vector<std::pair<std::string, RunKey>>& members) {
  const std::string rack =
      plan.data_rack.empty() ? racks_[members.front().first] : plan.data_rack;
  const bool is_local = std::all_of(
      members.begin(), members.end(),
      [&](const auto& member) { return racks_[member.first] == rack; });
  return is_local ? duration_us
                  : std::llround(static_cast<double>(duration_us) *
                                 plan.remote_factor);
}

void FleetModel::FinishGang(const core::jobs::StepRef& step,
                            core::jobs::Attempt attempt, const RunPlan& plan) {
  const auto it = gangs_.find({step, attempt});
  if (it == gangs_.end()) {
    return;
  }
  const auto members = std::move(it->second);
  gangs_.erase(it);
  gang_durations_us_.erase({step, attempt});
  bool is_first = true;
  for (const auto& [worker, key] : members) {
    const RunEnd failed = is_first ? RunEnd::kFailed : RunEnd::kGangBroken;
    FinishRun(worker, key, plan.fails ? failed : RunEnd::kDone);
    is_first = false;
  }
}

void FleetModel::Stop(const core::scheduler::StopTask& command) {
  const auto gang = gangs_.find({command.task.step, command.attempt});
  if (gang != gangs_.end()) {
    std::erase_if(gang->second, [&command](const auto& member) {
      return member.second.first == command.task;
    });
  }
  timeline_->After(stop_us_, [this, id = command.worker.id.value(),
                              key = RunKey(command.task, command.attempt)] {
    FinishRun(id, key, RunEnd::kStopped);
  });
}

std::string FleetModel::CheckpointOf(const Run& run) const {
  const std::int64_t done_us = timeline_->now_us() - run.began_us;
  return run.writes_checkpoints && done_us > 0 ? std::to_string(done_us) : "";
}

void FleetModel::FinishRun(const std::string& worker, const RunKey& key,
                           RunEnd end) {
  Worker& target = workers_[worker];
  const auto run = target.runs.find(key);
  if (run == target.runs.end()) {
    return;
  }
  target.ends.push_back(
      {++target.last_end, key.first, key.second, end,
       end == RunEnd::kStopped ? CheckpointOf(run->second) : ""});
  target.runs.erase(run);
  AnswerPendingPoll(&target);
}

PollResult FleetModel::MakePollResult(const Worker& worker) const {
  PollResult result{.outcome = CommandOutcome::kDone,
                    .clock_ms = ClockMillis(),
                    .born_ms = 1,
                    .active = {},
                    .ended = worker.ends};
  for (const auto& [key, run] : worker.runs) {
    result.active.push_back({key.first, key.second, CheckpointOf(run)});
  }
  return result;
}

void FleetModel::Look(const core::scheduler::PollWorker& command,
                      PollCallback callback) {
  Worker& worker = workers_[command.worker.id.value()];
  std::erase_if(worker.ends, [&command](const auto& end) {
    return end.number <= command.ends_stored;
  });
  const std::uint64_t number = ++polls_;
  if (command.is_immediate || !worker.ends.empty() ||
      command.wait == base::Duration(0)) {
    callback(MakePollResult(worker));
    return;
  }
  worker.pending_poll = PendingPoll{number, std::move(callback)};
  const auto wait =
      std::chrono::duration_cast<std::chrono::microseconds>(command.wait);
  timeline_->After(
      wait.count(), [this, number, id = command.worker.id.value()] {
        Worker& polled = workers_[id];
        if (polled.pending_poll && polled.pending_poll->number == number) {
          AnswerPendingPoll(&polled);
        }
      });
}

void FleetModel::AnswerPendingPoll(Worker* worker) {
  if (worker->pending_poll) {
    const PollCallback callback = std::move(worker->pending_poll->callback);
    worker->pending_poll.reset();
    callback(MakePollResult(*worker));
  }
}

}  // namespace dotterelbarrow::bench
