// What is known about the loss of a worker, and which of its runs may have
// caused it.
//
// Load pattern: a few tasks crash each worker that starts them, some
// milliseconds after the start, on workers that hold ten other runs. Nearly all
// of those have run for longer than that, so the runs that had just been
// started are the suspects. A run that crashes its worker later is found by its
// history: it is among the lost runs each time.
#ifndef DOTTERELBARROW_CORE_WORKERS_WORKER_LOSS_H_
#define DOTTERELBARROW_CORE_WORKERS_WORKER_LOSS_H_

#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/workers/worker.h"

namespace dotterelbarrow::core::workers {

// How a worker was lost that had not left after draining.
enum class LossKind {
  kCrashed,      // Another incarnation answers, so its process has ended.
  kUnexplained,  // It was silent until its leases had expired: it crashed, was
                 // cut off, or was too slow.
};

const char* ToString(LossKind kind);

struct WorkerLoss {
  base::BackendId worker;
  jobs::WorkerIncarnation incarnation;
  LossKind kind = LossKind::kUnexplained;
  // The worker was running at this time.
  base::TimePoint alive_at;
  // The runs that may have been active, in the state before their ends.
  std::vector<Run> runs;
};

// Describes the loss of a worker in its present state.
WorkerLoss DescribeLoss(const Worker& worker, LossKind kind);

// A run is young if its worker is lost within this time after its start. It
// covers the time until a busy owner notices a broken connection.
inline constexpr base::Duration kSuspectAge = std::chrono::milliseconds(250);
// The shortest time that may be taken as the age at which deadly tasks crash
// their workers, so that all but the last starts are cleared.
inline constexpr base::Duration kMinSuspectGap = std::chrono::milliseconds(50);

// Whether the worker may have begun the run.
bool MayHaveStarted(const Run& run);

// Whether the run had been started less than kSuspectAge before `alive_at`, or
// after it.
bool IsYoungAt(const Run& run, base::TimePoint alive_at);

// Whether a list that was read after the start has shown that the run wasn't
// there. Its start was never answered and is being closed by a stop command.
bool IsKnownNotToHaveBegun(const Run& run);

// Returns the runs that are most likely to have crashed the worker: those that
// are suspects already, and the young ones that were started at most `gap`
// before the last young one. A busy owner notices a loss late for all of them
// alike, so the order of their starts tells more than their ages. Starts
// without an answer count only if no other run stands out: most were sent to a
// dead worker. If there are none of these, returns the runs whose tasks were
// lost with other workers before. Returns none if no run stands out.
std::vector<const Run*> FindSuspects(const WorkerLoss& loss,
                                     base::Duration gap = kSuspectAge);

}  // namespace dotterelbarrow::core::workers

#endif  // DOTTERELBARROW_CORE_WORKERS_WORKER_LOSS_H_
