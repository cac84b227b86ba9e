// Sends claims of idempotency keys and their resolutions.
#include "src/core/key_claims.h"

#include <chrono>
#include <utility>

#include "dotterelbarrow/core/partitions.h"

namespace dotterelbarrow::core {
namespace {

// How often a resolution is sent again after the first time.
constexpr int kResends = 2;
// How long a late reply to a claim that was given up is still handled.
constexpr base::Duration kGivenUpRetention = std::chrono::seconds(60);

}  // namespace

KeyClaims::KeyClaims(const NodeSettings* settings, Outbox* outbox,
                     const Membership* membership)
    : settings_(settings), outbox_(outbox), membership_(membership) {}

base::EntryId KeyClaims::ManagerOf(const base::TeamId& team) const {
  return core::ManagerOf(*membership_,
                         PartitionOf(team, settings_->partition_count));
}

base::CallId KeyClaims::Claim(const base::EntryId& manager,
                              const WorkRequest& request) {
  const base::CallId call = outbox_->NextCall();
  outbox_->SendToPeer(manager, ClaimKey{call, request.team,
                                        request.idempotency_key, request.id});
  return call;
}

void KeyClaims::Resolve(base::CallId call, const WorkRequest& request,
                        const Answer& answer, base::TimePoint now) {
  const ResolveKey resolve{call, request.team, request.idempotency_key, answer};
  Send(resolve);
  resends_.push_back({now + settings_->call_timeout, resolve, kResends});
}

void KeyClaims::GiveUp(base::CallId call, const WorkRequest& request,
                       const Answer& answer, base::TimePoint now) {
  Resolve(call, request, answer, now);
  given_up_[call] = {
      now + kGivenUpRetention,
      ResolveKey{call, request.team, request.idempotency_key, answer}};
}

bool KeyClaims::OnLateReply(const ClaimReply& reply, base::TimePoint now) {
  const auto it = given_up_.find(reply.call);
  if (it == given_up_.end()) {
    return false;
  }
  if (reply.status == ClaimStatus::kClaimed) {
    Send(it->second.resolve);
    resends_.push_back({now + settings_->call_timeout,
                        std::move(it->second.resolve), kResends});
  }
  given_up_.erase(it);
  return true;
}

void KeyClaims::Tick(base::TimePoint now) {
  while (!resends_.empty() && resends_.front().due <= now) {
    Resend resend = std::move(resends_.front());
    resends_.pop_front();
    Send(resend.resolve);
    if (--resend.sends_left > 0) {
      resend.due = now + settings_->call_timeout;
      resends_.push_back(std::move(resend));
    }
  }
  std::erase_if(given_up_, [now](const auto& entry) {
    return entry.second.expiry <= now;
  });
}

void KeyClaims::Send(const ResolveKey& resolve) {
  outbox_->SendToPeer(ManagerOf(resolve.team), resolve);
}

}  // namespace dotterelbarrow::core
