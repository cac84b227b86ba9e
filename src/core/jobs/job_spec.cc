// Text forms of job, step and task ids, and the critical paths of a job.
#include "dotterelbarrow/core/jobs/job_spec.h"

#include <algorithm>
#include <charconv>
#include <system_error>

namespace dotterelbarrow::core::jobs {
namespace {

constexpr std::size_t kKeyDigits = 16;
constexpr int kHexadecimal = 16;

// Reads a decimal number that ends at a dot or at the end of `text`, and
// removes it and the dot from `text`. Returns nullopt for any other text.
std::optional<std::uint32_t> ConsumeNumber(std::string_view* text) {
  std::uint32_t value = 0;
  const char* end = text->data() + text->size();
  const auto [stop, error] = std::from_chars(text->data(), end, value);
  if (error != std::errc() || (stop != end && *stop != '.')) {
    return std::nullopt;
  }
  text->remove_prefix(static_cast<std::size_t>(stop - text->data()));
  if (!text->empty()) {
    text->remove_prefix(1);
  }
  return value;
}

}  // namespace

std::string ToString(JobKey key) {
  std::string digits(kKeyDigits, '0');
  char* end = digits.data() + digits.size();
  std::uint64_t rest = key.value();
  for (char* at = end; rest != 0; rest >>= 4) {
    *--at = "0123456789abcdef"[rest & 0xf];
  }
  return digits;
}

std::optional<JobKey> ParseJobKey(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] =
      std::from_chars(text.data(), end, value, kHexadecimal);
  const JobKey key(value);
  if (text.size() != kKeyDigits || error != std::errc() || stop != end ||
      ToString(key) != text) {
    return std::nullopt;
  }
  return key;
}

std::string ToString(const StepRef& step) {
  return ToString(step.job) + "." + std::to_string(step.occurrence) + "." +
         std::to_string(step.step);
}

std::string ToString(const TaskRef& task) {
  return ToString(task.step) + "." + std::to_string(task.index);
}

std::optional<TaskRef> ParseTaskRef(std::string_view text) {
  if (text.size() <= kKeyDigits || text[kKeyDigits] != '.') {
    return std::nullopt;
  }
  const auto key = ParseJobKey(text.substr(0, kKeyDigits));
  text.remove_prefix(kKeyDigits + 1);
  const auto occurrence = ConsumeNumber(&text);
  const auto step = occurrence ? ConsumeNumber(&text) : std::nullopt;
  const auto index = step ? ConsumeNumber(&text) : std::nullopt;
  if (!key || !index || !text.empty()) {
    return std::nullopt;
  }
  return TaskRef{{*key, *occurrence, *step}, *index};
}

bool JobSpec::has_long_running_step() const {
  return std::any_of(steps.begin(), steps.end(),
                     [](const StepSpec& step) { return step.long_running; });
}

std::size_t JobSpec::ApproximateBytes() const {
  std::size_t bytes = sizeof(JobSpec) + payload.size();
  for (const StepSpec& step : steps) {
    bytes += sizeof(StepSpec) + step.required_label.size() +
             step.data_rack.size() + step.image.size() +
             step.depends_on.size() * sizeof(step.depends_on.front());
  }
  return bytes;
}

std::vector<base::Duration> JobSpec::CriticalPaths(
    const std::function<base::Duration(const StepSpec&)>& duration_of) const {
  // Steps depend only on earlier ones. Iterating backwards, the path of each
  // step is final before the steps that it depends on use it.
  std::vector<base::Duration> critical_paths(steps.size(), base::Duration(0));
  for (std::size_t i = steps.size(); i-- > 0;) {
    critical_paths[i] += duration_of(steps[i]);
    for (const std::uint32_t earlier : steps[i].depends_on) {
      critical_paths[earlier] =
          std::max(critical_paths[earlier], critical_paths[i]);
    }
  }
  return critical_paths;
}

}  // namespace dotterelbarrow::core::jobs
