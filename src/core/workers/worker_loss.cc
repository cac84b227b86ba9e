// Finds the runs that may have crashed a worker.
#include "dotterelbarrow/core/workers/worker_loss.h"

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

bool IsYoungAt(const Run& run, base::TimePoint alive_at) {
  return alive_at - run.started_at < kSuspectAge;
}

std::vector<const Run*> FindSuspects(const WorkerLoss& loss) {
  std::vector<const Run*> suspects;
  std::vector<const Run*> repeated;
  for (const Run& run : loss.runs) {
    if (run.state == RunState::kReserved || run.is_orphan) {
      continue;
    }
    if (run.is_suspect || IsYoungAt(run, loss.alive_at)) {
      suspects.push_back(&run);
    } else if (run.was_lost_before) {
      repeated.push_back(&run);
    }
  }
  return suspects.empty() ? repeated : suspects;
}

}  // namespace dotterelbarrow::core::workers
