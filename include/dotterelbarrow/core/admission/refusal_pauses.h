// Tracks the organisations whose jobs an entry host refuses without asking the
// owner.
//
// Load pattern: one organisation submits several times its share, and callers
// retry each refused job at other hosts, up to a thousand times per second in
// all. Forwarding each of these jobs would cost the owner more processor time
// than the work of all other organisations. After a refusal an entry host
// therefore forwards none of the organisation's jobs for a pause. The owner
// chooses the pause so that all hosts together still forward about twice as
// many jobs as the share allows, so that no part of the share stays unused.
#ifndef DOTTERELBARROW_CORE_ADMISSION_REFUSAL_PAUSES_H_
#define DOTTERELBARROW_CORE_ADMISSION_REFUSAL_PAUSES_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>
#include <utility>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"

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
  void Begin(const base::OrganisationId& organisation, Pause pause) {
    pauses_[organisation] = std::move(pause);
  }
  // Returns the organisation's current pause, or null if it has none.
  const Pause* Find(const base::OrganisationId& organisation,
                    base::TimePoint now) const {
    const auto it = pauses_.find(organisation);
    return it == pauses_.end() || now >= it->second.until ? nullptr
                                                          : &it->second;
  }

 private:
  // The last pause of each organisation that was ever refused. Its size is
  // bounded by the number of organisations in the desired state.
  std::unordered_map<base::OrganisationId, Pause> pauses_;
};

}  // namespace dotterelbarrow::core::admission

#endif  // DOTTERELBARROW_CORE_ADMISSION_REFUSAL_PAUSES_H_
