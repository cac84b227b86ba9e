// Receives callers' interactive requests, routes each to an owner that serves
// it, and answers each caller exactly once.
//
// The idempotency key of a request that is not idempotent is claimed first.
// Then the request is served on a runner owned here or forwarded to a peer. A
// request that an owner refused may be sent to another owner. A forwarded
// request that is not answered ends with outcome kUnknown and isn't sent again:
// it may still be running, and no request may run in two places at once.
#ifndef DOTTERELBARROW_SRC_CORE_REQUEST_ROUTER_H_
#define DOTTERELBARROW_SRC_CORE_REQUEST_ROUTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/core/membership.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/outbox.h"
#include "dotterelbarrow/core/settings.h"
#include "dotterelbarrow/core/shard_owner.h"
#include "src/core/key_claims.h"
#include "src/core/retry_budget.h"
#include "src/core/runner_dispatcher.h"
#include "src/core/timer_set.h"

namespace dotterelbarrow::core {

class RequestRouter {
 public:
  // All objects pointed to must outlive this object.
  RequestRouter(const NodeSettings* settings, Outbox* outbox,
                Counters* counters, const Membership* membership,
                ShardOwner* owner, RunnerDispatcher* dispatcher,
                std::uint64_t seed, base::TimePoint now);

  void Submit(CallerToken token, const WorkRequest& request,
              base::TimePoint now);
  // Handles the answer of this entry host's dispatcher to a request.
  void OnServed(PendingId id, const Answer& answer, base::TimePoint now);
  void OnForwardReply(const ForwardReply& reply, base::TimePoint now);
  void OnClaimReply(const ClaimReply& reply, base::TimePoint now);
  void OnMembershipChanged(base::TimePoint now);
  void Tick(base::TimePoint now);

  // Answers a request with `refusal` without accepting it.
  void Refuse(CallerToken token, const Answer& refusal);
  bool is_idle() const { return pending_.empty(); }

 private:
  // Waits for the manager's reply to the claim of the idempotency key.
  struct Claiming {
    base::CallId call;
    base::EntryId manager;
  };
  // Is being served by this entry host's dispatcher.
  struct Serving {};
  // Has been forwarded to a peer, which hasn't answered yet.
  struct Forwarded {
    base::CallId call;
    base::EntryId owner;
    base::Incarnation incarnation;
    base::TimePoint sent;
  };
  using Stage = std::variant<Serving, Claiming, Forwarded>;

  struct Pending {
    CallerToken token;
    WorkRequest request;
    base::TimePoint accepted;
    base::TimePoint deadline;
    Stage stage;
    std::uint32_t retries = 0;
    // The owners that have refused it; none is tried twice.
    std::set<base::EntryId> tried;
    // The call id of the granted claim, if any.
    std::optional<base::CallId> claim;
  };
  struct Candidate {
    base::EntryId entry;
    base::Incarnation incarnation;
    // Free slots less queued requests.
    std::int64_t spare_slots = 0;
  };

  void BeginClaim(PendingId id, base::TimePoint now);
  void EndClaimUnanswered(PendingId id, Reason reason, base::TimePoint now);
  void Route(PendingId id, base::TimePoint now);
  void ServeHere(PendingId id, base::TimePoint now);
  void Forward(PendingId id, const Candidate& owner, base::TimePoint now);
  std::vector<Candidate> Candidates(const Pending& pending,
                                    base::TimePoint now) const;
  const Candidate& ChooseOfTwo(const std::vector<Candidate>& candidates);

  // Tries another owner if this one refused and a retry is allowed; otherwise
  // answers the caller.
  void OnOwnerAnswer(PendingId id, const base::EntryId& owner, Answer answer,
                     base::TimePoint now);
  // Answers the caller of a request that a peer hasn't answered with kUnknown.
  void OnOwnerLost(PendingId id, base::TimePoint now);
  bool MayTryAnotherOwner(const Pending& pending, Reason refusal,
                          base::TimePoint now);
  void OnTimeout(PendingId id, base::TimePoint now);
  void EndRequestsAtLostPeers(base::TimePoint now);
  void Finish(PendingId id, Answer answer, base::TimePoint now);

  const NodeSettings* settings_;
  Outbox* outbox_;
  Counters* counters_;
  const Membership* membership_;
  ShardOwner* owner_;
  RunnerDispatcher* dispatcher_;
  KeyClaims claims_;
  RetryBudget budget_;
  std::mt19937_64 random_;
  PendingId last_id_;
  std::unordered_map<PendingId, Pending> pending_;
  // Invariant: contains the call of every unanswered claim and forward.
  std::unordered_map<base::CallId, PendingId> calls_;
  TimerSet<PendingId> timers_;
  // The incarnations of peers as last seen, to detect that a peer was restarted
  // or replaced.
  std::map<base::EntryId, base::Incarnation> incarnations_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_SRC_CORE_REQUEST_ROUTER_H_
