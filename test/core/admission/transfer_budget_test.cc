// Replays the load pattern that TransferBudget is meant for in virtual time.
#include "dotterelbarrow/core/admission/transfer_budget.h"

#include <doctest/doctest.h>

#include <vector>

namespace dotterelbarrow::core::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// 200 Mbit/s.
constexpr base::BytesPerSecond kOwnerLink(25'000'000);
constexpr base::Bytes kText(900'000);
constexpr int kHosts = 24;
constexpr base::Duration kHeartbeatPeriod = milliseconds(300);

// Hosts that request the text at each heartbeat until they get it.
struct Replay {
  TransferBudget budget{kOwnerLink};
  std::vector<bool> has_text = std::vector<bool>(kHosts, false);
  std::vector<base::TimePoint> begun;

  void Run(base::Duration duration) {
    const base::TimePoint end = base::TimePoint{} + duration;
    for (base::TimePoint now{}; now < end; now += milliseconds(1)) {
      for (int host = 0; host < kHosts; ++host) {
        const base::Duration phase = kHeartbeatPeriod * host / kHosts;
        const bool is_heartbeat =
            (now.time_since_epoch() - phase) % kHeartbeatPeriod <
            milliseconds(1);
        if (is_heartbeat && !has_text[host] && budget.TryAcquire(kText, now)) {
          has_text[host] = true;
          begun.push_back(now);
        }
      }
    }
  }
  std::size_t BegunWithinSecondOf(std::size_t first) const {
    std::size_t last = first;
    while (last < begun.size() && begun[last] - begun[first] < seconds(1)) {
      ++last;
    }
    return last - first;
  }
};

TEST_CASE("TransferBudget: many hosts request the desired state at once") {
  Replay replay;
  SUBCASE("half of the link carries the texts, whatever second is looked at") {
    replay.Run(seconds(10));
    const double bytes_per_second =
        TransferBudget::kLinkShare * static_cast<double>(kOwnerLink.value());
    for (std::size_t i = 0; i < replay.begun.size(); ++i) {
      const auto bytes = static_cast<double>(replay.BegunWithinSecondOf(i)) *
                         static_cast<double>(kText.value());
      // One transfer may begin at the end of the second.
      CHECK(bytes <= bytes_per_second + static_cast<double>(kText.value()));
    }
  }
  SUBCASE("every host gets the text before its keys' confirmation expires") {
    replay.Run(seconds(4));
    CHECK(replay.begun.size() == kHosts);
  }
}

TEST_CASE("TransferBudget: a text larger than the link carries in a second") {
  TransferBudget budget{base::BytesPerSecond(1'250'000)};
  const base::TimePoint begin{};
  CHECK(budget.TryAcquire(base::Bytes(2'500'000), begin));
  CHECK_FALSE(budget.TryAcquire(base::Bytes(1), begin + seconds(3)));
  CHECK(budget.TryAcquire(base::Bytes(2'500'000), begin + seconds(4)));
}

}  // namespace
}  // namespace dotterelbarrow::core::admission
