// The components of a Member and how they are wired together.
#ifndef DOTTERELBARROW_SRC_MEMBER_MEMBER_IMPL_H_
#define DOTTERELBARROW_SRC_MEMBER_MEMBER_IMPL_H_

#include <chrono>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "dotterelbarrow/core/admission/reachability.h"
#include "dotterelbarrow/core/admission/transfer_budget.h"
#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/member/member.h"
#include "dotterelbarrow/wire/http_client.h"
#include "dotterelbarrow/wire/http_server.h"
#include "dotterelbarrow/wire/limit_watch.h"
#include "dotterelbarrow/wire/metrics.h"
#include "platform/store_client.h"
#include "platform/worker_client.h"
#include "src/member/desired_fetcher.h"
#include "src/member/desired_watch.h"
#include "src/member/job_api.h"
#include "src/member/log_writer.h"
#include "src/member/rpc.h"
#include "src/member/shard_set.h"

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
  Impl(wire::EventLoop* loop, const platform::PlatformSettings& settings,
       const core::shards::ShardPlannerSettings& planner);

  bool Listen(base::Failure* reason);
  void BeginShutdown();
  void OnSettingsChanged(const platform::PlatformSettings& settings);

 private:
  void BindRpc();
  // Binds a method whose parameters name a shard. Answers with an empty object
  // if this host doesn't know the shard.
  void BindForShard(
      const std::string& method,
      std::function<void(ShardController*, const Json::Value& params,
                         const RpcServer::Reply& reply)>
          handle);
  ShardHost MakeShardHost();
  // Passes requests for advice on to the advisor, and its answers back, unread.
  void BindAdvice();
  void BindPages();
  // Returns all servers with the names that logs and metrics give them.
  std::vector<std::pair<std::string, const wire::HttpServer*>> Listeners()
      const;

  // Returns which of the store and the owner this host can reach now.
  core::admission::Reachability FindReach() const;
  // Sends the text of the desired state to a host that the store doesn't serve,
  // unless texts already take their part of the link.
  void HandleDesiredRequest(const RpcServer::Reply& reply);
  void HandleAdviceRequest(const Json::Value& params,
                           const RpcServer::Reply& reply);

  std::string RenderMetrics();
  // Answers where a job would be placed; only the owner knows.
  wire::HttpReply Explain(const wire::HttpRequest& request) const;
  void StopIfDrained();

  wire::EventLoop* loop_;
  platform::PlatformSettings settings_;
  core::shards::ShardPlannerSettings planner_;
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
  wire::LimitWatch limit_watch_;
  platform::StoreClient store_;
  platform::WorkerClient workers_;
  RpcClient rpc_;
  RpcServer rpc_server_;
  DesiredWatch desired_;
  DesiredFetcher desired_fetcher_;
  core::admission::TransferBudget desired_texts_;
  ShardSet shards_;
  JobApi job_api_;
  bool is_stopping_ = false;
  base::TimePoint stop_begun_;
  wire::Timer stop_timer_;
};

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_MEMBER_IMPL_H_
