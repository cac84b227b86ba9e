// Event counters for the metrics endpoint.
#ifndef DOTTERELBARROW_CORE_COUNTERS_H_
#define DOTTERELBARROW_CORE_COUNTERS_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace dotterelbarrow::core {

// Counters by (name, label), such as ("refusals", "queue_full"). The driver
// exports them as dotterel_<name>_total{reason="<label>"}.
class Counters {
 public:
  using Key = std::pair<std::string, std::string>;

  void Increment(const char* name, const char* label, std::uint64_t by = 1) {
    values_[Key(name, label)] += by;
  }
  std::uint64_t value(const std::string& name, const std::string& label) const {
    const auto it = values_.find(Key(name, label));
    return it == values_.end() ? 0 : it->second;
  }
  const std::map<Key, std::uint64_t>& values() const { return values_; }

 private:
  std::map<Key, std::uint64_t> values_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_COUNTERS_H_
