// Applies host lists and keeps hosts that disappeared from them for a while.
#include "dotterelbarrow/core/host_table.h"

#include <set>

namespace dotterelbarrow::core {

void HostTable::Apply(const HostList& list, base::TimePoint now) {
  known_ = true;
  if (list.hosts != last_) {
    TakeOver(list, now);
    last_ = list.hosts;
  }
  Forget(now);
}

void HostTable::TakeOver(const HostList& list, base::TimePoint now) {
  std::set<base::BackendId> listed;
  for (const HostRecord& record : list.hosts) {
    listed.insert(record.backend);
    const auto previous = shard_of_.find(record.backend);
    if (previous != shard_of_.end() && previous->second != record.shard) {
      shards_[previous->second].erase(record.backend);
    }
    shard_of_[record.backend] = record.shard;
    shards_[record.shard][record.backend] = Host{record, std::nullopt};
  }
  for (auto& [id, shard] : shards_) {
    for (auto& [backend, host] : shard) {
      if (!listed.contains(backend) && !host.vanished) {
        host.vanished = now;
      }
    }
  }
}

void HostTable::Forget(base::TimePoint now) {
  for (auto& [id, shard] : shards_) {
    for (auto it = shard.begin(); it != shard.end();) {
      const bool expired =
          it->second.vanished && now - *it->second.vanished >= memory_;
      if (expired) {
        shard_of_.erase(it->first);
      }
      it = expired ? shard.erase(it) : std::next(it);
    }
  }
  std::erase_if(shards_,
                [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace dotterelbarrow::core
