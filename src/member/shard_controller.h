// What one entry host does for one shard of the cell: follows its owner, claims
// the shard when it has none, runs the owner's term, and forwards calls to the
// owner.
//
// Each shard is the home of a part of the hosts. These send heartbeats to its
// owner, request advice for it and claim it first. Hosts with a large share of
// a processor also send heartbeats to the owners of other shards, less often,
// and claim those when no host at home does.
#ifndef DOTTERELBARROW_SRC_MEMBER_SHARD_CONTROLLER_H_
#define DOTTERELBARROW_SRC_MEMBER_SHARD_CONTROLLER_H_

#include <json/json.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dotterelbarrow/core/leadership/leadership.h"
#include "dotterelbarrow/core/scheduler/decision_log.h"
#include "dotterelbarrow/core/shards/shard_plan.h"
#include "dotterelbarrow/wire/event_loop.h"
#include "dotterelbarrow/wire/http_client.h"
#include "platform/settings_file.h"
#include "platform/store_client.h"
#include "platform/worker_client.h"
#include "src/member/calls.h"
#include "src/member/desired_watch.h"
#include "src/member/live_peers.h"
#include "src/member/owner_call_forwarder.h"
#include "src/member/owner_term.h"
#include "src/member/ownership_writer.h"
#include "src/member/rpc.h"

namespace dotterelbarrow::member {

// What the controllers of a host share. All pointers must outlive them.
struct ShardHost {
  wire::EventLoop* loop = nullptr;
  const platform::PlatformSettings* settings = nullptr;
  base::Incarnation incarnation;
  core::shards::ShardPlannerSettings planner;
  core::scheduler::Telemetry telemetry;
  // For advice requests through other hosts.
  wire::HttpClient* peer_client = nullptr;
  platform::StoreClient* store = nullptr;
  platform::WorkerClient* workers = nullptr;
  RpcClient* rpc = nullptr;
  DesiredWatch* desired = nullptr;
  // Fetches the text of the desired state from the host at this address.
  std::function<void(const std::string& address)> fetch_desired;
  // Whether this host can reach neither the store nor an owner.
  std::function<bool()> is_isolated;
  // Called when the plan of the shards was read.
  std::function<void(const core::shards::ShardPlan& plan)> on_plan;
  // Returns how many shards other than this one the host owns or claims.
  std::function<std::size_t(core::shards::ShardNumber but)> owned_shards;
  // Called when a term has begun or ended.
  std::function<void()> on_terms_changed;
  // Whether the host may give up a shard to a stronger host now; at most one in
  // some time.
  std::function<bool()> may_resign;
};

class ShardController {
 public:
  // `host` must outlive this.
  ShardController(const ShardHost* host, core::shards::ShardNumber shard,
                  std::shared_ptr<const core::shards::ShardPlan> plan);
  ShardController(const ShardController&) = delete;
  ShardController& operator=(const ShardController&) = delete;

  // Starts to follow the owner.
  void Start();
  void BeginShutdown();
  // Replaces the plan. A term that began under the previous one ends by itself.
  void SetPlan(std::shared_ptr<const core::shards::ShardPlan> plan);

  // Forwards a call to the owner, which may be this host. Calls the reply once.
  void Call(const OwnerCall& call, OwnerReply reply) {
    calls_.Call(call, std::move(reply));
  }
  // See OwnerCallForwarder.
  void set_call_timeout(base::Duration timeout) {
    calls_.set_call_timeout(timeout);
  }
  void FinishCalls() { calls_.FinishAll(); }

  // Handle requests of other hosts.
  void HandleHeartbeat(const Json::Value& params,
                       const RpcServer::Reply& reply);
  void HandleTakeOverOffer(const Json::Value& params,
                           const RpcServer::Reply& reply);
  void OnOwnerHint(const std::string& encoded_record);
  // Handles a call for the owner of this shard; `params` are those that it was
  // decoded from.
  void HandleOwnerCall(const OwnerCall& call, const Json::Value& params,
                       const RpcServer::Reply& reply);
  // Adds the ownership record to `answer`, if this host knows an owner.
  void AddOwnerHint(Json::Value* answer) const;

  // Null while this host isn't the owner.
  OwnerTerm* term() const { return term_.get(); }
  bool has_ready_term() const { return term_ != nullptr && term_->is_ready(); }
  // Whether this host owns the shard or is about to.
  bool owns_or_claims() const;
  const core::leadership::OwnershipRecord* owner() const {
    return leadership_.owner();
  }
  bool is_home() const;
  // When the last poll of the ownership record that the store answered was
  // sent, and the last heartbeat that an owner answered.
  std::optional<base::TimePoint> last_answered_poll_at() const {
    return last_answered_poll_at_;
  }
  std::optional<base::TimePoint> last_answered_heartbeat_at() const {
    return last_answered_heartbeat_at_;
  }

 private:
  core::leadership::LeadershipSettings LeadershipOf() const;
  // Polls the ownership record in the store, and claims the shard when it has
  // no owner.
  void PollOwner();
  void OnOwnershipRecord(const platform::ReadResult& result,
                         base::TimePoint sent_at);
  // Applies the plan, if it is among the rows. Returns false if it can't be
  // read.
  bool ReadPlan(const std::vector<platform::Row>& rows);
  base::Duration OwnerPollPeriod() const;
  void ClaimIfFree();
  void OnClaimed(OwnershipWriteOutcome end, std::int64_t store_now_ms);
  void EndTerm();

  // Whether this host sends heartbeats to the owner, and how often.
  bool SendsHeartbeats() const;
  base::Duration HeartbeatPeriod() const;
  // Sends a heartbeat to the owner. A heartbeat shows the owner that this host
  // is alive, and its reply shows this host whether the owner is.
  void SendHeartbeat();
  void OnHeartbeatReply(const core::leadership::OwnershipRecord& owner,
                        const RpcResult& result, base::TimePoint sent_at);
  void ApplyHeartbeatReply(const core::leadership::OwnershipRecord& owner,
                           const Json::Value& heartbeat_reply,
                           base::TimePoint sent_at);
  // Whether the owner has left heartbeats unanswered for a while.
  bool IsOwnerUnresponsive() const;
  // Whether the owner has answered a heartbeat recently.
  bool IsOwnerResponsive() const;
  // An owner whose writes to the store fail offers the shard to all known
  // hosts, at most once in `kOfferPeriod`.
  void OfferShardOnStoreFailure();
  // Offers the shard that is or was owned with `token` to all known hosts, and
  // tells them whether that owner has stopped.
  void OfferShard(core::leadership::FencingToken token, bool has_stopped);
  // The owner with this token is certain to send no more commands to workers.
  void OnOwnerStopped(core::leadership::FencingToken token);
  // Tells the term, if there is one and the previous owner has stopped.
  void ReportPreviousOwnerStopped();
  // A host that the store refuses to serve learns from other hosts who owns the
  // shard: from a new owner that announces itself to the previous one, or from
  // the deputies that the last owner named.
  void AnnounceOwnership();
  void QueryDeputies();
  void UpdateAdviceClients();
  // Returns this host's share of a processor, less what its other shards use.
  double AvailableCpuShare() const;
  // Returns the largest available share, in processors, among the live hosts
  // and this one.
  double LargestCpuShare();
  // Returns how long this host lets others claim the shard first.
  base::Duration ClaimDelay() const;
  // Resigns if this host has been the owner with a much smaller processor share
  // than the best host for a while.
  void ResignIfMuchWeaker();
  // Whether all live hosts can follow the owners of several shards.
  bool CanDivideCell() const;

  std::optional<OwnerRoute> FindOwner() const;
  // Returns whether a submission is for this term and of this shard; other
  // calls don't say. Precondition: there is a term.
  bool IsOwnCall(const OwnerCall& call, const Json::Value& params) const;
  void Advise(const core::scheduler::RequestAdvice& request,
              const platform::WorkerClient::AdviceDone& done);
  // Adds the number of this shard, unless it is the only one.
  void AddShard(Json::Value* params) const;

  const ShardHost* host_;
  core::shards::ShardNumber shard_;
  std::shared_ptr<const core::shards::ShardPlan> plan_;
  core::leadership::Leadership leadership_;
  OwnershipWriter writer_;
  OwnerCallForwarder calls_;
  // Destroyed before `calls_`, which it answers.
  std::unique_ptr<OwnerTerm> term_;
  LivePeers peers_;
  bool is_stopping_ = false;
  // The largest share of a processor that the owner knows of.
  double best_cpu_share_;
  std::optional<base::TimePoint> weaker_since_;
  int refused_heartbeats_ = 0;
  // When the first heartbeat since the last reply was sent; nullopt while none
  // is unanswered.
  std::optional<base::TimePoint> unanswered_since_;
  base::TimePoint next_offer_at_;
  // Addresses of hosts that the last owner named. This host asks them for the
  // owner when the store is unresponsive and a heartbeat gets no answer from an
  // owner.
  std::vector<std::string> deputies_;
  // The fencing token of the owner that the last heartbeat was sent to.
  core::scheduler::FencingToken last_heartbeat_token_;
  bool is_polling_owner_ = false;
  std::optional<base::TimePoint> last_answered_poll_at_;
  std::optional<base::TimePoint> last_answered_heartbeat_at_;
  wire::Timer owner_poll_timer_;
  wire::Timer heartbeat_timer_;
  wire::Timer end_term_timer_;
};

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_SHARD_CONTROLLER_H_
