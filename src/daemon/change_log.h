// Logs changes in a node's observable state, one key=value line for each
// change.
#ifndef DOTTERELBARROW_SRC_DAEMON_CHANGE_LOG_H_
#define DOTTERELBARROW_SRC_DAEMON_CHANGE_LOG_H_

#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/node.h"

namespace dotterelbarrow::daemon {

// Not thread-safe; the driver calls Update from the event loop after each tick.
class ChangeLog {
 public:
  // `node` must outlive this.
  explicit ChangeLog(const core::Node* node) : node_(node) {}

  // Logs each difference between the node's state now and at the previous call.
  void Update();

 private:
  void UpdateMembers();
  void UpdateLease();
  void UpdateCapacity();
  void UpdatePartitions();
  void UpdateConfig();
  void UpdateReady();

  const core::Node* node_;
  // The node's state at the last call of Update.
  std::vector<base::EntryId> live_;
  bool holds_lease_ = false;
  base::Slots slots_;
  base::Resources capacity_;
  std::vector<base::PartitionId> partitions_;
  base::ConfigVersion config_version_;
  bool ready_ = false;
};

}  // namespace dotterelbarrow::daemon

#endif  // DOTTERELBARROW_SRC_DAEMON_CHANGE_LOG_H_
