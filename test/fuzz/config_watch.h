// Records the limit of one team and the keys that the entries of a cell had in
// force, and since when.
#ifndef DOTTERELBARROW_TEST_FUZZ_CONFIG_WATCH_H_
#define DOTTERELBARROW_TEST_FUZZ_CONFIG_WATCH_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/config/catalogue.h"

namespace dotterelbarrow::fuzz {

// An accepted configuration must be in force at every entry within this time.
inline constexpr base::Duration kInForceBound = std::chrono::seconds(7);

class ConfigWatch {
 public:
  // Records the limit of `team`, and each of `keys`.
  ConfigWatch(base::TeamId team, std::set<base::ApiKey> keys);

  // Records that a running entry has `catalogue` in force at `now`.
  void OnInForce(const config::Catalogue& catalogue, base::TimePoint now);

  // Returns the highest limit of the team in any version that an entry had in
  // force during the last `kInForceBound`, or nothing if there was no limit.
  std::optional<base::Resources> HighestLimit(base::TimePoint now) const;
  // Whether `key` was revoked more than `kInForceBound` ago and has not been
  // assigned again since.
  bool IsLongRevoked(const base::ApiKey& key, base::TimePoint now) const;

 private:
  struct Version {
    std::optional<base::Resources> limit;
    std::set<base::ApiKey> keys;
    base::TimePoint first_seen;
    base::TimePoint last_seen;
  };

  base::TeamId team_;
  std::set<base::ApiKey> watched_;
  std::map<base::ConfigVersion, Version> versions_;
};

}  // namespace dotterelbarrow::fuzz

#endif  // DOTTERELBARROW_TEST_FUZZ_CONFIG_WATCH_H_
