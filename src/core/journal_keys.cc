// Formats and parses the keys of a partition's rows and objects.
#include "dotterelbarrow/core/journal_keys.h"

#include <charconv>

namespace dotterelbarrow::core {
namespace {

// The digits of the largest sequence number. Keys are padded to this length, so
// that they sort in numerical order.
constexpr std::size_t kSequenceDigits = 20;

}  // namespace

JournalKeys::JournalKeys(base::PartitionId partition)
    : prefix_("partition/" + std::to_string(partition.value()) + "/") {}

std::string JournalKeys::Epoch() const { return prefix_ + "epoch"; }

std::string JournalKeys::FlushPrefix() const { return prefix_ + "journal/"; }

std::string JournalKeys::Flush(std::uint64_t sequence) const {
  const std::string digits = std::to_string(sequence);
  return FlushPrefix() + std::string(kSequenceDigits - digits.size(), '0') +
         digits;
}

std::uint64_t JournalKeys::SequenceOf(const std::string& key) const {
  const std::string prefix = FlushPrefix();
  if (!key.starts_with(prefix)) {
    return 0;
  }
  std::uint64_t sequence = 0;
  const char* end = key.data() + key.size();
  const auto [stop, error] =
      std::from_chars(key.data() + prefix.size(), end, sequence);
  return error == std::errc() && stop == end ? sequence : 0;
}

std::string JournalKeys::Pointer() const { return prefix_ + "snapshot"; }

std::string JournalKeys::Snapshot(const base::Epoch& epoch,
                                  std::uint64_t sequence) const {
  return prefix_ + "snapshot-" + std::to_string(epoch.counter) + "-" +
         std::to_string(sequence);
}

}  // namespace dotterelbarrow::core
