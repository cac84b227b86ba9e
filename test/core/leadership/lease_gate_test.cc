// Tests which commands an owner sends after its ownership lease.
#include "dotterelbarrow/core/leadership/lease_gate.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <variant>

namespace dotterelbarrow::core::leadership {
namespace {

using scheduler::Action;
using scheduler::PollWorker;
using scheduler::StartTask;
using scheduler::StopTask;

constexpr std::int64_t kLeaseUntilMs = 4000;
constexpr std::uint64_t kEndsStored = 7;

// Guards against leases that a previous owner grants for longer than the next
// owner waits for silent workers.
TEST_CASE("commands of an owner") {
  Counters counters;
  Action start = StartTask{.worker = scheduler::WorkerAddress(),
                           .task = {},
                           .attempt = {},
                           .payload = {},
                           .lease_until_ms = kLeaseUntilMs,
                           .checkpoint = {},
                           .ticket = {}};
  Action renewal = PollWorker{.worker = scheduler::WorkerAddress(),
                              .lease_until_ms = kLeaseUntilMs,
                              .ends_stored = kEndsStored,
                              .wait = std::chrono::seconds(1)};
  const auto withheld = [&counters](const char* what) {
    return counters.value("leases_withheld", what);
  };
  SUBCASE("that holds its ownership lease are sent as they are") {
    CHECK(AdmitAction(true, &start, &counters));
    CHECK(AdmitAction(true, &renewal, &counters));
    CHECK(std::get<PollWorker>(renewal).lease_until_ms == kLeaseUntilMs);
    CHECK(withheld("start") == 0);
    CHECK(withheld("renewal") == 0);
  }
  SUBCASE("whose ownership lease is over") {
    SUBCASE("start nothing") {
      CHECK_FALSE(AdmitAction(false, &start, &counters));
      CHECK(withheld("start") == 1);
    }
    SUBCASE("poll without a renewal, and acknowledge what is stored") {
      CHECK(AdmitAction(false, &renewal, &counters));
      CHECK_FALSE(std::get<PollWorker>(renewal).lease_until_ms);
      CHECK(std::get<PollWorker>(renewal).ends_stored == kEndsStored);
      CHECK(withheld("renewal") == 1);
    }
    SUBCASE("read and stop as before") {
      std::get<PollWorker>(renewal).lease_until_ms.reset();
      Action stop = StopTask{};
      CHECK(AdmitAction(false, &renewal, &counters));
      CHECK(AdmitAction(false, &stop, &counters));
      CHECK(withheld("renewal") == 0);
    }
  }
}

}  // namespace
}  // namespace dotterelbarrow::core::leadership
