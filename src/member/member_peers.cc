// Communication between entry hosts: heartbeats, offers of the cell, hints at
// its owner, and the comparison of processor shares.
#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "src/member/clock.h"
#include "src/member/member_impl.h"

namespace dotterelbarrow::member {
namespace {

// Heartbeats also keep a host on the owner's list of hosts that may request
// placement advice.
constexpr base::Duration kHeartbeatPeriod = std::chrono::milliseconds(300);
constexpr base::Duration kPeerCallTimeout = std::chrono::milliseconds(900);
// A heartbeat whose connection is refused is repeated soon. Two refusals
// without an answer in between mean that the process has ended.
constexpr base::Duration kHeartbeatRetryDelay = std::chrono::milliseconds(100);
constexpr int kRefusalsUntilGone = 2;
// An owner that leaves heartbeats unanswered for this long is unresponsive: it
// is many times what a busy owner needs to answer.
constexpr base::Duration kUnresponsiveAfter = std::chrono::milliseconds(300);
// A failing owner offers the cell again after this time if no host has claimed
// it.
constexpr base::Duration kOfferPeriod = std::chrono::milliseconds(300);

// Additional delay before a host claims the cell, for each processor that it
// has less than the best host. A host with half the best host's share waits for
// longer than the time between two polls of the ownership record.
constexpr base::Duration kClaimDelayPerProcessor =
    std::chrono::milliseconds(1200);
// An owner whose processor share is below this fraction of the best host's
// resigns once that has been so for kResignAfterWeakerFor. No tasks are started
// for half a second then.
constexpr double kResignBelowShareRatio = 0.7;
constexpr base::Duration kResignAfterWeakerFor = std::chrono::seconds(3);
// If the better host doesn't claim the cell, the owner doesn't resign again
// before this time.
constexpr base::Duration kMinResignationInterval = std::chrono::seconds(30);

// Rounds up, because an age must not look smaller than it is.
Json::Int64 CeilMilliseconds(base::Duration age) {
  return std::chrono::ceil<std::chrono::milliseconds>(age).count();
}

// Returns whether the reply to a heartbeat came from the owner itself.
bool IsFromOwner(const Json::Value& heartbeat_reply) {
  return heartbeat_reply["is_owner"].isBool() &&
         heartbeat_reply["is_owner"].asBool();
}

}  // namespace

void Member::Impl::SendHeartbeat() {
  const core::leadership::OwnershipRecord* owner = leadership_.owner();
  heartbeat_timer_.StartOnce(kHeartbeatPeriod);
  if (leadership_.role() == core::leadership::Role::kOwner) {
    UpdateAdviceClients();
    ResignIfMuchWeaker();
    return;
  }
  if (owner == nullptr) {
    return;
  }
  last_heartbeat_token_ = owner->token;
  if (!unanswered_since_) {
    unanswered_since_ = Now();
  } else if (IsOwnerUnresponsive()) {
    PollOwner();
  }
  Json::Value params(Json::objectValue);
  params["host"] = settings_.host.value();
  params["address"] = settings_.peers_address;
  params["share"] = settings_.cpu_share;
  rpc_.Call(owner->address, "greet", std::move(params), kPeerCallTimeout,
            [this, asked = *owner, sent_at = Now()](const RpcResult& result) {
              OnHeartbeatReply(asked, result, sent_at);
            });
}

void Member::Impl::OnHeartbeatReply(
    const core::leadership::OwnershipRecord& owner, const RpcResult& result,
    base::TimePoint sent_at) {
  const core::leadership::OwnershipRecord* current = leadership_.owner();
  if (current == nullptr || current->token != owner.token) {
    return;
  }
  bool is_gone = false;
  if (result.outcome == RpcOutcome::kAnswered) {
    refused_heartbeats_ = 0;
    unanswered_since_.reset();
    ApplyHeartbeatReply(owner, result.result, sent_at);
    const Json::Value& best_share = result.result["best_share"];
    if (best_share.isNumeric()) {
      SetClaimDelay(best_share.asDouble());
    }
    const Json::Value& incarnation = result.result["incarnation"];
    // Another incarnation of the host answers: the owner's process has ended.
    is_gone = incarnation.isUInt64() &&
              incarnation.asUInt64() != owner.incarnation.value();
  } else if (result.outcome == RpcOutcome::kRefused) {
    is_gone = ++refused_heartbeats_ >= kRefusalsUntilGone;
    heartbeat_timer_.StartOnce(kHeartbeatRetryDelay);
  }
  const bool is_store_unresponsive =
      !last_answered_poll_at_ ||
      Now() - *last_answered_poll_at_ >
          core::admission::ReachabilityPolicy::kContactTimeout;
  const bool is_owner =
      result.outcome == RpcOutcome::kAnswered && IsFromOwner(result.result);
  if (!is_owner && is_store_unresponsive) {
    QueryDeputies();
  }
  if (is_gone) {
    refused_heartbeats_ = 0;
    telemetry_.log->Write("owner_gone", {{"owner", owner.holder.value()}});
    leadership_.OnOwnerGone(Now());
    PollOwner();
  }
}

void Member::Impl::ApplyHeartbeatReply(
    const core::leadership::OwnershipRecord& owner,
    const Json::Value& heartbeat_reply, base::TimePoint sent_at) {
  if (const Json::Value& hint = heartbeat_reply["owner"]; hint.isString()) {
    OnOwnerHint(hint.asString());
  }
  if (!IsFromOwner(heartbeat_reply)) {
    return;
  }
  last_answered_heartbeat_at_ = sent_at;
  deputies_.clear();
  for (const Json::Value& address : heartbeat_reply["deputies"]) {
    if (address.isString()) {
      deputies_.push_back(address.asString());
    }
  }
  const Json::Value& version = heartbeat_reply["desired_version"];
  const Json::Value& age = heartbeat_reply["desired_age_ms"];
  if (version.isUInt64() && age.isInt64() &&
      desired_.OnPeerVersion(base::ConfigVersion(version.asUInt64()), sent_at,
                             std::chrono::milliseconds(age.asInt64()))) {
    desired_fetcher_.Fetch(owner.address);
  }
}

void Member::Impl::HandleDesiredRequest(const RpcServer::Reply& reply) {
  Json::Value result(Json::objectValue);
  const auto age = desired_.ConfirmationAge();
  const base::Bytes size(static_cast<std::int64_t>(desired_.text().size()));
  if (age && desired_texts_.TryAcquire(size, Now())) {
    result["text"] = desired_.text();
    result["age_ms"] = CeilMilliseconds(*age);
    telemetry_.log->Write(
        "desired_sent",
        {{"version",
          static_cast<std::int64_t>(desired_.current()->version().value())},
         {"bytes", size.value()}});
  }
  reply(std::move(result));
}

bool Member::Impl::IsOwnerUnresponsive() const {
  return unanswered_since_ && Now() - *unanswered_since_ >= kUnresponsiveAfter;
}

bool Member::Impl::IsOwnerResponsive() const {
  return last_answered_heartbeat_at_ &&
         Now() - *last_answered_heartbeat_at_ < kUnresponsiveAfter * 2;
}

void Member::Impl::AnnounceOwnership() {
  const core::leadership::OwnershipRecord* previous =
      leadership_.previous_owner();
  if (previous == nullptr || previous->holder == settings_.host) {
    return;
  }
  Json::Value params(Json::objectValue);
  AddOwnerHint(&params);
  rpc_.Call(previous->address, "owner_is", std::move(params), kPeerCallTimeout,
            [](const RpcResult&) {});
}

void Member::Impl::AddOwnerHint(Json::Value* answer) const {
  if (const core::leadership::OwnershipRecord* owner = leadership_.owner()) {
    (*answer)["owner"] = core::leadership::EncodeOwnershipRecord(*owner);
  }
}

void Member::Impl::OnOwnerHint(const std::string& encoded_record) {
  base::Failure reason;
  const auto record =
      core::leadership::DecodeOwnershipRecord(encoded_record, &reason);
  if (!record) {
    telemetry_.log->Write("owner_hint_unreadable", {{"detail", reason.detail}});
    return;
  }
  const core::leadership::OwnershipRecord* known = leadership_.owner();
  if (record->holder == settings_.host ||
      (known != nullptr && record->token <= known->token)) {
    return;
  }
  telemetry_.log->Write(
      "owner_heard_of",
      {{"owner", record->holder.value()},
       {"token", static_cast<std::int64_t>(record->token.value())}});
  if (term_ != nullptr) {
    term_->OnReplaced();
  }
  leadership_.OnPeerRecord(*record);
  SendHeartbeat();
}

void Member::Impl::QueryDeputies() {
  for (const std::string& address : deputies_) {
    rpc_.Call(address, "who_owns", Json::Value(Json::objectValue),
              kPeerCallTimeout, [this](const RpcResult& result) {
                if (result.outcome == RpcOutcome::kAnswered &&
                    result.result["owner"].isString()) {
                  OnOwnerHint(result.result["owner"].asString());
                }
              });
  }
}

void Member::Impl::OfferCellOnStoreFailure() {
  const base::TimePoint now = Now();
  if (now < next_offer_at_) {
    return;
  }
  next_offer_at_ = now + kOfferPeriod;
  telemetry_.log->Write("hand_over_offered", {});
  OfferCell(leadership_.token());
}

void Member::Impl::OfferCell(core::leadership::FencingToken token) {
  for (const auto& [host, peer] : peers_.peers()) {
    Json::Value params(Json::objectValue);
    params["token"] = static_cast<Json::UInt64>(token.value());
    rpc_.Call(peer.address, "take_over", std::move(params), kPeerCallTimeout,
              [](const RpcResult&) {});
  }
}

void Member::Impl::HandleTakeOverOffer(const Json::Value& params,
                                       const RpcServer::Reply& reply) {
  const core::leadership::OwnershipRecord* owner = leadership_.owner();
  const Json::Value& token = params["token"];
  if (owner != nullptr && token.isUInt64() &&
      token.asUInt64() == owner->token.value() && term_ == nullptr) {
    // This host claims the cell only if it reads the ownership record from the
    // store.
    leadership_.OnOwnerGone(Now());
    PollOwner();
  }
  reply(Json::Value(Json::objectValue));
}

void Member::Impl::HandleHeartbeat(const Json::Value& params,
                                   const RpcServer::Reply& reply) {
  const Json::Value& host = params["host"];
  const Json::Value& address = params["address"];
  if (host.isString() && address.isString()) {
    const base::EntryId entry(host.asString());
    const Json::Value& share = params["share"];
    peers_.RecordHeartbeat(entry, {address.asString(), Now(),
                                   share.isNumeric() ? share.asDouble() : 0});
    const core::leadership::OwnershipRecord* previous =
        leadership_.previous_owner();
    // A host that sends heartbeats to this owner has given up ownership itself.
    if (term_ != nullptr && previous != nullptr && previous->holder == entry) {
      term_->OnPreviousOwnerStopped();
    }
  }
  Json::Value result(Json::objectValue);
  result["incarnation"] = static_cast<Json::UInt64>(incarnation_.value());
  result["best_share"] = LargestCpuShare();
  const bool is_owner = term_ != nullptr && term_->is_ready();
  result["is_owner"] = is_owner;
  if (is_owner) {
    Json::Value deputies(Json::arrayValue);
    for (const std::string& deputy : peers_.SummaryAt(Now()).deputies) {
      deputies.append(deputy);
    }
    result["deputies"] = std::move(deputies);
  } else {
    AddOwnerHint(&result);
  }
  if (const auto age = desired_.ConfirmationAge()) {
    result["desired_version"] =
        static_cast<Json::UInt64>(desired_.current()->version().value());
    result["desired_age_ms"] = CeilMilliseconds(*age);
  }
  reply(std::move(result));
}

double Member::Impl::LargestCpuShare() {
  return std::max(settings_.cpu_share,
                  peers_.SummaryAt(Now()).largest_cpu_share);
}

void Member::Impl::SetClaimDelay(double best_share) {
  const double share_deficit = std::max(0.0, best_share - settings_.cpu_share);
  leadership_.set_claim_delay(base::Duration(
      std::llround(share_deficit * kClaimDelayPerProcessor.count())));
}

void Member::Impl::ResignIfMuchWeaker() {
  const bool is_weaker =
      term_ != nullptr && term_->is_ready() &&
      settings_.cpu_share < kResignBelowShareRatio * LargestCpuShare();
  if (!is_weaker) {
    weaker_since_.reset();
    return;
  }
  if (!weaker_since_) {
    weaker_since_ = Now();
  }
  if (Now() - *weaker_since_ >= kResignAfterWeakerFor &&
      Now() >= next_resignation_at_) {
    weaker_since_.reset();
    next_resignation_at_ = Now() + kMinResignationInterval;
    SetClaimDelay(LargestCpuShare());
    telemetry_.log->Write("resigning_as_weaker", {});
    term_->Resign();
  }
}

void Member::Impl::UpdateAdviceClients() {
  if (term_ == nullptr) {
    return;
  }
  std::vector<base::EntryId> advice_clients = {settings_.host};
  for (base::EntryId& host : peers_.LiveHosts(Now())) {
    if (host != settings_.host) {
      advice_clients.push_back(std::move(host));
    }
  }
  term_->SetAdviceClients(advice_clients);
}

}  // namespace dotterelbarrow::member
