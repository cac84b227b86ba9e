// What an operator is told about where a job would be placed now, and why.
// Made from the scheduler's state without changing it.
#ifndef DOTTERELBARROW_CORE_SCHEDULER_EXPLANATION_H_
#define DOTTERELBARROW_CORE_SCHEDULER_EXPLANATION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/jobs/job_spec.h"

namespace dotterelbarrow::core::scheduler {

// Workers that are no candidates for the same reason.
struct RuledOutWorkers {
  std::uint32_t count = 0;
  base::BackendId example;
};

// A worker that a task would be placed on now.
struct ExplainedChoice {
  base::BackendId worker;
  std::string rack;
  std::uint32_t tasks = 0;
};

struct StepExplanation {
  jobs::StepRef step;
  std::uint32_t tasks = 0;
  std::uint32_t done = 0;
  std::uint32_t possibly_running = 0;
  // Whether the steps that it depends on are done.
  bool is_unblocked = false;
  // What it waits for and for how long, if it was tried before and waits.
  std::string waits_for;
  std::optional<base::Duration> waits_since;
  // How much later the step can start so that its job is on time; negative if
  // it is too late.
  base::Duration slack{0};
  // How many workers a task fits on now, and for how many of them the advisor
  // has not been asked yet.
  std::uint32_t candidates = 0;
  std::uint32_t not_asked = 0;
  // The other workers, by the first rule that each breaks.
  std::map<std::string, RuledOutWorkers> ruled_out;
  // Where its waiting tasks would be placed; empty for a gang that doesn't fit.
  std::vector<ExplainedChoice> choices;
};

struct Explanation {
  // The job's state; empty if it was not submitted.
  std::string state;
  // Why the job would be refused; empty if it would be accepted.
  std::string refused;
  std::vector<StepExplanation> steps;
};

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_EXPLANATION_H_
