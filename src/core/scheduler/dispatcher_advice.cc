// Advice and tickets of waiting steps.
#include <algorithm>
#include <utility>

#include "dotterelbarrow/core/scheduler/dispatcher.h"

namespace dotterelbarrow::core::scheduler {

bool Dispatcher::IsAdvised(const Item& item, base::TimePoint now,
                           std::vector<Action>* actions) {
  if (!item.queue->advice) {
    return true;
  }
  advice::StepAdvice& advice = advice_.FindOrAdd(item.step);
  if (advice.calls > 0) {
    return false;
  }
  if (advice.is_known && !CandidatesOf(item, now).empty()) {
    return true;
  }
  if (now >= advice.retry_at) {
    // Nobody allowed is left, or nothing is known yet.
    advice.retry_at = now + std::chrono::seconds(1);
    Ask(item, WorkersToAskAbout(item, now), now, actions);
  }
  return false;
}

std::vector<base::BackendId> Dispatcher::WorkersToAskAbout(
    const Item& item, base::TimePoint now) const {
  const jobs::StepSpec& spec = item.job->SpecOf(item.step);
  std::vector<const workers::Worker*> suitable;
  for (const auto& [id, worker] : fleet_->workers()) {
    if (worker.TakesWork(now) &&
        worker.listing().service == item.queue->service &&
        placement::IsSuitable(worker, spec)) {
      suitable.push_back(&worker);
    }
  }
  if (suitable.size() > settings_.max_advised) {
    std::stable_sort(
        suitable.begin(), suitable.end(),
        [](const workers::Worker* a, const workers::Worker* b) {
          return a->FreeRoom().cpu > b->FreeRoom().cpu;
        });
    suitable.resize(settings_.max_advised);
  }
  std::vector<base::BackendId> ids;
  ids.reserve(suitable.size());
  for (const workers::Worker* worker : suitable) {
    ids.push_back(worker->id());
  }
  return ids;
}

void Dispatcher::Ask(const Item& item, std::vector<base::BackendId> workers,
                     base::TimePoint now, std::vector<Action>* actions) {
  std::sort(workers.begin(), workers.end());
  workers.erase(std::unique(workers.begin(), workers.end()), workers.end());
  if (workers.empty()) {
    return;
  }
  const auto asker = askers_.Choose(
      advice::CallCost(*item.queue->advice, workers.size()), now);
  if (!asker) {
    return;
  }
  ++advice_.FindOrAdd(item.step).calls;
  telemetry_.counters->Increment("advice_calls", "asked");
  actions->push_back(AskAdvice{*asker, item.step, std::move(workers)});
}

std::optional<std::string> Dispatcher::TicketFor(const Item& item,
                                                 const base::BackendId& worker,
                                                 base::TimePoint now) {
  if (!item.queue->advice) {
    return std::string();
  }
  const advice::StepAdvice* advice = advice_.Find(item.step);
  if (advice == nullptr) {
    return std::nullopt;
  }
  const auto it = advice->allowed.find(worker);
  if (it == advice->allowed.end() || now >= it->second.valid_until) {
    return std::nullopt;
  }
  return it->second.text;
}

void Dispatcher::OnAdvice(const jobs::StepRef& step, const AdviceResult& result,
                          base::TimePoint now, std::vector<Action>* actions) {
  advice::StepAdvice* advice = advice_.Find(step);
  if (advice == nullptr) {
    return;
  }
  advice->calls = std::max(0, advice->calls - 1);
  if (result.outcome == AdviceResult::Outcome::kAnswered) {
    advice->is_known = true;
    advice->failed_calls = 0;
    for (const AllowedWorker& allowed : result.allowed) {
      advice->allowed[allowed.worker] = {
          allowed.ticket,
          now + result.ticket_validity - settings_.ticket_margin};
    }
  } else {
    ++advice->failed_calls;
    advice->retry_at = now + settings_.advice_retry;
    telemetry_.counters->Increment(
        "advice_calls", result.outcome == AdviceResult::Outcome::kBusy
                            ? "busy"
                            : "failed");
    telemetry_.log->Write("advice_failed",
                          {{"step", jobs::ToString(step)},
                           {"failed_calls", advice->failed_calls}});
  }
  waiting_.insert(step);
  SettleEarmarks(step, now, actions);
}

void Dispatcher::DropTicket(const jobs::StepRef& step,
                            const base::BackendId& worker) {
  if (advice::StepAdvice* advice = advice_.Find(step)) {
    if (const auto it = advice->allowed.find(worker);
        it != advice->allowed.end()) {
      it->second.valid_until = base::TimePoint();
    }
  }
}

void Dispatcher::SettleEarmarks(const jobs::StepRef& step, base::TimePoint now,
                                std::vector<Action>* actions) {
  std::vector<PlacedRun> earmarked;
  for (const PlacedRun& run : runs_->OfStep(step)) {
    workers::Worker* worker = fleet_->Find(run.worker);
    const workers::Run* found =
        worker == nullptr ? nullptr : worker->FindRun(run.task, run.attempt);
    if (found != nullptr && found->state == workers::RunState::kEarmarked) {
      earmarked.push_back(run);
    }
  }
  jobs::Job* job = jobs_->Find(step.job);
  const desired::Queue* queue =
      job == nullptr ? nullptr : FindQueue(job->queue);
  if (earmarked.empty() || queue == nullptr) {
    return;
  }
  const Item item{.urgency = {}, .step = step, .job = job, .queue = queue};
  const auto can_start = [&](const PlacedRun& run) {
    const workers::Worker* worker = fleet_->Find(run.worker);
    return TicketFor(item, run.worker, now).has_value() &&
           worker->TakesWork(now);
  };
  const bool all =
      std::all_of(earmarked.begin(), earmarked.end(), can_start);
  const bool is_gang = job->SpecOf(step).gang;
  for (const PlacedRun& run : earmarked) {
    if (is_gang ? all : can_start(run)) {
      StartRun(item, run, *TicketFor(item, run.worker, now), now, actions);
    } else {
      fleet_->Stop(run.worker, run.key(), now, actions);
    }
  }
}

}  // namespace dotterelbarrow::core::scheduler
