// Which calls an entry host lets through, by its desired state alone.
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

// What decides on a call. `desired` is null before the first was read.
struct GateInput {
  const desired::DesiredState* desired = nullptr;
  // How long ago the desired state was surely the newest.
  std::optional<base::Duration> proof_age;
  std::string_view host;
  std::string_view path;
  // The key that came with the call; empty without one.
  std::string_view key;
};

struct Admitted {
  const desired::Queue* queue = nullptr;
  // Null for queues open to all.
  const desired::Organisation* organisation = nullptr;
  // What follows the queue's prefix.
  std::string rest;
};
// The host can't tell what is in force.
struct NotConfirmed {};
struct NoSuchQueue {};
struct UnknownKey {};
using GateDecision =
    std::variant<Admitted, NotConfirmed, NoSuchQueue, UnknownKey>;

class Gate {
 public:
  // A key that was taken away must not work `key_withdrawal` later at any
  // host, however long it was cut off or frozen.
  explicit Gate(base::Duration key_withdrawal)
      : max_proof_age_(key_withdrawal * 4 / 5) {}

  // Load pattern: a host is cut off from the store, or was frozen, while keys
  // change. It refuses at once what it can't confirm, and callers go to other
  // hosts.
  GateDecision Decide(const GateInput& input) const;

 private:
  base::Duration max_proof_age_;
};

}  // namespace dotterelbarrow::core::admission

#endif  // DOTTERELBARROW_CORE_ADMISSION_GATE_H_
