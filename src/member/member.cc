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
      callers_(*loop, {.max_body_bytes = kMaxCallBytes,
                       .receive_timeout = std::chrono::seconds(3)}),
      readiness_(*loop, wire::HttpServerOptions()),
      peers_server_(*loop, wire::HttpServerOptions()),
      metrics_server_(*loop, wire::HttpServerOptions()),
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
