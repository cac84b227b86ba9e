// The timeline of one job, assembled from the logs of several entry hosts.
#ifndef DOTTERELBARROW_SRC_CTL_JOB_TIMELINE_H_
#define DOTTERELBARROW_SRC_CTL_JOB_TIMELINE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace dotterelbarrow::ctl {

// One log line about the job, or about the load while the job waited.
struct TimelineLine {
  std::int64_t unix_ms = 0;
  // The name of the log that contains the line.
  std::string source;
  // The line after its time: "event=.. key=value ..".
  std::string text;
};

// The name and the whole text of one log.
struct LogText {
  std::string name;
  std::string text;
};

// Returns the lines about `job` in `logs`, ordered by time. `load` events are
// included only while the job was waiting: between its `job_taken` event and
// its `placed` or `job_ended` event. Lines in any other format are ignored.
std::vector<TimelineLine> BuildTimeline(const std::string& job,
                                        const std::vector<LogText>& logs);

// Returns the timeline as text, with times relative to its first line.
std::string ToText(const std::vector<TimelineLine>& timeline);

}  // namespace dotterelbarrow::ctl

#endif  // DOTTERELBARROW_SRC_CTL_JOB_TIMELINE_H_
