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
                  .incarnation = IncarnationOf(worker.listing()),
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

bool IsKnownNotToHaveBegun(const Run& run) {
  return run.start_confirmed_ms == 0 && run.state == RunState::kStopping;
}

std::vector<const Run*> FindSuspects(const WorkerLoss& loss,
                                     base::Duration gap) {
  std::vector<const Run*> confirmed;
  std::vector<const Run*> unanswered;
  std::vector<const Run*> repeated;
  const Run* last = nullptr;
  for (const Run& run : loss.runs) {
    if (!MayHaveStarted(run) || IsKnownNotToHaveBegun(run)) {
      continue;
    }
    if (run.is_suspect || IsYoungAt(run, loss.alive_at)) {
      const bool is_confirmed = run.start_confirmed_ms != 0;
      (is_confirmed ? confirmed : unanswered).push_back(&run);
      if (is_confirmed &&
          (last == nullptr || run.started_at >= last->started_at)) {
        last = &run;
      }
    } else if (run.was_lost_before) {
      repeated.push_back(&run);
    }
  }
  if (confirmed.empty()) {
    return unanswered.empty() ? repeated : unanswered;
  }
  // A suspect was started when the worker had just shown that it survives the
  // starts before.
  const base::Duration cleared_after = last->is_suspect ? kMinSuspectGap : gap;
  std::erase_if(confirmed, [last, cleared_after](const Run* run) {
    return !run->is_suspect &&
           last->started_at - run->started_at > cleared_after;
  });
  return confirmed;
}

}  // namespace dotterelbarrow::core::workers
