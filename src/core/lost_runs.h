// Tracks the requests that may still be running on runners although no caller
// here waits for their answers. Such a run keeps occupying its team's quota
// slice until it is certain to have ended.
//
// There are two kinds: runs whose answers were lost or given up by this entry
// host, and runs that a runner listed when this entry host claimed it, which a
// previous owner had started. A run on a runner owned here has ended once the
// reports to a later claim don't list it, or once the runner's lease is
// guaranteed to have expired. A run on a runner that this entry host gave up is
// counted for the duration of a backend lease after that, plus a margin. By
// then the run has been stopped, or the next owner has claimed the runner and
// counts the run.
#ifndef DOTTERELBARROW_SRC_CORE_LOST_RUNS_H_
#define DOTTERELBARROW_SRC_CORE_LOST_RUNS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/settings.h"
#include "dotterelbarrow/core/shard_owner.h"
#include "src/core/team_slices.h"

namespace dotterelbarrow::core {

class LostRuns {
 public:
  // All objects pointed to must outlive this object.
  LostRuns(const NodeSettings* settings, const ShardOwner* owner,
           TeamSlices* slices);

  // Adds a run that was started under `epoch` and whose answer was lost. The
  // caller must have stopped counting it as running.
  void Add(const RunnerTask& run, const base::Epoch& epoch);
  // Whether the set of counted runs may have changed. If so, Refresh must be
  // called before another request is started.
  bool NeedsRefresh(base::TimePoint now) const;
  // Recomputes which runs are counted. `awaited` are the runs that the caller
  // counts itself.
  void Refresh(const std::set<RunnerTask>& awaited, base::TimePoint now);

 private:
  struct LostRun {
    // The epoch under which the run was started; unset for runs started by a
    // previous owner.
    base::Epoch epoch;
    // Since when the runner hasn't been owned by this entry host.
    std::optional<base::TimePoint> unowned_since;
  };

  bool HasEnded(const RunnerTask& run, const LostRun& lost,
                base::TimePoint now) const;
  void UpdateUnownedSince(base::TimePoint now);
  // Adds to `lost_` the runs listed by runners that this entry host has given
  // up since the last refresh.
  void AddListedByGivenUpRunners(const std::set<RunnerTask>& listed);

  const NodeSettings* settings_;
  const ShardOwner* owner_;
  TeamSlices* slices_;
  std::map<RunnerTask, LostRun> lost_;
  // The runs that runners owned here listed at the last refresh.
  std::set<RunnerTask> listed_;
  // Invariant: this object counts exactly these runs in `slices_`.
  std::set<RunnerTask> counted_;
  std::uint64_t seen_changes_ = 0;
  base::TimePoint next_refresh_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_SRC_CORE_LOST_RUNS_H_
