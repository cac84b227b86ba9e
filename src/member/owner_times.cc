// Sums up the times of one period.
#include "src/member/owner_times.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dotterelbarrow::member {
namespace {

// Logged if there is no limit.
constexpr double kNoLimit = -1;

std::int64_t Micros(base::Duration duration) {
  return duration / std::chrono::microseconds(1);
}

}  // namespace

void OwnerTimes::RecordPass(const PassTimes& pass) {
  ++passes_;
  paused_ += pass.paused;
  placing_ += pass.placing;
  sending_ += pass.sending;
  max_lag_ = std::max(max_lag_, pass.lag);
}

void OwnerTimes::RecordInput(OwnerInput input, base::Duration elapsed) {
  inputs_[static_cast<std::size_t>(input)] += elapsed;
}

void OwnerTimes::RecordWrite(base::Duration latency) {
  ++writes_;
  writing_ += latency;
}

void OwnerTimes::Log(const core::admission::SaturationGate& gate,
                     const core::scheduler::PassEffort& effort,
                     base::TimePoint now) {
  written_at_ = now;
  const auto inputs = std::exchange(inputs_, {});
  const auto input_us = [&inputs](OwnerInput input) {
    return Micros(inputs[static_cast<std::size_t>(input)]);
  };
  log_->Write(
      "owner_times",
      {{"shard", static_cast<std::int64_t>(shard_.value())},
       {"passes", std::exchange(passes_, 0)},
       {"paused_us", Micros(std::exchange(paused_, {}))},
       {"placing_us", Micros(std::exchange(placing_, {}))},
       {"sending_us", Micros(std::exchange(sending_, {}))},
       {"most_lag_us", Micros(std::exchange(max_lag_, {}))},
       {"steps_ranked", static_cast<std::int64_t>(effort.steps_ranked)},
       {"steps_tried", static_cast<std::int64_t>(effort.steps_tried)},
       {"steps_searched", static_cast<std::int64_t>(effort.steps_searched)},
       {"steps_placed", static_cast<std::int64_t>(effort.steps_placed)},
       {"workers_compared", static_cast<std::int64_t>(effort.workers_compared)},
       {"writes", std::exchange(writes_, 0)},
       {"writing_us", Micros(std::exchange(writing_, {}))},
       {"calls_us", input_us(OwnerInput::kCall)},
       {"started_us", input_us(OwnerInput::kStarted)},
       {"stopped_us", input_us(OwnerInput::kStopped)},
       {"polled_us", input_us(OwnerInput::kPolled)},
       {"advice_us", input_us(OwnerInput::kAdvice)},
       {"listings_us", input_us(OwnerInput::kListings)},
       {"stored_us", input_us(OwnerInput::kStored)},
       {"loading_us", input_us(OwnerInput::kLoading)},
       {"ticks_us", input_us(OwnerInput::kTick)},
       {"mean_lag_us", Micros(gate.mean_lag())},
       {"begun_per_s", std::llround(gate.begun_per_second())},
       {"accepting_per_s", std::llround(gate.limit().value_or(kNoLimit))}});
}

}  // namespace dotterelbarrow::member
