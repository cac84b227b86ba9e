// Keeps an owner from granting leases to workers once it can't be sure any more
// that it is the owner.
//
// The next owner counts on it that its predecessor granted no lease after its
// ownership lease. The scheduler decides on commands from several inputs, and
// its process may be paused between the decision and the sending, so that the
// ownership lease must be checked for each command when it is sent.
#ifndef DOTTERELBARROW_CORE_LEADERSHIP_LEASE_GATE_H_
#define DOTTERELBARROW_CORE_LEADERSHIP_LEASE_GATE_H_

#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/core/scheduler/actions.h"

namespace dotterelbarrow::core::leadership {

// Returns whether an owner may send `action`, given whether it holds its
// ownership lease. Without it, a start may not be sent, and the caller reports
// it to the scheduler as not sent; a poll is changed so that it grants no
// lease. Counts what is withheld.
bool AdmitAction(bool holds_ownership_lease, scheduler::Action* action,
                 Counters* counters);

}  // namespace dotterelbarrow::core::leadership

#endif  // DOTTERELBARROW_CORE_LEADERSHIP_LEASE_GATE_H_
