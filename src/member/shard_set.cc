// Routes calls to the owners of shards.
#include "src/member/shard_set.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "dotterelbarrow/base/overloaded.h"
#include "src/member/clock.h"

namespace dotterelbarrow::member {
namespace {

using core::shards::ShardNumber;
using core::shards::ShardPlan;

// If the better host doesn't claim the shard, this host doesn't resign again
// before this time.
constexpr base::Duration kMinResignationInterval = std::chrono::seconds(30);

// The answers to a count of waiting jobs that have arrived so far.
struct PendingSum {
  std::size_t unanswered = 0;
  std::uint64_t jobs = 0;
  bool is_complete = true;
};

}  // namespace

ShardSet::ShardSet(ShardHost host)
    : host_(std::move(host)), plan_(std::make_shared<const ShardPlan>()) {
  host_.on_plan = [this](const ShardPlan& plan) { AdoptPlan(plan); };
  host_.owned_shards = [this](ShardNumber but) { return OwnedShards(but); };
  host_.may_resign = [this] { return MayResign(); };
  controllers_.push_back(
      std::make_unique<ShardController>(&host_, ShardNumber(0), plan_));
}

void ShardSet::Start() {
  for (const auto& controller : controllers_) {
    controller->Start();
  }
}

void ShardSet::BeginShutdown() {
  for (const auto& controller : controllers_) {
    controller->BeginShutdown();
  }
}

void ShardSet::AdoptPlan(const ShardPlan& plan) {
  if (plan.count() == plan_->count()) {
    return;
  }
  host_.telemetry.log->Write(
      "plan_adopted", {{"shards", static_cast<std::int64_t>(plan.count())}});
  plan_ = std::make_shared<const ShardPlan>(plan);
  for (const auto& controller : controllers_) {
    // Calls that wait were routed without the plan: the owner of this shard
    // would accept or deny jobs of other shards.
    controller->FinishCalls();
    controller->SetPlan(plan_);
  }
  for (std::uint64_t i = controllers_.size(); i < plan_->count(); ++i) {
    controllers_.push_back(
        std::make_unique<ShardController>(&host_, ShardNumber(i), plan_));
    controllers_.back()->Start();
  }
}

std::size_t ShardSet::OwnedShards(ShardNumber but) const {
  std::size_t owned = 0;
  for (std::size_t i = 0; i < controllers_.size(); ++i) {
    owned += i != but.value() && controllers_[i]->owns_or_claims() ? 1 : 0;
  }
  return owned;
}

bool ShardSet::MayResign() {
  const base::TimePoint now = Now();
  if (now < next_resignation_at_) {
    return false;
  }
  next_resignation_at_ = now + kMinResignationInterval;
  return true;
}

const ShardController& ShardSet::home() const {
  return *controllers_[plan_->HomeShardOf(host_.settings->host).value()];
}

void ShardSet::Call(const base::OrganisationId& organisation,
                    const OwnerCall& call, const OwnerReply& reply) {
  const auto forward = [&](core::jobs::JobKey job) {
    const ShardNumber shard = plan_->ShardOf(organisation, job);
    controllers_[shard.value()]->Call(call, reply);
  };
  std::visit(
      base::Overloaded{
          [&](const SubmitCall& submit) { forward(submit.submission.key); },
          [&](const CancelCall& cancel) { forward(cancel.key); },
          [&](const StateCall& state) { forward(state.key); },
          [&](const KnownCall& known) {
            if (known.jobs.empty()) {
              reply(KnownAnswer{});
            } else {
              forward(known.jobs.front());
            }
          },
          [&](const PendingCall& pending) { CountPending(pending, reply); }},
      call);
}

void ShardSet::CountPending(const PendingCall& call, const OwnerReply& reply) {
  const auto sum = std::make_shared<PendingSum>();
  sum->unanswered = controllers_.size();
  for (const auto& controller : controllers_) {
    controller->Call(call, [sum, reply](const OwnerAnswer& answer) {
      if (const auto* pending = std::get_if<PendingAnswer>(&answer)) {
        sum->jobs += pending->jobs;
      } else {
        sum->is_complete = false;
      }
      if (--sum->unanswered == 0) {
        reply(sum->is_complete ? OwnerAnswer(PendingAnswer{sum->jobs})
                               : OwnerAnswer(NoOwner{}));
      }
    });
  }
}

void ShardSet::set_call_timeout(base::Duration timeout) {
  for (const auto& controller : controllers_) {
    controller->set_call_timeout(timeout);
  }
}

void ShardSet::FinishCalls() {
  for (const auto& controller : controllers_) {
    controller->FinishCalls();
  }
}

ShardController* ShardSet::Find(const Json::Value& params) const {
  const Json::Value& field = params[kShardField];
  const std::uint64_t shard = field.isUInt64() ? field.asUInt64() : 0;
  return shard < controllers_.size() ? controllers_[shard].get() : nullptr;
}

void ShardSet::ForEachTerm(
    const std::function<void(OwnerTerm&)>& function) const {
  for (const auto& controller : controllers_) {
    if (controller->term() != nullptr) {
      function(*controller->term());
    }
  }
}

bool ShardSet::has_terms() const {
  return std::any_of(
      controllers_.begin(), controllers_.end(),
      [](const auto& controller) { return controller->term() != nullptr; });
}

const core::leadership::OwnershipRecord* ShardSet::home_owner() const {
  return home().owner();
}

std::optional<base::Duration> ShardSet::StoreContactAge(
    base::TimePoint now) const {
  std::optional<base::Duration> age;
  for (const auto& controller : controllers_) {
    if (const auto polled_at = controller->last_answered_poll_at()) {
      age = std::min(age.value_or(now - *polled_at), now - *polled_at);
    }
  }
  return age;
}

std::optional<base::Duration> ShardSet::OwnerContactAge(
    base::TimePoint now) const {
  if (home().has_ready_term()) {
    return base::Duration(0);
  }
  const auto answered_at = home().last_answered_heartbeat_at();
  return answered_at ? std::optional(now - *answered_at) : std::nullopt;
}

}  // namespace dotterelbarrow::member
