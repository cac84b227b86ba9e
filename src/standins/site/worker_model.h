// A simulated worker that follows the platform's protocol: fencing tokens,
// leases measured on the worker's own clock, numbered run ends, gangs. The
// model itself always obeys the protocol; it records when an owner's commands
// overload it.
#ifndef DOTTERELBARROW_STANDINS_SITE_WORKER_MODEL_H_
#define DOTTERELBARROW_STANDINS_SITE_WORKER_MODEL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dotterelbarrow/core/scheduler/actions.h"

namespace dotterelbarrow::standins::site {

using core::jobs::Attempt;
using core::jobs::RunEnd;
using core::jobs::TaskRef;
using core::scheduler::CommandOutcome;
using core::scheduler::FencingToken;
using core::scheduler::ListedEnd;
using core::scheduler::PollResult;

// The resources, duration and outcome of a run.
struct RunPlan {
  base::Resources needs;
  std::int64_t duration_ms = 500;
  bool fails = false;
  // How long after its start the run crashes the worker; 0 if it doesn't.
  std::int64_t crashes_after_ms = 0;
  // Number of members of the gang; 0 for a task without a gang.
  std::uint32_t gang_size = 0;
  // How often the run writes a checkpoint, 0 if it doesn't, and how much longer
  // it takes if it resumes from one.
  std::int64_t checkpoint_interval_ms = 0;
  std::int64_t restore_ms = 0;
};

class WorkerModel {
 public:
  struct Run {
    Attempt attempt;
    RunPlan plan;
    std::int64_t started_ms = 0;
    // When the run ends after a stop command; absent before one.
    std::optional<std::int64_t> stop_at_ms;
    // The progress that the checkpoint had from which the run resumed; 0 if it
    // started from the beginning.
    std::int64_t resumed_from_ms = 0;
  };

  // `clock_loss_permille` is how much slower the worker's clock runs, in
  // thousandths.
  WorkerModel(core::workers::Listing listing, std::int64_t clock_loss_permille)
      : listing_(std::move(listing)),
        clock_loss_permille_(clock_loss_permille) {}

  const core::workers::Listing& listing() const { return listing_; }
  const std::map<TaskRef, Run>& runs() const { return runs_; }
  const std::vector<ListedEnd>& ends() const { return ends_; }
  bool is_up() const { return is_up_; }

  // Advances the worker's clock, given that the site's clock is at `now_ms`,
  // and ends the runs that are due. Runs of gangs end by EndGangMember or when
  // the lease expires or they are stopped.
  void AdvanceTo(std::int64_t now_ms);
  // Ends a run that is a gang member. The caller decides when, because a worker
  // doesn't know whether the gang's other members are present.
  void EndGangMember(const TaskRef& task, RunEnd end) { End(task, end); }

  // Handle commands and polls by the platform's protocol.
  CommandOutcome Start(const core::scheduler::StartTask& command,
                       FencingToken token, const RunPlan& plan);
  CommandOutcome Stop(const core::scheduler::StopTask& command,
                      FencingToken token);
  PollResult Look(const core::scheduler::PollWorker& command,
                  FencingToken token);
  // The number of the last run end before the lease expired last; 0 if it never
  // did. These ends count for nothing, even if they are acknowledged later.
  std::uint64_t lapsed_through() const { return lapsed_through_; }
  // Time of the worker's own clock.
  std::int64_t clock_ms() const { return clock_ms_; }

  // Crash drops all runs. Restart brings the worker back under the same id, as
  // another incarnation that is identified by `born_ms`, with a clock that
  // shows `clock_ms`.
  void Crash();
  void Restart(std::int64_t born_ms, std::int64_t clock_ms = 0);
  // Gives the worker another id, as its next incarnation on the same machine
  // may have.
  void Rename(base::BackendId id) { listing_.id = std::move(id); }

  // Changes the capacity. Starts are still judged by the largest capacity of
  // the last kCapacityNoticeMs.
  void SetCapacity(const base::Resources& capacity);

  // The number of run ends that one answer to a poll lists at most.
  static constexpr std::size_t kMaxListedEnds = 500;
  void set_max_listed_ends(std::size_t count) { max_listed_ends_ = count; }

  // The longest lease, by the worker's clock; a longer one is cut to it.
  static constexpr std::int64_t kMaxLeaseMs = 10'000;

  // Whether a start has ever brought the concurrent runs above the capacity.
  bool was_overloaded() const { return was_overloaded_; }

 private:
  // Returns whether the token is at least the highest one seen, and stores it.
  bool AcceptToken(FencingToken token);
  // Extends the lease to this time, or to the longest one.
  void ExtendLease(std::int64_t until_ms);
  // Returns the capacity by which a start is judged.
  base::Resources CapacityInForce() const;
  void End(const TaskRef& task, RunEnd end);
  // Returns how much of its plan's duration the run has done.
  std::int64_t ProgressOf(const Run& run) const;
  // Returns the last checkpoint that the run has written, or the one that a
  // stop saves. Empty if there is none.
  std::string CheckpointOf(const Run& run, bool is_stopped) const;

  // How long an owner may overlook a smaller capacity: the time for which a
  // host must be in touch, and a heartbeat.
  static constexpr std::int64_t kCapacityNoticeMs = 4500;

  // A capacity that the worker had until `until_ms` on the site's clock.
  struct FormerCapacity {
    base::Resources capacity;
    std::int64_t until_ms = 0;
  };

  core::workers::Listing listing_;
  std::vector<FormerCapacity> former_capacities_;
  std::int64_t clock_loss_permille_;
  std::int64_t site_ms_ = 0;
  std::int64_t clock_ms_ = 0;
  // Thousandths of a millisecond not yet added to clock_ms_.
  std::int64_t clock_remainder_ = 0;
  bool is_up_ = true;
  FencingToken fence_;
  std::int64_t lease_until_ms_ = 0;
  std::map<TaskRef, Run> runs_;
  // The highest attempt of each task that has ended, or was stopped before its
  // start arrived. Starts up to this attempt are refused.
  std::map<TaskRef, Attempt> closed_attempts_;
  std::vector<ListedEnd> ends_;
  std::uint64_t last_end_ = 0;
  std::uint64_t lapsed_through_ = 0;
  std::size_t max_listed_ends_ = kMaxListedEnds;
  bool was_overloaded_ = false;
};

}  // namespace dotterelbarrow::standins::site

#endif  // DOTTERELBARROW_STANDINS_SITE_WORKER_MODEL_H_
