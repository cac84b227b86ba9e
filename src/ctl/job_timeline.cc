// Parses logs and selects the lines about one job.
#include "src/ctl/job_timeline.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <sstream>
#include <string_view>

namespace dotterelbarrow::ctl {
namespace {

constexpr std::string_view kTimeKey = "t=";

// Parses one line of `source`. Returns nullopt if it isn't a log line of this
// project. A prefix that a log collector put before the time is ignored.
std::optional<TimelineLine> ParseLine(const std::string& source,
                                      const std::string& line) {
  std::size_t time_start = line.find(kTimeKey);
  while (time_start != std::string::npos && time_start > 0 &&
         line[time_start - 1] != ' ') {
    time_start = line.find(kTimeKey, time_start + 1);
  }
  if (time_start == std::string::npos) {
    return std::nullopt;
  }
  TimelineLine result;
  result.source = source;
  const char* begin = line.data() + time_start + kTimeKey.size();
  const char* end = line.data() + line.size();
  const auto [number_end, error] = std::from_chars(begin, end, result.unix_ms);
  if (error != std::errc() || number_end == end || *number_end != ' ') {
    return std::nullopt;
  }
  result.text.assign(number_end + 1, end);
  return result.text.starts_with("event=") ? std::optional(result)
                                           : std::nullopt;
}

bool IsEvent(const TimelineLine& line, std::string_view name) {
  return line.text.starts_with("event=" + std::string(name) + " ");
}

}  // namespace

std::vector<TimelineLine> BuildTimeline(const std::string& job,
                                        const std::vector<LogText>& logs) {
  std::vector<TimelineLine> lines;
  for (const LogText& log : logs) {
    std::istringstream text(log.text);
    for (std::string line; std::getline(text, line);) {
      auto parsed = ParseLine(log.name, line);
      if (parsed && (parsed->text.find("=" + job) != std::string::npos ||
                     IsEvent(*parsed, "load"))) {
        lines.push_back(std::move(*parsed));
      }
    }
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const TimelineLine& a, const TimelineLine& b) {
                     return a.unix_ms < b.unix_ms;
                   });
  std::vector<TimelineLine> timeline;
  bool is_waiting = false;
  for (TimelineLine& line : lines) {
    if (IsEvent(line, "load") && !is_waiting) {
      continue;
    }
    is_waiting = (is_waiting || IsEvent(line, "job_taken")) &&
                 !IsEvent(line, "placed") && !IsEvent(line, "job_ended");
    timeline.push_back(std::move(line));
  }
  return timeline;
}

std::string ToText(const std::vector<TimelineLine>& timeline) {
  std::ostringstream text;
  for (const TimelineLine& line : timeline) {
    text << "+" << line.unix_ms - timeline.front().unix_ms << " ms "
         << line.source << " " << line.text << "\n";
  }
  return text.str();
}

}  // namespace dotterelbarrow::ctl
