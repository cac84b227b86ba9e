// Checks how much of its upper limit a limited team can use in a whole cell, in
// virtual time.
#include <doctest/doctest.h>

#include <cstdio>
#include <string>

#include "test/fuzz/cell.h"

namespace dotterelbarrow::fuzz {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kLimit = 24;
constexpr int kRunMs = 200;
// A placement must be decided within milliseconds; obtaining a quota slice
// takes a few messages.
constexpr double kMaxMeanWaitMs = 50;
// The rate in requests per second that keeps the whole limit in use.
constexpr int kFullRatePerSecond = kLimit * 1000 / kRunMs;

// The service that a team received while it sent requests at a steady rate.
struct Service {
  double mean_running = 0;
  int sent = 0;
  int done = 0;
  double mean_wait_ms = 0;
};

class LimitedLoad {
 public:
  LimitedLoad() : cell_(Size(), 1) {
    cell_.Run(seconds(4));
    cell_.SubmitTicket(0, SetupTicket(1));
    cell_.Run(seconds(3));
    cell_.SubmitTicket(0, LimitTicket(2, kLimit));
    cell_.Run(seconds(3));
  }

  // Sends `per_second` requests per second for `time`, to the entries in turn.
  Service Run(int per_second, base::Duration time) {
    Service service;
    const std::size_t first = tokens_.size();
    const base::TimePoint begin = cell_.now();
    std::int64_t sum = 0;
    int samples = 0;
    while (cell_.now() - begin < time) {
      const double elapsed =
          std::chrono::duration<double>(cell_.now() - begin).count();
      while (service.sent < elapsed * per_second) {
        SendRequest();
        ++service.sent;
      }
      cell_.Run(milliseconds(10));
      sum += cell_.ledger().RunningOf(base::TeamId("parts"), true);
      ++samples;
    }
    cell_.Run(seconds(11));
    service.mean_running = static_cast<double>(sum) / samples;
    double wait_ms = 0;
    for (std::size_t i = first; i < tokens_.size(); ++i) {
      const core::Answer* answer = cell_.AnswerTo(tokens_[i]);
      if (answer != nullptr && answer->outcome == core::Outcome::kDone) {
        ++service.done;
        wait_ms +=
            std::chrono::duration<double, std::milli>(answer->waited).count();
      }
    }
    service.mean_wait_ms = service.done > 0 ? wait_ms / service.done : 0;
    std::printf(
        "limit: %d requests/s, mean running %.1f of %d, done %d of %d, mean "
        "wait "
        "%.0f ms\n",
        per_second, service.mean_running, kLimit, service.done, service.sent,
        service.mean_wait_ms);
    CHECK_FALSE(cell_.FirstViolation().has_value());
    return service;
  }

 private:
  static CellSize Size() {
    CellSize size;
    size.entries = 7;
    size.runners = 16;
    size.slots = base::Slots(8);
    return size;
  }

  void SendRequest() {
    const auto number = static_cast<int>(tokens_.size());
    core::WorkRequest request;
    request.id = base::RequestId("l" + std::to_string(number));
    request.key = base::ApiKey("key-parts");
    request.service = base::ServiceId("seats");
    request.demand.slots = base::Slots(1);
    request.deadline = seconds(10);
    request.payload = "{\"run_ms\":" + std::to_string(kRunMs) + "}";
    tokens_.push_back(cell_.Ask(number % cell_.entries(), request));
  }

  Cell cell_;
  std::vector<core::CallerToken> tokens_;
};

TEST_CASE("a limited team is served near its limit") {
  LimitedLoad load;

  SUBCASE("when it requests twice its limit") {
    const Service service = load.Run(2 * kFullRatePerSecond, seconds(10));
    CHECK(service.mean_running >= 0.9 * kLimit);
  }
  SUBCASE(
      "when it requests four fifths of its limit, all requests are served") {
    const Service service = load.Run(kFullRatePerSecond * 4 / 5, seconds(10));
    CHECK(service.done >= service.sent * 99 / 100);
  }
  SUBCASE("when it requests its whole limit at once, no request waits long") {
    const Service service = load.Run(kLimit * 100, milliseconds(20));
    CHECK(service.sent == kLimit);
    CHECK(service.done == service.sent);
    CHECK(service.mean_wait_ms <= kMaxMeanWaitMs);
  }
  SUBCASE(
      "when it requests half its limit in a burst of a second, all requests "
      "are served") {
    const Service service = load.Run(kFullRatePerSecond / 2, seconds(1));
    CHECK(service.done >= service.sent * 99 / 100);
  }
}

}  // namespace
}  // namespace dotterelbarrow::fuzz
