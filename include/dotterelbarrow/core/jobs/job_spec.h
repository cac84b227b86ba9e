// The specification of a job as its caller submits it: steps that depend on
// each other, each with a number of identical tasks. Also the ids of jobs,
// steps and tasks.
#ifndef DOTTERELBARROW_CORE_JOBS_JOB_SPEC_H_
#define DOTTERELBARROW_CORE_JOBS_JOB_SPEC_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core::jobs {

// Identifies a job; chosen by its caller. Written as 16 hexadecimal digits.
using JobKey = base::NumberId<struct JobKeyTag>;
// Numbers the starts of one task. Increases with each start, also when another
// owner takes over.
using Attempt = base::NumberId<struct AttemptTag>;

// Returns the 16 lower-case hexadecimal digits of `key`.
std::string ToString(JobKey key);
// Returns nullopt unless `text` is what ToString(JobKey) returns.
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
// Returns nullopt unless `text` has the form that ToString(TaskRef) returns.
std::optional<TaskRef> ParseTaskRef(std::string_view text);

// The tasks of one step: what each needs, and how they run together.
struct StepSpec {
  std::uint32_t tasks = 1;
  // The resources that each task needs. A task with `fills_idle_cpu` reserves
  // none of `needs.cpu`.
  base::Resources needs;
  // The caller's rough estimate of a task's run time; off by half and more.
  base::Duration estimate{0};
  // Indices of earlier steps. All their tasks must be done before this step
  // starts.
  std::vector<std::uint32_t> depends_on;
  // Whether the tasks write checkpoints to resume from.
  bool checkpoints = false;
  // Whether the tasks form a gang: they start, work and end only together.
  bool gang = false;
  // Whether the tasks slow down when they run on more than one rack.
  bool prefers_one_rack = false;
  // A label that the worker must have; empty if any worker will do.
  std::string required_label;
  // The rack near the input data; empty if any rack will do.
  std::string data_rack;
  // The maximum number of tasks of this step on one worker; 0 for no limit.
  std::uint32_t max_per_worker = 0;
  // Whether copies of a task may run at the same time.
  bool allows_copies = false;
  // Whether the tasks run until the job is cancelled.
  bool long_running = false;
  // For a long-running step: how many tasks this system's own commands may make
  // unavailable at a time.
  std::uint32_t max_unavailable = 0;
  // Whether the tasks use only processor time that is otherwise idle.
  bool fills_idle_cpu = false;
  // The image that the tasks run. Tasks of one image behave alike.
  std::string image;
  // The tail response time that a serving task must keep; zero if the tasks
  // don't serve requests.
  base::Duration response_target{0};

  bool is_serving() const { return response_target > base::Duration(0); }
  // Whether a task may have a second run beside its first one. Members of a
  // gang end together, and long-running tasks don't end.
  bool may_have_copies() const {
    return allows_copies && !gang && !long_running;
  }
  // Returns how many tasks must be able to start for any to start.
  std::uint32_t SmallestStart() const { return gang ? tasks : 1; }
  // Returns the resources that a worker must reserve for one task.
  base::Resources Reservation() const {
    base::Resources reservation = needs;
    if (fills_idle_cpu) {
      reservation.cpu = base::Millicores(0);
    }
    return reservation;
  }
};

struct JobSpec {
  // Passed to each task without being interpreted.
  std::string payload;
  std::vector<StepSpec> steps;
  // 0 for a job that runs once, immediately. Otherwise the number of
  // occurrences; occurrence k is due at `start_at_ms` + k * `interval_ms`, in
  // milliseconds since 1970.
  std::uint32_t repeat_count = 0;
  std::int64_t start_at_ms = 0;
  std::int64_t interval_ms = 0;

  bool is_scheduled() const { return repeat_count > 0; }
  std::uint32_t occurrences() const {
    return is_scheduled() ? repeat_count : 1;
  }
  bool has_long_running_step() const;
  // Returns about how much memory this specification takes.
  std::size_t ApproximateBytes() const;
  // Returns, for each step, the length of the critical path that begins with
  // it: the longest chain of dependent steps, measured as the sum of their
  // durations.
  std::vector<base::Duration> CriticalPaths(
      const std::function<base::Duration(const StepSpec&)>& duration_of) const;
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
