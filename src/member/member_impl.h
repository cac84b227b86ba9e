// The parts of a member, and how they hang together.
#ifndef DOTTERELBARROW_SRC_MEMBER_MEMBER_IMPL_H_
#define DOTTERELBARROW_SRC_MEMBER_MEMBER_IMPL_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dotterelbarrow/core/admission/reach.h"
#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/core/leadership/leadership.h"
#include "dotterelbarrow/member/member.h"
#include "dotterelbarrow/wire/http_client.h"
#include "dotterelbarrow/wire/http_server.h"
#include "dotterelbarrow/wire/metrics.h"
#include "platform/store_client.h"
#include "platform/worker_client.h"
#include "src/member/desired_watch.h"
#include "src/member/head_writer.h"
#include "src/member/job_api.h"
#include "src/member/log_writer.h"
#include "src/member/owner_calls.h"
#include "src/member/owner_term.h"
#include "src/member/rpc.h"

namespace dotterelbarrow::member {

// Histograms of the metrics page.
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
  // Another entry host, as its greetings show it.
  struct Peer {
    std::string address;
    base::TimePoint greeted_at;
    double cpu_share = 0;
  };

  void BindRpc();
  void BindPages();

  // Follows the head, and claims the cell when it is free.
  void ReadHead();
  void OnHead(const platform::ReadResult& result, base::TimePoint sent_at);
  base::Duration HeadPeriod() const;
  void ClaimIfFree();
  void OnClaimed(HeadWriteEnd end, std::int64_t store_now_ms);
  void EndTerm();

  // Tells the owner that this host lives, and finds out whether it does.
  void Greet();
  void OnGreeted(const core::leadership::OwnershipRecord& owner,
                 const RpcResult& result, base::TimePoint sent_at);
  void LearnFromGreeting(const core::leadership::OwnershipRecord& owner,
                         const Json::Value& greeting, base::TimePoint sent_at);
  void OnGreeting(const Json::Value& params, const RpcServer::Reply& reply);
  // Whether the owner has left greetings unanswered for a while, or has
  // answered one just now.
  bool IsOwnerMute() const;
  bool IsOwnerLive() const;
  // An owner whose writes fail, or that gave the cell up, offers it to the
  // others; one that the store serves takes it.
  void OfferFailingCell();
  void OfferCell(core::leadership::FencingToken token);
  void OnTakeOver(const Json::Value& params, const RpcServer::Reply& reply);
  // Hosts that the store turns away learn from others who owns the cell.
  void AnnounceOwnership();
  void OnOwnerHint(const std::string& head);
  void AskDeputies();
  // Adds who owns the cell, as far as this host knows.
  void AddOwnerHint(Json::Value* answer) const;
  // Returns the addresses of a few live hosts, the strongest first.
  Json::Value Deputies() const;
  void UpdateAskers();
  // The largest part of a processor that a live host has, this one included.
  double BestShare() const;
  void SetClaimDelay(double best_share);
  // A weak owner leaves the cell to a host that can carry much more.
  void ResignIfMuchWeaker();

  std::optional<OwnerRoute> FindOwner() const;
  // What this host reaches now.
  core::admission::Reachability FindReach() const;
  // Fetches the owner's desired state for a host that the store turns away.
  void FetchDesired(const std::string& owner_address);
  void OnDesiredWanted(const RpcServer::Reply& reply);
  void Advise(const core::scheduler::RequestAdvice& ask,
              const platform::WorkerClient::AdviceDone& done);
  void OnAdvise(const Json::Value& params, const RpcServer::Reply& reply);

  std::string RenderMetrics();
  void EndIfIdle();

  wire::EventLoop* loop_;
  platform::PlatformSettings settings_;
  base::Incarnation incarnation_;
  core::Counters counters_;
  wire::Metrics metrics_;
  LatencyMetrics latencies_;
  LogWriter log_;
  core::scheduler::Telemetry telemetry_;
  wire::HttpClient client_;
  // Calls of other hosts wait for the owner; the store's and workers' don't
  // queue behind them.
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
  HeadWriter writer_;
  std::unique_ptr<OwnerTerm> term_;
  DesiredWatch desired_;
  OwnerCalls owner_calls_;
  JobApi job_api_;
  std::map<base::EntryId, Peer> peers_;
  std::optional<base::TimePoint> weaker_since_;
  base::TimePoint next_resignation_;
  int refused_greetings_ = 0;
  // When the first greeting was sent since the last answer to one.
  std::optional<base::TimePoint> unanswered_since_;
  base::TimePoint next_offer_;
  // Hosts that the last owner named, to ask who owns the cell.
  std::vector<std::string> deputies_;
  // The last token whose owner was greeted.
  core::scheduler::FencingToken greeted_token_;
  bool is_reading_head_ = false;
  // When the last read of the head that the store answered was sent.
  std::optional<base::TimePoint> head_heard_at_;
  // When the last greeting that an owner answered was sent.
  std::optional<base::TimePoint> owner_heard_at_;
  bool is_stopping_ = false;
  base::TimePoint stop_begun_;
  wire::Timer head_timer_;
  wire::Timer greet_timer_;
  wire::Timer end_term_timer_;
  wire::Timer stop_timer_;
};

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_MEMBER_IMPL_H_
