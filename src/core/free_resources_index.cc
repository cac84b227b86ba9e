// A grid of backend servers by free processors and memory.
#include "dotterelbarrow/core/free_resources_index.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace dotterelbarrow::core {
namespace {

// The most non-empty cells that one search visits, in total and in one row. A
// search that has found nothing there yet goes on beyond these limits.
constexpr int kMaxCellsPerSearch = 96;
constexpr int kMaxCellsPerRow = 8;

// The most members that one search visits and finds too small.
constexpr int kMaxMissesPerSearch = 512;

// Returns the set bit of `mask` that is nearest to `wanted`, or -1.
int NearestBit(std::uint64_t mask, int wanted) {
  if (mask == 0) {
    return -1;
  }
  const std::uint64_t above = mask >> wanted << wanted;
  const std::uint64_t below = mask ^ above;
  const int up = above == 0 ? -1 : std::countr_zero(above);
  const int down = below == 0 ? -1 : 63 - std::countl_zero(below);
  if (up < 0 || down < 0) {
    return std::max(up, down);
  }
  return up - wanted <= wanted - down ? up : down;
}

// Returns the level of free resources at which `fraction` of the highest level
// is left free after placing a demand of `level`.
int LevelAbove(int level, double fraction) {
  const int extra = static_cast<int>(std::lround(fraction * 63));
  return std::clamp(level + extra, 0, 63);
}

std::uint64_t BitsFrom(int level) { return ~std::uint64_t{0} << level; }

}  // namespace

FreeResourcesIndex::FreeResourcesIndex()
    : cells_(std::size_t{kLevels} * kLevels) {}

int FreeResourcesIndex::CpuLevel(base::Millicores cpu) const {
  const std::int64_t level = cpu.value() * (kLevels - 1) / cpu_scale_;
  return static_cast<int>(std::clamp<std::int64_t>(level, 0, kLevels - 1));
}

int FreeResourcesIndex::MemoryLevel(base::Mebibytes memory) const {
  const std::int64_t level = memory.value() * (kLevels - 1) / memory_scale_;
  return static_cast<int>(std::clamp<std::int64_t>(level, 0, kLevels - 1));
}

bool FreeResourcesIndex::Contains(BackendIndex member) const {
  return member < members_.size() && members_[member].cell != kAbsent;
}

void FreeResourcesIndex::Put(BackendIndex member, const base::Resources& free) {
  if (member >= members_.size()) {
    members_.resize(member + 1);
  }
  if (free.cpu.value() > cpu_scale_ || free.memory.value() > memory_scale_) {
    Rescale(free);
  }
  Member& entry = members_[member];
  entry.free = free;
  const int cell = CpuLevel(free.cpu) * kLevels + MemoryLevel(free.memory);
  if (entry.cell == static_cast<std::uint32_t>(cell)) {
    return;
  }
  if (entry.cell != kAbsent) {
    Unlink(member);
  }
  Link(member);
}

void FreeResourcesIndex::Remove(BackendIndex member) {
  if (Contains(member)) {
    Unlink(member);
  }
}

void FreeResourcesIndex::Link(BackendIndex member) {
  Member& entry = members_[member];
  const int row = CpuLevel(entry.free.cpu);
  const int column = MemoryLevel(entry.free.memory);
  entry.cell = static_cast<std::uint32_t>(row * kLevels + column);
  std::vector<BackendIndex>& cell = cells_[entry.cell];
  entry.position = static_cast<std::uint32_t>(cell.size());
  cell.push_back(member);
  columns_[row] |= std::uint64_t{1} << column;
  rows_ |= std::uint64_t{1} << row;
  ++size_;
}

void FreeResourcesIndex::Unlink(BackendIndex member) {
  Member& entry = members_[member];
  std::vector<BackendIndex>& cell = cells_[entry.cell];
  members_[cell.back()].position = entry.position;
  cell[entry.position] = cell.back();
  cell.pop_back();
  const int row = static_cast<int>(entry.cell) / kLevels;
  const int column = static_cast<int>(entry.cell) % kLevels;
  if (cell.empty()) {
    columns_[row] &= ~(std::uint64_t{1} << column);
  }
  if (columns_[row] == 0) {
    rows_ &= ~(std::uint64_t{1} << row);
  }
  entry.cell = kAbsent;
  --size_;
}

void FreeResourcesIndex::Rescale(const base::Resources& free) {
  std::vector<BackendIndex> linked;
  for (BackendIndex i = 0; i < members_.size(); ++i) {
    if (Contains(i)) {
      linked.push_back(i);
      Unlink(i);
    }
  }
  cpu_scale_ = std::max(cpu_scale_, free.cpu.value());
  memory_scale_ = std::max(memory_scale_, free.memory.value());
  for (const BackendIndex member : linked) {
    Link(member);
  }
}

const std::vector<BackendIndex>& FreeResourcesIndex::Search(
    const Query& query) {
  found_.clear();
  Budget budget{kMaxCellsPerSearch, kMaxMissesPerSearch};
  const int lowest = CpuLevel(query.demand.cpu);
  const int wanted = LevelAbove(lowest, query.preferred_free);
  std::uint64_t rows = rows_ & BitsFrom(lowest);
  for (int row = NearestBit(rows, wanted); row >= 0;
       row = NearestBit(rows, wanted)) {
    rows &= ~(std::uint64_t{1} << row);
    if (!SearchRow(query, row, &budget)) {
      break;
    }
  }
  return found_;
}

bool FreeResourcesIndex::SearchRow(const Query& query, int row,
                                   Budget* budget) {
  const int lowest = MemoryLevel(query.demand.memory);
  const int wanted = LevelAbove(lowest, query.preferred_free);
  std::uint64_t columns = columns_[row] & BitsFrom(lowest);
  const std::size_t before = found_.size();
  int visited = 0;
  for (int column = NearestBit(columns, wanted); column >= 0;
       column = NearestBit(columns, wanted)) {
    columns &= ~(std::uint64_t{1} << column);
    if (!SearchCell(query, row, column, budget)) {
      return false;
    }
    // A row in which something was found leaves the other cells to other rows.
    if (++visited >= kMaxCellsPerRow && found_.size() > before) {
      break;
    }
  }
  return true;
}

bool FreeResourcesIndex::SearchCell(const Query& query, int row, int column,
                                    Budget* budget) {
  for (const BackendIndex member : cells_[row * kLevels + column]) {
    if (query.demand.FitsIn(members_[member].free)) {
      found_.push_back(member);
      if (found_.size() >= query.max_results) {
        return false;
      }
    } else if (--budget->misses <= 0) {
      return false;
    }
  }
  return --budget->cells > 0 || found_.empty();
}

}  // namespace dotterelbarrow::core
