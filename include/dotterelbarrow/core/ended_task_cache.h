// A cache of tasks that have ended or left this owner, so that a delayed
// command can't start them again.
//
// The cache is bounded in age and in number of entries, and evicts the oldest
// first. Its keys are 64-bit hashes of the tasks' ids; the hash mixes its bits
// well.
#ifndef DOTTERELBARROW_CORE_ENDED_TASK_CACHE_H_
#define DOTTERELBARROW_CORE_ENDED_TASK_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/messages.h"

namespace dotterelbarrow::core {

class EndedTaskCache {
 public:
  // The outcome of a task at this owner.
  struct Entry {
    // The answer to its PlaceTask.
    PlaceStatus reply = PlaceStatus::kNoRoom;
    base::BackendId backend;
    // How it ended; absent if it left this owner without having ended.
    std::optional<TaskEnd> end;
    // The counter of the epoch under which its manager placed it.
    std::uint64_t manager_counter = 0;
    // Whether the manager asked for its removal. If a report then lists the
    // task, it is stopped.
    bool removed = false;
    // The number of this entry. It tells an entry from the one that it
    // replaced, so that the older one's age doesn't evict the newer one.
    std::uint64_t serial = 0;
  };

  // Stores `entry`, replacing any earlier entry of `task`.
  void Remember(const base::TaskId& task, Entry entry, base::TimePoint now);
  // Returns the entry of `task`, or null.
  const Entry* Find(const base::TaskId& task) const;
  void Forget(const base::TaskId& task);
  // Evicts the entries that are too old or exceed the maximum number.
  void Expire(base::TimePoint now);

  std::size_t size() const { return entries_.size(); }

 private:
  struct Age {
    base::TimePoint since;
    std::size_t key;
    std::uint64_t serial;
  };

  std::unordered_map<std::size_t, Entry> entries_;
  // Oldest first; may name entries that have been replaced or erased.
  std::deque<Age> ages_;
  std::uint64_t last_serial_ = 0;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_ENDED_TASK_CACHE_H_
