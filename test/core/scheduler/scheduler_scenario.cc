// Executes the actions of the scheduler under test.
#include "test/core/scheduler/scheduler_scenario.h"

#include <doctest/doctest.h>
#include <json/json.h>

#include <algorithm>
#include <utility>

#include "dotterelbarrow/base/overloaded.h"
#include "dotterelbarrow/core/codec.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kWorkerCores = 4;
constexpr std::int64_t kMillicores = 1000;
// A share that no organisation exceeds here.
constexpr double kAmpleWeight = 1000;
// The number of run ends that an answer to a poll lists at most.
constexpr std::size_t kMaxListedEnds = 500;
// The store's limits for a transaction and, encoded as base64, for a row.
constexpr std::size_t kStoreMaxEntries = 100;
constexpr std::size_t kStoreMaxRowBytes = 65'536;
constexpr std::size_t kStoreMaxBodyBytes = 1'000'000;

desired::Queue MakeQueue(const std::string& name) {
  desired::Queue queue;
  queue.id = desired::QueueId(name);
  queue.service = base::ServiceId("tasks");
  queue.max_attempts = SchedulerScenario::kMaxAttempts;
  queue.slack_factor = 10.0;
  queue.completion_target = seconds(5);
  return queue;
}

}  // namespace

const base::OrganisationId SchedulerScenario::kSchool("school");
const base::OrganisationId SchedulerScenario::kClub("club");

SchedulerScenario::SchedulerScenario(const SchedulerSettings& settings)
    : settings_(settings), service_("tasks") {
  desired::Queue advised = MakeQueue("advised");
  advised.advice = desired::AdvicePolicy{
      milliseconds(20), std::chrono::microseconds(100), kTicketValidity};
  desired::Queue urgent = MakeQueue("urgent");
  urgent.slack_factor = 1.5;
  urgent.completion_target = milliseconds(250);
  desired::Queue gangs = MakeQueue("gangs");
  gangs.priority = 1;
  desired::Queue batch = MakeQueue("batch");
  batch.priority = 2;
  queues_ = {MakeQueue("plain"), advised, urgent, gangs, batch};
  school_.id = kSchool;
  school_.weight = kAmpleWeight;
  BeginTerm();
}

void SchedulerScenario::BeginTerm() {
  scheduler_ =
      std::make_unique<Scheduler>(settings_, Telemetry{&log_, &counters_});
  scheduler_->BeginTerm(FencingToken(++token_), now_);
  if (own_rack_) {
    scheduler_->SetWorkerFilter(
        [rack = *own_rack_](const workers::Listing& listing) {
          return listing.rack == rack;
        });
  }
  scheduler_->SetEvacuatedZones(evacuated_, now_);
  for (const RecordTable table :
       {RecordTable::kLivePages, RecordTable::kEndedPages}) {
    for (const auto& [key, text] : rows_[table]) {
      scheduler_->RestorePage(table, key, text, now_);
    }
  }
  scheduler_->RestoreJobs(now_, StoreMillis());
  for (const auto& [id, record] : rows_[RecordTable::kWorkers]) {
    scheduler_->AddInheritedWorker(base::BackendId(id), record, StoreMillis(),
                                   now_);
  }
  for (const auto& [key, text] : rows_[RecordTable::kRunTimes]) {
    scheduler_->RestoreRunTimes(key, text, now_);
  }
  DropQueue("");
  SetAdviceClients();
}

void SchedulerScenario::SetAdviceClients() {
  std::vector<base::EntryId> hosts;
  for (int i = 0; i < advice_hosts_; ++i) {
    hosts.emplace_back("host-" + std::to_string(i));
  }
  scheduler_->SetAdviceClients(hosts, hosts.size());
}

void SchedulerScenario::SetAdvice(base::Duration decision,
                                  base::Duration per_worker, int hosts) {
  for (desired::Queue& queue : queues_) {
    if (queue.advice) {
      queue.advice = {decision, per_worker, queue.advice->ticket_validity};
    }
  }
  advice_hosts_ = hosts;
  DropQueue("");
  SetAdviceClients();
}

void SchedulerScenario::ForgetRackInRecord(const std::string& worker) {
  base::Failure reason;
  std::string& record = rows_[RecordTable::kWorkers].at(worker);
  Json::Value fields = *ReadJson(record, &reason);
  fields.removeMember("rack");
  record = WriteJson(fields);
}

void SchedulerScenario::AddWorkers(int count, const std::string& rack) {
  AddUnlistedWorkers(count, rack);
  RunPass();
  Store();
}

void SchedulerScenario::AddUnlistedWorkers(int count, const std::string& rack) {
  for (int i = 0; i < count; ++i) {
    Worker worker;
    worker.listing.id =
        base::BackendId("worker-" + std::to_string(workers_.size()));
    worker.listing.address = worker.listing.id.value();
    worker.listing.service = service_;
    worker.listing.capacity.cpu = base::Millicores(kWorkerCores * kMillicores);
    worker.listing.capacity.memory = base::Mebibytes(1024);
    worker.listing.born_ms = UnixMillis();
    worker.listing.revision = 1;
    worker.listing.rack = rack;
    workers_.emplace(worker.listing.id, std::move(worker));
  }
}

void SchedulerScenario::SetZone(const std::string& name,
                                const std::string& zone) {
  workers::Listing& listing = workers_.at(base::BackendId(name)).listing;
  listing.zone = base::AvailabilityZone(zone);
  ++listing.revision;
}

void SchedulerScenario::Evacuate(const std::set<std::string>& zones) {
  evacuated_.clear();
  for (const std::string& zone : zones) {
    evacuated_.insert(base::AvailabilityZone(zone));
  }
  scheduler_->SetEvacuatedZones(evacuated_, now_);
}

std::string SchedulerScenario::WorkerOf(const jobs::TaskRef& task) const {
  for (const auto& [id, worker] : workers_) {
    if (worker.running.contains(task)) {
      return id.value();
    }
  }
  return {};
}

void SchedulerScenario::ResizeWorker(const std::string& name, int cores) {
  workers::Listing& listing = workers_.at(base::BackendId(name)).listing;
  listing.capacity.cpu = base::Millicores(cores * kMillicores);
  ++listing.revision;
}

void SchedulerScenario::DrainWorker(const std::string& name) {
  workers::Listing& listing = workers_.at(base::BackendId(name)).listing;
  listing.draining = true;
  ++listing.revision;
}

void SchedulerScenario::SetLabels(const std::string& name,
                                  std::vector<std::string> labels) {
  workers::Listing& listing = workers_.at(base::BackendId(name)).listing;
  listing.labels = std::move(labels);
  ++listing.revision;
}

void SchedulerScenario::SetCap(int cores, int memory) {
  school_.cap.cpu = base::Millicores(cores * kMillicores);
  school_.cap.memory = base::Mebibytes(memory);
  DropQueue("");
}

void SchedulerScenario::ReplaceService(const std::string& name) {
  service_ = base::ServiceId(name);
  for (desired::Queue& queue : queues_) {
    queue.service = service_;
  }
  DropQueue("");
}

void SchedulerScenario::DropQueue(const std::string& name) {
  std::erase_if(queues_, [&name](const desired::Queue& queue) {
    return queue.id.value() == name;
  });
  desired::Organisation club;
  club.id = kClub;
  club.weight = kAmpleWeight;
  scheduler_->SetDesired(std::make_shared<desired::DesiredState>(
      base::ConfigVersion(1), queues_,
      std::vector<desired::Organisation>{school_, club},
      std::vector<desired::Service>{{service_, false, false}},
      desired::CallLimits()));
}

jobs::StepSpec SchedulerScenario::Step(std::uint32_t tasks) {
  jobs::StepSpec step;
  step.tasks = tasks;
  step.needs.cpu = base::Millicores(kMillicores);
  step.estimate = milliseconds(500);
  return step;
}

jobs::StepSpec SchedulerScenario::Gang(std::uint32_t tasks) {
  jobs::StepSpec step = Step(tasks);
  step.gang = true;
  step.needs.cpu = base::Millicores(kWorkerCores * kMillicores);
  return step;
}

SubmitResult SchedulerScenario::Submit(
    std::uint64_t key, const std::string& queue,
    std::vector<jobs::StepSpec> steps,
    const base::OrganisationId& organisation) {
  Submission submission{
      jobs::JobKey(key), desired::QueueId(queue), organisation, {}};
  submission.spec.steps = std::move(steps);
  return scheduler_->Submit(std::move(submission), WaiterId(++last_waiter_),
                            StoreMillis(), now_);
}

void SchedulerScenario::SubmitRepeatedAndStore(
    std::uint64_t key, const std::string& queue,
    std::vector<jobs::StepSpec> steps, std::uint32_t count,
    base::Duration interval) {
  Submission submission{
      jobs::JobKey(key), desired::QueueId(queue), kSchool, {}};
  submission.spec.steps = std::move(steps);
  submission.spec.repeat_count = count;
  submission.spec.start_at_ms = OwnersUnixMillis();
  submission.spec.interval_ms = interval / milliseconds(1);
  scheduler_->Submit(std::move(submission), WaiterId(++last_waiter_),
                     StoreMillis(), now_);
  Store();
}

std::vector<WaiterId> SchedulerScenario::Store() {
  std::vector<WaiterId> notified;
  while (scheduler_->has_changes()) {
    const RecordBatch batch = scheduler_->TakeBatch(now_);
    // Two entries are those of the ownership record.
    REQUIRE(batch.changes.size() + 2 <= kStoreMaxEntries);
    std::size_t body_bytes = 0;
    for (const RecordChange& change : batch.changes) {
      if (change.value) {
        const std::size_t row_bytes = (change.value->size() + 2) / 3 * 4;
        REQUIRE(row_bytes <= kStoreMaxRowBytes);
        body_bytes += row_bytes;
        rows_[change.table][change.key] = *change.value;
      } else {
        rows_[change.table].erase(change.key);
      }
    }
    REQUIRE(body_bytes < kStoreMaxBodyBytes);
    scheduler_->UpdateStoreClock(StoreMillis(), now_);
    const LateWaiters late = scheduler_->OnStored(batch, now_);
    for (const auto& waiters : {batch.accept_waiters, late.accept_waiters,
                                batch.change_waiters, late.change_waiters}) {
      notified.insert(notified.end(), waiters.begin(), waiters.end());
    }
  }
  return notified;
}

void SchedulerScenario::SubmitAndStore(
    std::uint64_t key, const std::string& queue,
    std::vector<jobs::StepSpec> steps,
    const base::OrganisationId& organisation) {
  Submit(key, queue, std::move(steps), organisation);
  Store();
}

void SchedulerScenario::RunPass() {
  EndStoppedRuns();
  EndLapsedRuns();
  std::vector<workers::Listing> listings;
  for (const auto& [id, worker] : workers_) {
    if (!unlisted_workers.contains(id.value())) {
      listings.push_back(worker.listing);
    }
  }
  scheduler_->UpdateListings(listings, now_, now_);
  scheduler_->Tick(now_, confirmed_at_.value_or(now_), OwnersUnixMillis());
  scheduler_->RunPass(now_);
  CarryOut();
}

void SchedulerScenario::RunPasses(int count) {
  for (int i = 0; i < count; ++i) {
    Advance(milliseconds(100));
    RunPass();
  }
}

void SchedulerScenario::CarryOut() {
  for (auto actions = scheduler_->TakeActions(); !actions.empty();
       actions = scheduler_->TakeActions()) {
    for (const Action& action : actions) {
      CarryOut(action);
    }
  }
}

void SchedulerScenario::CarryOut(const Action& action) {
  std::visit(
      base::Overloaded{
          [this](const StartTask& command) {
            starts_.push_back(command);
            CommandOutcome outcome = CommandOutcome::kBadTicket;
            if (IsUnresponsive(command.worker)) {
              outcome = OutcomeWithoutAnswer(command.worker);
            } else if (loses_starts) {
              outcome = CommandOutcome::kUnanswered;
            } else if (command.worker.id.value() == refused_on) {
              outcome = CommandOutcome::kRefused;
            } else if (unsent_starts > 0) {
              --unsent_starts;
              outcome = CommandOutcome::kNotSent;
            } else if (!refuses_tickets) {
              outcome = loses_start_answers ? CommandOutcome::kUnanswered
                                            : CommandOutcome::kDone;
              Worker& worker = workers_.at(command.worker.id);
              worker.running[command.task] = command.attempt;
              worker.lease_until_ms =
                  std::max(worker.lease_until_ms, command.lease_until_ms);
            }
            scheduler_->OnStarted(command, outcome, NowMillis(), now_);
          },
          [this](const StopTask& command) { CarryOut(command); },
          [this](const PollWorker& command) {
            if (command.lease_until_ms) {
              renewed_.insert(command.worker.id.value());
            }
            if (IsUnresponsive(command.worker) ||
                (loses_immediate_polls && command.is_immediate)) {
              PollResult result;
              result.outcome = OutcomeWithoutAnswer(command.worker);
              scheduler_->OnPolled(command, result, now_);
              return;
            }
            Worker& worker = workers_.at(command.worker.id);
            worker.lease_until_ms = std::max(
                worker.lease_until_ms, command.lease_until_ms.value_or(0));
            std::erase_if(worker.ended, [&](const ListedEnd& end) {
              return end.number <= command.ends_stored;
            });
            PollResult result;
            result.outcome = CommandOutcome::kDone;
            result.clock_ms = NowMillis();
            result.born_ms = worker.listing.born_ms;
            for (const auto& [task, attempt] : worker.running) {
              const auto it = checkpoints.find(task);
              result.active.push_back({task, attempt,
                                       it == checkpoints.end()
                                           ? CheckpointOf(attempt)
                                           : it->second});
            }
            const std::size_t listed =
                std::min(worker.ended.size(), kMaxListedEnds);
            result.ended.assign(
                worker.ended.begin(),
                worker.ended.begin() + static_cast<std::ptrdiff_t>(listed));
            result.lists_all = listed < kMaxListedEnds;
            scheduler_->OnPolled(command, result, now_);
          },
          [this](const RequestAdvice& request) {
            advice_requests_.push_back(request);
          }},
      action);
}

void SchedulerScenario::CarryOutLate(const StartTask& command) {
  Worker& worker = workers_.at(command.worker.id);
  worker.running[command.task] = command.attempt;
  worker.lease_until_ms =
      std::max(worker.lease_until_ms, command.lease_until_ms);
}

CommandOutcome SchedulerScenario::OutcomeWithoutAnswer(
    const WorkerAddress& worker) const {
  const bool has_another =
      std::any_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
        return entry.first != worker.id &&
               entry.second.listing.address == worker.address &&
               !unresponsive_workers.contains(entry.first.value());
      });
  return has_another ? CommandOutcome::kOtherIncarnation
                     : CommandOutcome::kUnanswered;
}

void SchedulerScenario::CarryOut(const StopTask& command) {
  stops_.push_back(command);
  if (IsUnresponsive(command.worker)) {
    return;
  }
  if (loses_stops) {
    scheduler_->OnStopped(command, CommandOutcome::kUnanswered, 0, now_);
    return;
  }
  Worker& worker = workers_.at(command.worker.id);
  if (worker.running.contains(command.task)) {
    worker.stopping.try_emplace(command.task, now_ + stop_duration);
    EndStoppedRuns();
  }
  scheduler_->OnStopped(
      command,
      loses_stop_answers ? CommandOutcome::kUnanswered : CommandOutcome::kDone,
      NowMillis(), now_);
}

void SchedulerScenario::EndStoppedRuns() {
  for (auto& [id, worker] : workers_) {
    std::erase_if(worker.stopping, [&, this](const auto& entry) {
      const auto it = worker.running.find(entry.first);
      if (now_ < entry.second && it != worker.running.end()) {
        return false;
      }
      if (it != worker.running.end()) {
        worker.ended.push_back({++worker.last_end, entry.first, it->second,
                                jobs::RunEnd::kStopped,
                                CheckpointOf(it->second)});
        worker.running.erase(it);
      }
      return true;
    });
  }
}

void SchedulerScenario::EndLapsedRuns() {
  for (auto& [id, worker] : workers_) {
    if (NowMillis() <= worker.lease_until_ms ||
        renewed_by_other_owner.contains(id.value())) {
      continue;
    }
    for (const auto& [task, attempt] : worker.running) {
      worker.ended.push_back({++worker.last_end, task, attempt,
                              jobs::RunEnd::kLeaseExpired,
                              CheckpointOf(attempt)});
    }
    worker.running.clear();
    worker.stopping.clear();
  }
}

std::set<jobs::TaskRef> SchedulerScenario::RunningOn(
    const std::string& worker) const {
  std::set<jobs::TaskRef> tasks;
  for (const auto& [task, attempt] :
       workers_.at(base::BackendId(worker)).running) {
    tasks.insert(task);
  }
  return tasks;
}

void SchedulerScenario::AnswerAdviceRequest(
    const RequestAdvice& request, const std::set<std::string>& allowed) {
  AdviceResult result;
  result.outcome = AdviceResult::Outcome::kAnswered;
  result.ticket_validity = kTicketValidity;
  for (const base::BackendId& worker : request.workers) {
    if (allowed.contains(worker.value())) {
      result.allowed.push_back({worker, "ticket of " + worker.value()});
    }
  }
  scheduler_->OnAdvice(request, result, now_);
  CarryOut();
}

void SchedulerScenario::FailAdviceRequest(const RequestAdvice& request) {
  scheduler_->OnAdvice(request, AdviceResult(), now_);
  CarryOut();
}

void SchedulerScenario::EndRun(const jobs::TaskRef& task, jobs::RunEnd end) {
  for (auto& [id, worker] : workers_) {
    if (const auto it = worker.running.find(task); it != worker.running.end()) {
      worker.ended.push_back({++worker.last_end, task, it->second, end, {}});
      worker.running.erase(it);
    }
  }
}

void SchedulerScenario::EndRunOn(const std::string& name,
                                 const jobs::TaskRef& task, jobs::RunEnd end) {
  Worker& worker = workers_.at(base::BackendId(name));
  if (const auto it = worker.running.find(task); it != worker.running.end()) {
    worker.ended.push_back({++worker.last_end, task, it->second, end, {}});
    worker.running.erase(it);
  }
}

std::set<std::string> SchedulerScenario::WorkersOf(
    const jobs::TaskRef& task) const {
  std::set<std::string> names;
  for (const auto& [id, worker] : workers_) {
    if (worker.running.contains(task)) {
      names.insert(id.value());
    }
  }
  return names;
}

int SchedulerScenario::UsedCores(const std::string& worker) const {
  return static_cast<int>(scheduler_->fleet()
                              .workers()
                              .at(base::BackendId(worker))
                              .reserved()
                              .cpu.value() /
                          kMillicores);
}

std::size_t SchedulerScenario::UnacknowledgedEnds(
    const std::string& worker) const {
  return workers_.at(base::BackendId(worker)).ended.size();
}

bool SchedulerScenario::CrashWorkerOf(const jobs::TaskRef& task) {
  const std::string id = WorkerOf(task);
  if (id.empty()) {
    return false;
  }
  RestartWorker(id);
  return true;
}

void SchedulerScenario::RestartWorker(const std::string& name) {
  Worker& worker = workers_.at(base::BackendId(name));
  workers::Listing next = worker.listing;
  next.born_ms = std::max(next.born_ms + 1, UnixMillis());
  next.draining = false;
  ++next.revision;
  worker = Worker{next, {}, {}, {}, 0, 0};
}

std::string SchedulerScenario::RestartWorkerRenamed(const std::string& name) {
  RestartWorker(name);
  Worker renamed = workers_.at(base::BackendId(name));
  workers_.erase(base::BackendId(name));
  renamed.listing.id = base::BackendId(name + "'");
  const std::string id = renamed.listing.id.value();
  workers_.emplace(renamed.listing.id, std::move(renamed));
  return id;
}

void SchedulerScenario::TakeOver() {
  BeginTerm();
  scheduler_->OnPreviousOwnerStopped(now_);
  RunPass();
}

}  // namespace dotterelbarrow::core::scheduler
