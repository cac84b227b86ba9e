// Implements the commands to start and stop runs, and applies the results of
// polls.
#include <algorithm>
#include <utility>

#include "dotterelbarrow/core/scheduler/fleet.h"

namespace dotterelbarrow::core::scheduler {
namespace {

using workers::kUnknownIncarnation;
using workers::Listing;
using workers::Run;
using workers::RunState;
using workers::Worker;

// Sorted, so that each run of a long list is found without a linear search.
using ListedKeys = std::set<Fleet::RunKey>;

bool WasConfirmedBefore(const Run& run, std::int64_t clock_ms) {
  return run.start_confirmed_ms != 0 && run.start_confirmed_ms < clock_ms;
}

}  // namespace

void Fleet::RetryStops(Worker* worker, base::TimePoint now,
                       std::vector<Action>* actions) {
  if (!worker->may_have_stopping_runs) {
    return;
  }
  worker->may_have_stopping_runs = false;
  bool needs_poll = false;
  for (auto& [key, run] : worker->mutable_runs()) {
    if (run.state != RunState::kStopping) {
      continue;
    }
    worker->may_have_stopping_runs = true;
    if (now - run.stop_sent_at < settings_.stop_retry_delay) {
      continue;
    }
    if (run.stop_accepted_ms == 0) {
      SendStop(worker, &run, now, actions);
    } else {
      run.stop_sent_at = now;
      needs_poll = true;
    }
  }
  if (needs_poll && worker->is_claimed) {
    PollImmediately(worker, actions);
  }
}

Run* Fleet::Reserve(const base::BackendId& worker, Run run) {
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
  run->start_sent_ms = target.clock.last_reading_ms();
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
  if (run->state == RunState::kReserved) {
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
  worker->may_have_stopping_runs = true;
  actions->push_back(StopTask{.worker = AddressOf(*worker),
                              .task = run->task,
                              .attempt = run->attempt});
}

Worker* Fleet::FindAnsweringIncarnation(const base::BackendId& id,
                                        std::int64_t born_ms,
                                        CommandOutcome outcome) {
  Worker* worker = Find(id);
  if (worker == nullptr || worker->listing().born_ms != born_ms) {
    return nullptr;
  }
  if (outcome == CommandOutcome::kFenced) {
    is_fenced_ = true;
    return nullptr;
  }
  return worker;
}

void Fleet::OnStarted(const base::BackendId& worker, std::int64_t born_ms,
                      const RunKey& key, CommandOutcome outcome,
                      std::int64_t clock_ms, base::TimePoint now,
                      std::vector<Action>* actions) {
  Worker* target = FindAnsweringIncarnation(worker, born_ms, outcome);
  if (target == nullptr) {
    return;
  }
  Run* run = target->FindRun(key.first, key.second);
  if (run != nullptr && clock_ms > 0 && clock_ms < run->start_sent_ms) {
    telemetry_.counters->Increment("answers_of_other_life", ToString(outcome));
    telemetry_.log->Write("start_answered_by_other_life",
                          {{"worker", worker.value()},
                           {"task", jobs::ToString(key.first)},
                           {"outcome", ToString(outcome)},
                           {"born_ms", target->listing().born_ms},
                           {"clock_ms", clock_ms},
                           {"sent_ms", run->start_sent_ms}});
    if (outcome == CommandOutcome::kDone) {
      // The run is in the next incarnation. A list of this one that arrives
      // late can't show it, and must not be taken for its end.
      outcome = CommandOutcome::kUnanswered;
    }
  }
  const bool was_unreachable = outcome == CommandOutcome::kUnanswered ||
                               outcome == CommandOutcome::kNotSent;
  target->unanswered_commands =
      was_unreachable ? target->unanswered_commands + 1 : 0;
  if (outcome == CommandOutcome::kDone) {
    target->alive_at = now;
  }
  if (run == nullptr) {
    return;
  }
  if (outcome == CommandOutcome::kDone) {
    run->start_confirmed_ms = clock_ms;
    if (run->state != RunState::kStopping) {
      run->state = RunState::kRunning;
    }
    return;
  }
  if (outcome == CommandOutcome::kUnanswered) {
    if (run->state == RunState::kStarting) {
      run->state = RunState::kUncertain;
      run->since = now;
      PollImmediately(target, actions);
    }
    return;
  }
  const Run refused = *run;
  target->RemoveRun(key.first, key.second);
  start_refused.emit(*target, refused, outcome);
}

void Fleet::OnStopped(const base::BackendId& worker, std::int64_t born_ms,
                      const RunKey& key, CommandOutcome outcome,
                      std::int64_t clock_ms, std::vector<Action>* actions) {
  Worker* target = FindAnsweringIncarnation(worker, born_ms, outcome);
  if (target == nullptr) {
    return;
  }
  Run* run = target->FindRun(key.first, key.second);
  if (run == nullptr || outcome != CommandOutcome::kDone) {
    return;
  }
  run->stop_accepted_ms = std::max<std::int64_t>(clock_ms, 1);
  if (run->start_confirmed_ms == 0) {
    // The worker may have no such run, so there may be no run end that
    // completes a pending long poll.
    PollImmediately(target, actions);
  }
}

void Fleet::OnPolled(const base::BackendId& worker, std::int64_t born_ms,
                     bool was_regular_poll, const PollResult& result,
                     base::TimePoint now, std::vector<Action>* actions,
                     std::uint64_t ends_acknowledged) {
  Worker* target = Find(worker);
  // A poll to an unknown incarnation was sent before any restart was known.
  const bool is_outdated =
      born_ms == kUnknownIncarnation
          ? target != nullptr && target->earlier_incarnations > 0
          : target != nullptr && target->listing().born_ms != born_ms;
  if (target == nullptr || is_outdated) {
    return;
  }
  if (was_regular_poll) {
    target->poll_in_flight = false;
    target->earliest_poll = now + PollInterval();
    target->next_poll = target->earliest_poll;
  }
  if (result.outcome == CommandOutcome::kFenced) {
    is_fenced_ = true;
    return;
  }
  if (result.outcome != CommandOutcome::kDone) {
    const bool is_held_poll =
        was_regular_poll && target->is_claimed && target->failed_polls == 0;
    if (is_held_poll && result.outcome == CommandOutcome::kUnanswered &&
        now - target->poll_sent_at < settings_.long_poll_timeout) {
      // The connection broke while the worker was holding the poll.
      target->alive_at = now;
    }
    if (was_regular_poll && target->is_claimed &&
        result.outcome == CommandOutcome::kOtherIncarnation) {
      OnReplaced(target, now);
    }
    ++target->failed_polls;
    if (was_regular_poll) {
      target->next_poll = now + settings_.poll_retry_delay;
    }
    telemetry_.counters->Increment("looks_failed", ToString(result.outcome));
    if (target->failed_polls == 1) {
      telemetry_.log->Write(
          "worker_silent",
          {{"worker", worker.value()}, {"outcome", ToString(result.outcome)}});
    }
    if (target->failed_polls == settings_.unresponsive_after_failed_polls &&
        target->is_claimed) {
      worker_unresponsive.emit(*target, target->AllLeasesExpireBy());
    }
    return;
  }
  if (target->listing().born_ms == kUnknownIncarnation) {
    Listing identified = target->listing();
    identified.born_ms = result.born_ms;
    target->Update(identified);
    ++incarnations_version_;
  }
  if (result.born_ms > target->listing().born_ms) {
    // The platform's next list will describe the new incarnation.
    Listing next = target->listing();
    next.born_ms = result.born_ms;
    BeginIncarnation(target, next, now);
    target->set_listed(false);
    return;
  }
  if (target->failed_polls > 0) {
    telemetry_.log->Write(
        "worker_answers",
        {{"worker", worker.value()}, {"looks_failed", target->failed_polls}});
  }
  target->failed_polls = 0;
  target->is_expiry_withheld = false;
  target->unanswered_commands = 0;
  target->last_answer = now;
  target->alive_at = now;
  if (!target->claimed_at) {
    target->claimed_at = now;
  }
  target->clock.RecordReading(result.clock_ms, now);
  target->ends_forgotten = std::max(target->ends_forgotten, ends_acknowledged);
  ApplyRunEnds(target, result.ended);
  ApplyActiveRuns(target, result, now, actions);
  ResolveUnlistedRuns(target, result, now, actions);
  if (!target->is_claimed) {
    target->is_claimed = true;
    if (std::exchange(target->is_loss_reported, false)) {
      target->returned_at = now;
    }
    target->next_poll = now;
    // From now on, no previous owner can renew the lease that it granted, and
    // the incarnation rejects commands that are meant for earlier ones.
    if (!target->carried_leases ||
        target->carried_leases->born_ms != result.born_ms) {
      target->carried_leases = {result.born_ms,
                                LatestExpiryOfLeasesCarriedAt(now)};
    }
    target->inherited_leases_end = target->carried_leases->end;
    target->granted_until_ms =
        result.clock_ms +
        settings_.lease_duration / std::chrono::milliseconds(1);
    telemetry_.log->Write(
        "worker_claimed",
        {{"worker", worker.value()},
         {"born_ms", result.born_ms},
         {"clock_ms", result.clock_ms},
         {"earlier_lives",
          static_cast<std::int64_t>(target->earlier_incarnations)},
         {"running", static_cast<std::int64_t>(result.active.size())},
         {"ended", static_cast<std::int64_t>(result.ended.size())}});
    if (target->inherited_born_ms != kUnknownIncarnation &&
        result.born_ms > target->inherited_born_ms) {
      // Later crashes are those of this owner's term.
      target->inherited_born_ms = kUnknownIncarnation;
      inherited_worker_lost.emit(worker, workers::LossKind::kCrashed);
    }
    worker_claimed.emit(*target);
    incarnation_seen.emit(*target);
  }
  if (result.lists_all && unreconciled_.contains(worker)) {
    MarkReconciled(worker);
  }
  if (target->leases_suspended) {
    worker_responsive_again.emit(*target, now);
  }
  if (was_regular_poll && target->ends_received > target->ends_stored) {
    // Until the store holds these run ends, the worker would only report them
    // again.
    target->next_poll =
        now + (target->has_held_ends ? settings_.held_ends_poll_interval
                                     : settings_.long_poll_timeout);
  }
}

void Fleet::ApplyRunEnds(Worker* worker, const std::vector<ListedEnd>& ends) {
  const std::uint64_t previous_ends_taken = worker->ends_received;
  for (const ListedEnd& end : ends) {
    if (end.number <= worker->ends_received) {
      continue;
    }
    worker->ends_received = end.number;
    const RunKey key(end.task, end.attempt);
    if (worker->FindRun(key.first, key.second) != nullptr) {
      EndRun(worker, key, end.end, end.checkpoint);
    } else {
      untracked_run_ended.emit(*worker, end);
    }
  }
  if (worker->ends_received > previous_ends_taken) {
    run_ends_received.emit(worker->id(), worker->listing().born_ms,
                           worker->ends_received);
  }
}

void Fleet::ApplyActiveRuns(Worker* worker, const PollResult& result,
                            base::TimePoint now, std::vector<Action>* actions) {
  for (const ListedRun& listed : result.active) {
    const RunKey key(listed.task, listed.attempt);
    Run* run = worker->FindRun(key.first, key.second);
    if (run == nullptr) {
      untracked_run_listed.emit(worker, listed, now);
      run = worker->FindRun(key.first, key.second);
    }
    if (run == nullptr) {
      // The run is an orphan: no job needs it. Its resource use is unknown, so
      // nothing else is started on the worker until its end is reported.
      run = worker->AddRun(Run{.task = listed.task,
                               .attempt = listed.attempt,
                               .state = RunState::kStopping,
                               .is_orphan = true,
                               .since = now});
      SendStop(worker, run, now, actions);
    }
    if (run->state == RunState::kStarting ||
        run->state == RunState::kUncertain) {
      run->state = RunState::kRunning;
    }
    if (run->start_confirmed_ms == 0) {
      run->start_confirmed_ms = result.clock_ms;
    }
    if (!std::exchange(run->is_listed, true) && !run->is_orphan) {
      run_listed.emit(*run);
    }
    // A task that was lost before after some time remains a suspect.
    if (run->is_suspect && !run->was_lost_before &&
        !workers::IsYoungAt(*run, now)) {
      worker->ClearSuspicion(run);
      suspect_survived.emit(*run);
    }
    run->checkpoint =
        listed.checkpoint.empty() ? run->checkpoint : listed.checkpoint;
  }
}

void Fleet::ResolveUnlistedRuns(Worker* worker, const PollResult& result,
                                base::TimePoint now,
                                std::vector<Action>* actions) {
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
        run.stop_accepted_ms != 0 && run.stop_accepted_ms < result.clock_ms;
    if (was_stop_applied || (run.state == RunState::kRunning &&
                             WasConfirmedBefore(run, result.clock_ms))) {
      // If the list was cut, the run's end may be a success that comes later.
      if (result.lists_all) {
        ended_runs.push_back(key);
      } else {
        run.awaits_end = true;
      }
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

void Fleet::OnEndsStored(const base::BackendId& worker, std::int64_t born_ms,
                         std::uint64_t number, base::TimePoint now) {
  Worker* target = Find(worker);
  // The numbers of an earlier incarnation's ends say nothing about this one.
  if (target == nullptr || target->listing().born_ms != born_ms ||
      number <= target->ends_stored) {
    return;
  }
  target->ends_stored = std::min(number, target->ends_received);
  if (!target->poll_in_flight) {
    target->next_poll =
        std::min(target->next_poll, std::max(now, target->earliest_poll));
  }
}

}  // namespace dotterelbarrow::core::scheduler
