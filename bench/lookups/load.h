// Sends calls at a constant rate, without waiting for earlier answers, and
// measures the latencies (an open-loop load generator).
//
// Latency is measured from the time at which a call was due, not from the time
// at which it was sent. If the sender falls behind, the results still include
// the delay that callers would have seen.
#ifndef DOTTERELBARROW_BENCH_LOOKUPS_LOAD_H_
#define DOTTERELBARROW_BENCH_LOOKUPS_LOAD_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/wire/event_loop.h"
#include "dotterelbarrow/wire/http_client.h"

namespace dotterelbarrow::bench {

struct LoadResult {
  std::uint64_t sent = 0;
  std::uint64_t right = 0;
  // Latencies of the correct answers only.
  std::vector<double> latencies_ms;
};

// Sends calls from an event loop through an HTTP client.
class Load {
 public:
  // Creates the call with the sequence number `number`, and checks an answer.
  struct Kind {
    std::function<wire::HttpCall(std::uint64_t number)> call;
    std::function<bool(const wire::HttpResult&)> is_right;
  };

  // `loop`, `client` and everything that `kind` refers to must outlive this.
  // `rate` is in calls per second.
  Load(const wire::EventLoop* loop, wire::HttpClient* client, Kind kind,
       double rate)
      : client_(client),
        kind_(std::move(kind)),
        rate_(rate),
        send_timer_(*loop, kSendInterval, [this] { SendDue(); }) {}
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  // Starts sending `count` calls.
  void Begin(std::uint64_t count);
  // Whether every call has been answered or has failed.
  bool is_done() const { return finished_calls_ == count_; }
  const LoadResult& result() const { return result_; }

 private:
  static constexpr base::Duration kSendInterval =
      std::chrono::microseconds(500);

  void SendDue();
  void Send(std::uint64_t number, base::TimePoint due);

  wire::HttpClient* client_;
  Kind kind_;
  double rate_;
  base::TimePoint started_at_;
  std::uint64_t count_ = 0;
  std::uint64_t finished_calls_ = 0;
  LoadResult result_;
  wire::PeriodicTimer send_timer_;
};

}  // namespace dotterelbarrow::bench

#endif  // DOTTERELBARROW_BENCH_LOOKUPS_LOAD_H_
