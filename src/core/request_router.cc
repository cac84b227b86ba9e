// Implements claims, the choice of an owner, forwards, retries and answers.
#include "src/core/request_router.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "src/core/refusal.h"

namespace dotterelbarrow::core {
namespace {

constexpr base::Duration kNoBackendRetry = std::chrono::seconds(1);
constexpr base::Duration kStoreRetry = std::chrono::seconds(1);
constexpr base::Duration kDeadlineRetry = std::chrono::milliseconds(100);

// Whether another owner may accept a request that one owner refused for
// `reason`.
bool MayOtherOwnerAccept(Reason reason) {
  return reason == Reason::kNoBackend || reason == Reason::kShuttingDown ||
         reason == Reason::kQueueFull || reason == Reason::kDeadlineUnreachable;
}

// Whether the refusal only means that the request was sent to an owner that
// can't serve it. Sending it to another owner puts no load on any runner, so it
// is not counted against the retry budget.
bool IsMisrouted(Reason reason) {
  return reason == Reason::kNoBackend || reason == Reason::kShuttingDown;
}

Answer DeadlinePassed(const base::RequestId& id) {
  return MakeRefusal(id, Reason::kDeadlinePassed,
                     "its deadline passed before it could be sent to a runner; "
                     "allow more time",
                     kDeadlineRetry);
}

}  // namespace

RequestRouter::RequestRouter(const NodeSettings* settings, Outbox* outbox,
                             Counters* counters, const Membership* membership,
                             ShardOwner* owner, RunnerDispatcher* dispatcher,
                             std::uint64_t seed, base::TimePoint now)
    : settings_(settings),
      outbox_(outbox),
      counters_(counters),
      membership_(membership),
      owner_(owner),
      dispatcher_(dispatcher),
      claims_(settings, outbox, membership),
      budget_(now),
      random_(seed) {}

void RequestRouter::Submit(CallerToken token, const WorkRequest& request,
                           base::TimePoint now) {
  budget_.OnRequest();
  const PendingId id = last_id_ = last_id_.next();
  Pending& pending = pending_[id];
  pending.token = token;
  pending.request = request;
  pending.accepted = now;
  pending.deadline = now + request.deadline;
  if (!request.idempotent && !request.idempotency_key.empty()) {
    BeginClaim(id, now);
  } else {
    Route(id, now);
  }
}

void RequestRouter::Refuse(CallerToken token, const Answer& refusal) {
  counters_->Increment("refusals", ToString(refusal.reason));
  outbox_->Send(CallerAnswer{token, refusal});
}

void RequestRouter::BeginClaim(PendingId id, base::TimePoint now) {
  Pending& pending = pending_.at(id);
  const base::EntryId manager = claims_.ManagerOf(pending.request.team);
  const base::CallId call = claims_.Claim(manager, pending.request);
  pending.stage = Claiming{call, manager};
  calls_.emplace(call, id);
  timers_.Set(id, std::min(pending.deadline, now + settings_->call_timeout));
}

void RequestRouter::OnClaimReply(const ClaimReply& reply, base::TimePoint now) {
  const auto call = calls_.find(reply.call);
  if (call == calls_.end()) {
    if (!claims_.OnLateReply(reply, now)) {
      counters_->Increment("dropped", "late_claim_reply");
    }
    return;
  }
  const PendingId id = call->second;
  Pending& pending = pending_.at(id);
  if (!std::holds_alternative<Claiming>(pending.stage)) {
    return;
  }
  calls_.erase(call);
  timers_.Clear(id);
  switch (reply.status) {
    case ClaimStatus::kClaimed:
      pending.claim = reply.call;
      Route(id, now);
      break;
    case ClaimStatus::kDuplicate:
      Finish(id, reply.answer, now);
      break;
    case ClaimStatus::kUnavailable:
      Finish(id,
             MakeRefusal(pending.request.id, Reason::kStoreUnavailable,
                         "the idempotency key can't be recorded now; hand the "
                         "request in again",
                         kStoreRetry),
             now);
      break;
  }
}

void RequestRouter::EndClaimUnanswered(PendingId id, Reason reason,
                                       base::TimePoint now) {
  const Pending& pending = pending_.at(id);
  const base::CallId call = std::get<Claiming>(pending.stage).call;
  const Answer refusal =
      reason == Reason::kDeadlinePassed
          ? DeadlinePassed(pending.request.id)
          : MakeRefusal(pending.request.id, reason,
                        "the manager of the team's idempotency keys doesn't "
                        "answer; hand the request in again",
                        settings_->member_timeout);
  claims_.GiveUp(call, pending.request, refusal, now);
  calls_.erase(call);
  Finish(id, refusal, now);
}

void RequestRouter::Route(PendingId id, base::TimePoint now) {
  const Pending& pending = pending_.at(id);
  const base::ServiceId& service = pending.request.service;
  if (pending.deadline <= now) {
    Finish(id, DeadlinePassed(pending.request.id), now);
    return;
  }
  if (!pending.tried.contains(settings_->self) &&
      owner_->FreeSlots(service) > base::Slots(0)) {
    ServeHere(id, now);
    return;
  }
  const std::vector<Candidate> candidates = Candidates(pending, now);
  if (candidates.empty()) {
    Finish(id,
           MakeRefusal(pending.request.id, Reason::kNoBackend,
                       "no entry host has a live runner for service '" +
                           service.value() + "'; come back later",
                       kNoBackendRetry),
           now);
    return;
  }
  const Candidate& chosen = ChooseOfTwo(candidates);
  if (chosen.entry == settings_->self) {
    ServeHere(id, now);
  } else {
    Forward(id, chosen, now);
  }
}

void RequestRouter::ServeHere(PendingId id, base::TimePoint now) {
  Pending& pending = pending_.at(id);
  pending.stage = Serving{};
  dispatcher_->Serve(FromRouter{id}, pending.request, pending.deadline - now,
                     now);
}

void RequestRouter::Forward(PendingId id, const Candidate& owner,
                            base::TimePoint now) {
  Pending& pending = pending_.at(id);
  const base::CallId call = outbox_->NextCall();
  pending.stage = Forwarded{call, owner.entry, owner.incarnation, now};
  calls_.emplace(call, id);
  timers_.Set(id, pending.deadline + settings_->call_timeout);
  outbox_->SendToPeer(owner.entry,
                      ForwardRequest{call, owner.incarnation, pending.request,
                                     pending.deadline - now});
}

std::vector<RequestRouter::Candidate> RequestRouter::Candidates(
    const Pending& pending, base::TimePoint now) const {
  std::vector<Candidate> candidates;
  for (const base::EntryId& entry : membership_->live()) {
    if (pending.tried.contains(entry)) {
      continue;
    }
    if (entry == settings_->self) {
      const base::ServiceId& service = pending.request.service;
      const auto queued = static_cast<std::int64_t>(dispatcher_->queued());
      if (dispatcher_->Serves(service, now)) {
        candidates.push_back({entry, settings_->incarnation,
                              owner_->FreeSlots(service).value() - queued});
      }
      continue;
    }
    const MemberRecord* member = membership_->FindMember(entry);
    if (member != nullptr && !member->leaving &&
        member->room.total_slots > base::Slots(0)) {
      candidates.push_back(
          {entry, member->incarnation,
           member->room.free_slots.value() - member->room.queued_requests});
    }
  }
  return candidates;
}

const RequestRouter::Candidate& RequestRouter::ChooseOfTwo(
    const std::vector<Candidate>& candidates) {
  const std::size_t first = random_() % candidates.size();
  if (candidates.size() == 1) {
    return candidates[first];
  }
  const std::size_t offset = 1 + random_() % (candidates.size() - 1);
  const std::size_t second = (first + offset) % candidates.size();
  return candidates[second].spare_slots > candidates[first].spare_slots
             ? candidates[second]
             : candidates[first];
}

void RequestRouter::OnServed(PendingId id, const Answer& answer,
                             base::TimePoint now) {
  OnOwnerAnswer(id, settings_->self, answer, now);
}

void RequestRouter::OnForwardReply(const ForwardReply& reply,
                                   base::TimePoint now) {
  const auto call = calls_.find(reply.call);
  if (call == calls_.end()) {
    counters_->Increment("dropped", "late_forward_reply");
    return;
  }
  const PendingId id = call->second;
  const Pending& pending = pending_.at(id);
  const auto* forwarded = std::get_if<Forwarded>(&pending.stage);
  if (forwarded == nullptr || reply.answer.id != pending.request.id) {
    counters_->Increment("dropped", "crossed_forward_reply");
    return;
  }
  const base::EntryId owner = forwarded->owner;
  Answer answer = reply.answer;
  answer.waited += forwarded->sent - pending.accepted;
  calls_.erase(call);
  timers_.Clear(id);
  OnOwnerAnswer(id, owner, std::move(answer), now);
}

void RequestRouter::OnOwnerAnswer(PendingId id, const base::EntryId& owner,
                                  Answer answer, base::TimePoint now) {
  Pending& pending = pending_.at(id);
  pending.tried.insert(owner);
  if (answer.outcome != Outcome::kNotRun ||
      !MayTryAnotherOwner(pending, answer.reason, now)) {
    Finish(id, std::move(answer), now);
    return;
  }
  counters_->Increment("retries", ToString(answer.reason));
  ++pending.retries;
  Route(id, now);
}

bool RequestRouter::MayTryAnotherOwner(const Pending& pending, Reason refusal,
                                       base::TimePoint now) {
  if (!MayOtherOwnerAccept(refusal) || Candidates(pending, now).empty()) {
    return false;
  }
  if (IsMisrouted(refusal)) {
    return RetryBudget::AllowsRedirect(pending.retries, pending.deadline, now,
                                       counters_);
  }
  return budget_.TryTake(pending.retries, pending.deadline, now, counters_);
}

void RequestRouter::OnOwnerLost(PendingId id, base::TimePoint now) {
  const Pending& pending = pending_.at(id);
  const auto forwarded = std::get<Forwarded>(pending.stage);
  calls_.erase(forwarded.call);
  timers_.Clear(id);
  // The request may still be running there, and no request may run in two
  // places at once. So even an idempotent request isn't sent elsewhere.
  counters_->Increment("lost", "owner");
  Finish(id,
         MakeUnknown(pending.request.id,
                     "entry host '" + forwarded.owner.value() +
                         "', which it was forwarded to, hasn't answered; ask "
                         "the service whether it ran"),
         now);
}

void RequestRouter::OnMembershipChanged(base::TimePoint now) {
  EndRequestsAtLostPeers(now);
}

void RequestRouter::EndRequestsAtLostPeers(base::TimePoint now) {
  std::vector<PendingId> unclaimed;
  std::vector<PendingId> lost;
  for (const auto& [id, pending] : pending_) {
    if (const auto* claiming = std::get_if<Claiming>(&pending.stage)) {
      if (!membership_->IsLive(claiming->manager)) {
        unclaimed.push_back(id);
      }
    }
    if (const auto* forwarded = std::get_if<Forwarded>(&pending.stage)) {
      const MemberRecord* member = membership_->FindMember(forwarded->owner);
      if (!membership_->IsLive(forwarded->owner) || member == nullptr ||
          member->incarnation != forwarded->incarnation) {
        lost.push_back(id);
      }
    }
  }
  // Process the requests in the order of their ids: the order of a hash map is
  // not deterministic.
  std::sort(unclaimed.begin(), unclaimed.end());
  std::sort(lost.begin(), lost.end());
  for (const PendingId id : unclaimed) {
    EndClaimUnanswered(id, Reason::kManagerUnavailable, now);
  }
  for (const PendingId id : lost) {
    OnOwnerLost(id, now);
  }
}

void RequestRouter::Tick(base::TimePoint now) {
  bool replaced = false;
  for (const base::EntryId& entry : membership_->live()) {
    const MemberRecord* member = membership_->FindMember(entry);
    if (member == nullptr) {
      continue;
    }
    base::Incarnation& known = incarnations_[entry];
    replaced = replaced || known != member->incarnation;
    known = member->incarnation;
  }
  if (replaced) {
    EndRequestsAtLostPeers(now);
  }
  while (const std::optional<PendingId> id = timers_.PopDue(now)) {
    OnTimeout(*id, now);
  }
  claims_.Tick(now);
}

void RequestRouter::OnTimeout(PendingId id, base::TimePoint now) {
  const Pending& pending = pending_.at(id);
  if (std::holds_alternative<Claiming>(pending.stage)) {
    EndClaimUnanswered(id,
                       pending.deadline <= now ? Reason::kDeadlinePassed
                                               : Reason::kManagerUnavailable,
                       now);
  } else {
    OnOwnerLost(id, now);
  }
}

void RequestRouter::Finish(PendingId id, Answer answer, base::TimePoint now) {
  const auto it = pending_.find(id);
  const Pending& pending = it->second;
  answer.id = pending.request.id;
  if (pending.claim) {
    claims_.Resolve(*pending.claim, pending.request, answer, now);
  }
  if (answer.outcome == Outcome::kNotRun) {
    counters_->Increment("refusals", ToString(answer.reason));
  }
  counters_->Increment("answers", ToString(answer.outcome));
  outbox_->Send(CallerAnswer{pending.token, std::move(answer)});
  timers_.Clear(id);
  pending_.erase(it);
}

}  // namespace dotterelbarrow::core
