// Tracks the organisations whose jobs for a queue an entry host refuses itself,
// unless the owner says that it knows them already.
//
// Load pattern: one organisation submits several times its share, and callers
// retry each refused job at other hosts, up to a thousand times per second in
// all. Forwarding each of these jobs would cost the owner more processor time
// than the work of all other organisations. After a refusal an entry host
// therefore forwards none of the organisation's jobs for that queue for a
// pause; for its other queues the owner may have free capacity. The owner
// chooses the pause so that all hosts together still forward about twice as
// many jobs as the share allows, so that no part of the share stays unused.
#ifndef DOTTERELBARROW_CORE_ADMISSION_REFUSAL_PAUSES_H_
#define DOTTERELBARROW_CORE_ADMISSION_REFUSAL_PAUSES_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <utility>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/desired/desired_state.h"

namespace dotterelbarrow::core::admission {

// Number of an organisation's jobs that all hosts together forward to the owner
// for each job that its share allows.
inline constexpr double kForwardsPerShare = 2.0;
// Upper bound of a pause, so that free capacity in the share is used soon.
inline constexpr base::Duration kMaxPause = std::chrono::milliseconds(250);

// Returns how long each of `hosts` entry hosts forwards no jobs of an
// organisation after a refusal; the organisation may submit `weight` jobs per
// second.
inline base::Duration PauseAfterRefusal(std::size_t hosts, double weight) {
  const std::chrono::duration<double> pause(static_cast<double>(hosts) /
                                            (kForwardsPerShare * weight));
  return pause < kMaxPause ? std::chrono::duration_cast<base::Duration>(pause)
                           : kMaxPause;
}

class RefusalPauses {
 public:
  struct Pause {
    std::string reason;
    // How long the caller should wait before it retries.
    base::Duration retry_after{0};
    base::TimePoint until;
  };

  // Begins a pause: the owner has just refused a job of `organisation`.
  void Begin(const base::OrganisationId& organisation,
             const desired::QueueId& queue, Pause pause) {
    pauses_[{organisation, queue}] = std::move(pause);
  }
  // Returns the organisation's current pause for the queue, or null if it has
  // none.
  const Pause* Find(const base::OrganisationId& organisation,
                    const desired::QueueId& queue, base::TimePoint now) const {
    const auto it = pauses_.find({organisation, queue});
    return it == pauses_.end() || now >= it->second.until ? nullptr
                                                          : &it->second;
  }

 private:
  // The last pause of each organisation and queue that was ever refused. Its
  // size is bounded by the organisations and queues in the desired state.
  std::map<std::pair<base::OrganisationId, desired::QueueId>, Pause> pauses_;
};

}  // namespace dotterelbarrow::core::admission

#endif  // DOTTERELBARROW_CORE_ADMISSION_REFUSAL_PAUSES_H_
