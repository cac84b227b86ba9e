// Implements queueing, starts, retries and answers on owned runners.
#include "src/core/runner_dispatcher.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>

#include "src/core/refusal.h"

namespace dotterelbarrow::core {
namespace {

// The bounds of the retry delay given to callers.
constexpr base::Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr base::Duration kMaxRetryAfter = std::chrono::seconds(30);
// How long requests wait for a runner that is being claimed again.
constexpr base::Duration kRunnerGrace = std::chrono::milliseconds(200);
constexpr base::Duration kNoBackendRetry = std::chrono::seconds(1);
constexpr base::Duration kLimitRetry = std::chrono::seconds(1);

base::Duration Multiply(base::Duration duration, double factor) {
  const double product = static_cast<double>(duration.count()) * factor;
  return base::Duration(static_cast<base::Duration::rep>(std::ceil(product)));
}

base::Duration RetryAfter(base::Duration estimate) {
  return std::clamp(estimate, kMinRetryAfter, kMaxRetryAfter);
}

std::string InMilliseconds(base::Duration duration) {
  using Milliseconds = std::chrono::milliseconds;
  return std::to_string(
             std::chrono::duration_cast<Milliseconds>(duration).count()) +
         " ms";
}

}  // namespace

RunnerDispatcher::RunnerDispatcher(const NodeSettings* settings, Outbox* outbox,
                                   Counters* counters,
                                   const ConfigController* config,
                                   ShardOwner* owner, TeamSlices* slices,
                                   AnswerCallback on_answer,
                                   base::TimePoint now)
    : settings_(settings),
      outbox_(outbox),
      counters_(counters),
      config_(config),
      owner_(owner),
      slices_(slices),
      lost_runs_(settings, owner, slices),
      on_answer_(std::move(on_answer)),
      budget_(now) {}

double RunnerDispatcher::Share(const base::TeamId& team) const {
  const config::Team* known = catalogue().FindTeam(team);
  return known != nullptr && known->share > 0 ? known->share : 1.0;
}

std::optional<double> RunnerDispatcher::Rank(const base::TeamId& team) const {
  if (!slices_->MayStart(team, catalogue())) {
    return std::nullopt;
  }
  return static_cast<double>(slices_->running(team)) / Share(team);
}

void RunnerDispatcher::Serve(const ServeOrigin& origin,
                             const WorkRequest& request,
                             base::Duration time_left, base::TimePoint now) {
  budget_.OnRequest();
  if (owner_->TotalSlots(request.service) > base::Slots(0)) {
    runner_seen_[request.service] = now;
  }
  if (std::optional<Answer> refusal = Precheck(request, now)) {
    finished_.emplace_back(origin, std::move(*refusal));
    Flush(now);
    return;
  }
  const ServeId id = last_id_ = last_id_.next();
  Item& item = items_[id];
  item.origin = origin;
  item.request = request;
  item.arrived = now;
  item.deadline = now + time_left;
  Enqueue(id, now);
  DispatchService(request.service, now);
  EnforceQueueLimits(id, now);
  Flush(now);
}

bool RunnerDispatcher::Serves(const base::ServiceId& service,
                              base::TimePoint now) const {
  if (owner_->TotalSlots(service) > base::Slots(0)) {
    return true;
  }
  const auto seen = runner_seen_.find(service);
  return seen != runner_seen_.end() && now - seen->second < kRunnerGrace;
}

void RunnerDispatcher::UpdateRunnersSeen(base::TimePoint now) {
  for (auto& [service, seen] : runner_seen_) {
    if (owner_->TotalSlots(service) > base::Slots(0)) {
      seen = now;
    }
  }
}

std::optional<Answer> RunnerDispatcher::Precheck(const WorkRequest& request,
                                                 base::TimePoint now) const {
  const config::Team* team = catalogue().FindTeam(request.team);
  if (team != nullptr && team->limit && team->limit->slots <= base::Slots(0)) {
    return MakeRefusal(request.id, Reason::kOverLimit,
                       "the upper limit of team '" + request.team.value() +
                           "' allows no interactive requests; an operator can "
                           "raise it");
  }
  if (!Serves(request.service, now)) {
    return MakeRefusal(request.id, Reason::kNoBackend,
                       "entry host '" + settings_->self.value() +
                           "' has no live runner of service '" +
                           request.service.value() + "'; come back later",
                       kNoBackendRetry);
  }
  return std::nullopt;
}

void RunnerDispatcher::Enqueue(ServeId id, base::TimePoint now) {
  const Item& item = items_.at(id);
  queue_.Push(item.request.service, item.request.team, id);
  timers_.Set(id, item.deadline);
  slices_->AddWaiting(item.request.team, catalogue(), now);
}

void RunnerDispatcher::Dequeue(ServeId id) {
  const Item& item = items_.at(id);
  queue_.Remove(item.request.service, item.request.team, id);
  timers_.Clear(id);
  slices_->RemoveWaiting(item.request.team);
}

void RunnerDispatcher::EnforceQueueLimits(ServeId id, base::TimePoint now) {
  if (queue_.size() > settings_->interactive_queue_length) {
    const auto share = [this](const base::TeamId& team) { return Share(team); };
    const ServeId surplus = *queue_.NextToRefuse(share);
    const base::ServiceId& service = items_.at(surplus).request.service;
    Refuse(surplus, Reason::kQueueFull,
           "the queue holds its " +
               std::to_string(settings_->interactive_queue_length) +
               " requests and this team has the most there for its share; "
               "come back when some have been served",
           RetryAfter(DrainTime(service)));
  }
  const auto it = items_.find(id);
  if (it == items_.end() || it->second.run) {
    return;
  }
  const Item& item = it->second;
  const base::Duration wait = EstimateWait(item);
  const base::Duration time_left = item.deadline - now;
  if (wait <= time_left) {
    return;
  }
  const bool capped = slices_->cap(item.request.team).has_value();
  Refuse(id, capped ? Reason::kOverLimit : Reason::kDeadlineUnreachable,
         "it would wait about " + InMilliseconds(wait) + " and has " +
             InMilliseconds(time_left) + " left; come back later",
         RetryAfter(wait));
}

base::Duration RunnerDispatcher::EstimateWait(const Item& item) const {
  const base::ServiceId& service = item.request.service;
  const base::TeamId& team = item.request.team;
  const base::Duration average = times_.Average(service);
  const auto share = [this](const base::TeamId& other) { return Share(other); };
  // The request is already in the queue, as the last one of its team.
  const double position = queue_.PositionOfLast(service, team, share);
  const auto total = static_cast<double>(owner_->TotalSlots(service).value());
  const base::Duration wait =
      Multiply(average, position / std::max(total, 1.0));
  const std::optional<base::Slots> cap = slices_->cap(team);
  if (!cap || cap->value() <= 0) {
    return wait;
  }
  const auto own = static_cast<double>(queue_.size(service, team));
  const auto slots = static_cast<double>(cap->value());
  return std::max(wait, Multiply(average, own / slots));
}

base::Duration RunnerDispatcher::DrainTime(
    const base::ServiceId& service) const {
  const auto waiting = static_cast<double>(queue_.size());
  const auto total = static_cast<double>(owner_->TotalSlots(service).value());
  return Multiply(times_.Average(service), waiting / std::max(total, 1.0));
}

void RunnerDispatcher::Dispatch(base::TimePoint now) {
  for (const base::ServiceId& service : queue_.services()) {
    DispatchService(service, now);
  }
  Flush(now);
}

void RunnerDispatcher::RefreshLostRuns(base::TimePoint now) {
  if (!lost_runs_.NeedsRefresh(now)) {
    return;
  }
  std::set<RunnerTask> awaited;
  for (const auto& [call, id] : runs_) {
    const Run& run = *items_.at(id).run;
    awaited.insert({run.slot.backend, run.task});
  }
  lost_runs_.Refresh(awaited, now);
}

void RunnerDispatcher::DispatchService(const base::ServiceId& service,
                                       base::TimePoint now) {
  RefreshLostRuns(now);
  const auto rank = [this](const base::TeamId& team) { return Rank(team); };
  while (owner_->FreeSlots(service) > base::Slots(0)) {
    const std::optional<ServeId> id = queue_.Next(service, rank);
    if (!id) {
      return;
    }
    if (items_.at(*id).deadline <= now) {
      Refuse(*id, Reason::kDeadlinePassed,
             "its deadline passed while it waited for a slot; allow more time",
             kMinRetryAfter);
    } else if (!Start(*id, now)) {
      return;
    }
  }
}

bool RunnerDispatcher::Start(ServeId id, base::TimePoint now) {
  Item& item = items_.at(id);
  const base::CallId call = outbox_->NextCall();
  std::optional<SlotGrant> slot =
      owner_->TakeSlot(item.request.service, call, now);
  if (!slot) {
    return false;
  }
  Dequeue(id);
  slices_->AddRunning(item.request.team);
  RunCommand command;
  command.backend = slot->backend;
  command.epoch = slot->epoch;
  command.call = call;
  // Callers of an open service are independent and may choose the same request
  // id. The serve id, used as the task index, keeps their tasks apart.
  const bool is_open = item.request.key.empty();
  command.task.id = {{item.request.team, item.request.id},
                     is_open ? static_cast<std::uint32_t>(id.value()) : 0,
                     item.retries};
  command.task.kind = WorkKind::kInteractive;
  command.task.demand = item.request.demand;
  command.task.expected_run = item.request.expected_run;
  command.task.idempotent = item.request.idempotent;
  command.task.urgent = item.request.urgent;
  command.task.payload = item.request.payload;
  command.time_left = item.deadline - now;
  const base::TaskId task = command.task.id;
  runs_.emplace(call, id);
  timers_.Set(id, item.deadline + settings_->call_timeout);
  outbox_->Send(ToBackend{slot->address, std::move(command)});
  item.run = Run{call, std::move(*slot), task, now};
  return true;
}

void RunnerDispatcher::OnRunResult(const RunResult& result,
                                   base::TimePoint now) {
  const auto it = runs_.find(result.call);
  if (it == runs_.end()) {
    counters_->Increment("dropped", "late_run_result");
    return;
  }
  EndRun(it->second, result, now);
  Dispatch(now);
}

void RunnerDispatcher::EndRun(ServeId id, const RunResult& result,
                              base::TimePoint now) {
  Item& item = items_.at(id);
  const Run run = *item.run;
  item.run.reset();
  runs_.erase(run.call);
  timers_.Clear(id);
  slices_->RemoveRunning(item.request.team);
  if (result.status == RunStatus::kLost) {
    lost_runs_.Add({run.slot.backend, run.task}, run.slot.epoch);
  }
  if (result.status != RunStatus::kDone &&
      result.status != RunStatus::kFailed) {
    RetryOrEnd(id, result, now);
  } else {
    times_.Record(item.request.service, now - run.started);
    Answer answer;
    const bool done = result.status == RunStatus::kDone;
    answer.outcome = done ? Outcome::kDone : Outcome::kFailed;
    answer.reason = done ? Reason::kNone : Reason::kTaskFailed;
    answer.detail = done ? "" : "the runner reported that the request failed";
    answer.backend = run.slot.backend;
    answer.waited = run.started - item.arrived;
    answer.result = result.result;
    Finish(id, std::move(answer));
  }
  // This must come last because it may emit slots_freed.
  owner_->ReturnSlot(result, now);
}

void RunnerDispatcher::RetryOrEnd(ServeId id, const RunResult& result,
                                  base::TimePoint now) {
  Item& item = items_.at(id);
  if (result.status == RunStatus::kLost) {
    // The request may still be running, and no request may run in two places at
    // once. So even an idempotent request isn't sent again.
    Finish(id,
           MakeUnknown(item.request.id,
                       "the connection to runner '" + result.backend.value() +
                           "' was lost after sending; ask the service "
                           "whether it ran"));
    return;
  }
  if (budget_.TryTake(item.retries, item.deadline, now, counters_)) {
    counters_->Increment("retries", ToString(Reason::kBackendRefused));
    ++item.retries;
    Enqueue(id, now);
    return;
  }
  Finish(id, MakeRefusal(item.request.id, Reason::kBackendRefused,
                         "runner '" + result.backend.value() +
                             "' didn't take it (" + ToString(result.status) +
                             "); come back later",
                         kMinRetryAfter));
}

void RunnerDispatcher::Tick(base::TimePoint now) {
  while (const std::optional<ServeId> id = timers_.PopDue(now)) {
    const Item& item = items_.at(*id);
    if (item.run) {
      const RunResult lost{item.run->slot.backend, item.run->call,
                           RunStatus::kLost, ""};
      EndRun(*id, lost, now);
      continue;
    }
    const bool capped = slices_->cap(item.request.team).has_value();
    Refuse(*id, capped ? Reason::kOverLimit : Reason::kDeadlinePassed,
           capped ? "the team's upper limit left no room before its deadline; "
                    "come back when some of the team's requests have ended"
                  : "its deadline passed while it waited for a slot; allow "
                    "more time",
           capped ? kLimitRetry : kMinRetryAfter);
  }
  RefreshLostRuns(now);
  UpdateRunnersSeen(now);
  RefuseUnservable(now);
  Dispatch(now);
}

void RunnerDispatcher::RefuseUnservable(base::TimePoint now) {
  for (const base::ServiceId& service : queue_.services()) {
    if (Serves(service, now)) {
      continue;
    }
    for (const ServeId id : queue_.waiting(service)) {
      Refuse(id, Reason::kNoBackend,
             "no live runner of the service is left at this entry host; come "
             "back later",
             kNoBackendRetry);
    }
  }
  Flush(now);
}

void RunnerDispatcher::Refuse(ServeId id, Reason reason, std::string detail,
                              base::Duration retry_after) {
  Dequeue(id);
  const base::RequestId& request = items_.at(id).request.id;
  Finish(id, MakeRefusal(request, reason, std::move(detail), retry_after));
}

void RunnerDispatcher::Finish(ServeId id, Answer answer) {
  const auto it = items_.find(id);
  answer.id = it->second.request.id;
  finished_.emplace_back(std::move(it->second.origin), std::move(answer));
  items_.erase(it);
}

void RunnerDispatcher::Flush(base::TimePoint now) {
  if (flushing_) {
    return;
  }
  flushing_ = true;
  while (!finished_.empty()) {
    const auto batch = std::exchange(finished_, {});
    for (const auto& [origin, answer] : batch) {
      on_answer_(origin, answer, now);
    }
  }
  flushing_ = false;
}

}  // namespace dotterelbarrow::core
