// Wires the components of a member together, and starts and stops it.
#include "dotterelbarrow/member/member.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

#include "src/member/clock.h"
#include "src/member/member_impl.h"

namespace dotterelbarrow::member {
namespace {

// Information that must arrive within some time is polled this many times in
// it, so that one answer may be lost and another be slow.
constexpr int kPollsPerDeadline = 4;

// A worker accepts 64 connections, shared by all entry hosts.
constexpr std::size_t kMaxConnections = 16;
// Each client may use one of this many descriptors, so that descriptors remain
// for callers, peers and files. Without descriptors an owner can send its
// workers nothing.
constexpr std::size_t kDescriptorsPerConnection = 2;
// Reconnecting costs time, and workers keep idle connections open for longer
// than this.
constexpr base::Duration kIdleTimeout = std::chrono::seconds(30);
constexpr base::Duration kSilenceTimeout = std::chrono::seconds(2);
constexpr std::size_t kMaxCallBytes = std::size_t{320} * 1024;
// A call between hosts contains at most one submission, with all fields named.
constexpr std::size_t kMaxPeerCallBytes = std::size_t{512} * 1024;
constexpr std::size_t kMaxProbeBytes = std::size_t{4} * 1024;

// The memory of a host whose settings don't say how much it has.
constexpr std::size_t kDefaultMemory = std::size_t{256} * 1024 * 1024;

// Each listener has its own part of the host's descriptors and memory, so that
// a crowd at one can't take what another needs. Together they leave more than
// half of the descriptors to the connections that this host opens itself. The
// numbers are divisors.
struct ListenerShare {
  std::size_t descriptors;
  std::size_t memory;
};
constexpr ListenerShare kCallersShare = {.descriptors = 4, .memory = 4};
constexpr ListenerShare kPeersShare = {.descriptors = 8, .memory = 8};
constexpr ListenerShare kMetricsShare = {.descriptors = 64, .memory = 32};
constexpr ListenerShare kReadinessShare = {.descriptors = 64, .memory = 64};
constexpr std::size_t kMinConnections = 8;
// Peers and monitors may take longer than callers to send a request.
constexpr base::Duration kCallReceiveTimeout = std::chrono::seconds(3);
constexpr base::Duration kReceiveTimeout = std::chrono::seconds(10);

// A planned stop continues to accept connections for this long. By then new
// ones go to other hosts: the platform checks readiness each second and reacts
// to two failed checks.
constexpr base::Duration kStopAcceptingAfter = std::chrono::milliseconds(2600);
// From then on calls are answered within this time, even if their outcome is
// unknown.
constexpr base::Duration kShutdownCallTimeout = std::chrono::milliseconds(500);
// Time left until the platform kills the process at which all open calls are
// ended, and at which the process exits. The time between the two lets the last
// answers be sent.
constexpr base::Duration kTimeLeftToEndCalls = std::chrono::milliseconds(1300);
constexpr base::Duration kTimeLeftToExit = std::chrono::milliseconds(800);
constexpr base::Duration kStopCheckPeriod = std::chrono::milliseconds(100);

base::Incarnation NewIncarnation() {
  return base::Incarnation(static_cast<std::uint64_t>(UnixMillis()));
}

// `max_descriptors` is 0 if the process's descriptors are not limited.
wire::HttpClientOptions ClientOptions(std::size_t max_descriptors) {
  return {.max_connections = kMaxConnections,
          .max_total_connections = max_descriptors / kDescriptorsPerConnection,
          .connect_timeout = std::chrono::milliseconds(600),
          .idle_timeout = kIdleTimeout,
          .unacknowledged_timeout = kSilenceTimeout};
}

wire::HttpServerOptions ServerOptions(
    const platform::PlatformSettings& settings, const ListenerShare& share,
    std::size_t max_body_bytes,
    base::Duration receive_timeout = kReceiveTimeout) {
  std::size_t descriptors = wire::DescriptorLimit();
  if (settings.max_descriptors > 0) {
    descriptors = std::min(descriptors, settings.max_descriptors);
  }
  const std::size_t memory =
      settings.memory > base::Bytes(0)
          ? static_cast<std::size_t>(settings.memory.value())
          : kDefaultMemory;
  return {
      .max_body_bytes = max_body_bytes,
      .receive_timeout = receive_timeout,
      .max_connections =
          std::max(kMinConnections, descriptors / share.descriptors),
      .max_buffered_bytes = memory / share.memory,
  };
}

}  // namespace

Member::Impl::Impl(wire::EventLoop* loop,
                   const platform::PlatformSettings& settings,
                   const core::shards::ShardPlannerSettings& planner)
    : loop_(loop),
      settings_(settings),
      planner_(planner),
      incarnation_(NewIncarnation()),
      latencies_(&metrics_),
      log_(*loop, STDOUT_FILENO),
      telemetry_{&log_, &counters_, &latencies_},
      client_(*loop, ClientOptions(settings.max_descriptors)),
      peer_client_(*loop, ClientOptions(settings.max_descriptors / 4)),
      callers_(*loop, ServerOptions(settings, kCallersShare, kMaxCallBytes,
                                    kCallReceiveTimeout)),
      readiness_(*loop,
                 ServerOptions(settings, kReadinessShare, kMaxProbeBytes)),
      peers_server_(*loop,
                    ServerOptions(settings, kPeersShare, kMaxPeerCallBytes)),
      metrics_server_(*loop,
                      ServerOptions(settings, kMetricsShare, kMaxCallBytes)),
      limit_watch_(
          *loop,
          [this](const wire::LimitReport& report) {
            counters_.Increment("client_limits", report.Label().c_str(),
                                report.times);
            telemetry_.log->Write(
                "client_limit_reached",
                {{"listener", report.listener},
                 {"reason", ToString(report.reason)},
                 {"times", static_cast<std::int64_t>(report.times)},
                 {"connections", static_cast<std::int64_t>(report.connections)},
                 {"held_bytes", static_cast<std::int64_t>(report.held_bytes)}});
          }),
      store_(&client_, settings.store_address, &counters_),
      workers_(&client_, platform::WorkerClientSettings()),
      rpc_(&peer_client_, &counters_),
      rpc_server_(&peers_server_, &counters_),
      desired_(
          *loop, &store_, telemetry_,
          std::min(settings.desired_apply_limit, settings.evacuation_limit) /
              kPollsPerDeadline,
          [this](const auto& desired) {
            shards_.ForEachTerm(
                [&desired](OwnerTerm& term) { term.SetDesired(desired); });
          },
          [this](const auto& zones) {
            shards_.ForEachTerm(
                [&zones](OwnerTerm& term) { term.SetEvacuatedZones(zones); });
          }),
      desired_fetcher_(&rpc_, &counters_,
                       [this](const std::string& text, base::TimePoint sent_at,
                              base::Duration age) {
                         desired_.OnPeerText(text, sent_at, age);
                       }),
      desired_texts_(settings.link),
      shards_(MakeShardHost()),
      job_api_(
          *loop, &callers_, &desired_,
          core::admission::Gate(settings.key_revocation_limit), telemetry_,
          [this] { return FindReach(); },
          [this](const base::OrganisationId& organisation,
                 const OwnerCall& call, const OwnerReply& reply) {
            shards_.Call(organisation, call, reply);
          }),
      stop_timer_(*loop, [this] { StopIfDrained(); }) {
  BindRpc();
  BindAdvice();
  BindPages();
  for (const auto& [listener, server] : Listeners()) {
    limit_watch_.Add(listener, server);
  }
}

std::vector<std::pair<std::string, const wire::HttpServer*>>
Member::Impl::Listeners() const {
  return {{"callers", &callers_},
          {"readiness", &readiness_},
          {"peers", &peers_server_},
          {"metrics", &metrics_server_}};
}

ShardHost Member::Impl::MakeShardHost() {
  return {.loop = loop_,
          .settings = &settings_,
          .incarnation = incarnation_,
          .planner = planner_,
          .telemetry = telemetry_,
          .peer_client = &peer_client_,
          .store = &store_,
          .workers = &workers_,
          .rpc = &rpc_,
          .desired = &desired_,
          .fetch_desired =
              [this](const std::string& address) {
                desired_fetcher_.Fetch(address);
              },
          .is_isolated =
              [this] {
                return FindReach() == core::admission::Reachability::kIsolated;
              },
          .on_plan = nullptr,
          .owned_shards = nullptr,
          .on_terms_changed =
              [this] { desired_.set_always_asks(shards_.has_terms()); },
          .may_resign = nullptr};
}

bool Member::Impl::Listen(base::Failure* reason) {
  if (!callers_.Listen(settings_.callers_address, reason) ||
      !readiness_.Listen(settings_.readiness_address, reason) ||
      !peers_server_.Listen(settings_.peers_address, reason) ||
      !metrics_server_.Listen(settings_.metrics_address, reason)) {
    return false;
  }
  telemetry_.log->Write(
      "started",
      {{"host", settings_.host.value()},
       {"incarnation", static_cast<std::int64_t>(incarnation_.value())}});
  shards_.Start();
  return true;
}

void Member::Impl::BeginShutdown() {
  if (is_stopping_) {
    return;
  }
  is_stopping_ = true;
  stop_begun_ = Now();
  telemetry_.log->Write("stopping", {{"host", settings_.host.value()}});
  shards_.BeginShutdown();
  stop_timer_.StartOnce(kStopCheckPeriod);
}

void Member::Impl::StopIfDrained() {
  const base::Duration since = Now() - stop_begun_;
  stop_timer_.StartOnce(kStopCheckPeriod);
  if (since < kStopAcceptingAfter) {
    return;
  }
  callers_.StopAccepting();
  shards_.set_call_timeout(kShutdownCallTimeout);
  const base::Duration left = settings_.shutdown_grace - since;
  if (left <= kTimeLeftToEndCalls) {
    shards_.FinishCalls();
  }
  const bool is_idle = callers_.open_exchanges() == 0 &&
                       callers_.unsent_replies() == 0 && !shards_.has_terms();
  const bool is_late = left <= kTimeLeftToExit;
  // Clients continue to use open connections, and learn from the next answer on
  // each that it will be closed.
  const bool clients_informed =
      since >= kStopAcceptingAfter + std::chrono::seconds(1);
  if (is_late || (is_idle && clients_informed)) {
    telemetry_.log->Write(
        "stopped",
        {{"open_calls", static_cast<std::int64_t>(callers_.open_exchanges())}});
    log_.Flush();
    loop_->Stop();
  }
}

void Member::Impl::OnSettingsChanged(
    const platform::PlatformSettings& settings) {
  const bool needs_restart =
      settings.callers_address != settings_.callers_address ||
      settings.peers_address != settings_.peers_address ||
      settings.store_address != settings_.store_address;
  settings_.shutdown_grace = settings.shutdown_grace;
  settings_.advisor_address = settings.advisor_address;
  telemetry_.log->Write("settings_reloaded",
                        {{"needs_restart", needs_restart ? "yes" : "no"}});
}

Member::Member(wire::EventLoop* loop,
               const platform::PlatformSettings& settings,
               const core::shards::ShardPlannerSettings& planner)
    : impl_(std::make_unique<Impl>(loop, settings, planner)) {}

Member::~Member() = default;

bool Member::Listen(base::Failure* reason) { return impl_->Listen(reason); }

void Member::BeginShutdown() { impl_->BeginShutdown(); }

void Member::OnSettingsChanged(const platform::PlatformSettings& settings) {
  impl_->OnSettingsChanged(settings);
}

}  // namespace dotterelbarrow::member
