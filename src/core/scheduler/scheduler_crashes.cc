// What the loss of workers says about the jobs whose runs were lost with them.
#include <algorithm>
#include <utility>
#include <vector>

#include "dotterelbarrow/core/scheduler/scheduler.h"

namespace dotterelbarrow::core::scheduler {
namespace {

// A run that has lived this long is not the cause of a later loss of its
// worker. Tasks are known to crash their workers up to 1.5 s after their start.
constexpr base::Duration kSurvivalAge = std::chrono::seconds(5);

}  // namespace

void Scheduler::OnWorkerUnresponsive(const workers::Worker& worker,
                                     base::TimePoint /*leases_end*/) {
  std::vector<desired::QueueId> queues;
  const workers::WorkerLoss loss =
      workers::DescribeLoss(worker, workers::LossKind::kUnexplained);
  for (const workers::Run* run :
       workers::FindSuspects(loss, dispatcher_.containment().suspect_gap())) {
    if (const jobs::Job* job = jobs_.Find(run->task.step.job)) {
      queues.push_back(job->queue);
    }
  }
  dispatcher_.containment().RecordLoss(queues, now_);
}

void Scheduler::OnWorkerLost(const workers::WorkerLoss& loss) {
  const std::vector<const workers::Run*> suspects =
      workers::FindSuspects(loss, dispatcher_.containment().suspect_gap());
  // The members of a gang are one suspect.
  const bool is_one_suspect =
      !suspects.empty() &&
      std::all_of(suspects.begin(), suspects.end(),
                  [&](const workers::Run* run) {
                    return run == suspects.front() ||
                           (run->is_gang_member &&
                            run->task.step == suspects.front()->task.step);
                  });
  // A start without an answer may have been sent to a dead worker.
  const bool is_sole =
      is_one_suspect && suspects.front()->start_confirmed_ms != 0;
  const jobs::CrashBlame blame =
      is_sole ? jobs::CrashBlame::kSole : jobs::CrashBlame::kShared;
  if (loss.kind != workers::LossKind::kCrashed) {
    for (const workers::Run* run : suspects) {
      // A later incarnation won't tell when this one has ended: it may have
      // outlived the run.
      RecordLoss(loss, *run, jobs::CrashBlame::kShared);
    }
    return;
  }
  const bool is_explained = is_sole && IsKnownCause(*suspects.front());
  for (const workers::Run* run : suspects) {
    RecordCrash(loss, *run, blame);
  }
  for (const workers::Run& run : loss.runs) {
    const bool is_suspect =
        std::find(suspects.begin(), suspects.end(), &run) != suspects.end();
    if (is_suspect || !workers::MayHaveStarted(run)) {
      continue;
    }
    const bool is_young = workers::IsYoungAt(run, loss.alive_at);
    if (is_young && run.was_announced && run.start_confirmed_ms != 0) {
      // The next owner would count this start as a crash. It must not count
      // less because this owner has seen the crash and blames another run.
      RecordCrash(loss, run, jobs::CrashBlame::kShared);
    } else if (is_young || !is_explained) {
      // These are suspects only if they are lost like this again. A young run
      // may be the cause even if another one is a known cause of crashes.
      RecordCrash(loss, run, jobs::CrashBlame::kFaint);
    }
  }
}

bool Scheduler::IsKnownCause(const workers::Run& run) {
  jobs::Job* job = jobs_.Find(run.task.step.job);
  const jobs::CrashHistory* crashes =
      job == nullptr ? nullptr : job->CrashesOf(run.task);
  return crashes != nullptr &&
         (!crashes->crashes().empty() ||
          dispatcher_.containment().HasProof(job->queue, now_));
}

void Scheduler::RecordCrash(const workers::WorkerLoss& loss,
                            const workers::Run& run, jobs::CrashBlame blame) {
  jobs::Job* job = jobs_.Find(run.task.step.job);
  if (job == nullptr ||
      !job->RecordCrash(run.task, run.attempt, blame,
                        dispatcher_.containment().HasProof(job->queue, now_))) {
    return;
  }
  const bool is_guilty = jobs::IsFinal(job->state);
  telemetry_.counters->Increment("crash_suspects", jobs::ToString(blame));
  telemetry_.log->Write(
      is_guilty ? "task_crashes_workers" : "task_suspected",
      {{"task", jobs::ToString(run.task)},
       {"attempt", static_cast<std::int64_t>(run.attempt.value())},
       {"worker", loss.worker.value()},
       {"blame", jobs::ToString(blame)},
       {"how", workers::ToString(loss.kind)},
       {"confirmed", run.start_confirmed_ms != 0 ? "yes" : "no"},
       {"silent_ms", (now_ - loss.alive_at) / std::chrono::milliseconds(1)},
       {"lived_ms",
        (loss.alive_at - run.started_at) / std::chrono::milliseconds(1)},
       {"crashes", static_cast<std::int64_t>(
                       job->CrashesOf(run.task)->crashes().size())}});
  if (is_guilty) {
    GiveUp(*job, loss.alive_at - run.started_at);
  } else {
    jobs_.EnqueueJob(job->key, now_);
  }
}

void Scheduler::GiveUp(const jobs::Job& job, base::Duration lived) {
  telemetry_.counters->Increment("jobs_given_up", "crashes_workers");
  dispatcher_.containment().RecordProof(job.queue, lived, now_);
  EndJob(job);
}

bool Scheduler::HasGangSurvived(const jobs::Job& job,
                                const jobs::StepRef& step) {
  const std::set<PlacedRun>& runs = runs_.RunsOfStep(step);
  return runs.size() == job.SpecOf(step).tasks &&
         std::all_of(runs.begin(), runs.end(), [this](const PlacedRun& placed) {
           workers::Worker* worker = fleet_.Find(placed.worker);
           const workers::Run* run =
               worker == nullptr ? nullptr
                                 : worker->FindRun(placed.task, placed.attempt);
           return run != nullptr && run->state == workers::RunState::kRunning &&
                  !workers::IsYoungAt(*run, worker->alive_at);
         });
}

void Scheduler::OnSuspectSurvived(const workers::Run& run) {
  jobs::Job* job = jobs_.Find(run.task.step.job);
  // One member proves nothing about the others, which may have crashed their
  // workers meanwhile. The last member that survives clears the gang.
  if (job != nullptr &&
      (!run.is_gang_member || HasGangSurvived(*job, run.task.step))) {
    job->RecordSurvival(run.task);
    telemetry_.log->Write(
        "suspect_cleared",
        {{"task", jobs::ToString(run.task)},
         {"attempt", static_cast<std::int64_t>(run.attempt.value())}});
  }
}

void Scheduler::OnInheritedWorkerLost(const base::BackendId& worker,
                                      workers::LossKind kind) {
  telemetry_.counters->Increment("inherited_workers_lost",
                                 workers::ToString(kind));
  telemetry_.log->Write(
      "inherited_worker_lost",
      {{"worker", worker.value()}, {"how", workers::ToString(kind)}});
  dispatcher_.suspects().RecordInheritedLoss();
}

void Scheduler::WithdrawSurvivedAnnouncements() {
  std::vector<std::pair<jobs::TaskRef, jobs::Attempt>> survived;
  for (const auto& [id, worker] : fleet_.workers()) {
    for (const auto& [key, run] : worker.runs()) {
      // A draining worker may leave as planned before the run has survived, and
      // the next owner would find only its next incarnation.
      const bool may_leave = worker.listing().draining && !run.is_gang_member;
      if (run.was_announced && run.state == workers::RunState::kRunning &&
          (may_leave || worker.alive_at - run.started_at >= kSurvivalAge)) {
        survived.emplace_back(run.task, run.attempt);
      }
    }
  }
  for (const auto& [task, attempt] : survived) {
    jobs::Job* job = jobs_.Find(task.step.job);
    if (job != nullptr && job->FindTask(task) != nullptr &&
        job->CrashesOf(task)->announced_start() == attempt &&
        (!job->SpecOf(task.step).gang || HasGangSurvived(*job, task.step)) &&
        job->CrashesOf(task)->OnEnded(attempt)) {
      jobs_.EnqueueJob(job->key, now_);
    }
  }
}

void Scheduler::GiveUpForMissingStart(const jobs::TaskRef& task) {
  const jobs::Job* job = jobs_.Find(task.step.job);
  if (job == nullptr) {
    // Another task of the job was found guilty too.
    return;
  }
  telemetry_.log->Write("task_crashes_workers",
                        {{"task", jobs::ToString(task)}, {"blame", "missing"}});
  GiveUp(*job, base::Duration(0));
}

void Scheduler::StopInheritedIncompleteGangs() {
  if (has_checked_inherited_gangs_ || !fleet_.unreconciled().empty()) {
    return;
  }
  has_checked_inherited_gangs_ = true;
  std::vector<jobs::StepRef> incomplete;
  for (const auto& [key, job] : jobs_.jobs()) {
    if (!dispatcher_.suspects().MayHaveCrashedWorkers(job)) {
      continue;
    }
    for (const auto& [number, occurrence] : job.occurrences) {
      for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i) {
        const jobs::StepRef step{key, number, i};
        const std::size_t runs = runs_.RunsOfStep(step).size();
        if (job.spec.steps[i].gang && !occurrence.steps[i].is_done() &&
            runs > 0 && runs < job.spec.steps[i].tasks) {
          incomplete.push_back(step);
        }
      }
    }
  }
  for (const jobs::StepRef& step : incomplete) {
    jobs::Job* job = jobs_.Find(step.job);
    if (job == nullptr) {
      continue;
    }
    const jobs::TaskRef member{step, 0};
    telemetry_.log->Write(
        "gang_incomplete",
        {{"step", jobs::ToString(step)},
         {"running", static_cast<std::int64_t>(runs_.RunsOfStep(step).size())},
         {"members", static_cast<std::int64_t>(job->SpecOf(step).tasks)}});
    if (dispatcher_.suspects().IsGuiltyOfMissingStart(job, member, now_)) {
      GiveUpForMissingStart(member);
      continue;
    }
    jobs_.EnqueueJob(step.job, now_);
    StopRuns(step);
  }
}

}  // namespace dotterelbarrow::core::scheduler
