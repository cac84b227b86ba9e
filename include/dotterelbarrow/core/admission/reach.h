// What an entry host reaches, and what that means for callers.
//
// Load pattern: a third of the hosts lose the store, or all other hosts, for
// ten seconds, while callers go on to use the connections that they have. A
// host that still hears from the owner serves on, by the owner's word on the
// desired state. One that hears from nobody says so at once, so that callers
// use other hosts while there is time, and leaves the balancer's rotation.
#ifndef DOTTERELBARROW_CORE_ADMISSION_REACH_H_
#define DOTTERELBARROW_CORE_ADMISSION_REACH_H_

#include <optional>

#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core::admission {

// Ages of what a host last heard; nullopt for never.
struct ReachInput {
  // The store answered a call that was sent this long ago.
  std::optional<base::Duration> store_heard;
  // The owner of the cell answered a call that was sent this long ago; zero at
  // the owner itself.
  std::optional<base::Duration> owner_heard;
  // The desired state was surely the newest this long ago.
  std::optional<base::Duration> proof;
};

enum class Reach {
  kFull,     // Calls can be served.
  kWaiting,  // They can't now: the owner changes, or the store is silent.
  kCutOff,   // Neither store nor owner is heard; other hosts may be better off.
};

class ReachPolicy {
 public:
  // Two polls of the store, or two greetings, went without an answer.
  static constexpr base::Duration kSilent = std::chrono::milliseconds(1000);
  // Three polls of the desired state were missed.
  static constexpr base::Duration kOldProof = std::chrono::milliseconds(1500);

  static Reach Decide(const ReachInput& input);
};

}  // namespace dotterelbarrow::core::admission

#endif  // DOTTERELBARROW_CORE_ADMISSION_REACH_H_
