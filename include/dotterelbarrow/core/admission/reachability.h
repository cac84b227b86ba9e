// Decides from an entry host's recent contact with the store and the owner
// whether it can serve calls.
//
// Load pattern: a third of the hosts lose contact with the store, or with all
// other hosts, for ten seconds, while callers continue to use their open
// connections. A host that is still in contact with the owner continues to
// serve, relying on the owner's confirmation of the desired state. A host
// without any contact refuses calls at once, so that callers can use other
// hosts before their deadlines, and leaves the load balancer's rotation.
#ifndef DOTTERELBARROW_CORE_ADMISSION_REACHABILITY_H_
#define DOTTERELBARROW_CORE_ADMISSION_REACHABILITY_H_

#include <optional>

#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core::admission {

// The age of a host's last contacts; nullopt if there was none.
struct ReachabilityInput {
  // Time since the sending of the last call that the store answered.
  std::optional<base::Duration> store_contact_age;
  // Time since the sending of the last call that the owner of the cell
  // answered; zero on the owner itself.
  std::optional<base::Duration> owner_contact_age;
  // Time since the desired state was confirmed to be the newest version.
  std::optional<base::Duration> confirmation_age;
};

enum class Reachability {
  kFull,         // Calls can be served.
  kUnavailable,  // Temporarily none: the owner changes or the store is
                 // unresponsive.
  kIsolated,  // No contact with store or owner; other hosts may serve the call.
};

class ReachabilityPolicy {
 public:
  // Two polls of the store, or two heartbeats to the owner, were unanswered.
  static constexpr base::Duration kContactTimeout =
      std::chrono::milliseconds(1000);
  // Three polls of the desired state failed.
  static constexpr base::Duration kMaxConfirmationAge =
      std::chrono::milliseconds(1500);

  static Reachability Decide(const ReachabilityInput& input);
};

}  // namespace dotterelbarrow::core::admission

#endif  // DOTTERELBARROW_CORE_ADMISSION_REACHABILITY_H_
