// How starts and ends of runs change the states of their jobs.
#include <algorithm>
#include <set>
#include <vector>

#include "dotterelbarrow/core/scheduler/scheduler.h"

namespace dotterelbarrow::core::scheduler {
namespace {

// Of the workers of an announced gang, so many are named in its job's record:
// some 4 kB. A crash of another one leaves no trace if the owner is lost, too.
constexpr std::size_t kMaxAnnouncedWorkers = 128;

}  // namespace

void Scheduler::OnStarted(const StartTask& command, CommandOutcome outcome,
                          std::int64_t clock_ms, base::TimePoint now) {
  now_ = now;
  telemetry_.counters->Increment("starts", ToString(outcome));
  const jobs::Job* job = jobs_.Find(command.task.step.job);
  if (job != nullptr && job->SpecOf(command.task.step).gang) {
    starting_gangs_.try_emplace(command.task.step, now);
  }
  if (outcome == CommandOutcome::kDone) {
    ConfirmStart(command.task, command.attempt);
  } else {
    telemetry_.log->Write(
        "start_failed",
        {{"task", jobs::ToString(command.task)},
         {"attempt", static_cast<std::int64_t>(command.attempt.value())},
         {"worker", command.worker.id.value()},
         {"outcome", ToString(outcome)}});
  }
  fleet_.OnStarted(command.worker.id, command.worker.born_ms,
                   {command.task, command.attempt}, outcome, clock_ms, now,
                   &actions_);
}

void Scheduler::ConfirmStart(const jobs::TaskRef& task, jobs::Attempt attempt) {
  jobs::Job* job = jobs_.Find(task.step.job);
  if (job == nullptr) {
    return;
  }
  job->has_started = true;
  jobs::CrashHistory* crashes = job->CrashesOf(task);
  if (crashes == nullptr || crashes->announced_start() != attempt) {
    return;
  }
  if (job->SpecOf(task.step).gang
          ? crashes->ConfirmStart(attempt, WorkersOfGang(task.step))
          : crashes->ConfirmStart(attempt)) {
    jobs_.EnqueueJob(job->key, now_);
  }
}

std::vector<jobs::WorkerIncarnation> Scheduler::WorkersOfGang(
    const jobs::StepRef& step) {
  std::set<jobs::WorkerIncarnation> found;
  for (const PlacedRun& run : runs_.RunsOfStep(step)) {
    if (found.size() < kMaxAnnouncedWorkers) {
      found.insert(workers::IncarnationOf(fleet_.Find(run.worker)->listing()));
    }
  }
  return {found.begin(), found.end()};
}

void Scheduler::OnStopped(const StopTask& command, CommandOutcome outcome,
                          std::int64_t clock_ms, base::TimePoint now) {
  now_ = now;
  telemetry_.counters->Increment("stops", ToString(outcome));
  fleet_.OnStopped(command.worker.id, command.worker.born_ms,
                   {command.task, command.attempt}, outcome, clock_ms,
                   &actions_);
}

void Scheduler::OnPolled(const PollWorker& command, const PollResult& result,
                         base::TimePoint now) {
  now_ = now;
  const bool is_long_poll = !command.is_immediate;
  fleet_.OnPolled(command.worker.id, command.worker.born_ms, is_long_poll,
                  result, now, &actions_, command.ends_stored);
}

void Scheduler::OnAdvice(const RequestAdvice& request,
                         const AdviceResult& result, base::TimePoint now) {
  now_ = now;
  dispatcher_.OnAdvice(request, result, now, &actions_);
}

void Scheduler::OnRunEnded(const workers::Worker& worker,
                           const workers::Run& run, jobs::RunEnd end,
                           const std::string& checkpoint) {
  runs_.Remove(worker.id(), run);
  dispatcher_.OnRunEnded(worker, run, end, now_);
  if (end == jobs::RunEnd::kDone) {
    if (run.is_orphan) {
      ReportUntrackedEnd(worker, run.task, run.attempt, end);
    }
    HoldEnd(worker, run.task);
  }
  UpdateQuarantine(worker, run, end);
  if (settings_.dispatcher.uses_run_times) {
    run_time_recorder_.OnRunEnded(worker, run, end,
                                  jobs_.Find(run.task.step.job), now_);
  }
  const bool never_started = end == jobs::RunEnd::kStopped &&
                             run.start_confirmed_ms == 0 &&
                             !run.was_lost_in_crash;
  ApplyRunEnd(run.task, run.attempt, end, checkpoint, worker.id(),
              never_started);
  jobs::Job* job = jobs_.Find(run.task.step.job);
  jobs::Step* step = job == nullptr ? nullptr : job->FindStep(run.task.step);
  if (step != nullptr &&
      (end == jobs::RunEnd::kWorkerGone || run.was_lost_in_crash)) {
    step->lost_at = now_;
  }
}

void Scheduler::OnUntrackedRunEnded(const workers::Worker& worker,
                                    const ListedEnd& end) {
  BeginListedOccurrence(end.task);
  ReportUntrackedEnd(worker, end.task, end.attempt, end.end);
  DisproveCrash(worker, end.task, end.attempt);
  if (end.end == jobs::RunEnd::kDone) {
    HoldEnd(worker, end.task);
  }
  jobs::Job* job = jobs_.Find(end.task.step.job);
  jobs::Task* task = job == nullptr ? nullptr : job->FindTask(end.task);
  if (task == nullptr || task->done) {
    return;
  }
  // The run was started by a previous owner, or given up when its lease
  // expired. Even if the task has another run by now, a failure counts as an
  // attempt, and a success completes the task.
  const bool is_conclusive =
      end.end == jobs::RunEnd::kDone || end.end == jobs::RunEnd::kFailed;
  if (is_conclusive || !task->may_be_running) {
    ApplyRunEnd(end.task, end.attempt, end.end, end.checkpoint, worker.id(),
                false);
  }
}

const char* Scheduler::FindWhyUntracked(const jobs::TaskRef& task,
                                        jobs::Attempt attempt) {
  jobs::Job* job = jobs_.Find(task.step.job);
  if (job == nullptr) {
    return jobs_.IsKnown(task.step.job) ? "job_ended" : "unknown_job";
  }
  if (task.step.occurrence >= job->occurrences_begun) {
    return "occurrence_not_begun";
  }
  const jobs::Task* found = job->FindTask(task);
  if (found == nullptr) {
    return "already_done";
  }
  if (found->last_attempt > attempt) {
    return job->SpecOf(task.step).may_have_copies() ? "has_copy" : "newer_run";
  }
  if (found->done) {
    return "already_done";
  }
  return found->may_be_running ? "same_attempt_elsewhere" : "task_waits";
}

void Scheduler::ReportUntrackedEnd(const workers::Worker& worker,
                                   const jobs::TaskRef& task,
                                   jobs::Attempt attempt, jobs::RunEnd end) {
  const char* why = FindWhyUntracked(task, attempt);
  telemetry_.counters->Increment(
      end == jobs::RunEnd::kDone ? "untracked_successes" : "untracked_ends",
      why);
  const jobs::Task* found = FindTask(task);
  telemetry_.log->Write(
      "untracked_end",
      {{"task", jobs::ToString(task)},
       {"attempt", static_cast<std::int64_t>(attempt.value())},
       {"worker", worker.id().value()},
       {"end", jobs::ToString(end)},
       {"why", why},
       {"last_attempt",
        static_cast<std::int64_t>(
            found == nullptr ? 0 : found->last_attempt.value())},
       {"number", static_cast<std::int64_t>(worker.ends_received)}});
}

void Scheduler::ApplyRunEnd(const jobs::TaskRef& task, jobs::Attempt attempt,
                            jobs::RunEnd end, const std::string& checkpoint,
                            const base::BackendId& worker, bool never_started) {
  jobs::Job* job = jobs_.Find(task.step.job);
  if (job == nullptr || job->FindTask(task) == nullptr) {
    return;
  }
  const desired::Queue* queue = dispatcher_.FindQueue(job->queue);
  // If the configuration doesn't name the queue, the rules that were stored
  // with the job's acceptance apply.
  const std::uint32_t max_attempts =
      (queue == nullptr ? job->rules : *queue).max_attempts;
  if (end != jobs::RunEnd::kDone) {
    telemetry_.log->Write(
        "run_ended", {{"task", jobs::ToString(task)},
                      {"attempt", static_cast<std::int64_t>(attempt.value())},
                      {"worker", worker.value()},
                      {"end", jobs::ToString(end)},
                      {"saved", checkpoint.empty() ? "no" : "yes"}});
  }
  if (never_started) {
    job->FindTask(task)->stopped_before_start_on = worker;
  }
  const bool is_gang = job->SpecOf(task.step).gang;
  const bool changed =
      job->RecordRunEnd(task, attempt, end, checkpoint, worker, max_attempts);
  if (end == jobs::RunEnd::kDone) {
    // Also if the job is completed by this: other runs would go on to their
    // ends, and reserved ones would keep their resources.
    if (!is_gang) {
      StopRunsOfTask(task);
    } else if (changed) {
      StopOtherAttempts(task.step, attempt);
    }
  }
  if (changed && jobs::IsFinal(job->state)) {
    EndJob(*job);
    return;
  }
  if (changed) {
    jobs_.EnqueueJob(job->key, now_);
  }
  if (end == jobs::RunEnd::kDone) {
    EnqueueReadySteps(*job);
  } else {
    // A gang member that never started is placed again while the others wait
    // for it. Otherwise the other members would end too, but stopping them is
    // more reliable and sooner.
    // An end of an earlier attempt says nothing about a later one.
    if (is_gang && !never_started) {
      StopRunsUpTo(task.step, attempt);
    }
    dispatcher_.Enqueue(task.step);
  }
}

void Scheduler::OnUntrackedRunListed(workers::Worker* worker,
                                     const ListedRun& listed,
                                     base::TimePoint now) {
  BeginListedOccurrence(listed.task);
  jobs::Job* job = jobs_.Find(listed.task.step.job);
  const bool is_wanted =
      job != nullptr && job->MayHaveRun(listed.task, listed.attempt);
  telemetry_.log->Write(
      is_wanted ? "run_adopted" : "run_unwanted",
      {{"task", jobs::ToString(listed.task)},
       {"attempt", static_cast<std::int64_t>(listed.attempt.value())},
       {"worker", worker->id().value()}});
  DisproveCrash(*worker, listed.task, listed.attempt);
  if (!is_wanted) {
    return;
  }
  workers::Run run =
      workers::MakeReservedRun(*job, listed.task, listed.attempt, now);
  run.state = workers::RunState::kRunning;
  run.started_at = now;
  run.was_announced =
      job->CrashesOf(listed.task)->announced_start() == listed.attempt;
  worker->AddRun(run);
  runs_.Add(worker->id(), run);
  job->RecordRun(listed.task, listed.attempt);
  job->state = jobs::JobState::kInProgress;
  dispatcher_.OnRunAdopted(worker->id(), run, now);
}

void Scheduler::OnStartRefused(const workers::Worker& worker,
                               const workers::Run& run,
                               CommandOutcome outcome) {
  runs_.Remove(worker.id(), run);
  dispatcher_.OnRunEnded(worker, run, jobs::RunEnd::kStopped, now_);
  if (outcome == CommandOutcome::kBadTicket) {
    dispatcher_.InvalidateTicket(run.task.step, worker.id());
  }
  ApplyRunEnd(run.task, run.attempt, jobs::RunEnd::kStopped, {}, worker.id(),
              outcome != CommandOutcome::kOutdated);
}

void Scheduler::OnWorkerReconciled(const base::BackendId& worker) {
  if (fleet_.unreconciled().empty()) {
    telemetry_.log->Write("workers_settled", {{"last", worker.value()}});
  }
}

void Scheduler::StopRuns(const jobs::StepRef& step) {
  const std::set<PlacedRun> runs = runs_.RunsOfStep(step);
  for (const PlacedRun& run : runs) {
    fleet_.Stop(run.worker, run.key(), now_, &actions_);
  }
}

void Scheduler::StopRunsOfTask(const jobs::TaskRef& task) {
  const std::set<PlacedRun> runs = runs_.RunsOfStep(task.step);
  for (const PlacedRun& run : runs) {
    if (run.task == task) {
      fleet_.Stop(run.worker, run.key(), now_, &actions_);
    }
  }
}

void Scheduler::StopRunsUpTo(const jobs::StepRef& step, jobs::Attempt attempt) {
  const std::set<PlacedRun> runs = runs_.RunsOfStep(step);
  for (const PlacedRun& run : runs) {
    if (run.attempt <= attempt) {
      fleet_.Stop(run.worker, run.key(), now_, &actions_);
    }
  }
}

void Scheduler::StopOtherAttempts(const jobs::StepRef& step,
                                  jobs::Attempt attempt) {
  const std::set<PlacedRun> runs = runs_.RunsOfStep(step);
  for (const PlacedRun& placed : runs) {
    workers::Worker* worker = fleet_.Find(placed.worker);
    const workers::Run* run =
        worker == nullptr ? nullptr
                          : worker->FindRun(placed.task, placed.attempt);
    if (run != nullptr && (placed.attempt != attempt ||
                           run->state == workers::RunState::kReserved)) {
      fleet_.Stop(placed.worker, placed.key(), now_, &actions_);
    }
  }
}

void Scheduler::StopRunsOfJob(const jobs::Job& job) {
  for (const auto& [number, occurrence] : job.occurrences) {
    for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i) {
      StopRuns({job.key, number, i});
    }
  }
}

void Scheduler::StopIncompleteGangs(base::TimePoint now) {
  for (auto it = starting_gangs_.begin(); it != starting_gangs_.end();) {
    const jobs::StepRef step = it->first;
    jobs::Job* job = jobs_.Find(step.job);
    const std::set<PlacedRun>& runs = runs_.RunsOfStep(step);
    std::size_t running = 0;
    for (const PlacedRun& run : runs) {
      const workers::Run* found =
          fleet_.Find(run.worker)->FindRun(run.task, run.attempt);
      running += found->state == workers::RunState::kRunning ? 1 : 0;
    }
    if (job == nullptr || runs.empty() || running == job->SpecOf(step).tasks) {
      it = starting_gangs_.erase(it);
    } else if (now - it->second >= settings_.gang_start_timeout) {
      telemetry_.log->Write(
          "gang_incomplete",
          {{"step", jobs::ToString(step)},
           {"running", static_cast<std::int64_t>(running)},
           {"members", static_cast<std::int64_t>(runs.size())}});
      it = starting_gangs_.erase(it);
      StopRuns(step);
    } else {
      ++it;
    }
  }
}

bool Scheduler::IsAtFault(const jobs::Task& task) {
  const workers::Worker* failed_on = fleet_.Find(task.failed_on);
  return failed_on != nullptr && failed_on->quarantine.is_blameless();
}

void Scheduler::UpdateQuarantine(const workers::Worker& worker,
                                 const workers::Run& run, jobs::RunEnd end) {
  workers::Worker* target = fleet_.Find(worker.id());
  if (target == nullptr) {
    return;
  }
  if (end == jobs::RunEnd::kDone) {
    target->quarantine.OnSuccess(run.started_at);
  }
  if (end != jobs::RunEnd::kFailed) {
    return;
  }
  jobs::Task* task = FindTask(run.task);
  const bool is_at_fault = task != nullptr && IsAtFault(*task);
  if (task != nullptr) {
    task->failed_at = now_;
  }
  if (!is_at_fault &&
      target->quarantine.OnFailure(run.task.step.job, run.started_at, now_)) {
    telemetry_.counters->Increment("worker_quarantines", "failures");
    telemetry_.log->Write(
        "worker_quarantined",
        {{"worker", worker.id().value()}, {"task", jobs::ToString(run.task)}});
  }
}

}  // namespace dotterelbarrow::core::scheduler
