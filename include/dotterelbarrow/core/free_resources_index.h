// An index of backend servers by their free resources. The cost of a search
// doesn't grow with the number of backend servers.
//
// The index sorts its members into a grid of cells, by free processors and free
// memory. A search visits the non-empty cells that may satisfy the demand,
// beginning with those that come nearest to the free resources that the caller
// prefers to leave, and stops after a bounded number of cells.
#ifndef DOTTERELBARROW_CORE_FREE_RESOURCES_INDEX_H_
#define DOTTERELBARROW_CORE_FREE_RESOURCES_INDEX_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/task_record.h"

namespace dotterelbarrow::core {

class FreeResourcesIndex {
 public:
  FreeResourcesIndex();

  // Adds `member`, or updates its free resources.
  void Put(BackendIndex member, const base::Resources& free);
  void Remove(BackendIndex member);
  bool Contains(BackendIndex member) const;
  std::size_t size() const { return size_; }

  struct Query {
    base::Resources demand;
    // The fraction of a large member, one at the highest level, that should be
    // left free after placing the demand. Cells near it are visited first.
    double preferred_free = 0;
    // The search ends once it has found this many members.
    std::size_t max_results = 0;
  };

  // Returns members whose free resources satisfy the demand: all of them if
  // they are few, otherwise those nearest to the preferred free resources. The
  // result is valid until the next call.
  const std::vector<BackendIndex>& Search(const Query& query);

 private:
  static constexpr int kLevels = 64;
  static constexpr std::uint32_t kAbsent = 0xffffffff;

  struct Member {
    base::Resources free;
    std::uint32_t cell = kAbsent;
    std::uint32_t position = 0;
  };

  // What one search may still visit: non-empty cells, and members that turn
  // out not to satisfy the demand.
  struct Budget {
    int cells;
    int misses;
  };

  int CpuLevel(base::Millicores cpu) const;
  int MemoryLevel(base::Mebibytes memory) const;
  void Link(BackendIndex member);
  void Unlink(BackendIndex member);
  void Rescale(const base::Resources& free);
  bool SearchRow(const Query& query, int row, Budget* budget);
  bool SearchCell(const Query& query, int row, int column, Budget* budget);

  // The free resources that the highest level stands for, in millicores and
  // MiB: the largest value that any member has had.
  std::int64_t cpu_scale_ = 1;
  std::int64_t memory_scale_ = 1;
  std::size_t size_ = 0;
  std::vector<Member> members_;
  std::vector<std::vector<BackendIndex>> cells_;
  // Invariant: bit c of columns_[r] is set if and only if cell (r, c) isn't
  // empty, and bit r of rows_ if and only if columns_[r] isn't zero.
  std::array<std::uint64_t, kLevels> columns_{};
  std::uint64_t rows_ = 0;
  std::vector<BackendIndex> found_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_FREE_RESOURCES_INDEX_H_
