// A bounded cache of tasks that have ended or left this owner.
#include "dotterelbarrow/core/ended_task_cache.h"

#include <functional>

namespace dotterelbarrow::core {
namespace {

// Far longer than the delay of any message.
constexpr base::Duration kRetention = std::chrono::seconds(120);

constexpr std::size_t kMaxEntries = 1 << 15;

std::size_t KeyOf(const base::TaskId& task) {
  return std::hash<base::TaskId>()(task);
}

}  // namespace

void EndedTaskCache::Remember(const base::TaskId& task, Entry entry,
                              base::TimePoint now) {
  const std::size_t key = KeyOf(task);
  entry.serial = ++last_serial_;
  ages_.push_back({now, key, entry.serial});
  entries_[key] = std::move(entry);
  Expire(now);
}

const EndedTaskCache::Entry* EndedTaskCache::Find(
    const base::TaskId& task) const {
  const auto it = entries_.find(KeyOf(task));
  return it == entries_.end() ? nullptr : &it->second;
}

void EndedTaskCache::Forget(const base::TaskId& task) {
  entries_.erase(KeyOf(task));
}

void EndedTaskCache::Expire(base::TimePoint now) {
  while (!ages_.empty() && (now - ages_.front().since >= kRetention ||
                            ages_.size() > kMaxEntries)) {
    const Age& oldest = ages_.front();
    const auto it = entries_.find(oldest.key);
    if (it != entries_.end() && it->second.serial == oldest.serial) {
      entries_.erase(it);
    }
    ages_.pop_front();
  }
}

}  // namespace dotterelbarrow::core
