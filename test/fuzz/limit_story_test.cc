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
constexpr int kRunMilliseconds = 200;
// A placement must be decided within milliseconds; obtaining a quota slice
// takes a few messages.
constexpr double kLongestMeanWaitMs = 50;
// The rate in requests per second that keeps the whole limit in use.
constexpr int kAtLimit = kLimit * 1000 / kRunMilliseconds;

// The service that a team received while it sent requests at a steady rate.
struct Service {
  double mean_running = 0;
  int asked = 0;
  int done = 0;
  double mean_wait_ms = 0;
};

class LimitedLoad {
 public:
  LimitedLoad() : cell_(Size(), 1) {
    cell_.Run(seconds(4));
    cell_.HandInTicket(0, SetupTicket(1));
    cell_.Run(seconds(3));
    cell_.HandInTicket(0, LimitTicket(2, kLimit));
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
      const double passed =
          std::chrono::duration<double>(cell_.now() - begin).count();
      while (service.asked < passed * per_second) {
        Ask();
        ++service.asked;
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
        "limit: asked %d/s, mean running %.1f of %d, done %d of %d, mean wait "
        "%.0f ms\n",
        per_second, service.mean_running, kLimit, service.done, service.asked,
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

  void Ask() {
    const auto number = static_cast<int>(tokens_.size());
    core::WorkRequest request;
    request.id = base::RequestId("l" + std::to_string(number));
    request.key = base::ApiKey("key-parts");
    request.service = base::ServiceId("seats");
    request.demand.slots = base::Slots(1);
    request.deadline = seconds(10);
    request.payload = "{\"run_ms\":" + std::to_string(kRunMilliseconds) + "}";
    tokens_.push_back(cell_.Ask(number % cell_.entries(), request));
  }

  Cell cell_;
  std::vector<core::CallerToken> tokens_;
};

TEST_CASE("a limited team is served near its limit") {
  LimitedLoad load;

  SUBCASE("when it asks for twice as much") {
    const Service service = load.Run(2 * kAtLimit, seconds(10));
    CHECK(service.mean_running >= 0.9 * kLimit);
  }
  SUBCASE("when it asks for four fifths, all is served") {
    const Service service = load.Run(kAtLimit * 4 / 5, seconds(10));
    CHECK(service.done >= service.asked * 99 / 100);
  }
  SUBCASE("when it asks for all of it at one moment, none waits long") {
    const Service service = load.Run(kLimit * 100, milliseconds(20));
    CHECK(service.asked == kLimit);
    CHECK(service.done == service.asked);
    CHECK(service.mean_wait_ms <= kLongestMeanWaitMs);
  }
  SUBCASE("when it asks for half in a sudden second, all is served") {
    const Service service = load.Run(kAtLimit / 2, seconds(1));
    CHECK(service.done >= service.asked * 99 / 100);
  }
}

}  // namespace
}  // namespace dotterelbarrow::fuzz
