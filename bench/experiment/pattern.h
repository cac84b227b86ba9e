// A load pattern: the kinds of jobs, their arrival rates, and the fleet that
// runs them. Read from a small JSON file:
//
//   {"workers": 350, "cores": 32, "memory_mb": 131072, "askers": 42,
//    "seconds": 40, "rack_size": 10, "remote_factor": 2, "kinds": [{"name",
//    "rate", "priority", "slack", "target_ms", "tasks", "task_ms", "cores",
//    "memory_mb", "steps", "gang", "estimate_off", "failing", "allowed",
//    "decision_ms", "per_worker_ms", "valid_ms", "data_rack", "same_rack",
//    "hot_rack", "bursts": [{"at", "for", "times"}]}]}
//
// `rate` is in jobs per second, and sizes are means. `allowed` is the fraction
// of the workers on which the advisor allows a step to run. A missing name
// keeps the default. `askers` is the number of entries that request placement
// advice. `data_rack` is the fraction of the steps whose tasks take
// `remote_factor` times as long away from one rack, `hot_rack` the fraction of
// these whose rack is the first one. `same_rack` is the fraction of the gangs
// that take as long on several racks.
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
  double allowed = 1;
  double decision_ms = 0;
  double per_worker_ms = 0;
  double valid_ms = 2000;
  double data_rack = 0;
  double same_rack = 0;
  double hot_rack = 0;
  std::vector<Burst> bursts;
};

struct Pattern {
  int workers = 48;
  double cores = 16;
  double memory_mb = 65536;
  int askers = 7;
  double seconds = 30;
  // Number of workers in one rack; 0 if there are no racks.
  int rack_size = 0;
  double remote_factor = 1;
  std::vector<Kind> kinds;
};

// Reads the pattern file at `path`. Returns nullopt and sets `reason` if the
// file can't be read, is no JSON object or has no list of kinds.
std::optional<Pattern> ReadPattern(const std::string& path,
                                   base::Failure* reason);

}  // namespace dotterelbarrow::bench

#endif  // DOTTERELBARROW_BENCH_EXPERIMENT_PATTERN_H_
