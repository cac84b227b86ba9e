// The part of TaskController that reconciles the owner's task records with the
// report of a backend server.
#include <functional>
#include <utility>
#include <vector>

#include "dotterelbarrow/core/partitions.h"
#include "dotterelbarrow/core/task_controller.h"

namespace dotterelbarrow::core {
namespace {

TaskEnd EndOf(const TaskReport& report, const ActivePhase& active) {
  switch (report.state) {
    case TaskState::kSucceeded:
      return TaskEnd::kSucceeded;
    case TaskState::kFailed:
      return TaskEnd::kFailed;
    case TaskState::kStopped:
      // This owner recorded no reason, so a previous owner stopped it. Its
      // manager may retry it.
      return active.stop_reason.value_or(TaskEnd::kPreempted);
    case TaskState::kRunning:
    case TaskState::kLeaseExpired:
      break;
  }
  return TaskEnd::kLost;
}

}  // namespace

bool TaskController::OnReport(Backend* backend, const BackendReport& report,
                              bool is_claim, base::TimePoint now) {
  bool consistent = true;
  if (is_claim) {
    ReportLateCrashes(backend);
  }
  for (const TaskReport& task : report.tasks) {
    if (!ApplyTaskReport(backend, task, now)) {
      // A claim that doesn't include the specification wouldn't include it the
      // next time either.
      if (is_claim) {
        StopOrphan(backend, task);
      } else {
        consistent = false;
      }
    }
  }
  const std::vector<TaskRecord*> tasks = backend->tasks;
  for (TaskRecord* record : tasks) {
    const auto* active = record->As<ActivePhase>();
    if (active == nullptr || record->last_report_number == backend->reports) {
      continue;
    }
    if (is_claim) {
      ResolveUnlistedTask(*backend, record, now);
    } else if (active->listed) {
      context_->counters->Increment("reports", "task_missing");
      consistent = false;
    }
  }
  return consistent;
}

void TaskController::ResolveUnlistedTask(const Backend& backend,
                                         TaskRecord* record,
                                         base::TimePoint now) {
  auto* active = record->As<ActivePhase>();
  if (!active->start_sent && !active->listed) {
    return;  // Its start waited for the claim, and follows.
  }
  if (!backend.fencing || active->listed) {
    // Its start was sent under an earlier epoch. A task that this claim doesn't
    // list will never be listed, and may have run.
    const bool crashed =
        active->listed && backend.claim.incarnation() > active->listed_by;
    EndLost(record, crashed, now);
  } else if (active->stop_reason) {
    End(record, TaskEnd::kNotStarted, std::string(), now);
  } else {
    // Its start didn't arrive before the claim, and the backend server refuses
    // it from now on. It is sent again.
    active->start_sent.reset();
  }
}

void TaskController::ReportLateCrashes(Backend* backend) {
  for (const LostTask& lost : std::exchange(backend->lost, {})) {
    if (backend->claim.incarnation() <= lost.incarnation) {
      context_->counters->Increment("reports", "survived_silence");
      continue;
    }
    context_->counters->Increment("reports", "late_crash");
    const TaskUpdate update{
        lost.task, lost.partition, TaskEnd::kLost, backend->host.backend, {},
        true};
    context_->outbox->SendToPeer(
        ManagerOf(*context_->membership, lost.partition), update);
  }
}

bool TaskController::ApplyTaskReport(Backend* backend, const TaskReport& report,
                                     base::TimePoint now) {
  TaskRecord* record = context_->tasks.Find(report.id);
  if (record == nullptr) {
    return ApplyUnknownTask(backend, report, now);
  }
  if (record->Is<QueuedPhase>()) {
    // Another owner has started this task although it is queued here.
    Forget(record, now);
    return ApplyUnknownTask(backend, report, now);
  }
  ApplyKnownTask(backend, record, report, now);
  return true;
}

bool TaskController::ApplyUnknownTask(Backend* backend,
                                      const TaskReport& report,
                                      base::TimePoint now) {
  const EndedTaskCache::Entry* known = context_->memory.Find(report.id);
  if (known != nullptr && known->end) {
    if (report.state == TaskState::kRunning) {
      StopOrphan(backend, report);
    } else {
      backend->acknowledge.push_back(report.id);
    }
    return true;
  }
  if (report.spec.id != report.id) {
    context_->counters->Increment("reports", "task_without_specification");
    return false;
  }
  const bool removed = known != nullptr && known->removed;
  context_->memory.Forget(report.id);
  TaskRecord* record = context_->tasks.Create(report.spec);
  ActivePhase active;
  active.since = now;
  record->phase = active;
  context_->pool.Attach(backend, record);
  ApplyKnownTask(backend, record, report, now);
  if (removed && record->Is<ActivePhase>()) {
    Stop(record, TaskEnd::kRemoved, now);
  }
  return true;
}

void TaskController::ApplyKnownTask(Backend* backend, TaskRecord* record,
                                    const TaskReport& report,
                                    base::TimePoint now) {
  auto* active = record->As<ActivePhase>();
  const bool runs = report.state == TaskState::kRunning;
  if (active == nullptr || record->backend != backend->index) {
    if (runs) {
      StopOrphan(backend, report);
    }
    return;
  }
  record->last_report_number = backend->reports;
  active->listed = true;
  active->listed_by = backend->claim.incarnation();
  if (!runs) {
    ApplyTaskEnd(backend, record, report, now);
  }
}

void TaskController::ApplyTaskEnd(Backend* backend, TaskRecord* record,
                                  const TaskReport& report,
                                  base::TimePoint now) {
  const TaskEnd end = EndOf(report, *record->As<ActivePhase>());
  const std::size_t job = std::hash<base::JobId>()(record->spec.id.job);
  if (end == TaskEnd::kSucceeded) {
    backend->quarantine.OnSuccess();
  } else if (end != TaskEnd::kFailed) {
    backend->quarantine.OnInconclusiveEnd();
  } else if (backend->quarantine.OnFailure(job, *context_->settings, now)) {
    context_->counters->Increment("backends", "quarantined");
  }
  End(record, end, report.result, now);
}

void TaskController::StopOrphan(Backend* backend, const TaskReport& report) {
  context_->counters->Increment("reports", "stray_task");
  backend->stop.push_back(report.id);
  context_->dirty.insert(backend->index);
}

}  // namespace dotterelbarrow::core
