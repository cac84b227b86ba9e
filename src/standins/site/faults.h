// Faults that the soak test injects into the stand-in site's store and workers.
#ifndef DOTTERELBARROW_STANDINS_SITE_FAULTS_H_
#define DOTTERELBARROW_STANDINS_SITE_FAULTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "dotterelbarrow/core/jobs/job_spec.h"

namespace dotterelbarrow::standins::site {

enum class StoreFault {
  kNone,
  kRefusing,  // Calls have no effect and get status 503.
  kSilent,    // Calls have no effect and get no answer.
  kLosing,    // A share of the writes takes effect and gets no answer.
  // A share of the writes takes effect seconds later and gets no answer.
  kLate,
  kSlow,  // Calls take much longer.
};

enum class WorkerFault {
  kNone,
  kSilent,  // Runs continue, but no call has an effect or gets an answer.
  // A share of the calls takes effect seconds later and gets no answer.
  kLate,
  kFailing,   // Runs started under this fault fail when they end.
  kRefusing,  // Start commands get status 503.
};

// Return the fault with this name, or kNone if the name is unknown.
StoreFault ParseStoreFault(const std::string& name);
WorkerFault ParseWorkerFault(const std::string& name);

// Series of silences, each under one task: the workers that start the task one
// after the other answer the start, and nothing else for a while.
class SilenceSeries {
 public:
  // Adds a series of `count` silences. The next task that is started and is in
  // no other series is the one of this series.
  void Add(int count, std::int64_t duration_ms) {
    series_.push_back({count, duration_ms, std::nullopt});
  }
  // Returns how long the worker that has just started `task` is silent, or
  // nothing if it isn't.
  std::optional<std::int64_t> Take(const core::jobs::TaskRef& task);
  // The number of silences that have begun.
  std::uint64_t begun() const { return begun_; }

 private:
  struct Series {
    int remaining = 0;
    std::int64_t duration_ms = 0;
    // Absent until the first silence.
    std::optional<core::jobs::TaskRef> task;
  };

  std::vector<Series> series_;
  std::uint64_t begun_ = 0;
};

}  // namespace dotterelbarrow::standins::site

#endif  // DOTTERELBARROW_STANDINS_SITE_FAULTS_H_
