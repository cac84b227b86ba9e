// The keys of one partition's journal in the table and in the object store.
#ifndef DOTTERELBARROW_CORE_JOURNAL_KEYS_H_
#define DOTTERELBARROW_CORE_JOURNAL_KEYS_H_

#include <cstdint>
#include <string>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core {

class JournalKeys {
 public:
  explicit JournalKeys(base::PartitionId partition);

  // The row that names the manager that may append.
  std::string Epoch() const;
  // The row of one flush. These rows sort by sequence number.
  std::string Flush(std::uint64_t sequence) const;
  std::string FlushPrefix() const;
  // Returns the sequence number in the key of a flush's row, or 0 if `key` is
  // not such a key.
  std::uint64_t SequenceOf(const std::string& key) const;
  // The row that names the object of the latest snapshot.
  std::string Pointer() const;
  // The object of the snapshot that a manager with `epoch` makes of all flushes
  // up to `sequence`.
  std::string Snapshot(const base::Epoch& epoch, std::uint64_t sequence) const;

 private:
  std::string prefix_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_JOURNAL_KEYS_H_
