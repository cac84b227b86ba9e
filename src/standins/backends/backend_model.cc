// Implementation of the simulated worker or runner.
#include "src/standins/backends/backend_model.h"

#include <algorithm>
#include <array>
#include <utility>

#include "src/standins/backends/run_plan.h"

namespace dotterelbarrow::standins {
namespace {

// Run time of each task under BackendFault::kFailsEverything.
constexpr base::Duration kFailureDelay = std::chrono::milliseconds(5);
// How long a tombstone is kept. Longer than any lease: a start that arrives
// after its lease has expired is refused anyway.
constexpr base::Duration kTombstoneLifetime = std::chrono::minutes(1);

constexpr std::array<std::pair<BackendFault, const char*>, 6> kFaultNames = {{
    {BackendFault::kNone, "none"},
    {BackendFault::kFrozen, "frozen"},
    {BackendFault::kSilent, "silent"},
    {BackendFault::kAnswerLost, "answer_lost"},
    {BackendFault::kFailsEverything, "fails_everything"},
    {BackendFault::kDead, "dead"},
}};

core::RunStatus RunStatusOf(core::TaskState state) {
  return state == core::TaskState::kSucceeded ? core::RunStatus::kDone
                                              : core::RunStatus::kFailed;
}

}  // namespace

const char* ToString(BackendFault fault) {
  for (const auto& [value, name] : kFaultNames) {
    if (value == fault) {
      return name;
    }
  }
  return "invalid";
}

std::optional<BackendFault> ParseBackendFault(const std::string& name) {
  for (const auto& [value, known] : kFaultNames) {
    if (name == known) {
      return value;
    }
  }
  return std::nullopt;
}

BackendModel::BackendModel(BackendTraits traits, RunLedger* ledger,
                           base::TimePoint now)
    : traits_(std::move(traits)),
      ledger_(ledger),
      lease_until_(now),
      usage_sampled_(now) {}

std::optional<core::BackendReport> BackendModel::Sync(
    const core::BackendSync& sync, base::TimePoint now) {
  Advance(now);
  if (fault_ == BackendFault::kFrozen || fault_ == BackendFault::kSilent ||
      fault_ == BackendFault::kDead) {
    return std::nullopt;
  }
  if (sync.epoch > epoch_) {
    AdoptEpoch(sync.epoch, now);
    report_to_ = sync.report_to;
  } else if (sync.epoch == epoch_) {
    report_to_ = sync.report_to;
    if (RenewLease(sync, now)) {
      ApplyCommands(sync, now);
    }
  }
  if (!MayAnswer()) {
    return std::nullopt;
  }
  return MakeReport(now);
}

RunReply BackendModel::Run(const core::RunCommand& command,
                           base::TimePoint now) {
  Advance(now);
  if (fault_ == BackendFault::kFrozen || fault_ == BackendFault::kSilent ||
      fault_ == BackendFault::kDead) {
    return NoAnswer();
  }
  if (command.epoch != epoch_ || !lease_valid_) {
    if (!MayAnswer()) {
      return NoAnswer();
    }
    return core::RunResult{traits_.backend, command.call,
                           core::RunStatus::kRefused, "no valid lease"};
  }
  const std::uint64_t execution = ++last_execution_;
  requests_.emplace(execution,
                    RunningRequest{command.call, Begin(command.task, now)});
  return RunAccepted{execution};
}

void BackendModel::Advance(base::TimePoint now) {
  if (!frozen_since_) {
    EndDueWork(lease_valid_ ? std::min(now, lease_until_) : now);
  }
  if (lease_valid_ && now >= lease_until_) {
    lease_valid_ = false;
    EndAllWork(core::TaskState::kLeaseExpired);
  }
  SampleUsage(now);
}

std::optional<base::TimePoint> BackendModel::next_event() const {
  std::optional<base::TimePoint> next;
  const auto consider = [&next](base::TimePoint at) {
    next = next ? std::min(*next, at) : at;
  };
  if (lease_valid_) {
    consider(lease_until_);
  }
  if (frozen_since_) {
    return next;
  }
  for (const auto& [id, running] : tasks_) {
    if (running.ends_at) {
      consider(*running.ends_at);
    }
  }
  for (const auto& [execution, request] : requests_) {
    if (request.run.ends_at) {
      consider(*request.run.ends_at);
    }
  }
  return next;
}

std::vector<FinishedRun> BackendModel::TakeFinishedRuns() {
  return std::exchange(finished_runs_, {});
}

std::optional<core::BackendReport> BackendModel::TakeUnsolicitedReport(
    base::TimePoint now) {
  Advance(now);
  if (!report_is_due_ || !MayAnswer() || report_to_.empty()) {
    return std::nullopt;
  }
  return MakeReport(now);
}

void BackendModel::SetFault(BackendFault fault, base::TimePoint now) {
  Advance(now);
  if (fault == fault_) {
    return;
  }
  if (fault_ == BackendFault::kFrozen) {
    Thaw(now);
  }
  if (fault_ == BackendFault::kDead) {
    Restart();
  }
  fault_ = fault;
  if (fault_ == BackendFault::kFrozen) {
    frozen_since_ = now;
  }
  if (fault_ == BackendFault::kDead) {
    Die();
  }
}

base::Resources BackendModel::in_use() const {
  base::Resources sum;
  for (const auto& [id, running] : tasks_) {
    sum += running.spec.demand;
  }
  for (const auto& [execution, request] : requests_) {
    sum += request.run.spec.demand;
  }
  return sum;
}

std::uint64_t BackendModel::TokenAt(base::TimePoint now) const {
  // Token 0 in a sync means a claim, so no report may carry it.
  return static_cast<std::uint64_t>(now.time_since_epoch().count()) + 1;
}

bool BackendModel::MayAnswer() const {
  return fault_ == BackendFault::kNone ||
         fault_ == BackendFault::kFailsEverything;
}

void BackendModel::AdoptEpoch(const base::Epoch& epoch, base::TimePoint now) {
  epoch_ = epoch;
  first_token_ = TokenAt(now);
  owner_knows_tasks_ = false;
}

bool BackendModel::RenewLease(const core::BackendSync& sync,
                              base::TimePoint now) {
  const std::uint64_t token = sync.lease_token;
  if (token < first_token_ || token > TokenAt(now)) {
    return false;
  }
  const base::TimePoint issued(
      base::Duration(static_cast<base::Duration::rep>(token - 1)));
  const base::TimePoint until = issued + sync.lease_duration;
  if (until <= now) {
    return false;
  }
  lease_until_ = lease_valid_ ? std::max(lease_until_, until) : until;
  lease_valid_ = true;
  owner_knows_tasks_ = true;
  return true;
}

void BackendModel::ApplyCommands(const core::BackendSync& sync,
                                 base::TimePoint now) {
  for (const base::TaskId& task : sync.acknowledged) {
    if (ended_.erase(task) > 0) {
      AddTombstone(task, now);
    }
  }
  for (const base::TaskId& task : sync.stop) {
    StopTask(task, now);
  }
  for (const core::TaskSpec& task : sync.start) {
    StartTask(task, now);
  }
}

void BackendModel::StartTask(const core::TaskSpec& task, base::TimePoint now) {
  const bool known = tasks_.contains(task.id) || ended_.contains(task.id) ||
                     tombstones_.contains(task.id);
  if (!known) {
    tasks_.emplace(task.id, Begin(task, now));
  }
}

void BackendModel::StopTask(const base::TaskId& task, base::TimePoint now) {
  if (tasks_.contains(task)) {
    EndTask(task, core::TaskState::kStopped, "stopped");
  } else if (!ended_.contains(task)) {
    AddTombstone(task, now);
  }
}

BackendModel::Running BackendModel::Begin(const core::TaskSpec& task,
                                          base::TimePoint now) {
  const bool fits = (in_use() + task.demand).FitsIn(traits_.capacity);
  ledger_->RecordStart(task, traits_.backend, fits);
  const RunPlan plan = PlanOf(task);
  if (!plan.idempotency_key.empty()) {
    ledger_->RecordKey(task.id.job.team, plan.idempotency_key);
  }
  const RunCounts counts = ledger_->CountsOf({task.id.job, task.id.index});
  Running running{task, std::nullopt, core::TaskState::kSucceeded, "ok"};
  if (plan.run) {
    running.ends_at = now + *plan.run;
  }
  if (plan.fail || counts.failed < plan.fail_times) {
    running.end = core::TaskState::kFailed;
    running.result = "told to fail";
  }
  if (fault_ == BackendFault::kFailsEverything) {
    running.ends_at = now + kFailureDelay;
    running.end = core::TaskState::kFailed;
    running.result = "this backend server fails everything";
  }
  return running;
}

void BackendModel::EndTask(const base::TaskId& task, core::TaskState state,
                           std::string result) {
  const auto it = tasks_.find(task);
  ledger_->RecordEnd(task, traits_.backend, state);
  ended_[task] = core::TaskReport{task, std::move(it->second.spec), state,
                                  std::move(result)};
  tasks_.erase(it);
  report_is_due_ = true;
}

void BackendModel::EndRequest(std::uint64_t execution, core::TaskState state,
                              std::string result) {
  const auto it = requests_.find(execution);
  const RunningRequest& request = it->second;
  ledger_->RecordEnd(request.run.spec.id, traits_.backend, state);
  if (MayAnswer()) {
    finished_runs_.push_back(
        {execution, core::RunResult{traits_.backend, request.call,
                                    RunStatusOf(state), std::move(result)}});
  }
  requests_.erase(it);
}

void BackendModel::EndDueWork(base::TimePoint until) {
  const auto is_due = [until](const Running& running) {
    return running.ends_at && *running.ends_at <= until;
  };
  for (auto it = tasks_.begin(); it != tasks_.end();) {
    const auto& [id, running] = *it++;
    if (is_due(running)) {
      EndTask(base::TaskId(id), running.end, running.result);
    }
  }
  for (auto it = requests_.begin(); it != requests_.end();) {
    const auto& [execution, request] = *it++;
    if (is_due(request.run)) {
      EndRequest(execution, request.run.end, request.run.result);
    }
  }
}

void BackendModel::EndAllWork(core::TaskState state) {
  while (!tasks_.empty()) {
    EndTask(base::TaskId(tasks_.begin()->first), state, "lease expired");
  }
  while (!requests_.empty()) {
    EndRequest(requests_.begin()->first, state, "lease expired");
  }
}

void BackendModel::SampleUsage(base::TimePoint now) {
  if (now - usage_sampled_ >= traits_.usage_lag) {
    usage_ = in_use();
    usage_sampled_ = now;
  }
}

void BackendModel::AddTombstone(const base::TaskId& task, base::TimePoint now) {
  std::erase_if(tombstones_, [now](const auto& entry) {
    return now - entry.second > kTombstoneLifetime;
  });
  tombstones_[task] = now;
}

void BackendModel::Die() {
  EndAllWork(core::TaskState::kStopped);
  ended_.clear();
  tombstones_.clear();
  finished_runs_.clear();
  report_is_due_ = false;
  lease_valid_ = false;
}

void BackendModel::Restart() {
  incarnation_ = incarnation_.next();
  epoch_ = base::Epoch();
  first_token_ = 0;
  owner_knows_tasks_ = false;
  report_to_.clear();
  sequence_ = 0;
  usage_ = base::Resources();
}

void BackendModel::Thaw(base::TimePoint now) {
  const base::Duration frozen = now - *frozen_since_;
  for (auto& [id, running] : tasks_) {
    if (running.ends_at) {
      *running.ends_at += frozen;
    }
  }
  for (auto& [execution, request] : requests_) {
    if (request.run.ends_at) {
      *request.run.ends_at += frozen;
    }
  }
  frozen_since_.reset();
}

core::BackendReport BackendModel::MakeReport(base::TimePoint now) {
  report_is_due_ = false;
  core::BackendReport report;
  report.backend = traits_.backend;
  report.incarnation = incarnation_;
  report.epoch = epoch_;
  report.sequence = ++sequence_;
  report.lease_token = TokenAt(now);
  report.lease_valid = lease_valid_;
  report.capacity = traits_.capacity;
  report.usage = usage_;
  for (const auto& [id, running] : tasks_) {
    report.tasks.push_back({id, running.spec, core::TaskState::kRunning, ""});
  }
  for (const auto& [execution, request] : requests_) {
    const core::TaskSpec& spec = request.run.spec;
    report.tasks.push_back({spec.id, spec, core::TaskState::kRunning, ""});
  }
  for (const auto& [id, ended] : ended_) {
    report.tasks.push_back(ended);
  }
  if (owner_knows_tasks_) {
    for (core::TaskReport& task : report.tasks) {
      task.spec = core::TaskSpec();
    }
  }
  return report;
}

}  // namespace dotterelbarrow::standins
