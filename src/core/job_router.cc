// Sends calls to managers, and repeats them until they are answered.
#include "dotterelbarrow/core/job_router.h"

#include <utility>

#include "dotterelbarrow/core/partitions.h"

namespace dotterelbarrow::core {
namespace {

constexpr base::Duration kResendPeriod = std::chrono::milliseconds(500);
constexpr base::Duration kRetryAfter = std::chrono::seconds(1);

}  // namespace

JobRouter::JobRouter(const NodeSettings* settings, Outbox* outbox,
                     Counters* counters, const Membership* membership)
    : settings_(settings),
      outbox_(outbox),
      counters_(counters),
      membership_(membership) {}

void JobRouter::Submit(CallerToken token, const WorkRequest& request,
                       base::TimePoint now) {
  Call call;
  call.token = token;
  call.request = request;
  call.request.key = {};  // Keys are not written to the journal.
  call.job = {request.team, request.id};
  Start(std::move(call), now);
}

void JobRouter::Ask(const CallerJobCommand& command, const base::TeamId& team,
                    base::TimePoint now) {
  Call call;
  call.token = command.token;
  call.verb = command.verb == CallerJobCommand::Verb::kCancel ? Verb::kCancel
                                                              : Verb::kQuery;
  call.job = {team, command.request};
  Start(std::move(call), now);
}

void JobRouter::Start(Call call, base::TimePoint now) {
  call.started = now;
  calls_[++last_key_] = std::move(call);
  Send(last_key_, now);
}

void JobRouter::Send(std::uint64_t key, base::TimePoint now) {
  Call& call = calls_.at(key);
  call.next_send = now + kResendPeriod;
  const base::CallId id = outbox_->NextCall();
  call.unanswered.insert(id);
  copies_[id] = key;
  const base::EntryId manager = ManagerOf(
      *membership_, PartitionOf(call.job.team, settings_->partition_count));
  switch (call.verb) {
    case Verb::kSubmit:
      outbox_->SendToPeer(manager, SubmitJob{id, call.request});
      break;
    case Verb::kQuery:
      outbox_->SendToPeer(manager, QueryJob{id, call.job});
      break;
    case Verb::kCancel:
      outbox_->SendToPeer(manager, CancelJob{id, call.job});
      break;
  }
}

void JobRouter::OnReply(const JobReply& reply, base::TimePoint now) {
  const auto copy = copies_.find(reply.call);
  if (copy == copies_.end()) {
    return;  // A duplicate answer, or the call has been finished.
  }
  const std::uint64_t key = copy->second;
  copies_.erase(copy);
  Call& call = calls_.at(key);
  call.unanswered.erase(reply.call);
  if (reply.answer.outcome != Outcome::kNotRun) {
    Finish(key, reply.answer);
    return;
  }
  call.refusal = reply.answer;
  const bool may_retry = reply.answer.reason == Reason::kManagerUnavailable &&
                         now - call.started < settings_->call_timeout;
  if (!may_retry && call.unanswered.empty()) {
    Finish(key, reply.answer);
  }
}

void JobRouter::Tick(base::TimePoint now) {
  for (auto it = calls_.begin(); it != calls_.end();) {
    const std::uint64_t key = it->first;
    const Call& call = (it++)->second;
    if (now - call.started >= settings_->call_timeout) {
      GiveUp(key);
      continue;
    }
    // After a final refusal the call isn't sent again: it only waits for the
    // answers to its other copies.
    const bool final_refusal =
        call.refusal && call.refusal->reason != Reason::kManagerUnavailable;
    if (now >= call.next_send && !final_refusal) {
      counters_->Increment("retries", "job_call");
      Send(key, now);
    }
  }
}

void JobRouter::GiveUp(std::uint64_t key) {
  const Call& call = calls_.at(key);
  if (call.unanswered.empty() && call.refusal) {
    Finish(key, *call.refusal);
    return;
  }
  Answer answer;
  answer.outcome = Outcome::kUnknown;
  answer.reason = Reason::kManagerUnavailable;
  answer.detail =
      "the team's manager didn't answer in time; send the call again with "
      "the same id: a job is never run twice under one id";
  answer.retry_after = kRetryAfter;
  counters_->Increment("refusals", ToString(answer.reason));
  Finish(key, std::move(answer));
}

void JobRouter::Finish(std::uint64_t key, Answer answer) {
  const auto call = calls_.extract(key);
  for (const base::CallId id : call.mapped().unanswered) {
    copies_.erase(id);
  }
  answer.id = call.mapped().job.request;
  outbox_->Send(CallerAnswer{call.mapped().token, std::move(answer)});
}

}  // namespace dotterelbarrow::core
