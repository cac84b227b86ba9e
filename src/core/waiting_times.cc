// Implements the record of waiting times.
#include "dotterelbarrow/core/waiting_times.h"

#include <functional>

namespace dotterelbarrow::core {
namespace {

// A task whose placement isn't requested again within this time is no longer
// waiting here.
constexpr base::Duration kForgetAfter = std::chrono::seconds(5);

constexpr base::Duration kSweepPeriod = std::chrono::seconds(1);

std::size_t KeyOf(base::TaskId task) {
  task.attempt = 0;
  return std::hash<base::TaskId>()(task);
}

}  // namespace

base::TimePoint WaitingTimes::OnAsked(const base::TaskId& task,
                                      base::TimePoint now) {
  Wait& wait = waits_.try_emplace(KeyOf(task), Wait{now, now}).first->second;
  wait.last_requested = now;
  return wait.since;
}

void WaitingTimes::OnServed(const base::TaskId& task) {
  waits_.erase(KeyOf(task));
}

void WaitingTimes::Tick(base::TimePoint now) {
  if (now < next_sweep_) {
    return;
  }
  next_sweep_ = now + kSweepPeriod;
  std::erase_if(waits_, [now](const auto& entry) {
    return now - entry.second.last_requested >= kForgetAfter;
  });
}

}  // namespace dotterelbarrow::core
