// Settings of the core of one entry host. The driver reads them from its INI
// file and passes them in; the defaults here equal those in the sample file.
#ifndef DOTTERELBARROW_CORE_SETTINGS_H_
#define DOTTERELBARROW_CORE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core {

// One of the entry hosts that can be members; the list includes the host
// itself.
struct EntryRecord {
  base::EntryId entry;
  // "ip:port".
  std::string address;
  base::AvailabilityZone availability_zone;
  base::RegionId region;
};

struct NodeSettings {
  base::EntryId self;
  base::Incarnation incarnation;
  std::vector<EntryRecord> entries;

  // Teams are hashed onto this many partitions. Must be the same on all entry
  // hosts.
  std::uint32_t partition_count = 16;

  // Membership.
  base::Duration heartbeat_period = std::chrono::milliseconds(300);
  std::uint32_t heartbeat_fanout = 3;
  // If nothing is heard of a member for this long, others take over its work.
  base::Duration member_timeout = std::chrono::milliseconds(1500);
  // How long a member may grant leases after a majority has acknowledged it.
  base::Duration member_lease = std::chrono::seconds(4);

  // Backend servers.
  base::Duration backend_sync_period = std::chrono::seconds(1);
  base::Duration backend_lease = std::chrono::seconds(6);
  // Tolerated difference between the rates of two clocks, in thousandths.
  std::uint32_t clock_drift_permille = 10;
  base::Duration host_list_period = std::chrono::seconds(1);
  // Consecutive failures after which a backend server is quarantined.
  std::uint32_t quarantine_failures = 5;
  base::Duration quarantine_period = std::chrono::seconds(30);

  // Configuration.
  base::Duration config_read_period = std::chrono::seconds(1);
  // Access keys are no longer accepted once the configuration has not been
  // confirmed as the newest for this long.
  base::Duration config_trust = std::chrono::seconds(4);

  // Jobs.
  base::Duration journal_flush_period = std::chrono::milliseconds(50);
  std::uint32_t journal_records_per_snapshot = 2000;
  base::Duration place_patience = std::chrono::milliseconds(500);
  // How many tasks of one team may wait at one owner at the same time.
  std::uint32_t place_window = 64;
  std::uint32_t task_attempts = 4;
  // A job fails once its tasks have failed on this many different backend
  // servers.
  std::uint32_t distinct_backend_failures = 3;
  base::Duration hold_time = std::chrono::seconds(1);
  std::uint32_t jobs_per_team = 20000;

  // Interactive requests.
  std::uint32_t interactive_queue_length = 256;

  // Placement: 0 spreads tasks over the workers, 1 packs them onto a few.
  double packing_weight = 1.0;

  base::Duration call_timeout = std::chrono::seconds(2);
  base::Duration shutdown_bound = std::chrono::seconds(20);
};

// Returns how long a lease of duration `lease` can last when it is timed by a
// clock that is slow by the tolerated drift.
inline base::Duration WithDrift(const NodeSettings& settings,
                                base::Duration lease) {
  return lease * (1000 + settings.clock_drift_permille) / 1000;
}

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_SETTINGS_H_
