// Tells which organisations' jobs an entry host turns away by itself.
//
// Load pattern: one organisation sends several times its share, and each job
// that is refused comes again at other hosts, up to a thousand times a second
// in all. Asking the owner for each costs it more processor time than the work
// of all others. After a refusal an entry host therefore leaves the owner alone
// with the organisation's jobs for a pause, which the owner chooses so that all
// hosts together still ask about twice as much as the share allows: none of the
// share stays unused.
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

// Jobs of an organisation that all hosts together ask the owner about, for each
// one that its share allows.
inline constexpr double kAsksPerShare = 2.0;
// A share that becomes free is noticed within this time.
inline constexpr base::Duration kMostPause = std::chrono::milliseconds(250);

// Returns how long each of `hosts` leaves the owner alone after a refusal of an
// organisation that may send `weight` jobs a second.
inline base::Duration PauseAfterRefusal(std::size_t hosts, double weight) {
  const std::chrono::duration<double> pause(static_cast<double>(hosts) /
                                            (kAsksPerShare * weight));
  return pause < kMostPause ? std::chrono::duration_cast<base::Duration>(pause)
                            : kMostPause;
}

class RefusalPauses {
 public:
  struct Pause {
    std::string reason;
    // When the caller may come again.
    base::Duration retry_after{0};
    base::TimePoint until;
  };

  // The owner refused a job of `organisation` just now.
  void Begin(const base::OrganisationId& organisation, Pause pause) {
    pauses_[organisation] = std::move(pause);
  }
  // Returns the pause that the organisation is in, or null.
  const Pause* Find(const base::OrganisationId& organisation,
                    base::TimePoint now) const {
    const auto it = pauses_.find(organisation);
    return it == pauses_.end() || now >= it->second.until ? nullptr
                                                          : &it->second;
  }

 private:
  // One for each organisation that was ever refused, so that the desired state
  // bounds them.
  std::unordered_map<base::OrganisationId, Pause> pauses_;
};

}  // namespace dotterelbarrow::core::admission

#endif  // DOTTERELBARROW_CORE_ADMISSION_REFUSAL_PAUSES_H_
