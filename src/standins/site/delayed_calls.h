// A queue of function calls, each to be made once after a delay. The owner of
// the queue must call RunDue regularly.
#ifndef DOTTERELBARROW_STANDINS_SITE_DELAYED_CALLS_H_
#define DOTTERELBARROW_STANDINS_SITE_DELAYED_CALLS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "src/standins/site/clock.h"

namespace dotterelbarrow::standins::site {

class DelayedCalls {
 public:
  // Adds a call that is due in `delay_ms`.
  void After(std::int64_t delay_ms, std::function<void()> call) {
    calls_.emplace(std::pair(NowMillis() + delay_ms, ++added_),
                   std::move(call));
  }
  // Makes the calls that are due, in order of their time. Calls with the same
  // time are made in the order in which they were added.
  void RunDue() {
    while (!calls_.empty() && calls_.begin()->first.first <= NowMillis()) {
      const std::function<void()> call = std::move(calls_.begin()->second);
      calls_.erase(calls_.begin());
      call();
    }
  }

 private:
  std::map<std::pair<std::int64_t, std::uint64_t>, std::function<void()>>
      calls_;
  std::uint64_t added_ = 0;
};

}  // namespace dotterelbarrow::standins::site

#endif  // DOTTERELBARROW_STANDINS_SITE_DELAYED_CALLS_H_
