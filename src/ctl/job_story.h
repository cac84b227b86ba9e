// The story of one job, from the logs of several entry hosts.
#ifndef DOTTERELBARROW_SRC_CTL_JOB_STORY_H_
#define DOTTERELBARROW_SRC_CTL_JOB_STORY_H_

#include <cstdint>
#include <string>
#include <vector>

namespace dotterelbarrow::ctl {

// One line of a log that tells something of the job, or of the load while it
// waited.
struct StoryLine {
  std::int64_t unix_ms = 0;
  // The log that it is from.
  std::string source;
  // What follows the time: "event=.. key=value ..".
  std::string text;
};

// One log: its name and its whole text.
struct LogText {
  std::string name;
  std::string text;
};

// Returns what the logs tell of `job`, in order of time. Lines of `load` are
// kept where the job was waiting: after it was taken and before it was placed.
// Lines that aren't of the product's format are passed over.
std::vector<StoryLine> StoryOf(const std::string& job,
                               const std::vector<LogText>& logs);

// Returns the story as text, times counted from its first line.
std::string ToText(const std::vector<StoryLine>& story);

}  // namespace dotterelbarrow::ctl

#endif  // DOTTERELBARROW_SRC_CTL_JOB_STORY_H_
