// Decides which running tasks to stop so that waiting work of a higher priority
// can start in time.
//
// Load pattern: batch work fills the fleet, and a burst of lookups arrives that
// are due within about a second. Waiting for runs to end takes longer than
// their slack. The batch work writes checkpoints and has many seconds of slack,
// so stopping some of it costs only the time to restore it, while a job that is
// late earns a fifth of its value.
//
// The value of a job isn't known here. Its measure is the processor time of the
// whole job, weighted by the priority of its queue.
#ifndef DOTTERELBARROW_CORE_PLACEMENT_PREEMPTION_PLANNER_H_
#define DOTTERELBARROW_CORE_PLACEMENT_PREEMPTION_PLANNER_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/jobs/job_spec.h"
#include "dotterelbarrow/core/workers/worker_set.h"

namespace dotterelbarrow::core::placement {

struct PreemptionSettings {
  // How long a stop takes at most, and how much longer a run takes that resumes
  // from a checkpoint. Without a limit for stops nothing is preempted.
  base::Duration stop_timeout{0};
  base::Duration restore_time{0};

  bool is_enabled() const { return stop_timeout > base::Duration(0); }
};

// A running task, as a possible victim.
struct PreemptibleRun {
  jobs::TaskRef task{};
  jobs::Attempt attempt{};
  int priority = 0;
  base::Resources reserved{};
  bool writes_checkpoints = false;
  // Whether its worker has reported a checkpoint of it.
  bool has_checkpoint = false;
  bool is_gang_member = false;
  // Whether its worker has confirmed the start and no stop was sent.
  bool is_running = false;
  // Whether it serves requests, runs until it is cancelled, or may crash its
  // worker.
  bool is_exempt = false;
  base::Duration age{0};
  // How much longer it is expected to run, without the time to restore it.
  base::Duration remaining{0};
  // The latest time at which it must be running again, after a stop, for its
  // job to be on time.
  base::TimePoint resume_by{};
  // The least slack of the work of its priority that waits for room. In the
  // order of the latest starts, a stopped task waits until it has no more.
  base::Duration least_waiting_slack = base::Duration::max();
  // How often its task was preempted, and when last.
  int preemptions = 0;
  std::optional<base::TimePoint> last_preempted_at{};
  // The processor time of the whole job, in core-seconds.
  double job_core_seconds = 0;
};

// A worker that may run the waiting step.
struct PreemptionCandidate {
  workers::WorkerNumber worker{};
  // What the step may use there now.
  base::Resources free{};
  // When a task of the step is expected to fit there because runs end by
  // themselves; nullopt if never.
  std::optional<base::TimePoint> fits_at{};
  // How many more tasks of the step the worker may run.
  std::uint32_t max_tasks = std::numeric_limits<std::uint32_t>::max();
  std::vector<PreemptibleRun> runs{};
};

// The waiting step.
struct PreemptionRequest {
  int priority = 0;
  base::TimePoint latest_start{};
  // The number of tasks that wait, and what each of them needs.
  std::uint32_t tasks = 1;
  base::Resources needs{};
  bool is_gang = false;
  // How long the tasks are expected to run.
  base::Duration run_time{0};
  // The number of tasks that wait for room and come before this step.
  std::uint32_t tasks_ahead = 0;
  // The processor time of the whole job, in core-seconds.
  double job_core_seconds = 0;
  std::vector<PreemptionCandidate> candidates{};
};

enum class PreemptionRefusal {
  kNotDue,          // The step can wait longer for runs to end by themselves.
  kTooLate,         // A stop may take longer than the step can wait.
  kEndsInTime,      // Enough runs are expected to end by themselves in time.
  kNoVictims,       // The runs that may be stopped would not make enough room.
  kGangIncomplete,  // Too few tasks of a large gang have room without stops.
  kNotWorthwhile,   // It would cost more than it saves.
};

const char* ToString(PreemptionRefusal refusal);

struct PreemptionPlan {
  struct Stop {
    workers::WorkerNumber worker{};
    PreemptibleRun run{};
  };
  // Set if nothing is to be stopped; the rest is empty then.
  std::optional<PreemptionRefusal> refusal{};
  std::vector<Stop> stops{};
  // For each waiting task, the worker on which there will be room.
  std::vector<workers::WorkerNumber> rooms{};
  // What is saved and what it costs, in weighted core-seconds.
  double gain = 0;
  double cost = 0;
};

class PreemptionPlanner {
 public:
  // A step is considered once its slack is down to the time of a stop and this
  // time, in which the freed room is noticed (poll interval, up to 60 ms) and a
  // ticket is renewed. Until then runs that end by themselves may make room.
  static constexpr base::Duration kLeadTime = std::chrono::milliseconds(100);
  // Nothing is stopped if on this many workers for each waiting task there will
  // be room before the latest start because runs end by themselves. Estimates
  // are up to 0.9 too high, so about half of the runs end later than expected,
  // and each of three does so in one case of eight. A late lookup costs about
  // four times as much as the stops that prevent it.
  static constexpr std::size_t kOpeningsPerTask = 3;
  // A victim's job must have at least this much slack left when the room that
  // its run leaves is free again, after the stop and the waiting step's run.
  static constexpr base::Duration kMinVictimSlack =
      std::chrono::milliseconds(1000);
  // The mean time that a stopped task waits for room again, if no work of its
  // priority is about to be late. At customer K, 5%
  // of the jobs waited 2.9 to 7.9 s, which is three times the mean of an
  // exponential distribution.
  static constexpr base::Duration kMeanResumeWait =
      std::chrono::milliseconds(1500);
  // Bounds for the stops of one task.
  static constexpr int kMaxPreemptionsPerTask = 2;
  static constexpr base::Duration kMinPreemptionInterval =
      std::chrono::seconds(5);
  // A late job earns a fifth of its value.
  static constexpr double kLostWhenLate = 0.8;
  // How many times the value of the same work is at the next lower priority.
  // The plan's customers: 3.4 between lookups and gangs, 1.1 between gangs and
  // batch.
  static constexpr double kPriorityWeight = 2;
  // A gang of more tasks than this has room made for it only if at least half
  // of its tasks have room already.
  static constexpr std::uint32_t kLargeGang = 6;

  explicit PreemptionPlanner(PreemptionSettings settings)
      : settings_(settings) {}

  // Returns whether to consider preemption for a step with this latest start;
  // otherwise why not.
  std::optional<PreemptionRefusal> CheckTime(base::TimePoint latest_start,
                                             base::TimePoint now) const;
  // Returns whether a run may be stopped for the waiting step at all.
  bool IsVictim(const PreemptibleRun& run, const PreemptionRequest& request,
                base::TimePoint now) const;
  // Returns the runs to stop so that all tasks of the step get room. They cost
  // the least among the alternatives on each worker, and the workers are those
  // that cost the least.
  PreemptionPlan Plan(const PreemptionRequest& request,
                      base::TimePoint now) const;

 private:
  // A way to make room for one more task of the step on a candidate.
  struct Option {
    std::vector<std::size_t> victims;
    double cost = 0;
  };

  static double WeightOf(int priority);
  // Returns whether enough runs are expected to end in time.
  static bool IsRoomExpected(const PreemptionRequest& request);
  // Returns how much slack will be left to the run, or to the work that waits
  // in its place, when the waiting step has run.
  base::Duration SlackAfter(const PreemptibleRun& run,
                            const PreemptionRequest& request,
                            base::TimePoint now) const;
  // Returns what stopping the run costs.
  double CostOf(const PreemptibleRun& run, const PreemptionRequest& request,
                base::TimePoint now) const;
  // Returns the cheapest runs found that make room for one more task; nullopt
  // if there are none. `is_taken` marks the runs that are stopped already.
  std::optional<Option> FindOption(const PreemptionCandidate& candidate,
                                   const PreemptionRequest& request,
                                   const std::vector<bool>& is_taken,
                                   base::TimePoint now) const;

  PreemptionSettings settings_;
};

}  // namespace dotterelbarrow::core::placement

#endif  // DOTTERELBARROW_CORE_PLACEMENT_PREEMPTION_PLANNER_H_
