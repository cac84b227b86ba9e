// The components of a Member and how they are wired together.
#ifndef DOTTERELBARROW_SRC_MEMBER_MEMBER_IMPL_H_
#define DOTTERELBARROW_SRC_MEMBER_MEMBER_IMPL_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dotterelbarrow/core/admission/reachability.h"
#include "dotterelbarrow/core/admission/transfer_budget.h"
#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/core/leadership/leadership.h"
#include "dotterelbarrow/member/member.h"
#include "dotterelbarrow/wire/http_client.h"
#include "dotterelbarrow/wire/http_server.h"
#include "dotterelbarrow/wire/metrics.h"
#include "platform/store_client.h"
#include "platform/worker_client.h"
#include "src/member/desired_fetcher.h"
#include "src/member/desired_watch.h"
#include "src/member/job_api.h"
#include "src/member/live_peers.h"
#include "src/member/log_writer.h"
#include "src/member/owner_call_forwarder.h"
#include "src/member/owner_term.h"
#include "src/member/ownership_writer.h"
#include "src/member/rpc.h"

namespace dotterelbarrow::member {

// Records latencies in the histograms of the metrics page.
class LatencyMetrics : public core::scheduler::LatencySink {
 public:
  explicit LatencyMetrics(wire::Metrics* metrics) : metrics_(metrics) {}
  void Observe(std::string_view name, base::Duration latency) override {
    metrics_->Observe(std::string(name),
                      std::chrono::duration<double>(latency).count());
  }

 private:
  wire::Metrics* metrics_;
};

class Member::Impl {
 public:
  Impl(wire::EventLoop* loop, const platform::PlatformSettings& settings);

  bool Listen(base::Failure* reason);
  void BeginShutdown();
  void OnSettingsChanged(const platform::PlatformSettings& settings);

 private:
  void BindRpc();
  // Passes requests for advice on to the advisor, and its answers back, unread.
  void BindAdvice();
  void BindPages();

  // Polls the ownership record in the store, and claims the cell when it has no
  // owner.
  void PollOwner();
  void OnOwnershipRecord(const platform::ReadResult& result,
                         base::TimePoint sent_at);
  base::Duration OwnerPollPeriod() const;
  void ClaimIfFree();
  void OnClaimed(OwnershipWriteOutcome end, std::int64_t store_now_ms);
  void EndTerm();

  // Sends a heartbeat to the owner. A heartbeat shows the owner that this host
  // is alive, and its reply shows this host whether the owner is.
  void SendHeartbeat();
  void OnHeartbeatReply(const core::leadership::OwnershipRecord& owner,
                        const RpcResult& result, base::TimePoint sent_at);
  void ApplyHeartbeatReply(const core::leadership::OwnershipRecord& owner,
                           const Json::Value& heartbeat_reply,
                           base::TimePoint sent_at);
  void HandleHeartbeat(const Json::Value& params,
                       const RpcServer::Reply& reply);
  // Whether the owner has left heartbeats unanswered for a while.
  bool IsOwnerUnresponsive() const;
  // Whether the owner has answered a heartbeat recently.
  bool IsOwnerResponsive() const;
  // An owner whose writes to the store fail offers the cell to all known hosts,
  // at most once in `kOfferPeriod`.
  void OfferCellOnStoreFailure();
  // Offers the cell that was owned with `token` to all known hosts.
  void OfferCell(core::leadership::FencingToken token);
  // Handles such an offer: reads the ownership record, and then claims the cell
  // if the store serves this host.
  void HandleTakeOverOffer(const Json::Value& params,
                           const RpcServer::Reply& reply);
  // A host that the store refuses to serve learns from other hosts who owns the
  // cell: from a new owner that announces itself to the previous one, or from
  // the deputies that the last owner named.
  void AnnounceOwnership();
  void OnOwnerHint(const std::string& encoded_record);
  void QueryDeputies();
  // Adds the ownership record to `answer`, if this host knows an owner.
  void AddOwnerHint(Json::Value* answer) const;
  void UpdateAdviceClients();
  // Returns the largest processor share, in processors, among the live hosts
  // and this one.
  double LargestCpuShare();
  void SetClaimDelay(double best_share);
  // Resigns if this host has been the owner with a much smaller processor share
  // than the best host for a while.
  void ResignIfMuchWeaker();

  std::optional<OwnerRoute> FindOwner() const;
  // Returns which of the store and the owner this host can reach now.
  core::admission::Reachability FindReach() const;
  // Sends the text of the desired state to a host that the store doesn't serve,
  // unless texts already take their part of the link.
  void HandleDesiredRequest(const RpcServer::Reply& reply);
  void Advise(const core::scheduler::RequestAdvice& request,
              const platform::WorkerClient::AdviceDone& done);
  void HandleAdviceRequest(const Json::Value& params,
                           const RpcServer::Reply& reply);

  std::string RenderMetrics();
  // Answers where a job would be placed; only the owner knows.
  wire::HttpReply Explain(const wire::HttpRequest& request) const;
  void StopIfDrained();

  wire::EventLoop* loop_;
  platform::PlatformSettings settings_;
  base::Incarnation incarnation_;
  core::Counters counters_;
  wire::Metrics metrics_;
  LatencyMetrics latencies_;
  LogWriter log_;
  core::scheduler::Telemetry telemetry_;
  wire::HttpClient client_;
  // Separate from `client_`, because calls to other entry hosts may wait long
  // for the owner. Calls to the store and to workers must not queue behind
  // them.
  wire::HttpClient peer_client_;
  wire::HttpServer callers_;
  wire::HttpServer readiness_;
  wire::HttpServer peers_server_;
  wire::HttpServer metrics_server_;
  platform::StoreClient store_;
  platform::WorkerClient workers_;
  RpcClient rpc_;
  RpcServer rpc_server_;
  core::leadership::Leadership leadership_;
  OwnershipWriter writer_;
  std::unique_ptr<OwnerTerm> term_;
  DesiredWatch desired_;
  DesiredFetcher desired_fetcher_;
  core::admission::TransferBudget desired_texts_;
  OwnerCallForwarder owner_calls_;
  JobApi job_api_;
  LivePeers peers_;
  std::optional<base::TimePoint> weaker_since_;
  base::TimePoint next_resignation_at_;
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
  // When the last poll of the ownership record that the store answered was
  // sent.
  std::optional<base::TimePoint> last_answered_poll_at_;
  // When the last heartbeat that an owner answered was sent.
  std::optional<base::TimePoint> last_answered_heartbeat_at_;
  bool is_stopping_ = false;
  base::TimePoint stop_begun_;
  wire::Timer owner_poll_timer_;
  wire::Timer heartbeat_timer_;
  wire::Timer end_term_timer_;
  wire::Timer stop_timer_;
};

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_MEMBER_IMPL_H_
