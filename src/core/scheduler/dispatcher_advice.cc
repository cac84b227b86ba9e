// Placement advice and tickets for waiting steps.
#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

#include "dotterelbarrow/core/scheduler/dispatcher.h"

namespace dotterelbarrow::core::scheduler {
namespace {

// Workers are added and removed. If none of the allowed workers can take a
// step, the advisor is asked about further workers at this interval.
constexpr base::Duration kMoreAdviceInterval = std::chrono::seconds(1);
// Number of workers named in the first request. Between a quarter and two
// thirds of them are allowed, and each may have free resources for some tasks.
// The more allowed workers are known, the better the later tasks of the step
// can be placed.
constexpr std::size_t kMinAdvisedWorkers = 12;
constexpr std::size_t kAdvisedWorkersPerTask = 6;

advice::AdviceClientChooser::CallFor CallForOf(const WaitingStep& item) {
  return item.urgency.deadline_status == placement::DeadlineStatus::kOnTime
             ? advice::AdviceClientChooser::CallFor::kOnTime
             : advice::AdviceClientChooser::CallFor::kOverdue;
}

}  // namespace

bool Dispatcher::FindCandidates(WaitingStep* item, base::TimePoint now,
                                std::vector<Action>* actions) {
  if (!item->queue->advice) {
    ++effort_.steps_searched;
    return FillCandidates(item, now);
  }
  advice::StepAdvice& advice = advice_.FindOrAdd(item->step);
  if (advice.has_answer) {
    ++effort_.steps_searched;
    if (FillCandidates(item, now)) {
      return true;
    }
    // None of the allowed workers accepts new work. The advice about a worker
    // never changes, so only other workers are worth a request.
    needing_more_advice_.push_back(item);
    return false;
  }
  if (advice.calls_in_flight == 0 && now >= advice.retry_at &&
      CanRequestAdvice(*item, now) && CapAllowsAdvice(*item)) {
    // Tickets expire, so advice about full workers would be wasted, unless they
    // are kept free for a gang or worth the wait for their rack.
    const jobs::StepSpec& spec = item->job->SpecOf(item->step);
    const RoomNeeded room_needed =
        spec.gang || HasLocality(spec) ? RoomNeeded::kNo : RoomNeeded::kYes;
    SendAdviceRequests(*item, WorkersToRequestFirst(*item, room_needed, now),
                       now, actions);
  }
  return false;
}

std::optional<jobs::StepRef> Dispatcher::LongestWithoutAdvice(
    base::TimePoint now) {
  std::optional<jobs::StepRef> longest;
  base::TimePoint accepted_at;
  for (const jobs::StepRef& step : overdue_) {
    const advice::StepAdvice* advice = advice_.Find(step);
    if (advice != nullptr &&
        (advice->has_answer || advice->calls_in_flight > 0 ||
         now < advice->retry_at)) {
      continue;
    }
    const std::optional<WaitingStep> item = context_.MakeWaitingStep(step, now);
    if (item && item->queue->advice && jobs_->IsStored(step.job) &&
        MayFit(*item) && (!longest || item->job->accepted_at < accepted_at) &&
        !WhyImpossible(*item) && CapAllowsAdvice(*item)) {
      longest = step;
      accepted_at = item->job->accepted_at;
    }
  }
  return longest;
}

void Dispatcher::RequestAdviceOutOfTurn(base::TimePoint now,
                                        std::vector<Action>* actions) {
  if (now >= next_out_of_turn_choice_) {
    next_out_of_turn_choice_ = now + context_.settings.overdue_pass_interval;
    out_of_turn_step_ = LongestWithoutAdvice(now);
  }
  if (!out_of_turn_step_ || !overdue_.contains(*out_of_turn_step_)) {
    return;
  }
  std::optional<WaitingStep> item =
      context_.MakeWaitingStep(*out_of_turn_step_, now);
  if (!item) {
    out_of_turn_step_.reset();
    return;
  }
  advice::StepAdvice& advice = advice_.FindOrAdd(item->step);
  if (advice.has_answer || advice.calls_in_flight > 0) {
    out_of_turn_step_.reset();
    return;
  }
  const bool is_host_free = CanRequestAdvice(*item, now);
  FindCandidates(&*item, now, actions);
  if (advice.calls_in_flight > 0) {
    out_of_turn_step_.reset();
    next_out_of_turn_choice_ =
        now + context_.settings.out_of_turn_advice_interval;
    telemetry_.counters->Increment("advice_calls", "out_of_turn");
  } else if (is_host_free) {
    // There is no worker to ask about.
    out_of_turn_step_.reset();
    advice.retry_at = now + kMoreAdviceInterval;
  }
}

std::size_t Dispatcher::FirstRequestSize(const jobs::StepSpec& spec) const {
  return spec.gang ? context_.settings.max_workers_per_request
                   : std::min(context_.settings.max_workers_per_request,
                              std::max(kMinAdvisedWorkers,
                                       kAdvisedWorkersPerTask * spec.tasks));
}

bool Dispatcher::CanRequestAdvice(const WaitingStep& item,
                                  base::TimePoint now) {
  // For the size of the request that will be sent: a long call needs another
  // host than a short one.
  const std::size_t workers = std::min(
      FirstRequestSize(item.job->SpecOf(item.step)), fleet_->workers().size());
  return advice_clients_.CanChoose(
      advice::ExpectedCallDuration(*item.queue->advice, workers), now,
      CallForOf(item));
}

void Dispatcher::RequestMoreAdvice(const WaitingStep& item, base::TimePoint now,
                                   std::vector<Action>* actions) {
  advice::StepAdvice& advice = advice_.FindOrAdd(item.step);
  if (advice.calls_in_flight > 0 || now < advice.retry_at) {
    return;
  }
  advice.retry_at = now + kMoreAdviceInterval;
  // Gangs ask about full workers too, because workers can be kept for a gang
  // before they have free resources. Other tasks are placed elsewhere
  // meanwhile.
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  // Steps other than gangs send one request at a time: in a large fleet that is
  // nearly full, requests about all workers for each of hundreds of waiting
  // steps would take most of the owner's time. A gang needs many workers at
  // once.
  const std::size_t most = spec.gang
                               ? fleet_->workers().size()
                               : context_.settings.max_workers_per_request;
  std::vector<base::BackendId> not_asked;
  const RoomNeeded room_needed = spec.gang ? RoomNeeded::kNo : RoomNeeded::kYes;
  for (const workers::Worker* worker :
       SuitableWorkers(item, most, room_needed, now)) {
    if (!advice.queried_workers.contains(worker->number())) {
      not_asked.push_back(worker->id());
    }
  }
  SendAdviceRequests(item, std::move(not_asked), now, actions);
}

void Dispatcher::SendAdviceRequests(const WaitingStep& item,
                                    std::vector<base::BackendId> workers,
                                    base::TimePoint now,
                                    std::vector<Action>* actions) {
  for (auto from = workers.begin(); from != workers.end();) {
    const auto rest = static_cast<std::size_t>(workers.end() - from);
    const auto to =
        from + static_cast<std::ptrdiff_t>(
                   std::min(rest, context_.settings.max_workers_per_request));
    if (!SendAdviceRequest(item, {from, to}, now, actions)) {
      return;
    }
    advice_.FindOrAdd(item.step).retry_at = now + kMoreAdviceInterval;
    from = to;
  }
}

bool Dispatcher::CapAllowsAdvice(const WaitingStep& item) const {
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  // Workers and a part of the cap can be reserved for a gang only once it is
  // known which workers are allowed.
  if (spec.gang) {
    return caps_.CanEverFitCap(item, spec.tasks);
  }
  return caps_.IsWithinCap(item, 1);
}

std::map<std::string, std::int64_t> Dispatcher::RackOrder(
    const WaitingStep& item, base::TimePoint now) const {
  std::map<std::string, std::int64_t> order;
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  if (!HasLocality(spec)) {
    return order;
  }
  if (!spec.data_rack.empty()) {
    order[spec.data_rack] = -1;
    return order;
  }
  // A gang that wants one rack: the racks with the most free processor time
  // first, each as a whole.
  std::map<std::string, std::int64_t> free_cpu;
  for (const auto& [id, worker] : fleet_->workers()) {
    if (MayRunOn(worker, item, now)) {
      free_cpu[worker.listing().rack] += worker.FreeResources().cpu.value();
    }
  }
  std::vector<std::pair<std::int64_t, std::string>> ranked;
  ranked.reserve(free_cpu.size());
  for (const auto& [rack, free] : free_cpu) {
    ranked.emplace_back(-free, rack);
  }
  std::sort(ranked.begin(), ranked.end());
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    order[ranked[i].second] = static_cast<std::int64_t>(i);
  }
  return order;
}

std::vector<const workers::Worker*> Dispatcher::WorkersToCompare(
    const WaitingStep& item, std::size_t most, RoomNeeded room_needed,
    base::TimePoint now) {
  const base::Resources needs = item.job->SpecOf(item.step).Reservation();
  const bool has_open_worker = HasOpenWorker(item, now);
  std::vector<const workers::Worker*> compared;
  compared.reserve(std::min(most, fleet_->workers().size()));
  for (workers::WorkerNumber i;
       i < fleet_->end_number() && compared.size() < most; i = i.next()) {
    last_compared_worker_ = last_compared_worker_.next() < fleet_->end_number()
                                ? last_compared_worker_.next()
                                : workers::WorkerNumber();
    const workers::Worker* worker = fleet_->FindByNumber(last_compared_worker_);
    effort_.workers_compared += worker == nullptr ? 0 : 1;
    if (worker != nullptr &&
        (has_open_worker ? MayRunOn(*worker, item, now)
                         : MayRunIfIsolated(*worker, item)) &&
        (room_needed == RoomNeeded::kNo ||
         needs.FitsIn(worker->FreeResources()))) {
      compared.push_back(worker);
    }
  }
  return compared;
}

std::vector<const workers::Worker*> Dispatcher::SuitableWorkers(
    const WaitingStep& item, std::size_t most, RoomNeeded room_needed,
    base::TimePoint now) {
  // Compared in this order; the number keeps the order of equals.
  struct Ranked {
    bool was_asked = false;
    std::int64_t rack_order = 0;
    std::int64_t negated_rank = 0;
    const workers::Worker* worker = nullptr;

    bool operator<(const Ranked& other) const {
      return std::tuple(was_asked, rack_order, negated_rank, worker->number()) <
             std::tuple(other.was_asked, other.rack_order, other.negated_rank,
                        other.worker->number());
    }
  };
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  const workers::WorkerSet& asked =
      advice_.FindOrAdd(item.step).queried_workers;
  const placement::SpeedPreference preference = SpeedPreferenceOf(item, now);
  const std::map<std::string, std::int64_t> rack_order = RackOrder(item, now);
  // A gang needs the best workers of all, and work for a rack those of the
  // rack.
  const bool compares_all = spec.gang || HasLocality(spec);
  const std::size_t most_compared =
      compares_all
          ? fleet_->workers().size()
          : std::max(context_.settings.min_compared_workers,
                     most * context_.settings.compared_per_advised_worker);
  std::vector<Ranked> ranked;
  for (const workers::Worker* worker :
       WorkersToCompare(item, most_compared, room_needed, now)) {
    const auto order = rack_order.find(worker->listing().rack);
    ranked.push_back({asked.contains(worker->number()),
                      order == rack_order.end() ? 0 : order->second,
                      -AdviceRank(*worker, preference), worker});
  }
  const auto end = ranked.begin() +
                   static_cast<std::ptrdiff_t>(std::min(most, ranked.size()));
  std::partial_sort(ranked.begin(), end, ranked.end());
  std::vector<const workers::Worker*> suitable;
  std::transform(ranked.begin(), end, std::back_inserter(suitable),
                 [](const Ranked& entry) { return entry.worker; });
  return suitable;
}

std::vector<base::BackendId> Dispatcher::WorkersToRequestFirst(
    const WaitingStep& item, RoomNeeded room_needed, base::TimePoint now) {
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  std::size_t max_workers = FirstRequestSize(spec);
  if (HasLocality(spec) && !spec.gang) {
    // The rack's workers come first. If none of them is allowed or free, others
    // must be known at once, so the request is larger by its usual size.
    const auto rack = racks_.find(spec.data_rack);
    max_workers = std::min(
        context_.settings.max_workers_per_request,
        max_workers + (rack == racks_.end() ? 0 : rack->second.size()));
  }
  std::vector<base::BackendId> ids;
  for (const workers::Worker* worker :
       SuitableWorkers(item, max_workers, room_needed, now)) {
    ids.push_back(worker->id());
  }
  return ids;
}

bool Dispatcher::SendAdviceRequest(const WaitingStep& item,
                                   std::vector<base::BackendId> workers,
                                   base::TimePoint now,
                                   std::vector<Action>* actions) {
  std::sort(workers.begin(), workers.end());
  workers.erase(std::unique(workers.begin(), workers.end()), workers.end());
  if (workers.empty()) {
    return false;
  }
  const auto client = advice_clients_.Choose(
      advice::ExpectedCallDuration(*item.queue->advice, workers.size()), now,
      CallForOf(item));
  if (!client) {
    return false;
  }
  advice::StepAdvice& advice = advice_.FindOrAdd(item.step);
  ++advice.calls_in_flight;
  for (const base::BackendId& id : workers) {
    if (const workers::Worker* worker = fleet_->Find(id)) {
      advice.queried_workers.insert(worker->number());
    }
  }
  telemetry_.counters->Increment("advice_calls", "asked");
  telemetry_.log->Write(
      "advice_asked", {{"step", jobs::ToString(item.step)},
                       {"asker", client->value()},
                       {"workers", static_cast<std::int64_t>(workers.size())}});
  actions->push_back(RequestAdvice{*client, item.step, std::move(workers)});
  return true;
}

advice::Ticket* Dispatcher::FindTicket(const jobs::StepRef& step,
                                       const base::BackendId& worker) {
  advice::StepAdvice* advice = advice_.Find(step);
  const workers::Worker* target = fleet_->Find(worker);
  if (advice == nullptr || target == nullptr) {
    return nullptr;
  }
  return advice->allowed.Find(target->number());
}

std::optional<std::string> Dispatcher::TicketFor(const WaitingStep& item,
                                                 const base::BackendId& worker,
                                                 base::TimePoint now) {
  if (!item.queue->advice) {
    return std::string();
  }
  const advice::Ticket* ticket = FindTicket(item.step, worker);
  return ticket == nullptr || now >= ticket->valid_until
             ? std::nullopt
             : std::optional(ticket->text);
}

void Dispatcher::OnAdvice(const RequestAdvice& request,
                          const AdviceResult& result, base::TimePoint now,
                          std::vector<Action>* actions) {
  const jobs::StepRef& step = request.step;
  if (result.outcome == AdviceResult::Outcome::kFailed) {
    advice_clients_.OnFailed(request.client, now);
  } else {
    advice_clients_.OnEnded(request.client, now);
  }
  advice::StepAdvice* advice = advice_.Find(step);
  if (advice == nullptr) {
    return;
  }
  advice->calls_in_flight = std::max(0, advice->calls_in_flight - 1);
  if (result.outcome == AdviceResult::Outcome::kAnswered) {
    ForgetLastTry(step);
    advice->has_answer = true;
    advice->failed_calls = 0;
    if (const jobs::Job* job = jobs_->Find(step.job)) {
      gang_width_.RecordAdvice(job->queue, request.workers.size(),
                               result.allowed.size());
    }
    for (const AllowedWorker& allowed : result.allowed) {
      if (const workers::Worker* worker = fleet_->Find(allowed.worker)) {
        advice->allowed.Put(
            worker->number(),
            {allowed.ticket,
             now + result.ticket_validity - context_.settings.ticket_margin});
      }
    }
  } else {
    // Otherwise the advisor would never be asked about these workers again.
    for (const base::BackendId& id : request.workers) {
      if (const workers::Worker* worker = fleet_->Find(id)) {
        advice->queried_workers.erase(worker->number());
      }
    }
    ++advice->failed_calls;
    advice->retry_at = now + context_.settings.advice_retry_delay;
    telemetry_.counters->Increment(
        "advice_calls",
        result.outcome == AdviceResult::Outcome::kBusy ? "busy" : "failed");
    telemetry_.log->Write("advice_failed",
                          {{"step", jobs::ToString(step)},
                           {"asker", request.client.value()},
                           {"failed_calls", advice->failed_calls}});
  }
  Enqueue(step);
  StartOrReleaseReserved(step, now, actions);
}

void Dispatcher::InvalidateTicket(const jobs::StepRef& step,
                                  const base::BackendId& worker) {
  if (advice::Ticket* ticket = FindTicket(step, worker)) {
    ticket->valid_until = base::TimePoint();
  }
}

void Dispatcher::StartOrReleaseReserved(const jobs::StepRef& step,
                                        base::TimePoint now,
                                        std::vector<Action>* actions) {
  std::vector<PlacedRun> reserved;
  for (const PlacedRun& run : runs_->RunsOfStep(step)) {
    workers::Worker* worker = fleet_->Find(run.worker);
    const workers::Run* found =
        worker == nullptr ? nullptr : worker->FindRun(run.task, run.attempt);
    if (found != nullptr && found->state == workers::RunState::kReserved) {
      reserved.push_back(run);
    }
  }
  jobs::Job* job = jobs_->Find(step.job);
  const desired::Queue* queue =
      job == nullptr ? nullptr : FindQueue(job->queue);
  if (reserved.empty() || queue == nullptr) {
    return;
  }
  const WaitingStep item{
      .urgency = {}, .step = step, .job = job, .queue = queue};
  const auto reserved_at = [&](const PlacedRun& run) {
    return fleet_->Find(run.worker)->FindRun(run.task, run.attempt)->since;
  };
  const auto can_start = [&](const PlacedRun& run) {
    const workers::Worker* worker = fleet_->Find(run.worker);
    return TicketFor(item, run.worker, now).has_value() &&
           worker->AcceptsWorkIfIsolated() &&
           !worker->quarantine.IsIsolatedSince(reserved_at(run), now) &&
           !worker->is_over_capacity();
  };
  const bool can_start_all =
      std::all_of(reserved.begin(), reserved.end(), can_start);
  const bool is_gang = job->SpecOf(step).gang;
  const advice::StepAdvice* advice = advice_.Find(step);
  if (!can_start_all && advice != nullptr && advice->calls_in_flight > 0) {
    return;  // A request under way may bring the missing tickets.
  }
  for (const PlacedRun& run : reserved) {
    if (is_gang ? can_start_all : can_start(run)) {
      StartRun(item, run, *TicketFor(item, run.worker, now), now, actions);
    } else {
      fleet_->Stop(run.worker, run.key(), now, actions);
    }
  }
}

}  // namespace dotterelbarrow::core::scheduler
