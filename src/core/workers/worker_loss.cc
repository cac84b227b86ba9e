// Finds the runs that may have crashed a worker.
#include "dotterelbarrow/core/workers/worker_loss.h"

#include <algorithm>

namespace dotterelbarrow::core::workers {

const char* ToString(LossKind kind) {
  switch (kind) {
    case LossKind::kCrashed:
      return "crashed";
    case LossKind::kUnexplained:
      return "unexplained";
  }
  return "unknown";
}

WorkerLoss DescribeLoss(const Worker& worker, LossKind kind) {
  WorkerLoss loss{.worker = worker.id(),
                  .kind = kind,
                  .alive_at = worker.alive_at,
                  .runs = {}};
  for (const auto& [key, run] : worker.runs()) {
    loss.runs.push_back(run);
  }
  return loss;
}

bool MayHaveStarted(const Run& run) {
  return run.state != RunState::kReserved && !run.is_orphan;
}

bool IsYoungAt(const Run& run, base::TimePoint alive_at) {
  return alive_at - run.started_at < kSuspectAge;
}

std::vector<const Run*> FindSuspects(const WorkerLoss& loss) {
  std::vector<const Run*> young;
  std::vector<const Run*> repeated;
  base::TimePoint last_confirmed_start;
  for (const Run& run : loss.runs) {
    if (!MayHaveStarted(run)) {
      continue;
    }
    if (run.is_suspect || IsYoungAt(run, loss.alive_at)) {
      young.push_back(&run);
      last_confirmed_start = std::max(
          last_confirmed_start,
          run.start_confirmed_ms != 0 ? run.started_at : base::TimePoint());
    } else if (run.was_lost_before) {
      repeated.push_back(&run);
    }
  }
  if (young.empty()) {
    return repeated;
  }
  std::erase_if(young, [last_confirmed_start](const Run* run) {
    return !run->is_suspect &&
           last_confirmed_start - run->started_at > kMaxStartGap;
  });
  return young;
}

}  // namespace dotterelbarrow::core::workers
