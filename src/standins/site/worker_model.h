// A worker as the platform describes it: fences, leases on its own clock,
// numbered ends, gangs. It breaks no promise itself, and notes where an owner
// made it break one.
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

// What a run needs and how it will go.
struct RunPlan {
  base::Resources needs;
  std::int64_t duration_ms = 500;
  bool fails = false;
  // Members of the gang; 0 without one.
  std::uint32_t gang_size = 0;
};

class WorkerModel {
 public:
  struct Run {
    Attempt attempt;
    RunPlan plan;
    std::int64_t started_ms = 0;
    std::optional<std::int64_t> stop_at_ms;
  };

  // `slowness_permille` is what its clock loses.
  WorkerModel(core::workers::Listing listing, std::int64_t slowness_permille)
      : listing_(std::move(listing)), slowness_permille_(slowness_permille) {}

  const core::workers::Listing& listing() const { return listing_; }
  const std::map<TaskRef, Run>& runs() const { return runs_; }
  const std::vector<ListedEnd>& ends() const { return ends_; }
  bool is_up() const { return is_up_; }

  // Lets its clock pass on with the world's, which is at `now_ms`.
  void AdvanceTo(std::int64_t now_ms);
  // Whether the other members of a gang are all present is the world's to
  // know; those that wait too long end.
  void EndGangMember(const TaskRef& task, RunEnd end) { End(task, end); }

  CommandOutcome Start(const core::scheduler::StartTask& order,
                       FencingToken token, const RunPlan& plan);
  CommandOutcome Stop(const core::scheduler::StopTask& order,
                      FencingToken token);
  PollResult Look(const core::scheduler::PollWorker& order, FencingToken token);
  std::int64_t clock_ms() const { return clock_ms_; }

  // All that runs is gone; it returns as another life under the same id.
  void Crash();
  void Restart(std::int64_t born_ms);

  // Tasks that were running at the same time took more than the capacity.
  bool was_overloaded() const { return was_overloaded_; }

 private:
  bool PassesFence(FencingToken token);
  void End(const TaskRef& task, RunEnd end);

  core::workers::Listing listing_;
  std::int64_t slowness_permille_;
  std::int64_t world_ms_ = 0;
  std::int64_t clock_ms_ = 0;
  std::int64_t clock_remainder_ = 0;
  bool is_up_ = true;
  FencingToken fence_;
  std::int64_t lease_until_ms_ = 0;
  std::map<TaskRef, Run> runs_;
  // The highest attempt that was stopped or ended.
  std::map<TaskRef, Attempt> closed_;
  std::vector<ListedEnd> ends_;
  std::uint64_t last_end_ = 0;
  bool was_overloaded_ = false;
};

}  // namespace dotterelbarrow::standins::site

#endif  // DOTTERELBARROW_STANDINS_SITE_WORKER_MODEL_H_
