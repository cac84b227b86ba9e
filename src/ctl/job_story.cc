// Reads logs and keeps what belongs to a job.
#include "src/ctl/job_story.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <sstream>
#include <string_view>

namespace dotterelbarrow::ctl {
namespace {

constexpr std::string_view kTime = "t=";

// Returns the line's time and text; nullopt if it isn't one of ours. What a
// collector put before the time is passed over.
std::optional<StoryLine> ReadLine(const std::string& source,
                                  const std::string& line) {
  std::size_t at = line.find(kTime);
  while (at != std::string::npos && at > 0 && line[at - 1] != ' ') {
    at = line.find(kTime, at + 1);
  }
  if (at == std::string::npos) {
    return std::nullopt;
  }
  StoryLine result;
  result.source = source;
  const char* begin = line.data() + at + kTime.size();
  const char* end = line.data() + line.size();
  const auto [stop, error] = std::from_chars(begin, end, result.unix_ms);
  if (error != std::errc() || stop == end || *stop != ' ') {
    return std::nullopt;
  }
  result.text.assign(stop + 1, end);
  return result.text.starts_with("event=") ? std::optional(result)
                                           : std::nullopt;
}

bool IsEvent(const StoryLine& line, std::string_view name) {
  return line.text.starts_with("event=" + std::string(name) + " ");
}

}  // namespace

std::vector<StoryLine> StoryOf(const std::string& job,
                               const std::vector<LogText>& logs) {
  std::vector<StoryLine> lines;
  for (const LogText& log : logs) {
    std::istringstream text(log.text);
    for (std::string line; std::getline(text, line);) {
      auto read = ReadLine(log.name, line);
      if (read && (read->text.find("=" + job) != std::string::npos ||
                   IsEvent(*read, "load"))) {
        lines.push_back(std::move(*read));
      }
    }
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const StoryLine& a, const StoryLine& b) {
                     return a.unix_ms < b.unix_ms;
                   });
  std::vector<StoryLine> story;
  bool is_waiting = false;
  for (StoryLine& line : lines) {
    if (IsEvent(line, "load") && !is_waiting) {
      continue;
    }
    is_waiting = (is_waiting || IsEvent(line, "job_taken")) &&
                 !IsEvent(line, "placed") && !IsEvent(line, "job_ended");
    story.push_back(std::move(line));
  }
  return story;
}

std::string ToText(const std::vector<StoryLine>& story) {
  std::ostringstream text;
  for (const StoryLine& line : story) {
    text << "+" << line.unix_ms - story.front().unix_ms << " ms " << line.source
         << " " << line.text << "\n";
  }
  return text.str();
}

}  // namespace dotterelbarrow::ctl
