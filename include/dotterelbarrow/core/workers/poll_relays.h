// Chooses the entry hosts that poll workers on behalf of the owner.
//
// Load pattern: over a thousand workers, each polled once or twice a second.
// These exchanges cost the owner's processor as much as the commands that it
// sends. Polls may be delayed, repeated or lost without harm: they carry a
// lease that ends at a fixed time and the number of the last stored run end. So
// other hosts make them and pass on the answers, many at a time. There are few
// relays, since few large batches cost less than many small ones, and only
// hosts as strong as the owner.
#ifndef DOTTERELBARROW_CORE_WORKERS_POLL_RELAYS_H_
#define DOTTERELBARROW_CORE_WORKERS_POLL_RELAYS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core::workers {

class PollRelays {
 public:
  // An owner of at most this many workers polls them itself: then the polls
  // take a small part even of a weak host's processor.
  static constexpr std::size_t kMinWorkers = 500;
  static constexpr std::size_t kWorkersPerRelay = 300;
  static constexpr std::size_t kMaxRelays = 6;
  // A host must have at least this fraction of the owner's processor share.
  static constexpr double kMinShareRatio = 0.7;
  // How long a host is not used after it failed.
  static constexpr base::Duration kFailedHostPause = std::chrono::seconds(3);

  struct Host {
    base::EntryId id;
    // In processors.
    double cpu_share = 0;
  };

  // Chooses relays among the other live hosts, for an owner with `own_share`.
  // The same hosts stay relays as long as they are live.
  void Update(std::vector<Host> live_hosts, double own_share,
              std::size_t workers, base::TimePoint now);
  // Returns the relay for a worker; nullopt if the owner polls it itself.
  std::optional<base::EntryId> RelayOf(const base::BackendId& worker,
                                       base::TimePoint now) const;
  // A call through the host failed.
  void OnFailed(const base::EntryId& host, base::TimePoint now);

 private:
  bool IsPaused(const base::EntryId& host, base::TimePoint now) const;

  std::vector<base::EntryId> relays_;
  std::map<base::EntryId, base::TimePoint> paused_until_;
};

}  // namespace dotterelbarrow::core::workers

#endif  // DOTTERELBARROW_CORE_WORKERS_POLL_RELAYS_H_
