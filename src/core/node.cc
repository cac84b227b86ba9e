// Creates the controllers of an entry host and passes each input to the
// controller that handles it.
#include "dotterelbarrow/core/node.h"

#include <deque>
#include <utility>

#include "dotterelbarrow/core/admission.h"
#include "dotterelbarrow/core/config_controller.h"
#include "dotterelbarrow/core/host_index.h"
#include "dotterelbarrow/core/interactive_broker.h"
#include "dotterelbarrow/core/job_manager.h"
#include "dotterelbarrow/core/job_router.h"
#include "dotterelbarrow/core/outbox.h"
#include "dotterelbarrow/core/shard_owner.h"

namespace dotterelbarrow::core {
namespace {

// The maximum number of messages from this node to itself that are delivered in
// one call of Handle or Tick. The others wait for the next call, so that two
// controllers that keep answering each other can't block the process.
constexpr int kMaxLocalDeliveries = 100000;

}  // namespace

class Node::Impl {
 public:
  Impl(const NodeSettings& settings, std::uint64_t seed, base::TimePoint now)
      : settings_(settings),
        outbox_(settings.incarnation),
        membership_(&settings_, &outbox_, now),
        config_(&settings_, &outbox_, &counters_, &membership_, now),
        owner_(&settings_, &outbox_, &counters_, &membership_, seed, now),
        broker_(&settings_, &outbox_, &counters_, &membership_, &config_,
                &owner_, seed + 1, now),
        manager_(
            {&settings_, &outbox_, &counters_, &membership_, &config_, &hosts_},
            seed + 2),
        router_(&settings_, &outbox_, &counters_, &membership_),
        admission_(MakeAdmissionChain(&settings_, &config_, &shutting_down_,
                                      &counters_)),
        next_host_list_(now) {
    owner_.set_slice_lister(
        [this](base::PartitionId partition, const base::Epoch& epoch) {
          return broker_.SlicesFor(partition, epoch);
        });
    membership_.changed().connect([this](base::TimePoint at) {
      owner_.OnMembershipChanged(at);
      broker_.OnMembershipChanged(at);
      manager_.OnMembershipChanged(at);
    });
    config_.changed().connect([this](base::TimePoint at) {
      membership_.set_config_version(config_.catalogue().version());
      manager_.OnConfigChanged(at);
    });
  }

  void Handle(const Input& input, base::TimePoint now) {
    membership_.CheckLease(now);
    std::visit([&](const auto& each) { On(each, now); }, input);
    DeliverLocal(now);
  }

  void Tick(base::TimePoint now) {
    membership_.CheckLease(now);
    if (now >= next_host_list_) {
      next_host_list_ = now + settings_.host_list_period;
      outbox_.Send(HostListRead{});
    }
    CapacitySummary room = owner_.room();
    room.queued_requests = broker_.queued();
    membership_.set_capacity_summary(room);
    membership_.Tick(now);
    config_.Tick(now);
    owner_.Tick(now);
    broker_.Tick(now);
    manager_.Tick(now);
    router_.Tick(now);
    DeliverLocal(now);
    CheckShutdown(now);
  }

  std::vector<Output> TakeOutputs() {
    CollectOutputs();
    return std::exchange(outputs_, {});
  }

  const Counters& counters() const { return counters_; }
  const Membership& membership() const { return membership_; }
  const config::Catalogue& catalogue() const { return config_.catalogue(); }
  const std::deque<ConfigChange>& recent_changes() const {
    return config_.recent_changes();
  }
  CapacitySummary room() const { return owner_.room(); }
  std::vector<base::PartitionId> partitions() const {
    return manager_.partitions();
  }
  bool IsReady(base::TimePoint now) const {
    return !shutting_down_ && membership_.holds_lease() &&
           config_.IsConfirmed(now);
  }

 private:
  // Moves the controllers' messages to this node itself to `local_`, and all
  // other outputs to `outputs_`.
  void CollectOutputs() {
    for (Output& output : outbox_.Take()) {
      auto* to_peer = std::get_if<ToPeer>(&output);
      if (to_peer != nullptr && to_peer->to == settings_.self) {
        local_.push_back(std::move(to_peer->message));
      } else {
        outputs_.push_back(std::move(output));
      }
    }
  }

  void DeliverLocal(base::TimePoint now) {
    CollectOutputs();
    for (int i = 0; i < kMaxLocalDeliveries && !local_.empty(); ++i) {
      const PeerMessage message = std::move(local_.front());
      local_.pop_front();
      Deliver(settings_.self, settings_.incarnation, message, now);
      CollectOutputs();
    }
  }

  void Deliver(const base::EntryId& from, base::Incarnation incarnation,
               const PeerMessage& message, base::TimePoint now) {
    std::visit([&](const auto& each) { OnPeer(from, incarnation, each, now); },
               message);
  }

  void CheckShutdown(base::TimePoint now) {
    if (!shutting_down_ || shutdown_complete_) {
      return;
    }
    const bool idle = broker_.is_idle() && router_.is_idle() &&
                      manager_.is_idle() && config_.is_idle();
    const bool peers_notified =
        now - shutdown_began_ >= settings_.member_timeout;
    const bool timed_out = now - shutdown_began_ >= settings_.shutdown_bound;
    if ((idle && peers_notified) || timed_out) {
      shutdown_complete_ = true;
      outbox_.Send(ShutdownComplete{});
    }
  }

  // Handlers of inputs.
  void On(const FromPeer& input, base::TimePoint now) {
    Deliver(input.from, input.incarnation, input.message, now);
  }
  void On(const BackendReport& report, base::TimePoint now) {
    owner_.OnReport(report, now);
  }
  void On(const BackendUnreachable& input, base::TimePoint now) {
    owner_.OnUnreachable(input, now);
  }
  void On(const RunResult& result, base::TimePoint now) {
    broker_.OnRunResult(result, now);
  }
  void On(const TableResult& result, base::TimePoint now) {
    if (!config_.OnTableResult(result, now)) {
      manager_.OnTableResult(result, now);
    }
  }
  void On(const TableRows& rows, base::TimePoint now) {
    if (!config_.OnTableRows(rows, now)) {
      manager_.OnTableRows(rows, now);
    }
  }
  void On(const ObjectResult& result, base::TimePoint now) {
    manager_.OnObjectResult(result, now);
  }
  void On(const HostList& list, base::TimePoint now) {
    hosts_.OnHostList(list, now);
    owner_.OnHostList(list, now);
  }
  void On(const CallerRequest& input, base::TimePoint now) {
    WorkRequest request = input.request;
    if (const auto refusal = admission_.Apply(&request, now)) {
      outbox_.Send(CallerAnswer{input.token, *refusal});
      return;
    }
    counters_.Increment("requests", ToString(request.kind));
    if (request.kind == WorkKind::kInteractive) {
      broker_.Submit(input.token, request, now);
    } else {
      router_.Submit(input.token, request, now);
    }
  }
  void On(const CallerJobCommand& command, base::TimePoint now) {
    Answer refusal;
    refusal.id = command.request;
    refusal.outcome = Outcome::kUnknown;
    const auto team = config_.catalogue().FindTeamByKey(command.key);
    if (!config_.IsConfirmed(now)) {
      refusal.reason = Reason::kConfigUnconfirmed;
    } else if (!team) {
      refusal.reason =
          command.key.empty() ? Reason::kMissingKey : Reason::kUnknownKey;
    } else {
      router_.Ask(command, *team, now);
      return;
    }
    counters_.Increment("refusals", ToString(refusal.reason));
    outbox_.Send(CallerAnswer{command.token, refusal});
  }
  void On(const OperatorTicket& ticket, base::TimePoint now) {
    config_.OnTicket(ticket, now);
  }
  void On(const BeginShutdown& /*input*/, base::TimePoint now) {
    if (shutting_down_) {
      return;
    }
    shutting_down_ = true;
    shutdown_began_ = now;
    membership_.BeginLeaving();
    broker_.BeginShutdown();
  }

  // Handlers of peers' messages.
  void OnPeer(const base::EntryId& from, base::Incarnation incarnation,
              const Heartbeat& heartbeat, base::TimePoint now) {
    membership_.OnHeartbeat(from, incarnation, heartbeat, now);
    for (const MemberRecord& record : heartbeat.members) {
      if (record.entry == from) {
        config_.OnPeerVersion(from, record.config_version, now);
      }
    }
  }
  void OnPeer(const base::EntryId& from, base::Incarnation /*incarnation*/,
              const HeartbeatAck& ack, base::TimePoint now) {
    membership_.OnHeartbeatAck(from, ack, now);
    config_.OnPeerVersion(from, ack.config_version, now);
  }
  void OnPeer(const base::EntryId& from, base::Incarnation /*incarnation*/,
              const ForwardRequest& forward, base::TimePoint now) {
    broker_.OnForward(from, forward, now);
  }
  void OnPeer(const base::EntryId& /*from*/, base::Incarnation /*incarnation*/,
              const ForwardReply& reply, base::TimePoint now) {
    broker_.OnForwardReply(reply, now);
  }
  void OnPeer(const base::EntryId& from, base::Incarnation /*incarnation*/,
              const SubmitJob& submit, base::TimePoint now) {
    manager_.OnSubmit(from, submit, now);
  }
  void OnPeer(const base::EntryId& from, base::Incarnation /*incarnation*/,
              const QueryJob& query, base::TimePoint now) {
    manager_.OnQuery(from, query, now);
  }
  void OnPeer(const base::EntryId& from, base::Incarnation /*incarnation*/,
              const CancelJob& cancel, base::TimePoint now) {
    manager_.OnCancel(from, cancel, now);
  }
  void OnPeer(const base::EntryId& /*from*/, base::Incarnation /*incarnation*/,
              const JobReply& reply, base::TimePoint now) {
    router_.OnReply(reply, now);
  }
  void OnPeer(const base::EntryId& from, base::Incarnation /*incarnation*/,
              const ClaimKey& claim, base::TimePoint now) {
    manager_.OnClaim(from, claim, now);
  }
  void OnPeer(const base::EntryId& /*from*/, base::Incarnation /*incarnation*/,
              const ClaimReply& reply, base::TimePoint now) {
    broker_.OnClaimReply(reply, now);
  }
  void OnPeer(const base::EntryId& from, base::Incarnation /*incarnation*/,
              const ResolveKey& resolve, base::TimePoint now) {
    manager_.OnResolve(from, resolve, now);
  }
  void OnPeer(const base::EntryId& from, base::Incarnation /*incarnation*/,
              const PlaceTask& place, base::TimePoint now) {
    owner_.OnPlace(from, place, now);
  }
  void OnPeer(const base::EntryId& from, base::Incarnation /*incarnation*/,
              const PlaceReply& reply, base::TimePoint now) {
    manager_.OnPlaceReply(from, reply, now);
  }
  void OnPeer(const base::EntryId& from, base::Incarnation /*incarnation*/,
              const CommitHold& commit, base::TimePoint now) {
    owner_.OnCommitHold(from, commit, now);
  }
  void OnPeer(const base::EntryId& from, base::Incarnation /*incarnation*/,
              const RemoveTask& remove, base::TimePoint now) {
    owner_.OnRemove(from, remove, now);
  }
  void OnPeer(const base::EntryId& from, base::Incarnation /*incarnation*/,
              const TaskUpdate& update, base::TimePoint now) {
    manager_.OnTaskUpdate(from, update, now);
  }
  void OnPeer(const base::EntryId& /*from*/, base::Incarnation /*incarnation*/,
              const TaskUpdateAck& ack, base::TimePoint /*now*/) {
    owner_.OnUpdateAck(ack);
  }
  void OnPeer(const base::EntryId& from, base::Incarnation /*incarnation*/,
              const InventoryRequest& request, base::TimePoint now) {
    owner_.OnInventory(from, request, now);
  }
  void OnPeer(const base::EntryId& from, base::Incarnation /*incarnation*/,
              const InventoryReply& reply, base::TimePoint now) {
    manager_.OnInventory(from, reply, now);
  }
  void OnPeer(const base::EntryId& from, base::Incarnation incarnation,
              const SliceRequest& request, base::TimePoint now) {
    const MemberRecord* member = membership_.FindMember(from);
    if (member == nullptr || member->incarnation != incarnation) {
      counters_.Increment("dropped", "slice_request_of_unknown_run");
      return;
    }
    manager_.OnSliceRequest(from, request, now);
  }
  void OnPeer(const base::EntryId& from, base::Incarnation /*incarnation*/,
              const SliceGrant& grant, base::TimePoint now) {
    broker_.OnSliceGrant(from, grant, now);
  }
  void OnPeer(const base::EntryId& from, base::Incarnation /*incarnation*/,
              const ConfigPull& pull, base::TimePoint now) {
    config_.OnPull(from, pull, now);
  }
  void OnPeer(const base::EntryId& from, base::Incarnation /*incarnation*/,
              const ConfigPush& push, base::TimePoint now) {
    config_.OnPush(from, push, now);
  }

  const NodeSettings settings_;
  Outbox outbox_;
  Counters counters_;
  Membership membership_;
  ConfigController config_;
  HostIndex hosts_;
  ShardOwner owner_;
  InteractiveBroker broker_;
  JobManager manager_;
  JobRouter router_;
  bool shutting_down_ = false;
  bool shutdown_complete_ = false;
  base::TimePoint shutdown_began_;
  FilterChain admission_;
  base::TimePoint next_host_list_;
  std::deque<PeerMessage> local_;
  std::vector<Output> outputs_;
};

Node::Node(const NodeSettings& settings, std::uint64_t seed,
           base::TimePoint now)
    : impl_(std::make_unique<Impl>(settings, seed, now)) {}
Node::~Node() = default;

void Node::Handle(const Input& input, base::TimePoint now) {
  impl_->Handle(input, now);
}
void Node::Tick(base::TimePoint now) { impl_->Tick(now); }
std::vector<Output> Node::TakeOutputs() { return impl_->TakeOutputs(); }
const Counters& Node::counters() const { return impl_->counters(); }
const Membership& Node::membership() const { return impl_->membership(); }
const config::Catalogue& Node::catalogue() const { return impl_->catalogue(); }
const std::deque<ConfigChange>& Node::recent_changes() const {
  return impl_->recent_changes();
}
CapacitySummary Node::room() const { return impl_->room(); }
std::vector<base::PartitionId> Node::partitions() const {
  return impl_->partitions();
}
bool Node::IsReady(base::TimePoint now) const { return impl_->IsReady(now); }

}  // namespace dotterelbarrow::core
