// What an owner stores of its model of run times for the next owner, and its
// JSON form:
//
//   {"version": 1, "known": 310,
//    "workers": [["worker-7", 1765000000000, 468, 210]],
//    "queues": [["lookups", 52.1, -0.4, -0.5, 0.3, 0.4, 0.3, 0.06]]}
//
// A worker's entry has its id, the time at which it was born, its log slowness
// in thousandths, and the weight of that. A queue's entry has the moments of
// its regression, in the order of placement::QueueRunTimes::Moments.
#ifndef DOTTERELBARROW_CORE_SCHEDULER_RUN_TIME_SUMMARY_H_
#define DOTTERELBARROW_CORE_SCHEDULER_RUN_TIME_SUMMARY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dotterelbarrow/base/failure.h"
#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/core/desired/desired_state.h"
#include "dotterelbarrow/core/placement/queue_run_times.h"

namespace dotterelbarrow::core::scheduler {

struct RunTimeSummary {
  struct WorkerEntry {
    std::int64_t born_ms = 0;
    double log_slowness = 0;
    double weight = 0;
  };

  // Number of workers whose speed was known, with those that are omitted from
  // `workers` because it is typical.
  std::size_t known_workers = 0;
  std::map<base::BackendId, WorkerEntry> workers;
  std::map<desired::QueueId, placement::QueueRunTimes::Moments> queues;
  // Of a decoded summary: why entries are missing that its text has.
  std::vector<base::Failure> unreadable_entries{};
};

// Limits each value to what can be decoded. Omits entries with values that are
// not finite.
std::string EncodeRunTimeSummary(const RunTimeSummary& summary);
// Returns nullopt and sets `reason` if the text is no summary of this version.
// An entry that can't be read is missing from the summary, without loss of the
// others.
std::optional<RunTimeSummary> DecodeRunTimeSummary(const std::string& text,
                                                   base::Failure* reason);

}  // namespace dotterelbarrow::core::scheduler

#endif  // DOTTERELBARROW_CORE_SCHEDULER_RUN_TIME_SUMMARY_H_
