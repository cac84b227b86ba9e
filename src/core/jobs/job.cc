// Job state transitions caused by reported runs and run ends.
#include "dotterelbarrow/core/jobs/job.h"

#include <algorithm>

namespace dotterelbarrow::core::jobs {
namespace {

// A task and one copy of it.
constexpr std::size_t kMaxActiveRuns = 2;

// Appends `attempt` unless it is present; returns whether it was appended.
bool AddOnce(Attempt attempt, std::vector<Attempt>* attempts) {
  if (std::find(attempts->begin(), attempts->end(), attempt) !=
      attempts->end()) {
    return false;
  }
  attempts->push_back(attempt);
  return true;
}

}  // namespace

const char* ToString(JobState state) {
  switch (state) {
    case JobState::kQueued:
      return "queued";
    case JobState::kInProgress:
      return "running";
    case JobState::kCompleted:
      return "done";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

const char* ToString(RunEnd end) {
  switch (end) {
    case RunEnd::kDone:
      return "done";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kStopped:
      return "stopped";
    case RunEnd::kLeaseExpired:
      return "lapsed";
    case RunEnd::kGangBroken:
      return "gang_broken";
    case RunEnd::kGangTimeout:
      return "gang_timeout";
    case RunEnd::kWorkerGone:
      return "worker_gone";
  }
  return "unknown";
}

bool Occurrence::is_done() const {
  return std::all_of(steps.begin(), steps.end(),
                     [](const Step& step) { return step.is_done(); });
}

Step* Job::FindStep(const StepRef& ref) {
  const auto it = occurrences.find(ref.occurrence);
  if (it == occurrences.end() || ref.step >= it->second.steps.size()) {
    return nullptr;
  }
  return &it->second.steps[ref.step];
}

Task* Job::FindTask(const TaskRef& ref) {
  Step* step = FindStep(ref.step);
  return step == nullptr || ref.index >= step->tasks.size()
             ? nullptr
             : &step->tasks[ref.index];
}

Occurrence Job::MakeOccurrence() const {
  Occurrence occurrence;
  for (const StepSpec& step : spec.steps) {
    occurrence.steps.emplace_back().tasks.resize(step.tasks);
  }
  return occurrence;
}

void Job::BeginOccurrence() {
  occurrences[occurrences_begun] = MakeOccurrence();
  ++occurrences_begun;
}

bool Job::MayBeginOccurrence() const {
  std::size_t tasks_of_one = 0;
  for (const StepSpec& step : spec.steps) {
    tasks_of_one += step.tasks;
  }
  return occurrences_begun < spec.occurrences() &&
         (occurrences.empty() ||
          (occurrences.size() + 1) * tasks_of_one <= kMaxUnfinishedTasks);
}

bool Job::IsUnblocked(const Occurrence& occurrence, std::uint32_t step) const {
  const std::vector<std::uint32_t>& earlier = spec.steps[step].depends_on;
  return std::all_of(earlier.begin(), earlier.end(),
                     [&occurrence](std::uint32_t index) {
                       return occurrence.steps[index].is_done();
                     });
}

void Job::RecordRun(const TaskRef& ref, Attempt attempt) {
  Task* task = FindTask(ref);
  if (task == nullptr) {
    return;
  }
  if (!task->may_be_running) {
    task->may_be_running = true;
    if (!task->done) {
      ++FindStep(ref.step)->possibly_running;
    }
  }
  if (SpecOf(ref.step).may_have_copies()) {
    AddOnce(attempt, &task->active_attempts);
  }
  task->last_attempt = std::max(task->last_attempt, attempt);
  if (state == JobState::kQueued) {
    state = JobState::kInProgress;
  }
}

bool Job::MayHaveRun(const TaskRef& ref, Attempt attempt) {
  const Task* task = FindTask(ref);
  if (task == nullptr || task->done) {
    return false;
  }
  if (!SpecOf(ref.step).may_have_copies()) {
    return !task->may_be_running && attempt >= task->last_attempt;
  }
  // The attempt may be lower than that of a copy that was found first.
  const std::vector<Attempt>& active = task->active_attempts;
  return active.size() < kMaxActiveRuns &&
         std::find(active.begin(), active.end(), attempt) == active.end();
}

bool Job::RemoveRun(const TaskRef& ref, Attempt attempt) {
  Task* task = FindTask(ref);
  bool is_current = attempt >= task->last_attempt;
  bool is_last = is_current;
  if (SpecOf(ref.step).may_have_copies()) {
    is_current |= std::erase(task->active_attempts, attempt) > 0;
    is_last = task->active_attempts.empty();
  }
  if (is_last && task->may_be_running) {
    task->may_be_running = false;
    --FindStep(ref.step)->possibly_running;
  }
  return is_current;
}

bool Job::RecordRunEnd(const TaskRef& ref, Attempt attempt, RunEnd end,
                       const std::string& checkpoint,
                       const base::BackendId& worker,
                       std::uint32_t max_attempts) {
  Task* task = FindTask(ref);
  if (task == nullptr || task->done) {
    return false;
  }
  Step* step = FindStep(ref.step);
  has_started |= end == RunEnd::kDone || end == RunEnd::kFailed;
  const bool is_current = RemoveRun(ref, attempt);
  task->last_attempt = std::max(task->last_attempt, attempt);
  if (is_current && !checkpoint.empty()) {
    task->checkpoint = checkpoint;
  }
  if (end == RunEnd::kDone && !SpecOf(ref.step).long_running) {
    return RecordDone(ref, step);
  }
  const bool was_announced = CrashesOf(ref)->OnEnded(attempt);
  if (end == RunEnd::kFailed) {
    // Its worker is there to report it.
    RecordSurvival(ref);
    return RecordFailure(ref, attempt, step, worker, max_attempts) ||
           was_announced;
  }
  return was_announced;
}

CrashHistory* Job::CrashesOf(const TaskRef& ref) {
  Task* task = FindTask(ref);
  if (task == nullptr) {
    return nullptr;
  }
  return SpecOf(ref.step).gang ? &FindStep(ref.step)->gang_crashes
                               : &task->crashes;
}

bool Job::RecordCrash(const TaskRef& ref, Attempt attempt, CrashBlame blame,
                      bool has_precedent) {
  CrashHistory* crashes = CrashesOf(ref);
  if (crashes == nullptr || IsFinal(state) || FindTask(ref)->done ||
      !crashes->Add(attempt, blame)) {
    return false;
  }
  FailIfGuilty(ref, has_precedent);
  return true;
}

bool Job::RecordLoss(const TaskRef& ref, const CrashHistory::Loss& loss) {
  CrashHistory* crashes = CrashesOf(ref);
  return crashes != nullptr && !IsFinal(state) && !FindTask(ref)->done &&
         crashes->AddLoss(loss);
}

bool Job::ProveLosses(const TaskRef& ref, const WorkerIncarnation& worker,
                      bool has_precedent) {
  CrashHistory* crashes = CrashesOf(ref);
  if (crashes == nullptr || IsFinal(state) || FindTask(ref)->done ||
      !crashes->ProveLosses(worker)) {
    return false;
  }
  FailIfGuilty(ref, has_precedent);
  return true;
}

bool Job::DisproveLosses(const TaskRef& ref, const WorkerIncarnation& worker) {
  CrashHistory* crashes = CrashesOf(ref);
  return crashes != nullptr && crashes->DisproveLosses(worker);
}

bool Job::DisproveCrash(const TaskRef& ref, Attempt attempt) {
  CrashHistory* crashes = CrashesOf(ref);
  return crashes != nullptr && !SpecOf(ref.step).gang &&
         crashes->DisproveCrash(attempt);
}

bool Job::RecordMissingStart(const TaskRef& ref, bool has_precedent) {
  CrashesOf(ref)->CountMissingStart();
  FailIfGuilty(ref, has_precedent);
  return IsFinal(state);
}

void Job::FailIfGuilty(const TaskRef& ref, bool has_precedent) {
  const StepSpec& spec_of_step = SpecOf(ref.step);
  const bool is_exposed = spec_of_step.gang || spec_of_step.long_running;
  const std::size_t sole_crashes = is_exposed
                                       ? CrashHistory::kSoleCrashesOfGang
                                       : CrashHistory::kSoleCrashesOfTask;
  if (CrashesOf(ref)->IsGuilty(sole_crashes, has_precedent && !is_exposed)) {
    state = JobState::kFailed;
  }
}

void Job::RecordSurvival(const TaskRef& ref) {
  if (CrashHistory* crashes = CrashesOf(ref)) {
    const StepSpec& spec_of_step = SpecOf(ref.step);
    crashes->OnSurvived(spec_of_step.gang || spec_of_step.long_running);
  }
}

bool Job::RecordDone(const TaskRef& ref, Step* step) {
  const auto finish = [step](Task* task) {
    if (task->done) {
      return;
    }
    if (task->may_be_running) {
      --step->possibly_running;
    }
    task->done = true;
    ++step->done;
  };
  if (SpecOf(ref.step).gang) {
    // The members of a gang end together, so that the completion of one member
    // completes all.
    for (Task& member : step->tasks) {
      finish(&member);
    }
  } else {
    finish(&step->tasks[ref.index]);
  }
  RemoveDoneOccurrences();
  return true;
}

bool Job::RecordFailure(const TaskRef& ref, Attempt attempt, Step* step,
                        const base::BackendId& worker,
                        std::uint32_t max_attempts) {
  Task* task = &step->tasks[ref.index];
  task->failed_on = worker;
  const StepSpec& spec_of_step = SpecOf(ref.step);
  if (spec_of_step.long_running || !AddOnce(attempt, &task->failed_attempts)) {
    return false;
  }
  std::size_t failures = task->failed_attempts.size();
  if (spec_of_step.gang) {
    AddOnce(attempt, &step->failed_gang_attempts);
    failures = step->failed_gang_attempts.size();
  }
  if (failures >= max_attempts && !IsFinal(state)) {
    state = JobState::kFailed;
  }
  return true;
}

void Job::RemoveDoneOccurrences() {
  // After one member's completion has completed its gang, workers may still
  // list runs of the other members. Those runs are looked up through their
  // worker, not through the job.
  std::erase_if(occurrences,
                [](const auto& entry) { return entry.second.is_done(); });
  if (occurrences.empty() && occurrences_begun >= spec.occurrences() &&
      !IsFinal(state)) {
    state = JobState::kCompleted;
  }
}

}  // namespace dotterelbarrow::core::jobs
