// Sends the calls that are due and records the latencies.
#include "bench/lookups/load.h"

#include <chrono>

namespace dotterelbarrow::bench {

void Load::Begin(std::uint64_t count) {
  count_ = count;
  result_.latencies_ms.reserve(count);
  started_at_ = wire::MonotonicNow();
}

void Load::SendDue() {
  const std::chrono::duration<double> interval(1.0 / rate_);
  const base::TimePoint now = wire::MonotonicNow();
  while (result_.sent < count_) {
    const auto offset = std::chrono::duration_cast<base::Duration>(
        interval * static_cast<double>(result_.sent));
    const base::TimePoint due = started_at_ + offset;
    if (due > now) {
      return;
    }
    Send(result_.sent++, due);
  }
}

void Load::Send(std::uint64_t number, base::TimePoint due) {
  client_->Call(kind_.call(number),
                [this, due](const wire::HttpResult& result) {
                  ++finished_calls_;
                  if (!kind_.is_right(result)) {
                    return;
                  }
                  ++result_.right;
                  const std::chrono::duration<double, std::milli> latency =
                      wire::MonotonicNow() - due;
                  result_.latencies_ms.push_back(latency.count());
                });
}

}  // namespace dotterelbarrow::bench
