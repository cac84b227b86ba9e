// Sums up the times of one period.
#include "src/member/owner_times.h"

#include <algorithm>
#include <ctime>
#include <utility>

namespace dotterelbarrow::member {
namespace {

constexpr std::int64_t kMicrosPerSecond = 1'000'000;

std::int64_t Micros(base::Duration duration) {
  return duration / std::chrono::microseconds(1);
}

// Returns the processor time that this process has used so far, in
// microseconds.
std::int64_t ProcessorMicros() {
  return static_cast<std::int64_t>(std::clock()) * kMicrosPerSecond /
         CLOCKS_PER_SEC;
}

}  // namespace

void OwnerTimes::RecordPass(base::Duration lag, base::Duration placing,
                            base::Duration ordering) {
  ++passes_;
  placing_ += placing;
  ordering_ += ordering;
  max_lag_ = std::max(max_lag_, lag);
}

void OwnerTimes::RecordWrite(base::Duration latency) {
  ++writes_;
  writing_ += latency;
}

void OwnerTimes::LogIfDue(base::TimePoint now) {
  if (now - written_at_ < kPeriod) {
    return;
  }
  written_at_ = now;
  const std::int64_t processor_us = ProcessorMicros();
  log_->Write("owner_times",
              {{"passes", std::exchange(passes_, 0)},
               {"placing_us", Micros(std::exchange(placing_, {}))},
               {"ordering_us", Micros(std::exchange(ordering_, {}))},
               {"most_lag_us", Micros(std::exchange(max_lag_, {}))},
               {"writes", std::exchange(writes_, 0)},
               {"writing_us", Micros(std::exchange(writing_, {}))},
               {"processor_us",
                processor_us - std::exchange(processor_us_, processor_us)}});
}

}  // namespace dotterelbarrow::member
