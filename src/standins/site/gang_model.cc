// Groups the runs of all workers by gang and ends those that are due.
#include "src/standins/site/gang_model.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace dotterelbarrow::standins::site {
namespace {

// The platform's default time that a gang member waits for the other members.
constexpr std::int64_t kGangStartTimeoutMs = 3000;

struct Member {
  WorkerModel* worker;
  TaskRef task;
  std::int64_t present_ms;
};

struct Gang {
  RunPlan plan;
  std::vector<Member> members;
};

void EndIfDue(const Gang& gang) {
  const bool is_complete = gang.members.size() == gang.plan.gang_size;
  const auto newest = std::min_element(gang.members.begin(), gang.members.end(),
                                       [](const Member& a, const Member& b) {
                                         return a.present_ms < b.present_ms;
                                       });
  for (const Member& member : gang.members) {
    if (is_complete && newest->present_ms >= gang.plan.duration_ms) {
      member.worker->EndGangMember(
          member.task, gang.plan.fails ? RunEnd::kFailed : RunEnd::kDone);
    } else if (!is_complete && member.present_ms >= kGangStartTimeoutMs) {
      member.worker->EndGangMember(member.task, RunEnd::kGangTimeout);
    }
  }
}

}  // namespace

void EndDueGangs(const std::vector<WorkerModel*>& workers) {
  std::map<std::pair<core::jobs::StepRef, Attempt>, Gang> gangs;
  for (WorkerModel* worker : workers) {
    if (!worker->is_up()) {
      continue;
    }
    for (const auto& [task, run] : worker->runs()) {
      if (run.plan.gang_size > 0) {
        Gang& gang = gangs[{task.step, run.attempt}];
        gang.plan = run.plan;
        gang.members.push_back(
            {worker, task, worker->clock_ms() - run.started_ms});
      }
    }
  }
  for (const auto& [key, gang] : gangs) {
    EndIfDue(gang);
  }
}

}  // namespace dotterelbarrow::standins::site
