// Maps teams to partitions and partitions to their managers.
#ifndef DOTTERELBARROW_CORE_PARTITIONS_H_
#define DOTTERELBARROW_CORE_PARTITIONS_H_

#include <cstdint>
#include <string>

#include "dotterelbarrow/base/hash.h"
#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/core/membership.h"

namespace dotterelbarrow::core {

// Returns the partition of `team` among `count` partitions. The result is the
// same in every process.
inline base::PartitionId PartitionOf(const base::TeamId& team,
                                     std::uint32_t count) {
  return base::PartitionId(base::StableHash(team.value()) % count);
}

// Returns the key under which Membership::OwnerOf() selects the partition's
// manager.
inline std::string PartitionSubject(base::PartitionId partition) {
  return "partition/" + std::to_string(partition.value());
}

// Returns the live member that currently manages the partition.
inline base::EntryId ManagerOf(const Membership& membership,
                               base::PartitionId partition) {
  return membership.OwnerOf(PartitionSubject(partition));
}

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_PARTITIONS_H_
