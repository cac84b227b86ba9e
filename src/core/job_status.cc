// Computes the status of a job from the phases of its tasks.
#include "src/core/job_status.h"

#include <cstdint>

namespace dotterelbarrow::core {

Answer StatusOf(const Job& job) {
  if (job.answer) {
    return *job.answer;
  }
  Answer answer;
  answer.id = job.id.request;
  answer.outcome = job.started_at ? Outcome::kRunning : Outcome::kAccepted;
  answer.tasks_total = static_cast<std::uint32_t>(job.tasks.size());
  for (const Task& task : job.tasks) {
    answer.tasks_done += task.succeeded ? 1 : 0;
    answer.tasks_running += task.phase == TaskPhase::kRunning ? 1 : 0;
  }
  if (job.started_at) {
    answer.waited = *job.started_at - job.accepted_at;
  }
  if (job.tasks.size() == 1) {
    answer.backend = job.tasks.front().backend;
  }
  return answer;
}

}  // namespace dotterelbarrow::core
