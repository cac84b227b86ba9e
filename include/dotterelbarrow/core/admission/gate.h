// Decides which calls an entry host admits, using only its copy of the desired
// state.
#ifndef DOTTERELBARROW_CORE_ADMISSION_GATE_H_
#define DOTTERELBARROW_CORE_ADMISSION_GATE_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/desired/desired_state.h"

namespace dotterelbarrow::core::admission {

// The inputs of a decision. `desired` is null until the host has read the
// desired state for the first time.
struct GateInput {
  const desired::DesiredState* desired = nullptr;
  // How long ago `desired` was confirmed to be the newest version; nullopt if
  // it never was.
  std::optional<base::Duration> confirmation_age;
  std::string_view host;
  std::string_view path;
  // The API key of the call; empty if it has none.
  std::string_view key;
};

struct Admitted {
  const desired::Queue* queue = nullptr;
  // Null for queues open to all.
  const desired::Organisation* organisation = nullptr;
  // The rest of the path after the queue's prefix.
  std::string rest;
};
// The host can't confirm recently enough that its desired state is the newest.
struct NotConfirmed {};
struct NoSuchQueue {};
struct UnknownKey {};
using GateDecision =
    std::variant<Admitted, NotConfirmed, NoSuchQueue, UnknownKey>;

class Gate {
 public:
  // A revoked key must be rejected by every host at the latest `key_revocation`
  // after it was revoked, however long the host was disconnected or frozen.
  // Calls are therefore refused once the last confirmation of the desired state
  // is older than four fifths of that.
  explicit Gate(base::Duration key_revocation)
      : max_confirmation_age_(key_revocation * 4 / 5) {}

  // Load pattern: a host is disconnected from the store, or was frozen, while
  // keys change. It refuses calls at once while it can't confirm its desired
  // state, and callers use other hosts.
  GateDecision Decide(const GateInput& input) const;

 private:
  base::Duration max_confirmation_age_;
};

}  // namespace dotterelbarrow::core::admission

#endif  // DOTTERELBARROW_CORE_ADMISSION_GATE_H_
