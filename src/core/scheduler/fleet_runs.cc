// Implements the commands to start and stop runs, and applies the results of
// polls.
#include <algorithm>
#include <utility>

#include "dotterelbarrow/core/scheduler/fleet.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using workers::kUnknownLife;
using workers::Listing;
using workers::Run;
using workers::RunState;
using workers::Worker;

// Sorted, so that each run of a long list is found without a linear search.
using ListedKeys = std::set<Fleet::RunKey>;

bool WasConfirmedBefore(const Run& run, std::int64_t clock_ms) {
  return run.confirmed_ms != 0 && run.confirmed_ms < clock_ms;
}

}  // namespace

void Fleet::RepeatStops(Worker* worker, base::TimePoint now,
                        std::vector<Action>* actions) {
  bool needs_poll = false;
  for (auto& [key, run] : worker->mutable_runs()) {
    if (run.state != RunState::kStopping ||
        now - run.stop_sent_at < settings_.stop_retry) {
      continue;
    }
    if (run.stop_taken_ms == 0) {
      SendStop(worker, &run, now, actions);
    } else {
      run.stop_sent_at = now;
      needs_poll = true;
    }
  }
  if (needs_poll && worker->is_claimed) {
    LookBeside(worker, actions);
  }
}

Run* Fleet::Earmark(const base::BackendId& worker, Run run) {
  return workers_.at(worker).AddRun(std::move(run));
}

void Fleet::Start(const base::BackendId& worker, const RunKey& key,
                  const std::string& payload, const std::string& checkpoint,
                  const std::string& ticket, base::TimePoint now,
                  std::vector<Action>* actions) {
  Worker& target = workers_.at(worker);
  Run* run = target.FindRun(key.first, key.second);
  run->state = RunState::kStarting;
  run->since = now;
  run->started_at = now;
  run->checkpoint = checkpoint;
  actions->push_back(StartTask{.worker = AddressOf(target),
                               .task = key.first,
                               .attempt = key.second,
                               .payload = payload,
                               .lease_until_ms = GrantLease(&target, now),
                               .checkpoint = checkpoint,
                               .ticket = ticket});
}

void Fleet::Stop(const base::BackendId& worker, const RunKey& key,
                 base::TimePoint now, std::vector<Action>* actions) {
  Worker* target = Find(worker);
  Run* run =
      target == nullptr ? nullptr : target->FindRun(key.first, key.second);
  if (run == nullptr || run->state == RunState::kStopping) {
    return;
  }
  if (run->state == RunState::kEarmarked) {
    EndRun(target, key, jobs::RunEnd::kStopped, {});
    return;
  }
  run->state = RunState::kStopping;
  run->since = now;
  SendStop(target, run, now, actions);
}

void Fleet::SendStop(Worker* worker, Run* run, base::TimePoint now,
                     std::vector<Action>* actions) {
  run->stop_sent_at = now;
  actions->push_back(StopTask{.worker = AddressOf(*worker),
                              .task = run->task,
                              .attempt = run->attempt});
}

Worker* Fleet::FindAnswering(const base::BackendId& id, std::int64_t born_ms,
                             OrderOutcome outcome) {
  Worker* worker = Find(id);
  if (worker == nullptr || worker->listing().born_ms != born_ms) {
    return nullptr;
  }
  if (outcome == OrderOutcome::kFenced) {
    is_fenced_ = true;
    return nullptr;
  }
  return worker;
}

void Fleet::OnStarted(const base::BackendId& worker, std::int64_t born_ms,
                      const RunKey& key, OrderOutcome outcome,
                      std::int64_t clock_ms, base::TimePoint now,
                      std::vector<Action>* actions) {
  Worker* target = FindAnswering(worker, born_ms, outcome);
  if (target == nullptr) {
    return;
  }
  target->orders_unanswered =
      outcome == OrderOutcome::kUnanswered ? target->orders_unanswered + 1 : 0;
  Run* run = target->FindRun(key.first, key.second);
  if (run == nullptr) {
    return;
  }
  if (outcome == OrderOutcome::kDone) {
    run->confirmed_ms = clock_ms;
    if (run->state != RunState::kStopping) {
      run->state = RunState::kRunning;
    }
    return;
  }
  if (outcome == OrderOutcome::kUnanswered) {
    if (run->state == RunState::kStarting) {
      run->state = RunState::kUncertain;
      run->since = now;
      LookBeside(target, actions);
    }
    return;
  }
  const Run refused = *run;
  target->RemoveRun(key.first, key.second);
  start_refused.emit(*target, refused, outcome);
}

void Fleet::OnStopped(const base::BackendId& worker, std::int64_t born_ms,
                      const RunKey& key, OrderOutcome outcome,
                      std::int64_t clock_ms, std::vector<Action>* actions) {
  Worker* target = FindAnswering(worker, born_ms, outcome);
  if (target == nullptr) {
    return;
  }
  Run* run = target->FindRun(key.first, key.second);
  if (run == nullptr || outcome != OrderOutcome::kDone) {
    return;
  }
  run->stop_taken_ms = std::max<std::int64_t>(clock_ms, 1);
  if (run->confirmed_ms == 0) {
    // The worker may have no such run, so there may be no run end that
    // completes a pending long poll.
    LookBeside(target, actions);
  }
}

void Fleet::OnLooked(const base::BackendId& worker, std::int64_t born_ms,
                     bool was_regular_poll, const LookResult& result,
                     base::TimePoint now, std::vector<Action>* actions) {
  Worker* target = Find(worker);
  if (target == nullptr ||
      (born_ms != kUnknownLife && target->listing().born_ms != born_ms)) {
    return;
  }
  if (was_regular_poll) {
    target->look_under_way = false;
    target->next_look = now + LookGap();
  }
  if (result.outcome == OrderOutcome::kFenced) {
    is_fenced_ = true;
    return;
  }
  if (result.outcome != OrderOutcome::kDone) {
    ++target->looks_failed;
    if (was_regular_poll) {
      target->next_look = now + settings_.look_retry;
    }
    telemetry_.counters->Increment("looks_failed", ToString(result.outcome));
    if (target->looks_failed == 1) {
      telemetry_.log->Write(
          "worker_silent",
          {{"worker", worker.value()}, {"outcome", ToString(result.outcome)}});
    }
    if (target->looks_failed == settings_.silent_looks && target->is_claimed) {
      silent.emit(*target, target->LeasesEnd());
    }
    return;
  }
  if (target->listing().born_ms == kUnknownLife) {
    Listing identified = target->listing();
    identified.born_ms = result.born_ms;
    target->Update(identified);
  }
  if (result.born_ms > target->listing().born_ms) {
    // The platform's next list will describe the new incarnation.
    Listing next = target->listing();
    next.born_ms = result.born_ms;
    BeginLife(target, next, now);
    target->set_listed(false);
    return;
  }
  if (target->looks_failed > 0) {
    telemetry_.log->Write(
        "worker_answers",
        {{"worker", worker.value()}, {"looks_failed", target->looks_failed}});
  }
  target->looks_failed = 0;
  target->orders_unanswered = 0;
  target->last_answer = now;
  target->clock.Read(result.clock_ms, now);
  TakeEnds(target, result.ended);
  TakeActive(target, result, now, actions);
  ResolveUnlisted(target, result, now, actions);
  if (!target->is_claimed) {
    target->is_claimed = true;
    target->next_look = now;
    // From now on, no previous owner can renew the lease that it granted.
    target->inherited_until = base::TimePoint();
    target->granted_until_ms =
        result.clock_ms + settings_.lease / std::chrono::milliseconds(1);
    telemetry_.log->Write(
        "worker_claimed",
        {{"worker", worker.value()},
         {"running", static_cast<std::int64_t>(result.active.size())},
         {"ended", static_cast<std::int64_t>(result.ended.size())}});
    Settle(worker);
  }
  if (target->is_closed) {
    answers_again.emit(*target, now);
  }
  if (was_regular_poll && target->ends_taken > target->ends_stored) {
    // Until the store holds these run ends, the worker would only report them
    // again.
    target->next_look = now + settings_.look_wait;
  }
}

void Fleet::TakeEnds(Worker* worker, const std::vector<ListedEnd>& ends) {
  const std::uint64_t previous_ends_taken = worker->ends_taken;
  for (const ListedEnd& end : ends) {
    if (end.number <= worker->ends_taken) {
      continue;
    }
    worker->ends_taken = end.number;
    const RunKey key(end.task, end.attempt);
    if (worker->FindRun(key.first, key.second) != nullptr) {
      EndRun(worker, key, end.end, end.checkpoint);
    } else {
      unknown_end.emit(*worker, end);
    }
  }
  if (worker->ends_taken > previous_ends_taken) {
    ends_taken.emit(worker->id(), worker->ends_taken);
  }
}

void Fleet::TakeActive(Worker* worker, const LookResult& result,
                       base::TimePoint now, std::vector<Action>* actions) {
  for (const ListedRun& listed : result.active) {
    const RunKey key(listed.task, listed.attempt);
    Run* run = worker->FindRun(key.first, key.second);
    if (run == nullptr) {
      unknown_run.emit(worker, listed, now);
      run = worker->FindRun(key.first, key.second);
    }
    if (run == nullptr) {
      // The run is an orphan: no job needs it. Its resource use is unknown, so
      // nothing else is started on the worker until its end is reported.
      run = worker->AddRun(Run{.task = listed.task,
                               .attempt = listed.attempt,
                               .state = RunState::kStopping,
                               .is_stray = true,
                               .since = now});
      SendStop(worker, run, now, actions);
    }
    if (run->state == RunState::kStarting ||
        run->state == RunState::kUncertain) {
      run->state = RunState::kRunning;
    }
    if (run->confirmed_ms == 0) {
      run->confirmed_ms = result.clock_ms;
    }
    run->is_listed = true;
    run->checkpoint =
        listed.checkpoint.empty() ? run->checkpoint : listed.checkpoint;
  }
}

void Fleet::ResolveUnlisted(Worker* worker, const LookResult& result,
                            base::TimePoint now, std::vector<Action>* actions) {
  ListedKeys listed;
  for (const ListedRun& run : result.active) {
    listed.emplace(run.task, run.attempt);
  }
  std::vector<RunKey> ended_runs;
  for (auto& [key, run] : worker->mutable_runs()) {
    if (listed.contains(key)) {
      continue;
    }
    const bool was_stop_applied =
        run.stop_taken_ms != 0 && run.stop_taken_ms < result.clock_ms;
    if (was_stop_applied || (run.state == RunState::kRunning &&
                             WasConfirmedBefore(run, result.clock_ms))) {
      ended_runs.push_back(key);
    } else if (run.state == RunState::kUncertain) {
      // The start command may still arrive; once stopped, the run can never
      // start.
      run.state = RunState::kStopping;
      SendStop(worker, &run, now, actions);
    }
  }
  for (const RunKey& key : ended_runs) {
    EndRun(worker, key, jobs::RunEnd::kStopped, {});
  }
}

void Fleet::OnEndsStored(const base::BackendId& worker, std::uint64_t number,
                         base::TimePoint now) {
  Worker* target = Find(worker);
  if (target == nullptr || number <= target->ends_stored) {
    return;
  }
  target->ends_stored = std::min(number, target->ends_taken);
  if (!target->look_under_way) {
    target->next_look = std::min(target->next_look, now + LookGap());
  }
}

}  // namespace dotterelbarrow::core::scheduler
