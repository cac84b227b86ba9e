// Aggregates the host list of the platform: total capacity, shards and an index
// of the hosts. The list lags behind the real fleet.
//
// Managers use it to reject a task that no worker could ever hold, and to know
// which shards an inventory has to cover.
#ifndef DOTTERELBARROW_CORE_HOST_INDEX_H_
#define DOTTERELBARROW_CORE_HOST_INDEX_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/messages.h"

namespace dotterelbarrow::core {

class HostIndex {
 public:
  void OnHostList(const HostList& list, base::TimePoint now);

  // Whether a list has ever been received.
  bool is_known() const { return known_; }
  const std::set<base::ShardId>& shards() const { return shards_; }
  // When a backend server last disappeared from the list.
  const std::optional<base::TimePoint>& last_vanished() const {
    return last_vanished_;
  }
  // Returns how many tasks of `demand` all workers together could hold if they
  // were empty. Stops counting at `enough`.
  std::uint64_t TasksHeld(const base::Resources& demand,
                          std::uint64_t enough) const;
  // Total capacity of all backend servers.
  const base::Resources& capacity() const { return capacity_; }
  // Returns the record of `backend`, or null if it isn't in the list.
  const HostRecord* Find(const base::BackendId& backend) const;

 private:
  struct CapacityClass {
    base::Resources capacity;
    std::uint64_t workers = 0;
  };

  bool known_ = false;
  // The latest list, and the index of each host in it.
  std::vector<HostRecord> hosts_;
  std::unordered_map<base::BackendId, std::size_t> places_;
  std::set<base::ShardId> shards_;
  // Workers of equal capacity are counted together, since a fleet has few
  // distinct machine sizes.
  std::vector<CapacityClass> classes_;
  base::Resources capacity_;
  std::optional<base::TimePoint> last_vanished_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_HOST_INDEX_H_
