// Generates the host records of many identical backend servers from a few
// parameters.
#ifndef DOTTERELBARROW_STANDINS_BACKENDS_HOST_PLAN_H_
#define DOTTERELBARROW_STANDINS_BACKENDS_HOST_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/messages.h"

namespace dotterelbarrow::standins {

struct HostPlan {
  core::BackendKind kind = core::BackendKind::kWorker;
  std::uint32_t count = 0;
  std::string ip = "127.0.0.1";
  // Port of the first backend server; the others take the following ports.
  std::uint16_t base_port = 0;
  base::Resources capacity;
  std::string shard_prefix = "rack";
  // Number of backend servers in one shard.
  std::uint32_t per_rack = 8;
  // Shards are assigned to these in turn.
  std::vector<std::string> availability_zones;
  std::string service;
};

// Returns the records. Backend servers are named by kind and number from 1,
// such as "worker1".
std::vector<core::HostRecord> MakeHosts(const HostPlan& plan);

}  // namespace dotterelbarrow::standins

#endif  // DOTTERELBARROW_STANDINS_BACKENDS_HOST_PLAN_H_
