// Sends calls to the owner and handles the answers.
#include "src/member/owner_call_forwarder.h"

#include <utility>
#include <variant>
#include <vector>

#include "src/member/clock.h"

namespace dotterelbarrow::member {
namespace {

// How often calls without an outcome are checked for time-outs and retries.
constexpr base::Duration kSweepPeriod = std::chrono::milliseconds(50);
// Delay before a call is sent again to an owner that is still loading the
// stored records.
constexpr base::Duration kRetryDelay = std::chrono::milliseconds(50);

}  // namespace

OwnerCallForwarder::OwnerCallForwarder(const wire::EventLoop& loop,
                                       RpcClient* rpc,
                                       core::scheduler::Telemetry telemetry,
                                       FindOwner find_owner,
                                       HandleLocally handle_locally,
                                       IsCutOff is_cut_off,
                                       OwnerHint owner_hint, AddShard add_shard)
    : rpc_(rpc),
      telemetry_(telemetry),
      find_owner_(std::move(find_owner)),
      handle_locally_(std::move(handle_locally)),
      is_cut_off_(std::move(is_cut_off)),
      owner_hint_(std::move(owner_hint)),
      add_shard_(std::move(add_shard)),
      sweep_timer_(loop, [this] { Sweep(); }) {}

void OwnerCallForwarder::Call(const OwnerCall& call, OwnerReply reply) {
  const std::optional<OwnerRoute> owner = find_owner_();
  if ((!owner || !owner->is_ready) && !CanWaitForOwner(call)) {
    // The call had no effect, and another host may know the owner.
    reply(NoOwner{});
    return;
  }
  const std::uint64_t id = ++last_id_;
  pending_.emplace(id, Pending{.call = call,
                               .reply = std::move(reply),
                               .begun_at = Now(),
                               .sent_to = {}});
  if (pending_.size() == 1) {
    ScheduleSweep();
  }
  Dispatch(id);
}

bool OwnerCallForwarder::CanWaitForOwner(const OwnerCall& call) {
  return !std::holds_alternative<PendingCall>(call) &&
         !std::holds_alternative<KnownCall>(call);
}

void OwnerCallForwarder::Dispatch(std::uint64_t id) {
  const std::optional<OwnerRoute> owner = find_owner_();
  const auto it = pending_.find(id);
  if (it == pending_.end() || !owner || !owner->is_ready) {
    return;
  }
  Pending& pending = it->second;
  if (pending.sent_to != core::scheduler::FencingToken()) {
    telemetry_.counters->Increment("owner_calls", "sent_again");
  }
  pending.sent_to = owner->token;
  pending.is_in_flight = true;
  ++pending.copies;
  const OwnerCall call = pending.call;
  if (owner->address.empty()) {
    handle_locally_(
        call, [this, id, token = owner->token](const OwnerAnswer& answer) {
          OnAnswer(id, token, answer);
        });
    return;
  }
  Json::Value params = ToJson(call);
  add_shard_(&params);
  if (std::holds_alternative<SubmitCall>(call)) {
    params[kOwnerTokenField] = static_cast<Json::UInt64>(owner->token.value());
  }
  rpc_->Call(owner->address, MethodOf(call), std::move(params),
             call_timeout_ - (Now() - pending.begun_at),
             [this, id, token = owner->token](const RpcResult& result) {
               OnRpc(id, token, result);
             });
}

void OwnerCallForwarder::OnRpc(std::uint64_t id,
                               core::scheduler::FencingToken sent_to,
                               const RpcResult& result) {
  switch (result.outcome) {
    case RpcOutcome::kAnswered:
      if (const Json::Value& owner = result.result["owner"]; owner.isString()) {
        owner_hint_(owner.asString());
      }
      OnAnswer(id, sent_to, OwnerAnswerFromJson(result.result));
      break;
    case RpcOutcome::kNotSent:
    case RpcOutcome::kRefused:
      OnAnswer(id, sent_to, NoOwner{});
      break;
    case RpcOutcome::kLost:
      OnAnswer(id, sent_to, OutcomeUnknown{});
      break;
  }
}

void OwnerCallForwarder::OnAnswer(std::uint64_t id,
                                  core::scheduler::FencingToken sent_to,
                                  const OwnerAnswer& answer) {
  const auto it = pending_.find(id);
  if (it == pending_.end() || it->second.sent_to != sent_to) {
    return;  // Already answered, or sent to another owner since.
  }
  Pending& pending = it->second;
  pending.is_in_flight = false;
  if (std::holds_alternative<OutcomeUnknown>(answer) &&
      !std::holds_alternative<KnownCall>(pending.call)) {
    pending.SetOutcomeUnknown(sent_to);
    return;  // The next owner decides the outcome, or the call times out.
  }
  if (std::holds_alternative<NoOwner>(answer)) {
    pending.next_try_at = Now() + kRetryDelay;
    if (pending.may_have_taken_effect || CanWaitForOwner(pending.call)) {
      return;
    }
  }
  if (std::holds_alternative<Refused>(answer) &&
      pending.may_have_taken_effect && sent_to <= pending.unknown_at) {
    // An earlier copy of the call may still reach the same owner, and be
    // accepted then.
    telemetry_.counters->Increment("owner_calls", "refused_after_lost_copy");
    Finish(id, OutcomeUnknown{});
    return;
  }
  Finish(id, answer);
}

void OwnerCallForwarder::Finish(std::uint64_t id, const OwnerAnswer& answer) {
  const auto it = pending_.find(id);
  const OwnerReply reply = std::move(it->second.reply);
  telemetry_.Observe("owner_call", Now() - it->second.begun_at);
  LogEnd(it->second, answer);
  pending_.erase(it);
  reply(answer);
}

void OwnerCallForwarder::LogEnd(const Pending& pending,
                                const OwnerAnswer& answer) const {
  const auto* submit = std::get_if<SubmitCall>(&pending.call);
  if (submit == nullptr ||
      (pending.copies == 1 && std::holds_alternative<Accepted>(answer))) {
    return;
  }
  telemetry_.log->Write(
      "submission_forwarded",
      {{"job", core::jobs::ToString(submit->submission.key)},
       {"answer", NameOf(answer)},
       {"copies", pending.copies},
       {"last_token", static_cast<std::int64_t>(pending.sent_to.value())},
       {"unknown_token", static_cast<std::int64_t>(pending.unknown_at.value())},
       {"age_ms", (Now() - pending.begun_at) / std::chrono::milliseconds(1)}});
}

void OwnerCallForwarder::FinishAll() {
  while (!pending_.empty()) {
    const auto& [id, pending] = *pending_.begin();
    Finish(id, pending.has_no_effect() ? OwnerAnswer(NoOwner{})
                                       : OwnerAnswer(OutcomeUnknown{}));
  }
}

void OwnerCallForwarder::ScheduleSweep() {
  if (!pending_.empty()) {
    sweep_timer_.StartOnce(kSweepPeriod);
  }
}

void OwnerCallForwarder::Sweep() {
  if (!pending_.empty() && is_cut_off_()) {
    telemetry_.counters->Increment("owner_calls", "cut_off", pending_.size());
    FinishAll();
    return;
  }
  const std::optional<OwnerRoute> owner = find_owner_();
  const base::TimePoint now = Now();
  std::vector<std::uint64_t> overdue;
  std::vector<std::uint64_t> ownerless;
  std::vector<std::uint64_t> to_send_again;
  for (auto& [id, pending] : pending_) {
    const bool has_newer_owner = owner && owner->token > pending.sent_to;
    const base::Duration age = now - pending.begun_at;
    if (age >= call_timeout_) {
      overdue.push_back(id);
    } else if (has_newer_owner) {
      // An unanswered attempt at a replaced owner may have taken effect there.
      if (pending.is_in_flight) {
        pending.SetOutcomeUnknown(pending.sent_to);
      }
      to_send_again.push_back(id);
    } else if (pending.has_no_effect() && age >= kOwnerWaitTimeout) {
      ownerless.push_back(id);
    } else if (!pending.is_in_flight && now >= pending.next_try_at) {
      to_send_again.push_back(id);
    }
  }
  for (const std::uint64_t id : overdue) {
    telemetry_.counters->Increment("owner_calls", "overdue");
    Finish(id, OutcomeUnknown{});
  }
  for (const std::uint64_t id : ownerless) {
    Finish(id, NoOwner{});
  }
  for (const std::uint64_t id : to_send_again) {
    Dispatch(id);
  }
  ScheduleSweep();
}

}  // namespace dotterelbarrow::member
