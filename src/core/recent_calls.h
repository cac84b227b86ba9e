// Detects duplicates of peers' calls, so that no call is served twice.
#ifndef DOTTERELBARROW_SRC_CORE_RECENT_CALLS_H_
#define DOTTERELBARROW_SRC_CORE_RECENT_CALLS_H_

#include <chrono>
#include <deque>
#include <set>
#include <utility>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core {

class RecentCalls {
 public:
  // Returns whether `call` of `from` is new, and records it for `kRetention`.
  bool Insert(const base::EntryId& from, base::CallId call,
              base::TimePoint now) {
    RemoveExpired(now);
    const Call key(from, call);
    if (!calls_.insert(key).second) {
      return false;
    }
    expiry_.emplace_back(now + kRetention, key);
    return true;
  }

 private:
  using Call = std::pair<base::EntryId, base::CallId>;

  static constexpr base::Duration kRetention = std::chrono::seconds(60);

  void RemoveExpired(base::TimePoint now) {
    while (!expiry_.empty() && expiry_.front().first <= now) {
      calls_.erase(expiry_.front().second);
      expiry_.pop_front();
    }
  }

  // Invariant: `expiry_` contains each call of `calls_` once, oldest first.
  std::set<Call> calls_;
  std::deque<std::pair<base::TimePoint, Call>> expiry_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_SRC_CORE_RECENT_CALLS_H_
