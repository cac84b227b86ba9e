// A priority queue of deadlines, earliest first, with at most one deadline for
// each key.
#ifndef DOTTERELBARROW_CORE_DEADLINE_QUEUE_H_
#define DOTTERELBARROW_CORE_DEADLINE_QUEUE_H_

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core {

// `Key` must be hashable and ordered. Equal deadlines are returned in the order
// of their keys, so keys must not be pointers, whose order differs between
// runs.
template <typename Key>
class DeadlineQueue {
 public:
  // Sets the deadline of `key`, replacing any previous one.
  void Set(const Key& key, base::TimePoint when) {
    Clear(key);
    when_.emplace(key, when);
    order_.emplace(when, key);
  }

  // Sets the deadline of `key` unless it has an earlier one.
  void SetNoLater(const Key& key, base::TimePoint when) {
    const auto it = when_.find(key);
    if (it == when_.end() || when < it->second) {
      Set(key, when);
    }
  }

  void Clear(const Key& key) {
    const auto it = when_.find(key);
    if (it == when_.end()) {
      return;
    }
    order_.erase({it->second, key});
    when_.erase(it);
  }

  // Removes and returns the key with the earliest deadline that has been
  // reached, or returns nothing if there is none.
  std::optional<Key> PopDue(base::TimePoint now) {
    if (order_.empty() || order_.begin()->first > now) {
      return std::nullopt;
    }
    const Key key = order_.begin()->second;
    Clear(key);
    return key;
  }

 private:
  // Invariant: `order_` and `when_` contain the same pairs.
  std::set<std::pair<base::TimePoint, Key>> order_;
  std::unordered_map<Key, base::TimePoint> when_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_DEADLINE_QUEUE_H_
