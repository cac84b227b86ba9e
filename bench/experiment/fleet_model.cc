// Runs and ends of model workers.
#include "bench/experiment/fleet_model.h"

#include <algorithm>

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

void FleetModel::Start(const core::scheduler::StartTask& order) {
  const std::string id = order.worker.id.value();
  const RunKey key(order.task, order.attempt);
  const RunPlan plan = plan_of_(order.task, order.attempt);
  ++starts_;
  workers_[id].runs.insert(key);
  if (plan.gang_size == 0) {
    timeline_->After(plan.duration_us, [this, id, key, plan] {
      End(id, key, plan.fails ? RunEnd::kFailed : RunEnd::kDone);
    });
    return;
  }
  auto& members = gangs_[{order.task.step, order.attempt}];
  members.emplace_back(id, key);
  if (members.size() == plan.gang_size) {
    timeline_->After(plan.duration_us,
                     [this, step = order.task.step, attempt = order.attempt,
                      plan] { EndGang(step, attempt, plan); });
  }
}

void FleetModel::EndGang(const core::jobs::StepRef& step,
                         core::jobs::Attempt attempt, const RunPlan& plan) {
  const auto it = gangs_.find({step, attempt});
  if (it == gangs_.end()) {
    return;
  }
  const auto members = std::move(it->second);
  gangs_.erase(it);
  bool is_first = true;
  for (const auto& [worker, key] : members) {
    const RunEnd failed = is_first ? RunEnd::kFailed : RunEnd::kGangBroken;
    End(worker, key, plan.fails ? failed : RunEnd::kDone);
    is_first = false;
  }
}

void FleetModel::Stop(const core::scheduler::StopTask& order) {
  const auto gang = gangs_.find({order.task.step, order.attempt});
  if (gang != gangs_.end()) {
    std::erase_if(gang->second, [&order](const auto& member) {
      return member.second.first == order.task;
    });
  }
  End(order.worker.id.value(), {order.task, order.attempt}, RunEnd::kStopped);
}

void FleetModel::End(const std::string& worker, const RunKey& key, RunEnd end) {
  Worker& target = workers_[worker];
  if (target.runs.erase(key) == 0) {
    return;
  }
  target.ends.push_back({++target.last_end, key.first, key.second, end, {}});
  Answer(&target);
}

PollResult FleetModel::ResultOf(const Worker& worker) const {
  PollResult result{.outcome = CommandOutcome::kDone,
                    .clock_ms = ClockMillis(),
                    .born_ms = 1,
                    .active = {},
                    .ended = worker.ends};
  for (const RunKey& key : worker.runs) {
    result.active.push_back({key.first, key.second, {}});
  }
  return result;
}

void FleetModel::Look(const core::scheduler::PollWorker& order, Looked looked) {
  Worker& worker = workers_[order.worker.id.value()];
  std::erase_if(worker.ends, [&order](const auto& end) {
    return end.number <= order.ends_stored;
  });
  const std::uint64_t number = ++looks_;
  if (order.is_immediate || !worker.ends.empty() ||
      order.wait == base::Duration(0)) {
    looked(ResultOf(worker));
    return;
  }
  worker.waiting = WaitingLook{number, std::move(looked)};
  const auto wait =
      std::chrono::duration_cast<std::chrono::microseconds>(order.wait);
  timeline_->After(wait.count(), [this, number, id = order.worker.id.value()] {
    Worker& waited = workers_[id];
    if (waited.waiting && waited.waiting->number == number) {
      Answer(&waited);
    }
  });
}

void FleetModel::Answer(Worker* worker) {
  if (worker->waiting) {
    const Looked looked = std::move(worker->waiting->looked);
    worker->waiting.reset();
    looked(ResultOf(*worker));
  }
}

}  // namespace dotterelbarrow::bench
