// What is known about workers that were lost without an explanation: each such
// loss waits for news of its worker, which proves or disproves that the worker
// has crashed.
#include <algorithm>

#include "dotterelbarrow/core/scheduler/scheduler.h"

namespace dotterelbarrow::core::scheduler {

void Scheduler::RecordLoss(const workers::WorkerLoss& loss,
                           const workers::Run& run, jobs::CrashBlame blame) {
  jobs::Job* job = jobs_.Find(run.task.step.job);
  if (job == nullptr ||
      !job->RecordLoss(run.task, {run.attempt, loss.incarnation, blame})) {
    return;
  }
  pending_losses_.Add(run.task, loss.incarnation, now_);
  telemetry_.log->Write(
      "task_suspected",
      {{"task", jobs::ToString(run.task)},
       {"attempt", static_cast<std::int64_t>(run.attempt.value())},
       {"worker", loss.worker.value()},
       {"blame", "unproved"},
       {"how", workers::ToString(loss.kind)},
       {"confirmed", run.start_confirmed_ms != 0 ? "yes" : "no"},
       {"silent_ms", (now_ - loss.alive_at) / std::chrono::milliseconds(1)},
       {"lived_ms",
        (loss.alive_at - run.started_at) / std::chrono::milliseconds(1)}});
  ReportEvidence("loss_pending", "silence", *job, run.task);
  jobs_.EnqueueJob(job->key, now_);
}

void Scheduler::AwaitNewsOfLosses(const jobs::Job& job) {
  const auto await = [&](const jobs::TaskRef& task,
                         const jobs::CrashHistory& crashes) {
    for (const jobs::CrashHistory::Loss& loss : crashes.losses()) {
      pending_losses_.Add(task, loss.worker, now_);
    }
  };
  for (const auto& [number, occurrence] : job.occurrences) {
    for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i) {
      const jobs::StepRef step{job.key, number, i};
      const jobs::Step& state = occurrence.steps[i];
      await({step, 0}, state.gang_crashes);
      for (std::uint32_t index = 0; index < state.tasks.size(); ++index) {
        await({step, index}, state.tasks[index].crashes);
      }
    }
  }
}

void Scheduler::OnIncarnationSeen(const workers::Worker& worker) {
  const jobs::WorkerIncarnation incarnation =
      workers::IncarnationOf(worker.listing());
  for (const PendingLosses::Loss& loss :
       pending_losses_.TakeSucceededBy(incarnation)) {
    jobs::Job* job = jobs_.Find(loss.task.step.job);
    if (job == nullptr || !job->ProveLosses(loss.task, loss.worker,
                                            dispatcher_.containment().HasProof(
                                                job->queue, now_))) {
      continue;
    }
    ReportEvidence("loss_proved", "successor", *job, loss.task);
    if (jobs::IsFinal(job->state)) {
      telemetry_.log->Write("task_crashes_workers",
                            {{"task", jobs::ToString(loss.task)},
                             {"blame", "shared"},
                             {"successor", worker.id().value()}});
      GiveUp(*job, base::Duration(0));
    } else {
      jobs_.EnqueueJob(job->key, now_);
    }
  }
}

void Scheduler::OnWorkerClaimed(const workers::Worker& worker) {
  for (const PendingLosses::Loss& loss :
       pending_losses_.TakeOf(workers::IncarnationOf(worker.listing()))) {
    DisproveLoss(loss, "answered");
  }
}

void Scheduler::OnWorkerReported(const workers::Worker& worker) {
  const bool is_draining = worker.listing().draining;
  // A list that was read before the loss was noted may not show what the worker
  // reported before it fell silent. A draining worker that an owner finds in
  // its first list may have been about to leave when it fell silent, and its
  // end proves nothing.
  const base::TimePoint lived_at = worker.reported_after.value_or(
      is_draining ? base::TimePoint::max() : base::TimePoint());
  for (const PendingLosses::Loss& loss : pending_losses_.TakeNotedBefore(
           workers::IncarnationOf(worker.listing()), lived_at)) {
    DisproveLoss(loss, is_draining ? "draining" : "reported");
  }
}

void Scheduler::DisproveLoss(const PendingLosses::Loss& loss,
                             const char* reason) {
  jobs::Job* job = jobs_.Find(loss.task.step.job);
  if (job != nullptr && job->DisproveLosses(loss.task, loss.worker)) {
    ReportEvidence("loss_disproved", reason, *job, loss.task);
    jobs_.EnqueueJob(job->key, now_);
  }
}

void Scheduler::ForgetObsoleteLosses() {
  pending_losses_.EraseIf([this](const PendingLosses::Loss& pending) {
    jobs::Job* job = jobs_.Find(pending.task.step.job);
    const jobs::CrashHistory* crashes =
        job == nullptr ? nullptr : job->CrashesOf(pending.task);
    return crashes == nullptr ||
           std::none_of(crashes->losses().begin(), crashes->losses().end(),
                        [&](const jobs::CrashHistory::Loss& loss) {
                          return loss.worker == pending.worker;
                        });
  });
}

void Scheduler::DisproveCrash(const workers::Worker& worker,
                              const jobs::TaskRef& task,
                              jobs::Attempt attempt) {
  jobs::Job* job = jobs_.Find(task.step.job);
  if (job != nullptr && job->DisproveCrash(task, attempt)) {
    telemetry_.log->Write(
        "run_survived_loss",
        {{"task", jobs::ToString(task)},
         {"attempt", static_cast<std::int64_t>(attempt.value())},
         {"worker", worker.id().value()}});
    ReportEvidence("loss_disproved", "listed", *job, task);
    jobs_.EnqueueJob(job->key, now_);
  }
}

void Scheduler::ReportEvidence(const char* event, const char* evidence,
                               jobs::Job& job, const jobs::TaskRef& task) {
  const jobs::CrashHistory& crashes = *job.CrashesOf(task);
  telemetry_.counters->Increment(event, evidence);
  telemetry_.log->Write(
      event,
      {{"task", jobs::ToString(task)},
       {"evidence", evidence},
       {"losses", static_cast<std::int64_t>(crashes.losses().size())},
       {"crashes", static_cast<std::int64_t>(crashes.crashes().size())}});
}

}  // namespace dotterelbarrow::core::scheduler
