// Sets of workers that are cheap to query, for decisions that check many
// workers many times per second.
#ifndef DOTTERELBARROW_CORE_WORKERS_WORKER_SET_H_
#define DOTTERELBARROW_CORE_WORKERS_WORKER_SET_H_

#include <algorithm>
#include <cstddef>
#include <vector>

#include "dotterelbarrow/base/ids.h"

namespace dotterelbarrow::core::workers {

// Numbers the workers of one fleet in the order in which they were first seen.
// A number is never reused.
using WorkerNumber = base::NumberId<struct WorkerNumberTag>;

class WorkerSet {
 public:
  // Returns whether the worker was not in the set before.
  bool insert(WorkerNumber worker) {
    const auto index = static_cast<std::size_t>(worker.value());
    if (index >= members_.size()) {
      members_.resize(index + 1);
    }
    if (members_[index]) {
      return false;
    }
    members_[index] = true;
    ++size_;
    return true;
  }
  void erase(WorkerNumber worker) {
    if (contains(worker)) {
      members_[static_cast<std::size_t>(worker.value())] = false;
      --size_;
    }
  }
  bool contains(WorkerNumber worker) const {
    const auto index = static_cast<std::size_t>(worker.value());
    return index < members_.size() && members_[index];
  }
  void clear() {
    std::fill(members_.begin(), members_.end(), false);
    size_ = 0;
  }
  std::size_t size() const { return size_; }

 private:
  std::vector<bool> members_;
  std::size_t size_ = 0;
};

}  // namespace dotterelbarrow::core::workers

#endif  // DOTTERELBARROW_CORE_WORKERS_WORKER_SET_H_
