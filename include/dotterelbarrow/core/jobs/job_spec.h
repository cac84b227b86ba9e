// What a caller asks for: a job of steps, each of like tasks.
#ifndef DOTTERELBARROW_CORE_JOBS_JOB_SPEC_H_
#define DOTTERELBARROW_CORE_JOBS_JOB_SPEC_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core::jobs {

// A job's identity, chosen by its caller. Written as 16 hexadecimal digits.
using JobKey = base::NumberId<struct JobKeyTag>;
// Counts the starts of one task; rises, also across owners.
using Attempt = base::NumberId<struct AttemptTag>;

// Returns the 16 lower-case hexadecimal digits of `key`.
std::string ToString(JobKey key);
// Returns nullopt unless `text` is what ToString writes.
std::optional<JobKey> ParseJobKey(std::string_view text);

// One step of one occurrence of a job.
struct StepRef {
  JobKey job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  friend bool operator==(const StepRef&, const StepRef&) = default;
  friend auto operator<=>(const StepRef&, const StepRef&) = default;
};

// One task of a step.
struct TaskRef {
  StepRef step;
  std::uint32_t index = 0;

  friend bool operator==(const TaskRef&, const TaskRef&) = default;
  friend auto operator<=>(const TaskRef&, const TaskRef&) = default;
};

// Returns "job.occurrence.step" and "job.occurrence.step.index".
std::string ToString(const StepRef& step);
std::string ToString(const TaskRef& task);
std::optional<TaskRef> ParseTaskRef(std::string_view text);

// How the tasks of a step run together.
struct StepSpec {
  std::uint32_t tasks = 1;
  // What each task needs. A task that fills idle processor time reserves none
  // of `needs.cpu`.
  base::Resources needs;
  // The caller's rough guess; off by half and more.
  base::Duration estimate{0};
  // Earlier steps, all of whose tasks must be done first.
  std::vector<std::uint32_t> depends_on;
  bool checkpoints = false;
  // All tasks start together, work only together and end together.
  bool gang = false;
  // The tasks slow down when they run on more than one rack.
  bool prefers_one_rack = false;
  // Empty where any worker will do.
  std::string required_label;
  // The rack near the data; empty where any will do.
  std::string data_rack;
  // Tasks of this step on one worker at most; 0 is unlimited.
  std::uint32_t max_per_worker = 0;
  // Copies of a task may run at the same time.
  bool allows_copies = false;
  // Runs until the job is cancelled.
  bool long_running = false;
  // Of a long-running step: tasks that orders of ours may keep away at a time.
  std::uint32_t max_unavailable = 0;
  bool fills_idle_cpu = false;
  // What the tasks run; tasks of one image behave alike.
  std::string image;
  // The tail response time that a serving task must keep; zero if it doesn't
  // serve.
  base::Duration response_target{0};

  bool is_serving() const { return response_target > base::Duration(0); }
  // Returns what a worker must set aside for one task.
  base::Resources Reservation() const {
    base::Resources reservation = needs;
    if (fills_idle_cpu) {
      reservation.cpu = base::Millicores(0);
    }
    return reservation;
  }
};

struct JobSpec {
  // Handed to each task unread.
  std::string payload;
  std::vector<StepSpec> steps;
  // 0 for a job that runs once, at once. Otherwise occurrence k is due at
  // start_at + k * interval, as milliseconds since 1970.
  std::uint32_t repeat_count = 0;
  std::int64_t start_at_ms = 0;
  std::int64_t interval_ms = 0;

  bool is_scheduled() const { return repeat_count > 0; }
  std::uint32_t occurrences() const {
    return is_scheduled() ? repeat_count : 1;
  }
  bool has_long_running_step() const;
  // Returns, for each step, the time that the longest chain of steps takes
  // which begins with it: the sum of the estimates, and `overhead` a step.
  std::vector<base::Duration> ChainsFrom(base::Duration overhead) const;
};

}  // namespace dotterelbarrow::core::jobs

template <>
struct std::hash<dotterelbarrow::core::jobs::StepRef> {
  std::size_t operator()(
      const dotterelbarrow::core::jobs::StepRef& ref) const noexcept {
    return dotterelbarrow::base::MixBits(
        ref.job.value() + (std::uint64_t{ref.occurrence} << 16) + ref.step);
  }
};

#endif  // DOTTERELBARROW_CORE_JOBS_JOB_SPEC_H_
