// The complete core of one entry host.
//
// A driver creates a Node, passes it each input with the current time, and
// calls Tick at least every 10 ms. After each of these calls it executes the
// outputs that TakeOutputs returns. The daemon, the fuzzer and the benchmark
// are such drivers. A Node is deterministic: the same seed, inputs and times
// always give the same outputs.
#ifndef DOTTERELBARROW_CORE_NODE_H_
#define DOTTERELBARROW_CORE_NODE_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/config/catalogue.h"
#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/core/membership.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/settings.h"

namespace dotterelbarrow::core {

class Node {
 public:
  Node(const NodeSettings& settings, std::uint64_t seed, base::TimePoint now);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Handles one input. `now` must not be earlier than in any previous call.
  void Handle(const Input& input, base::TimePoint now);
  // Runs the actions that have become due.
  void Tick(base::TimePoint now);
  // Removes and returns the outputs for the driver to execute, in order.
  std::vector<Output> TakeOutputs();

  // For the metrics and health endpoints.
  const Counters& counters() const;
  const Membership& membership() const;
  const config::Catalogue& catalogue() const;
  // Returns the latest configuration changes that are in force, oldest first.
  const std::deque<ConfigChange>& recent_changes() const;
  CapacitySummary room() const;
  // Returns the partitions of teams that this node manages, sorted.
  std::vector<base::PartitionId> partitions() const;
  // Whether requests can be served: the node holds its member lease, its
  // configuration is confirmed, and it isn't shutting down.
  bool IsReady(base::TimePoint now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_NODE_H_
