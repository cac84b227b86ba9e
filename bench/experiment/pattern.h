// A load pattern: the kinds of jobs, their arrival rates, and the fleet that
// runs them. Read from a small JSON file:
//
//   {"workers": 350, "cores": 32, "memory_mb": 131072, "askers": 42,
//    "seconds": 40, "call_ms": 0, "rack_size": 10, "remote_factor": 2, "kinds":
//    [{"name", "rate", "priority", "slack", "target_ms", "tasks", "task_ms",
//    "cores", "memory_mb", "steps", "gang", "estimate_off", "failing",
//    "allowed", "decision_ms", "per_worker_ms", "valid_ms", "checkpoints",
//    "data_rack", "same_rack", "hot_rack", "noise", "value", "bursts":
//    [{"at", "for", "times"}]}], "speeds": [{"share", "factor"}], "tail":
//    {"share", "factor"}, "spells": {"per_s", "for", "factor"},
//    "stop_timeout_ms", "stop_ms", "restore_ms", "retries", "organisations":
//    {"count", "skew", "weight_factor", "bursts": [{"organisation", "at",
//    "for", "times"}]}}
//
// `rate` is in jobs per second, and sizes are means. `allowed` is the fraction
// of the workers on which the advisor allows a step to run. A missing name
// keeps the default. `askers` is the number of entries that request placement
// advice. `speeds` are the fractions of the workers on which runs take `factor`
// times as long as on the others. `tail` is the fraction of the runs that take
// `factor` times as long as others of their step, on any worker. A worker
// becomes slow by the factor of `spells` so often each second, for so long.
// `noise` is the standard deviation of the logarithm of run times within a
// step. `value` is what a job on time earns; a late one earns a fifth of that
// up to three times its objective. `data_rack` is the fraction of the steps
// whose tasks take `remote_factor` times as long away from one rack, `hot_rack`
// the fraction of these whose rack is the first one. `same_rack` is the
// fraction of the gangs that take as long on several racks. Callers retry a
// refused job up to `retries` times, when the answer tells them to. The load of
// the n-th organisation is proportional to n to the power of -`skew`; its share
// is `weight_factor` times its usual load (0: unlimited).
#ifndef DOTTERELBARROW_BENCH_EXPERIMENT_PATTERN_H_
#define DOTTERELBARROW_BENCH_EXPERIMENT_PATTERN_H_

#include <optional>
#include <string>
#include <vector>

#include "dotterelbarrow/base/failure.h"

namespace dotterelbarrow::bench {

// From `at_s`, for `for_s` seconds, jobs arrive `times` as often.
struct Burst {
  double at_s = 0;
  double for_s = 0;
  double times = 1;
};

struct Kind {
  std::string name;
  double jobs_per_s = 0;
  int priority = 0;
  double slack_factor = 1;
  double target_ms = 0;
  double tasks = 1;
  double task_ms = 1000;
  double cores = 1;
  double memory_mb = 1024;
  double steps = 1;
  // Fraction of the jobs whose steps are gangs.
  double gang = 0;
  // Estimates are up to this fraction too high, or half of it too low.
  double estimate_off = 0;
  // Fraction of the runs that fail.
  double failing = 0;
  // Fraction of the jobs whose tasks write checkpoints.
  double checkpoints = 0;
  double allowed = 1;
  double decision_ms = 0;
  double per_worker_ms = 0;
  double valid_ms = 2000;
  double noise = 0;
  double value = 1;
  double data_rack = 0;
  double same_rack = 0;
  double hot_rack = 0;
  std::vector<Burst> bursts;
};

// A fraction of the workers, or of the runs, that takes `factor` times as long.
struct SlowShare {
  double share = 0;
  double factor = 1;
};

// Temporary slowness of a worker.
struct SlowSpells {
  double per_s = 0;
  double for_s = 0;
  double factor = 1;
};

// From `burst.at_s`, an organisation submits `burst.times` its usual load.
struct OrganisationBurst {
  int organisation = 0;
  Burst burst;
};

struct OrganisationSettings {
  int count = 1;
  double skew = 0;
  double weight_factor = 0;
  std::vector<OrganisationBurst> bursts;
};

struct Pattern {
  int workers = 48;
  double cores = 16;
  double memory_mb = 65536;
  int askers = 7;
  double seconds = 30;
  // Time of a call beside what the owner sees of it: from the caller to the
  // owner, and back.
  double call_ms = 0;
  std::vector<SlowShare> speeds;
  SlowShare tail;
  SlowSpells spells;
  // How long a stop takes at most, which the scheduler is told (0: it doesn't
  // preempt), and how long it does take.
  double stop_timeout_ms = 0;
  double stop_ms = 0;
  // How much longer a run takes that resumes from a checkpoint.
  double restore_ms = 0;
  // Number of workers in one rack; 0 if there are no racks.
  int rack_size = 0;
  double remote_factor = 1;
  // How often callers submit a refused job again.
  int retries = 0;
  OrganisationSettings organisations;
  std::vector<Kind> kinds;
};

// Reads the pattern file at `path`. Returns nullopt and sets `reason` if the
// file can't be read, is no JSON object or has no list of kinds.
std::optional<Pattern> ReadPattern(const std::string& path,
                                   base::Failure* reason);

}  // namespace dotterelbarrow::bench

#endif  // DOTTERELBARROW_BENCH_EXPERIMENT_PATTERN_H_
