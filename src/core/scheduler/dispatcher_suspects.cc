// Placement of tasks that may crash their workers.
#include "dotterelbarrow/core/scheduler/dispatcher_suspects.h"

#include <algorithm>
#include <iterator>

namespace dotterelbarrow::core::scheduler {
namespace {

using placement::Candidate;

// How long nothing else is started on a worker that a suspect is to use: until
// the tasks that were just started there are confirmed and no longer young.
constexpr base::Duration kMaxKeptForSuspect = std::chrono::milliseconds(400);

// How long a start waits for news of the workers that were lost before, beyond
// the time after which their leases have expired. A crashed worker is back some
// seconds after its crash.
constexpr base::Duration kEvidenceWait = std::chrono::seconds(2);

// A task whose start has waited and that hasn't been started for so long is
// treated as one that has not waited yet.
constexpr base::Duration kForgottenAfter = std::chrono::minutes(1);

// Whether all runs of the worker are older than any run that is suspected when
// a worker crashes. Otherwise a suspect that is started now would get the sole
// blame for a crash that another run causes 150 ms after its own start.
bool IsQuiet(const workers::Worker& worker, base::TimePoint now) {
  return std::none_of(worker.runs().begin(), worker.runs().end(),
                      [now](const auto& entry) {
                        const workers::Run& run = entry.second;
                        return run.state == workers::RunState::kReserved ||
                               run.state == workers::RunState::kStarting ||
                               now - run.started_at <= workers::kSuspectAge;
                      });
}

// Whether the announced start of a task happens on this worker.
bool IsAnnouncedOn(const workers::Worker& worker,
                   const jobs::CrashHistory& crashes) {
  const std::vector<jobs::WorkerIncarnation> announced =
      crashes.announced_workers();
  return announced.size() == 1 &&
         jobs::IsSameIncarnation(announced.front(),
                                 workers::IncarnationOf(worker.listing()));
}

}  // namespace

void DispatcherSuspects::UpdateNewestIncarnation() {
  const std::uint64_t version = context_->fleet->incarnations_version();
  if (incarnations_version_ == version) {
    return;
  }
  incarnations_version_ = version;
  newest_born_ms_ = workers::kUnknownIncarnation;
  has_unknown_incarnation_ = false;
  for (const auto& [id, worker] : context_->fleet->workers()) {
    const std::int64_t born_ms = worker.listing().born_ms;
    has_unknown_incarnation_ |= born_ms == workers::kUnknownIncarnation;
    newest_born_ms_ = std::max(newest_born_ms_, born_ms);
  }
}

bool DispatcherSuspects::MayHaveCrashedWorkers(const jobs::Job& job) const {
  return context_->inherited.contains(job.key) &&
         (has_lost_inherited_workers_ || has_unknown_incarnation_ ||
          job.newest_born_ms == workers::kUnknownIncarnation ||
          newest_born_ms_ > job.newest_born_ms);
}

bool DispatcherSuspects::NeedsAnnouncement(
    const WaitingStep& item, const jobs::Task& task,
    const jobs::CrashHistory& crashes) const {
  return crashes.is_suspect() || crashes.announced_start() ||
         (task.last_attempt < context_->first_attempt &&
          MayHaveCrashedWorkers(*item.job));
}

DispatcherSuspects::MissingStart DispatcherSuspects::FindMissingStart(
    const jobs::CrashHistory& crashes) const {
  MissingStart missing;
  if (!crashes.announced_start() || !crashes.is_start_confirmed() ||
      *crashes.announced_start() >= context_->first_attempt) {
    return missing;
  }
  missing.silent = crashes.announced_workers();
  for (const auto& entry : context_->fleet->workers()) {
    const workers::Worker& worker = entry.second;
    const jobs::WorkerIncarnation present =
        workers::IncarnationOf(worker.listing());
    std::erase_if(missing.silent, [&](const jobs::WorkerIncarnation& before) {
      if (jobs::IsSuccessor(present, before)) {
        missing.has_crashed = true;
        return true;
      }
      return worker.is_claimed && jobs::IsSameIncarnation(present, before);
    });
  }
  return missing;
}

bool DispatcherSuspects::IsGuiltyOfMissingStart(jobs::Job* job,
                                                const jobs::TaskRef& task,
                                                base::TimePoint now) {
  jobs::CrashHistory* crashes = job->CrashesOf(task);
  const MissingStart missing = FindMissingStart(*crashes);
  if (missing.has_crashed) {
    return job->RecordMissingStart(
        task, context_->containment.HasProof(job->queue, now));
  }
  for (const jobs::WorkerIncarnation& worker : missing.silent) {
    if (job->RecordLoss(task, {*crashes->announced_start(), worker})) {
      losses_.push_back({task, worker, now});
    }
  }
  return false;
}

bool DispatcherSuspects::IsStartAnnounced(jobs::Job* job,
                                          const jobs::TaskRef& task,
                                          jobs::Attempt attempt,
                                          const workers::Worker* worker,
                                          base::TimePoint now) {
  if (jobs::IsFinal(job->state)) {
    return false;
  }
  jobs::CrashHistory* crashes = job->CrashesOf(task);
  const bool is_gang = worker == nullptr;
  if (crashes->announced_start() == attempt &&
      (is_gang || IsAnnouncedOn(*worker, *crashes))) {
    return context_->jobs->IsUpToDate(job->key);
  }
  // The verdict must come before the next start: owners may change so often
  // that none of them sees a crash.
  if (IsGuiltyOfMissingStart(job, task, now)) {
    guilty_tasks_.push_back(task);
    return false;
  }
  crashes->AnnounceStart(
      attempt, is_gang
                   ? std::vector<jobs::WorkerIncarnation>()
                   : std::vector{workers::IncarnationOf(worker->listing())});
  context_->jobs->EnqueueJob(job->key, now);
  return false;
}

void DispatcherSuspects::KeepAnnouncedOnly(
    const jobs::CrashHistory& crashes, jobs::Attempt attempt,
    const jobs::StepSpec& spec, std::vector<Candidate>* candidates,
    std::vector<Candidate>* others) const {
  if (crashes.announced_start() != attempt) {
    return;
  }
  const auto is_announced = [&](const Candidate& candidate) {
    return IsAnnouncedOn(*candidate.worker, crashes) &&
           placement::HasCapacityFor(candidate, spec);
  };
  if (std::any_of(candidates->begin(), candidates->end(), is_announced)) {
    const auto first_other = std::stable_partition(
        candidates->begin(), candidates->end(), is_announced);
    others->assign(first_other, candidates->end());
    candidates->erase(first_other, candidates->end());
  }
}

bool DispatcherSuspects::WaitsForEvidence(const jobs::TaskRef& task,
                                          const jobs::CrashHistory& crashes,
                                          base::TimePoint now) {
  if (!crashes.awaits_evidence()) {
    return false;
  }
  const auto [awaited, is_new] =
      evidence_awaited_until_.try_emplace(task, now + kEvidenceWait);
  const base::TimePoint until = awaited->second;
  if (is_new) {
    std::erase_if(evidence_awaited_until_, [now](const auto& entry) {
      return now - entry.second > kForgottenAfter;
    });
  }
  return now < until;
}

bool DispatcherSuspects::IsUnproven(const WaitingStep& item,
                                    base::TimePoint now) const {
  if (!context_->containment.IsOnAlert(item.queue->id, now) ||
      item.job->FindStep(item.step)->done > 0) {
    return false;
  }
  const std::set<PlacedRun>& runs = context_->runs->RunsOfStep(item.step);
  return std::none_of(runs.begin(), runs.end(), [&](const PlacedRun& placed) {
    workers::Worker* worker = context_->fleet->Find(placed.worker);
    const workers::Run* run = worker->FindRun(placed.task, placed.attempt);
    return run->state == workers::RunState::kRunning &&
           worker->failed_polls == 0 && !workers::IsYoungAt(*run, now);
  });
}

const workers::Worker* DispatcherSuspects::ChooseForTask(
    WaitingStep* item, std::uint32_t index, std::vector<Candidate>* candidates,
    std::vector<Candidate>* suspects_candidates, base::TimePoint now) {
  const jobs::StepSpec& spec = item->job->SpecOf(item->step);
  jobs::Step* step = item->job->FindStep(item->step);
  jobs::Task& task = step->tasks[index];
  const bool is_suspect = task.crashes.is_suspect();
  const bool is_first = !is_suspect && IsUnproven(*item, now);
  const bool is_sole_suspect = is_suspect && task.crashes.is_sole_suspect();
  if (is_sole_suspect && !context_->containment.MayExposeToSuspect(now)) {
    item->waits_for_isolation = true;
    return nullptr;
  }
  if (WaitsForEvidence({item->step, index}, task.crashes, now)) {
    item->waits_for_isolation = true;
    return nullptr;
  }
  const bool needs_announcement = NeedsAnnouncement(*item, task, task.crashes);
  const jobs::Attempt attempt = context_->NextAttempt(*step, index);
  std::vector<Candidate>* choices =
      is_suspect ? suspects_candidates : candidates;
  std::vector<Candidate> others;
  KeepAnnouncedOnly(task.crashes, attempt, spec, choices, &others);
  const workers::Worker* best = nullptr;
  if (is_suspect) {
    best = ChooseForSuspect(choices, spec, task.failed_on, now);
    item->waits_for_isolation |= best == nullptr;
  } else {
    best = placement::AllocateOnBest(choices, spec, task.failed_on,
                                     is_first ? placement::Exposure::kContained
                                              : placement::Exposure::kOrdinary);
  }
  choices->insert(choices->end(), others.begin(), others.end());
  if (best == nullptr) {
    return nullptr;
  }
  if (needs_announcement &&
      !IsStartAnnounced(item->job, {item->step, index}, attempt, best, now)) {
    item->waits_for_isolation = true;
    return nullptr;
  }
  if (is_sole_suspect) {
    context_->containment.RecordSuspectStart(now);
  }
  RecordStart({item->step, index});
  // Neither kind joins the other.
  std::erase_if(
      is_suspect ? *candidates : *suspects_candidates,
      [best](const Candidate& candidate) { return candidate.worker == best; });
  return best;
}

const workers::Worker* DispatcherSuspects::ChooseForSuspect(
    std::vector<Candidate>* candidates, const jobs::StepSpec& spec,
    const base::BackendId& failed_on, base::TimePoint now) {
  std::vector<Candidate> quiet;
  std::copy_if(candidates->begin(), candidates->end(),
               std::back_inserter(quiet), [now](const Candidate& candidate) {
                 return IsQuiet(*candidate.worker, now);
               });
  const workers::Worker* best = placement::AllocateOnBest(
      &quiet, spec, failed_on, placement::Exposure::kContained);
  if (best != nullptr) {
    std::erase_if(*candidates, [best](const Candidate& candidate) {
      return candidate.worker == best;
    });
    return best;
  }
  std::erase_if(kept_for_suspects_,
                [now](const auto& entry) { return now >= entry.second; });
  if (kept_for_suspects_.size() < context_->containment.MaxKeptWorkers()) {
    std::vector<Candidate> busy = *candidates;
    std::erase_if(busy, [&](const Candidate& candidate) {
      return IsKeptForSuspect(*candidate.worker, now);
    });
    if (const workers::Worker* kept = placement::AllocateOnBest(
            &busy, spec, failed_on, placement::Exposure::kContained)) {
      kept_for_suspects_[kept->number()] = now + kMaxKeptForSuspect;
    }
  }
  return nullptr;
}

bool DispatcherSuspects::IsKeptForSuspect(const workers::Worker& worker,
                                          base::TimePoint now) const {
  const auto it = kept_for_suspects_.find(worker.number());
  return it != kept_for_suspects_.end() && now < it->second;
}

}  // namespace dotterelbarrow::core::scheduler
