// Assigns names, addresses, shards and availability zones.
#include "src/standins/backends/host_plan.h"

namespace dotterelbarrow::standins {

std::vector<core::HostRecord> MakeHosts(const HostPlan& plan) {
  std::vector<core::HostRecord> hosts;
  for (std::uint32_t i = 0; i < plan.count; ++i) {
    const std::uint32_t rack = i / plan.per_rack;
    core::HostRecord host;
    host.backend = base::BackendId(std::string(core::ToString(plan.kind)) +
                                   std::to_string(i + 1));
    host.kind = plan.kind;
    host.address = plan.ip + ":" + std::to_string(plan.base_port + i);
    host.shard =
        base::ShardId(plan.shard_prefix + "-" + std::to_string(rack + 1));
    if (!plan.availability_zones.empty()) {
      host.availability_zone = base::AvailabilityZone(
          plan.availability_zones[rack % plan.availability_zones.size()]);
    }
    host.capacity = plan.capacity;
    host.service = base::ServiceId(plan.service);
    hosts.push_back(std::move(host));
  }
  return hosts;
}

}  // namespace dotterelbarrow::standins
