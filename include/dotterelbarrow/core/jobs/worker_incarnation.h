// Names an incarnation of a worker in the records of jobs, in little space.
#ifndef DOTTERELBARROW_CORE_JOBS_WORKER_INCARNATION_H_
#define DOTTERELBARROW_CORE_JOBS_WORKER_INCARNATION_H_

#include <compare>
#include <cstdint>

namespace dotterelbarrow::core::jobs {

struct WorkerIncarnation {
  // Hashes of the worker's id and of its address.
  std::uint32_t id_hash = 0;
  std::uint32_t address_hash = 0;
  // When its process began, in milliseconds since 1970.
  std::int64_t born_ms = 0;
  friend auto operator<=>(const WorkerIncarnation&,
                          const WorkerIncarnation&) = default;
};

// Whether it is the same process. Its address may be written in another way.
constexpr bool IsSameIncarnation(const WorkerIncarnation& a,
                                 const WorkerIncarnation& b) {
  return a.id_hash == b.id_hash && a.born_ms == b.born_ms;
}

// Whether `later` proves that the process of `earlier` has ended: it has the
// same id, or the same address under another id, and began later. An
// incarnation whose begin isn't known has no successor.
constexpr bool IsSuccessor(const WorkerIncarnation& later,
                           const WorkerIncarnation& earlier) {
  return earlier.born_ms > 0 && later.born_ms > earlier.born_ms &&
         (later.id_hash == earlier.id_hash ||
          later.address_hash == earlier.address_hash);
}

}  // namespace dotterelbarrow::core::jobs

#endif  // DOTTERELBARROW_CORE_JOBS_WORKER_INCARNATION_H_
