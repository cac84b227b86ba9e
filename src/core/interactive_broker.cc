// Connects the request router, the runner dispatcher and the quota slices of an
// entry host.
#include "dotterelbarrow/core/interactive_broker.h"

#include <chrono>
#include <utility>
#include <variant>

#include "dotterelbarrow/base/overloaded.h"
#include "src/core/recent_calls.h"
#include "src/core/refusal.h"
#include "src/core/request_router.h"
#include "src/core/runner_dispatcher.h"
#include "src/core/team_slices.h"

namespace dotterelbarrow::core {
namespace {

constexpr base::Duration kShutdownRetry = std::chrono::milliseconds(100);

Answer ShuttingDown(const base::RequestId& id) {
  return MakeRefusal(id, Reason::kShuttingDown,
                     "this entry host is shutting down; hand the request in "
                     "again, another one will take it",
                     kShutdownRetry);
}

}  // namespace

class InteractiveBroker::Impl {
 public:
  Impl(const NodeSettings* settings, Outbox* outbox, Counters* counters,
       const Membership* membership, const ConfigController* config,
       ShardOwner* owner, std::uint64_t seed, base::TimePoint now)
      : settings_(settings),
        outbox_(outbox),
        counters_(counters),
        config_(config),
        slices_(settings, outbox, counters, membership),
        dispatcher_(
            settings, outbox, counters, config, owner, &slices_,
            [this](const ServeOrigin& origin, const Answer& answer,
                   base::TimePoint when) { OnServed(origin, answer, when); },
            now),
        router_(settings, outbox, counters, membership, owner, &dispatcher_,
                seed, now) {
    slots_freed_ = owner->slots_freed().connect(
        [this](base::TimePoint when) { dispatcher_.Dispatch(when); });
  }
  ~Impl() { slots_freed_.disconnect(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Submit(CallerToken token, const WorkRequest& request,
              base::TimePoint now) {
    if (shutting_down_) {
      router_.Refuse(token, ShuttingDown(request.id));
      return;
    }
    router_.Submit(token, request, now);
  }

  void Tick(base::TimePoint now) {
    slices_.Tick(config_->catalogue(), now);
    dispatcher_.Tick(now);
    router_.Tick(now);
  }

  void OnMembershipChanged(base::TimePoint now) {
    slices_.OnMembershipChanged();
    router_.OnMembershipChanged(now);
    dispatcher_.Tick(now);
  }

  void OnForward(const base::EntryId& from, const ForwardRequest& forward,
                 base::TimePoint now) {
    if (forward.owner_incarnation != settings_->incarnation) {
      counters_->Increment("dropped", "forward_to_earlier_run");
      return;
    }
    // Calls that are refused are recorded too: the sender may have tried
    // another owner since then, so a copy of the refused call must not be
    // served either.
    if (!recent_calls_.Insert(from, forward.call, now)) {
      counters_->Increment("dropped", "copied_forward");
      return;
    }
    const FromForward origin{from, forward.call};
    if (shutting_down_) {
      OnServed(origin, ShuttingDown(forward.request.id), now);
      return;
    }
    dispatcher_.Serve(origin, forward.request, forward.time_left, now);
  }

  void OnSliceGrant(const SliceGrant& grant, base::TimePoint now) {
    if (slices_.OnGrant(grant, config_->catalogue(), now)) {
      dispatcher_.Dispatch(now);
    }
  }

  RequestRouter& router() { return router_; }
  RunnerDispatcher& dispatcher() { return dispatcher_; }
  TeamSlices& slices() { return slices_; }
  void BeginShutdown() { shutting_down_ = true; }
  bool is_idle() const { return router_.is_idle() && dispatcher_.is_idle(); }

 private:
  void OnServed(const ServeOrigin& origin, const Answer& answer,
                base::TimePoint now) {
    std::visit(
        base::Overloaded{
            [&](const FromRouter& from) {
              router_.OnServed(from.pending, answer, now);
            },
            [&](const FromForward& from) {
              if (answer.outcome == Outcome::kNotRun) {
                counters_->Increment("forward_refusals",
                                     ToString(answer.reason));
              }
              outbox_->SendToPeer(from.entry, ForwardReply{from.call, answer});
            }},
        origin);
  }

  const NodeSettings* settings_;
  Outbox* outbox_;
  Counters* counters_;
  const ConfigController* config_;
  TeamSlices slices_;
  RunnerDispatcher dispatcher_;
  RequestRouter router_;
  RecentCalls recent_calls_;
  bool shutting_down_ = false;
  sigc::connection slots_freed_;
};

InteractiveBroker::InteractiveBroker(const NodeSettings* settings,
                                     Outbox* outbox, Counters* counters,
                                     const Membership* membership,
                                     const ConfigController* config,
                                     ShardOwner* owner, std::uint64_t seed,
                                     base::TimePoint now)
    : impl_(std::make_unique<Impl>(settings, outbox, counters, membership,
                                   config, owner, seed, now)) {}

InteractiveBroker::~InteractiveBroker() = default;

void InteractiveBroker::Submit(CallerToken token, const WorkRequest& request,
                               base::TimePoint now) {
  impl_->Submit(token, request, now);
}

void InteractiveBroker::Tick(base::TimePoint now) { impl_->Tick(now); }

void InteractiveBroker::OnMembershipChanged(base::TimePoint now) {
  impl_->OnMembershipChanged(now);
}

void InteractiveBroker::OnForward(const base::EntryId& from,
                                  const ForwardRequest& forward,
                                  base::TimePoint now) {
  impl_->OnForward(from, forward, now);
}

void InteractiveBroker::OnForwardReply(const ForwardReply& reply,
                                       base::TimePoint now) {
  impl_->router().OnForwardReply(reply, now);
}

void InteractiveBroker::OnRunResult(const RunResult& result,
                                    base::TimePoint now) {
  impl_->dispatcher().OnRunResult(result, now);
}

void InteractiveBroker::OnClaimReply(const ClaimReply& reply,
                                     base::TimePoint now) {
  impl_->router().OnClaimReply(reply, now);
}

void InteractiveBroker::OnSliceGrant(const base::EntryId& /*from*/,
                                     const SliceGrant& grant,
                                     base::TimePoint now) {
  impl_->OnSliceGrant(grant, now);
}

std::vector<std::pair<base::TeamId, base::Slots>> InteractiveBroker::SlicesFor(
    base::PartitionId partition, const base::Epoch& manager_epoch) {
  return impl_->slices().SlicesFor(partition, manager_epoch);
}

std::uint32_t InteractiveBroker::queued() const {
  return static_cast<std::uint32_t>(impl_->dispatcher().queued());
}

bool InteractiveBroker::is_idle() const { return impl_->is_idle(); }

void InteractiveBroker::BeginShutdown() { impl_->BeginShutdown(); }

}  // namespace dotterelbarrow::core
