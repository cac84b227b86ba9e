// Compares a node's state with the state that was last logged.
#include "src/daemon/change_log.h"

#include <glog/logging.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "dotterelbarrow/wire/event_loop.h"

namespace dotterelbarrow::daemon {
namespace {

// Logs a line for each element of `ids` that is not in `excluded`. Both must be
// sorted.
template <typename Id>
void LogDifference(const std::vector<Id>& ids, const std::vector<Id>& excluded,
                   const char* event, const char* name) {
  std::vector<Id> difference;
  std::set_difference(ids.begin(), ids.end(), excluded.begin(), excluded.end(),
                      std::back_inserter(difference));
  for (const Id& id : difference) {
    LOG(INFO) << "event=" << event << ' ' << name << '=' << id.value();
  }
}

}  // namespace

void ChangeLog::Update() {
  UpdateMembers();
  UpdateLease();
  UpdateCapacity();
  UpdatePartitions();
  UpdateConfig();
  UpdateReady();
}

void ChangeLog::UpdateMembers() {
  const std::vector<base::EntryId>& live = node_->membership().live();
  if (live == live_) {
    return;
  }
  LogDifference(live, live_, "member_up", "member");
  LogDifference(live_, live, "member_down", "member");
  live_ = live;
}

void ChangeLog::UpdateLease() {
  const bool holds_lease = node_->membership().holds_lease();
  if (holds_lease == holds_lease_) {
    return;
  }
  holds_lease_ = holds_lease;
  LOG(INFO) << "event=" << (holds_lease ? "lease_gained" : "lease_lost")
            << " term=" << node_->membership().lease_term();
}

void ChangeLog::UpdateCapacity() {
  const core::CapacitySummary room = node_->room();
  if (room.total_slots == slots_ && room.capacity == capacity_) {
    return;
  }
  slots_ = room.total_slots;
  capacity_ = room.capacity;
  LOG(INFO) << "event=capacity_claimed slots=" << slots_.value()
            << " cpu_millicores=" << capacity_.cpu.value()
            << " memory_mib=" << capacity_.memory.value();
}

void ChangeLog::UpdatePartitions() {
  std::vector<base::PartitionId> partitions = node_->partitions();
  if (partitions == partitions_) {
    return;
  }
  LogDifference(partitions, partitions_, "partition_managed", "partition");
  LogDifference(partitions_, partitions, "partition_given_up", "partition");
  partitions_ = std::move(partitions);
}

void ChangeLog::UpdateConfig() {
  const base::ConfigVersion version = node_->catalogue().version();
  if (version == config_version_) {
    return;
  }
  config_version_ = version;
  LOG(INFO) << "event=ticket_applied version=" << version.value();
}

void ChangeLog::UpdateReady() {
  const bool ready = node_->IsReady(wire::MonotonicNow());
  if (ready == ready_) {
    return;
  }
  ready_ = ready;
  LOG(INFO) << "event=" << (ready ? "ready" : "not_ready");
}

}  // namespace dotterelbarrow::daemon
