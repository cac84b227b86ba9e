// The most recently accepted tickets, retained to answer peers that lag behind.
#ifndef DOTTERELBARROW_SRC_CORE_CONFIG_LOG_H_
#define DOTTERELBARROW_SRC_CORE_CONFIG_LOG_H_

#include <cstddef>
#include <deque>
#include <vector>

#include "dotterelbarrow/core/messages.h"

namespace dotterelbarrow::core {

// Invariant: the versions of the changes are contiguous. Their number and total
// size in bytes are bounded; the oldest are removed first.
class ConfigLog {
 public:
  static constexpr std::size_t kMaxChanges = 5000;
  static constexpr std::size_t kMaxBytes = std::size_t{4} << 20;
  // An answer contains at least one change, and further ones up to this size.
  static constexpr std::size_t kMaxAnswerBytes = std::size_t{256} << 10;

  // The version of `change` must follow that of the last change.
  void Add(const ConfigChange& change);

  // Returns the changes after `version`, oldest first, up to the size of one
  // answer. Returns nothing if there are none or the next one has been removed.
  std::vector<ConfigChange> After(base::ConfigVersion version) const;

  const std::deque<ConfigChange>& changes() const { return changes_; }

 private:
  std::deque<ConfigChange> changes_;
  std::size_t bytes_ = 0;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_SRC_CORE_CONFIG_LOG_H_
