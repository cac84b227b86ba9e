// The backend servers in the platform's host list, by shard.
//
// The list lags behind the real fleet. A host that disappeared from it may
// still run tasks under a lease, so the table keeps it until any such lease has
// expired.
#ifndef DOTTERELBARROW_CORE_HOST_TABLE_H_
#define DOTTERELBARROW_CORE_HOST_TABLE_H_

#include <map>
#include <optional>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/messages.h"

namespace dotterelbarrow::core {

class HostTable {
 public:
  struct Host {
    HostRecord record;
    // When it disappeared from the list; absent while it is listed.
    std::optional<base::TimePoint> vanished;
  };
  using Shard = std::map<base::BackendId, Host>;

  // Hosts that disappear from the list are kept for `memory`.
  explicit HostTable(base::Duration memory) : memory_(memory) {}

  // Applies a list that is available.
  void Apply(const HostList& list, base::TimePoint now);

  const std::map<base::ShardId, Shard>& shards() const { return shards_; }
  // Whether any list has been applied.
  bool is_known() const { return known_; }

 private:
  void TakeOver(const HostList& list, base::TimePoint now);
  void Forget(base::TimePoint now);

  base::Duration memory_;
  bool known_ = false;
  // The list applied last. Most lists equal the previous one and need no
  // further work.
  std::vector<HostRecord> last_;
  // Invariant: no shard is empty, and each backend server is in one shard only.
  std::map<base::ShardId, Shard> shards_;
  std::map<base::BackendId, base::ShardId> shard_of_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_HOST_TABLE_H_
