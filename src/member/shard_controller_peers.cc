// Communication between the hosts that follow a shard: heartbeats, offers of
// the shard, hints at its owner, and the comparison of processor shares.
#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "dotterelbarrow/core/admission/reachability.h"
#include "src/member/clock.h"
#include "src/member/shard_controller.h"

namespace dotterelbarrow::member {
namespace {

// Heartbeats also keep a host on the owner's list of hosts that may request
// placement advice.
constexpr base::Duration kHeartbeatPeriod = std::chrono::milliseconds(300);
// The period of strong hosts that are at home elsewhere: any of them may notice
// that the owner is gone. Less than half of the time for which a host counts as
// live.
constexpr base::Duration kForeignHeartbeatPeriod =
    std::chrono::milliseconds(900);
constexpr base::Duration kPeerCallTimeout = std::chrono::milliseconds(900);
// A heartbeat whose connection is refused is repeated soon. After two refusals
// without an answer in between, the owner need not be waited for. They don't
// prove that its process has ended: a network can refuse connections, too.
constexpr base::Duration kHeartbeatRetryDelay = std::chrono::milliseconds(100);
constexpr int kRefusalsUntilReplaceable = 2;
// An owner that leaves heartbeats unanswered for this long is unresponsive: it
// is many times what a busy owner needs to answer.
constexpr base::Duration kUnresponsiveAfter = std::chrono::milliseconds(300);
// A failing owner offers the shard again after this time if no host has claimed
// it.
constexpr base::Duration kOfferPeriod = std::chrono::milliseconds(300);

// A host whose processor share is below this fraction of the best host's is
// weak. A weak owner resigns once it has been so for kResignAfterWeakerFor. No
// tasks are started for half a second then.
constexpr double kWeakShareRatio = 0.7;
constexpr base::Duration kResignAfterWeakerFor = std::chrono::seconds(3);

// Rounds up, because an age must not look smaller than it is.
Json::Int64 CeilMilliseconds(base::Duration age) {
  return std::chrono::ceil<std::chrono::milliseconds>(age).count();
}

// Returns whether the reply to a heartbeat came from the owner itself.
bool IsFromOwner(const Json::Value& heartbeat_reply) {
  return heartbeat_reply["is_owner"].isBool() &&
         heartbeat_reply["is_owner"].asBool();
}

bool IsSet(const Json::Value& params, const char* name) {
  return params[name].isBool() && params[name].asBool();
}

}  // namespace

bool ShardController::SendsHeartbeats() const {
  return is_home() ||
         host_->settings->cpu_share >= kWeakShareRatio * best_cpu_share_;
}

base::Duration ShardController::HeartbeatPeriod() const {
  return is_home() ? kHeartbeatPeriod : kForeignHeartbeatPeriod;
}

void ShardController::SendHeartbeat() {
  const core::leadership::OwnershipRecord* owner = leadership_.owner();
  heartbeat_timer_.StartOnce(HeartbeatPeriod());
  if (leadership_.role() == core::leadership::Role::kOwner) {
    UpdateAdviceClients();
    ResignIfMuchWeaker();
    return;
  }
  if (owner == nullptr) {
    return;
  }
  last_heartbeat_token_ = owner->token;
  if (!SendsHeartbeats()) {
    unanswered_since_.reset();
    return;
  }
  if (!unanswered_since_) {
    unanswered_since_ = Now();
  } else if (IsOwnerUnresponsive()) {
    PollOwner();
  }
  Json::Value params(Json::objectValue);
  params["host"] = host_->settings->host.value();
  params["address"] = host_->settings->peers_address;
  params["share"] = AvailableCpuShare();
  params["follows_shards"] = true;
  params["owner_token"] = static_cast<Json::UInt64>(owner->token.value());
  if (!is_home()) {
    params["is_foreign"] = true;
  }
  AddShard(&params);
  host_->rpc->Call(
      owner->address, "greet", std::move(params), kPeerCallTimeout,
      [this, asked = *owner, sent_at = Now()](const RpcResult& result) {
        OnHeartbeatReply(asked, result, sent_at);
      });
}

void ShardController::OnHeartbeatReply(
    const core::leadership::OwnershipRecord& owner, const RpcResult& result,
    base::TimePoint sent_at) {
  const core::leadership::OwnershipRecord* current = leadership_.owner();
  if (current == nullptr || current->token != owner.token) {
    return;
  }
  bool has_stopped = false;
  bool is_refusing = false;
  if (result.outcome == RpcOutcome::kAnswered) {
    refused_heartbeats_ = 0;
    unanswered_since_.reset();
    ApplyHeartbeatReply(owner, result.result, sent_at);
    const Json::Value& best_share = result.result["best_share"];
    if (best_share.isNumeric()) {
      best_cpu_share_ = best_share.asDouble();
    }
    const Json::Value& incarnation = result.result["incarnation"];
    // Another incarnation of the host answers: the owner's process has ended.
    has_stopped = incarnation.isUInt64() &&
                  incarnation.asUInt64() != owner.incarnation.value();
  } else if (result.outcome == RpcOutcome::kRefused) {
    is_refusing = ++refused_heartbeats_ >= kRefusalsUntilReplaceable;
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
  if (has_stopped || is_refusing) {
    refused_heartbeats_ = 0;
    host_->telemetry.log->Write(
        "owner_gone", {{"owner", owner.holder.value()},
                       {"shard", static_cast<std::int64_t>(shard_.value())},
                       {"sign", has_stopped ? "other_life" : "refused"}});
    if (has_stopped) {
      OnOwnerStopped(owner.token);
    } else {
      leadership_.OnOwnerReplaceable();
    }
    PollOwner();
  }
}

void ShardController::ApplyHeartbeatReply(
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
      host_->desired->OnPeerVersion(base::ConfigVersion(version.asUInt64()),
                                    sent_at,
                                    std::chrono::milliseconds(age.asInt64()))) {
    host_->fetch_desired(owner.address);
  }
}

bool ShardController::IsOwnerUnresponsive() const {
  return unanswered_since_ && Now() - *unanswered_since_ >= kUnresponsiveAfter;
}

bool ShardController::IsOwnerResponsive() const {
  return last_answered_heartbeat_at_ &&
         Now() - *last_answered_heartbeat_at_ < HeartbeatPeriod() * 2;
}

void ShardController::AnnounceOwnership() {
  const core::leadership::OwnershipRecord* previous =
      leadership_.previous_owner();
  if (previous == nullptr || previous->holder == host_->settings->host) {
    return;
  }
  Json::Value params(Json::objectValue);
  AddOwnerHint(&params);
  AddShard(&params);
  host_->rpc->Call(previous->address, "owner_is", std::move(params),
                   kPeerCallTimeout, [](const RpcResult&) {});
}

void ShardController::AddOwnerHint(Json::Value* answer) const {
  if (const core::leadership::OwnershipRecord* owner = leadership_.owner()) {
    (*answer)["owner"] = core::leadership::EncodeOwnershipRecord(*owner);
  }
}

void ShardController::OnOwnerHint(const std::string& encoded_record) {
  base::Failure reason;
  const auto record =
      core::leadership::DecodeOwnershipRecord(encoded_record, &reason);
  if (!record) {
    host_->telemetry.log->Write("owner_hint_unreadable",
                                {{"detail", reason.detail}});
    return;
  }
  const core::leadership::OwnershipRecord* known = leadership_.owner();
  if (record->holder == host_->settings->host ||
      (known != nullptr && record->token <= known->token)) {
    return;
  }
  host_->telemetry.log->Write(
      "owner_heard_of",
      {{"owner", record->holder.value()},
       {"token", static_cast<std::int64_t>(record->token.value())},
       {"shard", static_cast<std::int64_t>(shard_.value())}});
  if (term_ != nullptr) {
    term_->OnReplaced();
  }
  leadership_.OnPeerRecord(*record);
  SendHeartbeat();
}

void ShardController::QueryDeputies() {
  for (const std::string& address : deputies_) {
    Json::Value params(Json::objectValue);
    AddShard(&params);
    host_->rpc->Call(address, "who_owns", std::move(params), kPeerCallTimeout,
                     [this](const RpcResult& result) {
                       if (result.outcome == RpcOutcome::kAnswered &&
                           result.result["owner"].isString()) {
                         OnOwnerHint(result.result["owner"].asString());
                       }
                     });
  }
}

void ShardController::OfferShardOnStoreFailure() {
  const base::TimePoint now = Now();
  if (now < next_offer_at_) {
    return;
  }
  next_offer_at_ = now + kOfferPeriod;
  host_->telemetry.log->Write(
      "hand_over_offered",
      {{"shard", static_cast<std::int64_t>(shard_.value())}});
  OfferShard(leadership_.token(), false);
}

void ShardController::OfferShard(core::leadership::FencingToken token,
                                 bool has_stopped) {
  for (const auto& [host, peer] : peers_.peers()) {
    Json::Value params(Json::objectValue);
    params["token"] = static_cast<Json::UInt64>(token.value());
    params["has_stopped"] = has_stopped;
    AddShard(&params);
    host_->rpc->Call(peer.address, "take_over", std::move(params),
                     kPeerCallTimeout, [](const RpcResult&) {});
  }
}

void ShardController::HandleTakeOverOffer(const Json::Value& params,
                                          const RpcServer::Reply& reply) {
  const core::leadership::OwnershipRecord* owner = leadership_.owner();
  const Json::Value& token = params["token"];
  if (token.isUInt64() && IsSet(params, "has_stopped")) {
    OnOwnerStopped(core::leadership::FencingToken(token.asUInt64()));
  }
  if (owner != nullptr && token.isUInt64() &&
      token.asUInt64() == owner->token.value() && term_ == nullptr) {
    // This host claims the shard only if it reads the ownership record from the
    // store.
    leadership_.OnOwnerReplaceable();
    PollOwner();
  }
  reply(Json::Value(Json::objectValue));
}

void ShardController::OnOwnerStopped(core::leadership::FencingToken token) {
  leadership_.OnOwnerStopped(token);
  ReportPreviousOwnerStopped();
}

void ShardController::ReportPreviousOwnerStopped() {
  if (term_ != nullptr && leadership_.has_previous_owner_stopped()) {
    term_->OnPreviousOwnerStopped();
  }
}

void ShardController::HandleHeartbeat(const Json::Value& params,
                                      const RpcServer::Reply& reply) {
  const Json::Value& host = params["host"];
  const Json::Value& address = params["address"];
  if (host.isString() && address.isString()) {
    const base::EntryId entry(host.asString());
    const Json::Value& share = params["share"];
    peers_.RecordHeartbeat(
        entry, {.address = address.asString(),
                .last_heartbeat_at = Now(),
                .cpu_share = share.isNumeric() ? share.asDouble() : 0,
                .is_at_home = !IsSet(params, "is_foreign"),
                .follows_shards = IsSet(params, "follows_shards")});
    const Json::Value& token = params["owner_token"];
    leadership_.OnFollower(
        entry,
        token.isUInt64()
            ? std::optional(core::leadership::FencingToken(token.asUInt64()))
            : std::nullopt);
    ReportPreviousOwnerStopped();
  }
  Json::Value result(Json::objectValue);
  result["incarnation"] = static_cast<Json::UInt64>(host_->incarnation.value());
  result["best_share"] = LargestCpuShare();
  const bool is_owner = has_ready_term();
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
  if (const auto age = host_->desired->ConfirmationAge()) {
    result["desired_version"] =
        static_cast<Json::UInt64>(host_->desired->current()->version().value());
    result["desired_age_ms"] = CeilMilliseconds(*age);
  }
  reply(std::move(result));
}

double ShardController::LargestCpuShare() {
  return std::max(AvailableCpuShare(),
                  peers_.SummaryAt(Now()).largest_cpu_share);
}

void ShardController::ResignIfMuchWeaker() {
  const double largest = LargestCpuShare();
  const bool is_weaker =
      has_ready_term() && AvailableCpuShare() < kWeakShareRatio * largest;
  if (!is_weaker) {
    weaker_since_.reset();
    return;
  }
  if (!weaker_since_) {
    weaker_since_ = Now();
  }
  if (Now() - *weaker_since_ >= kResignAfterWeakerFor && host_->may_resign()) {
    weaker_since_.reset();
    best_cpu_share_ = largest;
    host_->telemetry.log->Write(
        "resigning_as_weaker",
        {{"shard", static_cast<std::int64_t>(shard_.value())}});
    term_->Resign();
  }
}

bool ShardController::CanDivideCell() const {
  return peers_.AllFollowShards(Now());
}

void ShardController::UpdateAdviceClients() {
  if (term_ == nullptr) {
    return;
  }
  std::vector<base::EntryId> advice_clients = {host_->settings->host};
  for (base::EntryId& host : peers_.LiveHostsAtHome(Now())) {
    if (host != host_->settings->host) {
      advice_clients.push_back(std::move(host));
    }
  }
  // Jobs come in through the hosts of all shards, of which each is the home of
  // about as many.
  const std::size_t entry_hosts = advice_clients.size() * term_->plan().count();
  term_->SetAdviceClients(advice_clients, entry_hosts);
}

}  // namespace dotterelbarrow::member
