// What entry hosts tell each other: greetings, offers of the cell, who can
// carry it best.
#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "src/member/clock.h"
#include "src/member/member_impl.h"

namespace dotterelbarrow::member {
namespace {

// Greetings keep a host on the list of those that may ask the advisor.
constexpr base::Duration kGreetPeriod = std::chrono::milliseconds(300);
constexpr base::Duration kGreetTimeout = std::chrono::milliseconds(900);
// A refused greeting is repeated soon: two refusals mean a dead process.
constexpr base::Duration kGreetRetry = std::chrono::milliseconds(100);
constexpr int kRefusalsOfDead = 2;
// Six greetings were missed.
constexpr base::Duration kPeerSilence = std::chrono::milliseconds(2000);
// An answer that takes this long is many times what a busy owner needs.
constexpr base::Duration kMuteAfter = std::chrono::milliseconds(300);
// The cell is offered again after this time, if nobody took it.
constexpr base::Duration kOfferPeriod = std::chrono::milliseconds(300);
// Enough that not all of them are lost where the store turns a third of the
// hosts away.
constexpr std::size_t kDeputies = 4;

// How much longer a host waits to claim the cell for each whole processor that
// it has less than the best one: more than the time between two looks at the
// head for a host of half the best one's.
constexpr base::Duration kClaimDelayOfAShare = std::chrono::milliseconds(1200);
// An owner with less than this part of the best host's processor hands over,
// which stops starts for half a second, once that has been so for a while.
constexpr double kMuchWeaker = 0.7;
constexpr base::Duration kWeakerFor = std::chrono::seconds(3);
// If the better host doesn't take the cell, it isn't offered again soon.
constexpr base::Duration kResignationGap = std::chrono::seconds(30);

// Rounded up: an age must not look smaller than it is.
Json::Int64 MillisecondsUp(base::Duration age) {
  return std::chrono::ceil<std::chrono::milliseconds>(age).count();
}

// Whether a greeting was answered by the owner itself.
bool IsOwners(const Json::Value& greeting) {
  return greeting["is_owner"].isBool() && greeting["is_owner"].asBool();
}

}  // namespace

void Member::Impl::Greet() {
  const core::leadership::OwnershipRecord* owner = leadership_.owner();
  greet_timer_.StartOnce(kGreetPeriod);
  if (leadership_.role() == core::leadership::Role::kOwner) {
    UpdateAskers();
    ResignIfMuchWeaker();
    return;
  }
  if (owner == nullptr) {
    return;
  }
  greeted_token_ = owner->token;
  if (!unanswered_since_) {
    unanswered_since_ = Now();
  } else if (IsOwnerMute()) {
    ReadHead();
  }
  Json::Value params(Json::objectValue);
  params["host"] = settings_.host.value();
  params["address"] = settings_.peers_address;
  params["share"] = settings_.cpu_share;
  rpc_.Call(owner->address, "greet", std::move(params), kGreetTimeout,
            [this, asked = *owner, sent_at = Now()](const RpcResult& result) {
              OnGreeted(asked, result, sent_at);
            });
}

void Member::Impl::OnGreeted(const core::leadership::OwnershipRecord& owner,
                             const RpcResult& result, base::TimePoint sent_at) {
  const core::leadership::OwnershipRecord* current = leadership_.owner();
  if (current == nullptr || current->token != owner.token) {
    return;
  }
  bool is_gone = false;
  if (result.outcome == RpcOutcome::kAnswered) {
    refused_greetings_ = 0;
    unanswered_since_.reset();
    LearnFromGreeting(owner, result.result, sent_at);
    const Json::Value& best_share = result.result["best_share"];
    if (best_share.isNumeric()) {
      SetClaimDelay(best_share.asDouble());
    }
    const Json::Value& incarnation = result.result["incarnation"];
    // Another run of the host answers: the owner's process has ended.
    is_gone = incarnation.isUInt64() &&
              incarnation.asUInt64() != owner.incarnation.value();
  } else if (result.outcome == RpcOutcome::kRefused) {
    is_gone = ++refused_greetings_ >= kRefusalsOfDead;
    greet_timer_.StartOnce(kGreetRetry);
  }
  const bool is_store_silent =
      !head_heard_at_ ||
      Now() - *head_heard_at_ >
          core::admission::ReachabilityPolicy::kContactTimeout;
  const bool is_owner =
      result.outcome == RpcOutcome::kAnswered && IsOwners(result.result);
  if (!is_owner && is_store_silent) {
    AskDeputies();
  }
  if (is_gone) {
    refused_greetings_ = 0;
    telemetry_.log->Write("owner_gone", {{"owner", owner.holder.value()}});
    leadership_.OnOwnerGone(Now());
    ReadHead();
  }
}

void Member::Impl::LearnFromGreeting(
    const core::leadership::OwnershipRecord& owner, const Json::Value& greeting,
    base::TimePoint sent_at) {
  if (const Json::Value& hint = greeting["owner"]; hint.isString()) {
    OnOwnerHint(hint.asString());
  }
  if (!IsOwners(greeting)) {
    return;
  }
  owner_heard_at_ = sent_at;
  deputies_.clear();
  for (const Json::Value& address : greeting["deputies"]) {
    if (address.isString()) {
      deputies_.push_back(address.asString());
    }
  }
  const Json::Value& version = greeting["desired_version"];
  const Json::Value& age = greeting["desired_age_ms"];
  if (version.isUInt64() && age.isInt64() &&
      desired_.OnRelayed(base::ConfigVersion(version.asUInt64()), sent_at,
                         std::chrono::milliseconds(age.asInt64()))) {
    FetchDesired(owner.address);
  }
}

void Member::Impl::FetchDesired(const std::string& owner_address) {
  rpc_.Call(owner_address, "desired", Json::Value(Json::objectValue),
            kGreetTimeout, [this, sent_at = Now()](const RpcResult& result) {
              const Json::Value& text = result.result["text"];
              const Json::Value& age = result.result["age_ms"];
              if (result.outcome == RpcOutcome::kAnswered && text.isString() &&
                  age.isInt64()) {
                desired_.OnRelayedText(
                    text.asString(), sent_at,
                    std::chrono::milliseconds(age.asInt64()));
              }
            });
}

void Member::Impl::OnDesiredWanted(const RpcServer::Reply& reply) {
  Json::Value result(Json::objectValue);
  if (const auto age = desired_.ProofAge()) {
    result["text"] = desired_.text();
    result["age_ms"] = MillisecondsUp(*age);
  }
  reply(std::move(result));
}

bool Member::Impl::IsOwnerMute() const {
  return unanswered_since_ && Now() - *unanswered_since_ >= kMuteAfter;
}

bool Member::Impl::IsOwnerLive() const {
  return owner_heard_at_ && Now() - *owner_heard_at_ < kMuteAfter * 2;
}

void Member::Impl::AnnounceOwnership() {
  const core::leadership::OwnershipRecord* former =
      leadership_.previous_owner();
  if (former == nullptr || former->holder == settings_.host) {
    return;
  }
  Json::Value params(Json::objectValue);
  AddOwnerHint(&params);
  rpc_.Call(former->address, "owner_is", std::move(params), kGreetTimeout,
            [](const RpcResult&) {});
}

void Member::Impl::AddOwnerHint(Json::Value* answer) const {
  if (const core::leadership::OwnershipRecord* owner = leadership_.owner()) {
    (*answer)["owner"] = core::leadership::EncodeOwnershipRecord(*owner);
  }
}

void Member::Impl::OnOwnerHint(const std::string& text) {
  base::Failure reason;
  const auto head = core::leadership::DecodeOwnershipRecord(text, &reason);
  if (!head) {
    telemetry_.log->Write("owner_hint_unreadable", {{"detail", reason.detail}});
    return;
  }
  const core::leadership::OwnershipRecord* known = leadership_.owner();
  if (head->holder == settings_.host ||
      (known != nullptr && head->token <= known->token)) {
    return;
  }
  telemetry_.log->Write(
      "owner_heard_of",
      {{"owner", head->holder.value()},
       {"token", static_cast<std::int64_t>(head->token.value())}});
  if (term_ != nullptr) {
    term_->NoteReplaced();
  }
  leadership_.OnRelayed(*head);
  Greet();
}

void Member::Impl::AskDeputies() {
  for (const std::string& address : deputies_) {
    rpc_.Call(address, "who_owns", Json::Value(Json::objectValue),
              kGreetTimeout, [this](const RpcResult& result) {
                if (result.outcome == RpcOutcome::kAnswered &&
                    result.result["owner"].isString()) {
                  OnOwnerHint(result.result["owner"].asString());
                }
              });
  }
}

Json::Value Member::Impl::Deputies() const {
  std::vector<const Peer*> live;
  for (const auto& [host, peer] : peers_) {
    if (Now() - peer.greeted_at < kPeerSilence) {
      live.push_back(&peer);
    }
  }
  std::stable_sort(live.begin(), live.end(), [](const Peer* a, const Peer* b) {
    return a->cpu_share > b->cpu_share;
  });
  Json::Value addresses(Json::arrayValue);
  for (std::size_t i = 0; i < std::min(live.size(), kDeputies); ++i) {
    addresses.append(live[i]->address);
  }
  return addresses;
}

void Member::Impl::OfferFailingCell() {
  const base::TimePoint now = Now();
  if (now < next_offer_) {
    return;
  }
  next_offer_ = now + kOfferPeriod;
  telemetry_.log->Write("hand_over_offered", {});
  OfferCell(leadership_.token());
}

void Member::Impl::OfferCell(core::leadership::FencingToken token) {
  for (const auto& [host, peer] : peers_) {
    Json::Value params(Json::objectValue);
    params["token"] = static_cast<Json::UInt64>(token.value());
    rpc_.Call(peer.address, "take_over", std::move(params), kGreetTimeout,
              [](const RpcResult&) {});
  }
}

void Member::Impl::OnTakeOver(const Json::Value& params,
                              const RpcServer::Reply& reply) {
  const core::leadership::OwnershipRecord* owner = leadership_.owner();
  const Json::Value& token = params["token"];
  if (owner != nullptr && token.isUInt64() &&
      token.asUInt64() == owner->token.value() && term_ == nullptr) {
    // The claim follows only if this host reaches the store.
    leadership_.OnOwnerGone(Now());
    ReadHead();
  }
  reply(Json::Value(Json::objectValue));
}

void Member::Impl::OnGreeting(const Json::Value& params,
                              const RpcServer::Reply& reply) {
  const Json::Value& host = params["host"];
  const Json::Value& address = params["address"];
  if (host.isString() && address.isString()) {
    const base::EntryId entry(host.asString());
    const Json::Value& share = params["share"];
    peers_[entry] = {address.asString(), Now(),
                     share.isNumeric() ? share.asDouble() : 0};
    const core::leadership::OwnershipRecord* former =
        leadership_.previous_owner();
    // Who greets the owner follows it.
    if (term_ != nullptr && former != nullptr && former->holder == entry) {
      term_->OnPreviousOwnerStopped();
    }
  }
  Json::Value result(Json::objectValue);
  result["incarnation"] = static_cast<Json::UInt64>(incarnation_.value());
  result["best_share"] = BestShare();
  const bool is_owner = term_ != nullptr && term_->is_ready();
  result["is_owner"] = is_owner;
  if (is_owner) {
    result["deputies"] = Deputies();
  } else {
    AddOwnerHint(&result);
  }
  if (const auto age = desired_.ProofAge()) {
    result["desired_version"] =
        static_cast<Json::UInt64>(desired_.current()->version().value());
    result["desired_age_ms"] = MillisecondsUp(*age);
  }
  reply(std::move(result));
}

double Member::Impl::BestShare() const {
  double best = settings_.cpu_share;
  for (const auto& [host, peer] : peers_) {
    if (Now() - peer.greeted_at < kPeerSilence) {
      best = std::max(best, peer.cpu_share);
    }
  }
  return best;
}

void Member::Impl::SetClaimDelay(double best_share) {
  const double behind = std::max(0.0, best_share - settings_.cpu_share);
  leadership_.set_claim_delay(
      base::Duration(std::llround(behind * kClaimDelayOfAShare.count())));
}

void Member::Impl::ResignIfMuchWeaker() {
  const bool is_weaker = term_ != nullptr && term_->is_ready() &&
                         settings_.cpu_share < kMuchWeaker * BestShare();
  if (!is_weaker) {
    weaker_since_.reset();
    return;
  }
  if (!weaker_since_) {
    weaker_since_ = Now();
  }
  if (Now() - *weaker_since_ >= kWeakerFor && Now() >= next_resignation_) {
    weaker_since_.reset();
    next_resignation_ = Now() + kResignationGap;
    SetClaimDelay(BestShare());
    telemetry_.log->Write("resigning_as_weaker", {});
    term_->Resign();
  }
}

void Member::Impl::UpdateAskers() {
  if (term_ == nullptr) {
    return;
  }
  std::vector<base::EntryId> askers = {settings_.host};
  for (const auto& [host, peer] : peers_) {
    if (Now() - peer.greeted_at < kPeerSilence && host != settings_.host) {
      askers.push_back(host);
    }
  }
  term_->SetAdviceClients(askers);
}

}  // namespace dotterelbarrow::member
