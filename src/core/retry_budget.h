// Limits retries to a fraction of the requests, so that retries can't overwhelm
// a fleet that is overloaded or failing.
#ifndef DOTTERELBARROW_SRC_CORE_RETRY_BUDGET_H_
#define DOTTERELBARROW_SRC_CORE_RETRY_BUDGET_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/counters.h"

namespace dotterelbarrow::core {

// A token bucket that is filled by requests and drained by retries. It also
// refills slowly with time, so that retries are possible while there are few
// requests.
class RetryBudget {
 public:
  // The maximum number of retries of one request, however full the budget is.
  static constexpr std::uint32_t kRetriesPerRequest = 3;

  explicit RetryBudget(base::TimePoint now) : refilled_(now) {}

  // Adds the share of one new request to the budget.
  void OnRequest() { Add(kRefillPerRequest); }

  // Whether a request that was retried `retries` times may be sent to another
  // owner because the first one could not serve it. This puts no load on any
  // runner, so it takes nothing from the budget. Counts the reason if the
  // answer is no.
  static bool AllowsRedirect(std::uint32_t retries, base::TimePoint deadline,
                             base::TimePoint now, Counters* counters) {
    const char* cause = nullptr;
    if (deadline <= now) {
      cause = "deadline";
    } else if (retries >= kRetriesPerRequest) {
      cause = "attempts";
    }
    if (cause != nullptr) {
      counters->Increment("retries_denied", cause);
    }
    return cause == nullptr;
  }

  // Whether a request that was retried `retries` times may be retried again. If
  // so, takes one retry from the budget; otherwise counts the reason.
  bool TryTake(std::uint32_t retries, base::TimePoint deadline,
               base::TimePoint now, Counters* counters) {
    if (!AllowsRedirect(retries, deadline, now, counters)) {
      return false;
    }
    if (!TryTake(now)) {
      counters->Increment("retries_denied", "budget");
      return false;
    }
    return true;
  }

 private:
  bool TryTake(base::TimePoint now) {
    const auto periods = (now - refilled_) / kRefillPeriod;
    refilled_ += periods * kRefillPeriod;
    Add(std::min<std::int64_t>(periods, kCapacity) * kRetryCost);
    if (thousandths_ < kRetryCost) {
      return false;
    }
    thousandths_ -= kRetryCost;
    return true;
  }

  // In thousandths of a retry: the cost of a retry, and the refill by a
  // request.
  static constexpr std::int64_t kRetryCost = 1000;
  static constexpr std::int64_t kRefillPerRequest = 100;
  // The size of the bucket, in retries.
  static constexpr std::int64_t kCapacity = 20;
  // The bucket is refilled by one retry in each period.
  static constexpr base::Duration kRefillPeriod = std::chrono::seconds(1);

  void Add(std::int64_t thousandths) {
    thousandths_ = std::min(thousandths_ + thousandths, kCapacity * kRetryCost);
  }

  std::int64_t thousandths_ = kCapacity * kRetryCost;
  base::TimePoint refilled_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_SRC_CORE_RETRY_BUDGET_H_
