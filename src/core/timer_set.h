// A set of timers, at most one for each id.
#ifndef DOTTERELBARROW_SRC_CORE_TIMER_SET_H_
#define DOTTERELBARROW_SRC_CORE_TIMER_SET_H_

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core {

template <typename Id>
class TimerSet {
 public:
  // Sets the timer of `id` to `when`, replacing any previous one.
  void Set(const Id& id, base::TimePoint when) {
    Clear(id);
    due_.emplace(when, id);
    when_.emplace(id, when);
  }

  void Clear(const Id& id) {
    const auto it = when_.find(id);
    if (it != when_.end()) {
      due_.erase({it->second, id});
      when_.erase(it);
    }
  }

  // Removes and returns the id whose timer is due first, or returns nothing if
  // none is due at `now`.
  std::optional<Id> PopDue(base::TimePoint now) {
    if (due_.empty() || due_.begin()->first > now) {
      return std::nullopt;
    }
    const Id id = due_.begin()->second;
    Clear(id);
    return id;
  }

 private:
  // Invariant: `due_` and `when_` contain the same pairs.
  std::set<std::pair<base::TimePoint, Id>> due_;
  std::unordered_map<Id, base::TimePoint> when_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_SRC_CORE_TIMER_SET_H_
