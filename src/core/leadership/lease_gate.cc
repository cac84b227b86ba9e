// Withholds the commands that would grant a lease.
#include "dotterelbarrow/core/leadership/lease_gate.h"

#include <variant>

namespace dotterelbarrow::core::leadership {

bool AdmitAction(bool holds_ownership_lease, scheduler::Action* action,
                 Counters* counters) {
  if (holds_ownership_lease) {
    return true;
  }
  if (std::holds_alternative<scheduler::StartTask>(*action)) {
    counters->Increment("leases_withheld", "start");
    return false;
  }
  auto* poll = std::get_if<scheduler::PollWorker>(action);
  if (poll != nullptr && poll->lease_until_ms) {
    counters->Increment("leases_withheld", "renewal");
    poll->lease_until_ms.reset();
  }
  return true;
}

}  // namespace dotterelbarrow::core::leadership
