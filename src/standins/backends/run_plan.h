// Parses the instructions for a simulated backend server in a task's payload:
// how long the task runs and whether it fails.
//
// The payload is JSON text, `{"run_ms":N,"fail":bool,"fail_times":N,
// "idempotency_key":"..."}`, with every member optional. A task with any other
// payload runs for its expected run time.
#ifndef DOTTERELBARROW_STANDINS_BACKENDS_RUN_PLAN_H_
#define DOTTERELBARROW_STANDINS_BACKENDS_RUN_PLAN_H_

#include <cstdint>
#include <optional>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/messages.h"

namespace dotterelbarrow::standins {

struct RunPlan {
  // Run time; absent for a task that runs until it is stopped.
  std::optional<base::Duration> run;
  // Whether every run fails.
  bool fail = false;
  // How many runs of this task fail before one succeeds.
  std::uint32_t fail_times = 0;
  // The request's idempotency key, for the ledger; empty if there is none. It
  // is in the payload because a TaskSpec doesn't carry it.
  base::IdempotencyKey idempotency_key;

  friend bool operator==(const RunPlan&, const RunPlan&) = default;
};

// Returns the plan in the payload of `task`. Values out of range count as
// absent.
RunPlan PlanOf(const core::TaskSpec& task);

}  // namespace dotterelbarrow::standins

#endif  // DOTTERELBARROW_STANDINS_BACKENDS_RUN_PLAN_H_
