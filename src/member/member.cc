// Follows the cell's owner, claims the cell, and starts and stops the member.
#include "dotterelbarrow/member/member.h"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "src/member/clock.h"
#include "src/member/member_impl.h"
#include "src/member/store_layout.h"

namespace dotterelbarrow::member {
namespace {

// How often followers poll the ownership record while they know of no owner.
constexpr base::Duration kOwnerPollPeriod = std::chrono::milliseconds(300);
// While the owner answers heartbeats, polling the ownership record only shows
// whether a store that refuses some hosts serves this one.
constexpr base::Duration kResponsiveOwnerPollPeriod =
    std::chrono::milliseconds(900);
constexpr base::Duration kOwnerPollTimeout = std::chrono::milliseconds(800);
constexpr base::Duration kOwnerPollRetryDelay = std::chrono::milliseconds(100);
// While the owner answers no heartbeats, a host polls more often, so that the
// owner's replacement isn't delayed.
constexpr base::Duration kUnresponsiveOwnerPollPeriod =
    std::chrono::milliseconds(100);

// Information that must arrive within some time is polled this many times in
// it, so that one answer may be lost and another be slow.
constexpr int kPollsPerDeadline = 4;

// Assumed processor share of the best host until the first heartbeat is
// answered: that of a typical strong host.
constexpr double kInitialBestCpuShare = 0.5;

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

core::leadership::LeadershipSettings LeadershipOf(
    const platform::PlatformSettings& settings, base::Incarnation incarnation) {
  core::leadership::LeadershipSettings result;
  result.self = settings.host;
  result.incarnation = incarnation;
  result.address = settings.peers_address;
  return result;
}

core::scheduler::SchedulerSettings SchedulerOf(
    const platform::PlatformSettings& settings) {
  core::scheduler::SchedulerSettings result;
  result.fleet.lease_duration =
      std::min(result.fleet.lease_duration, settings.max_lease);
  // The platform removes a worker from its list after three missed heartbeats.
  result.fleet.listing_timeout = settings.heartbeat * 3;
  // Tasks of a gang time out by themselves after `gang_timeout`. Stopping them
  // before is safer and quicker.
  result.gang_start_timeout = settings.gang_timeout * 2 / 3;
  result.dispatcher.preemption = {.stop_timeout = settings.stop_timeout,
                                  .restore_time = settings.restore_time};
  result.dispatcher.remote_factor = settings.remote_factor;
  // One minute longer than callers may query a completed job.
  result.jobs.retention = settings.job_retention + std::chrono::minutes(1);
  return result;
}

}  // namespace

Member::Impl::Impl(wire::EventLoop* loop,
                   const platform::PlatformSettings& settings)
    : loop_(loop),
      settings_(settings),
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
      leadership_(LeadershipOf(settings, incarnation_)),
      writer_(*loop, &store_, &leadership_, telemetry_),
      desired_(
          *loop, &store_, telemetry_,
          std::min(settings.desired_apply_limit, settings.evacuation_limit) /
              kPollsPerDeadline,
          [this](const auto& desired) {
            if (term_ != nullptr) {
              term_->SetDesired(desired);
            }
          },
          [this](const auto& zones) {
            if (term_ != nullptr) {
              term_->SetEvacuatedZones(zones);
            }
          }),
      desired_fetcher_(&rpc_, &counters_,
                       [this](const std::string& text, base::TimePoint sent_at,
                              base::Duration age) {
                         desired_.OnPeerText(text, sent_at, age);
                       }),
      desired_texts_(settings.link),
      owner_calls_(
          *loop, &rpc_, telemetry_, [this] { return FindOwner(); },
          [this](const OwnerCall& call, const OwnerReply& reply) {
            term_->Handle(call, reply);
          },
          [this] {
            return FindReach() == core::admission::Reachability::kIsolated;
          },
          [this](const std::string& record) { OnOwnerHint(record); }),
      job_api_(
          &callers_, &desired_,
          core::admission::Gate(settings.key_revocation_limit), telemetry_,
          [this] { return FindReach(); },
          [this](const OwnerCall& call, OwnerReply reply) {
            owner_calls_.Call(call, std::move(reply));
          }),
      owner_poll_timer_(*loop, [this] { PollOwner(); }),
      heartbeat_timer_(*loop, [this] { SendHeartbeat(); }),
      end_term_timer_(*loop,
                      [this] {
                        term_.reset();
                        desired_.set_always_asks(false);
                      }),
      stop_timer_(*loop, [this] { StopIfDrained(); }) {
  SetClaimDelay(kInitialBestCpuShare);
  BindRpc();
  BindAdvice();
  BindPages();
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
  PollOwner();
  SendHeartbeat();
  return true;
}

void Member::Impl::PollOwner() {
  if (leadership_.role() == core::leadership::Role::kOwner) {
    owner_poll_timer_.StartOnce(kOwnerPollPeriod);
    return;
  }
  if (is_polling_owner_) {
    return;
  }
  is_polling_owner_ = true;
  store_.Read(platform::SingleRowRange(OwnershipRow()), kOwnerPollTimeout,
              [this, sent_at = Now()](const platform::ReadResult& result) {
                is_polling_owner_ = false;
                OnOwnershipRecord(result, sent_at);
              });
}

base::Duration Member::Impl::OwnerPollPeriod() const {
  if (IsOwnerUnresponsive()) {
    return kUnresponsiveOwnerPollPeriod;
  }
  return IsOwnerResponsive() ? kResponsiveOwnerPollPeriod : kOwnerPollPeriod;
}

void Member::Impl::OnOwnershipRecord(const platform::ReadResult& result,
                                     base::TimePoint sent_at) {
  if (result.outcome != platform::StoreOutcome::kDone) {
    owner_poll_timer_.StartOnce(kOwnerPollRetryDelay);
    return;
  }
  last_answered_poll_at_ = sent_at;
  owner_poll_timer_.StartOnce(OwnerPollPeriod());
  if (leadership_.role() == core::leadership::Role::kOwner) {
    return;
  }
  std::optional<core::leadership::OwnershipRecord> record;
  base::RowVersion version;
  if (!result.rows.empty()) {
    base::Failure reason;
    record = core::leadership::DecodeOwnershipRecord(result.rows.front().value,
                                                     &reason);
    version = result.rows.front().version;
    if (!record) {
      telemetry_.log->Write("head_unreadable", {{"detail", reason.detail}});
    }
  }
  leadership_.OnRead(record, version, Now() - sent_at, Now());
  leadership_.set_owner_unresponsive(IsOwnerUnresponsive());
  ClaimIfFree();
  const core::leadership::OwnershipRecord* owner = leadership_.owner();
  if (owner != nullptr && owner->token != last_heartbeat_token_) {
    SendHeartbeat();
  }
}

void Member::Impl::ClaimIfFree() {
  // An owner needs the desired state for its first decision.
  if (is_stopping_ || writer_.is_busy() || term_ != nullptr ||
      desired_.current() == nullptr) {
    return;
  }
  const auto claim = leadership_.BeginClaim(Now());
  if (!claim) {
    return;
  }
  telemetry_.log->Write(
      "claiming",
      {{"token", static_cast<std::int64_t>(claim->record.token.value())}});
  writer_.Write(*claim, {},
                [this](OwnershipWriteOutcome end, std::int64_t now_ms) {
                  OnClaimed(end, now_ms);
                });
}

void Member::Impl::OnClaimed(OwnershipWriteOutcome end,
                             std::int64_t store_now_ms) {
  if (end == OwnershipWriteOutcome::kReplaced) {
    counters_.Increment("claims", "lost");
    return;
  }
  counters_.Increment("claims", "won");
  term_ = std::make_unique<OwnerTerm>(
      OwnerTerm::Parts{
          .loop = loop_,
          .store = &store_,
          .workers = &workers_,
          .writer = &writer_,
          .leadership = &leadership_,
          .telemetry = telemetry_,
          .listings_period = settings_.worker_drain_limit / kPollsPerDeadline,
          .advise =
              [this](const core::scheduler::RequestAdvice& request,
                     const platform::WorkerClient::AdviceDone& done) {
                Advise(request, done);
              },
          .read_evacuations =
              [this](
                  const std::function<void(const DesiredWatch::Zones&)>& done) {
                desired_.ReadEvacuations(done);
              },
          .ended = [this] { EndTerm(); },
          .on_store_failing = [this] { OfferCellOnStoreFailure(); }},
      SchedulerOf(settings_), store_now_ms);
  term_->SetDesired(desired_.current());
  desired_.set_always_asks(true);
  UpdateAdviceClients();
  AnnounceOwnership();
}

void Member::Impl::EndTerm() {
  if (leadership_.role() == core::leadership::Role::kOwner) {
    leadership_.StepDown();
  } else if (leadership_.has_resigned()) {
    OfferCell(leadership_.token());
  }
  writer_.Cancel();
  // Not destroyed here, because the term is calling this function.
  end_term_timer_.RunSoon();
  owner_poll_timer_.StartOnce(kOwnerPollRetryDelay);
}

std::optional<OwnerRoute> Member::Impl::FindOwner() const {
  if (term_ != nullptr) {
    return OwnerRoute{leadership_.token(), "", term_->is_ready()};
  }
  const core::leadership::OwnershipRecord* owner = leadership_.owner();
  if (owner == nullptr || owner->holder == settings_.host) {
    return std::nullopt;
  }
  return OwnerRoute{owner->token, owner->address, true};
}

void Member::Impl::BeginShutdown() {
  if (is_stopping_) {
    return;
  }
  is_stopping_ = true;
  stop_begun_ = Now();
  telemetry_.log->Write("stopping", {{"host", settings_.host.value()}});
  if (term_ != nullptr) {
    term_->Resign();
  }
  stop_timer_.StartOnce(kStopCheckPeriod);
}

void Member::Impl::StopIfDrained() {
  const base::Duration since = Now() - stop_begun_;
  stop_timer_.StartOnce(kStopCheckPeriod);
  if (since < kStopAcceptingAfter) {
    return;
  }
  callers_.StopAccepting();
  owner_calls_.set_call_timeout(kShutdownCallTimeout);
  const base::Duration left = settings_.shutdown_grace - since;
  if (left <= kTimeLeftToEndCalls) {
    owner_calls_.FinishAll();
  }
  const bool is_idle = callers_.open_exchanges() == 0 &&
                       callers_.unsent_replies() == 0 && term_ == nullptr;
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
               const platform::PlatformSettings& settings)
    : impl_(std::make_unique<Impl>(loop, settings)) {}

Member::~Member() = default;

bool Member::Listen(base::Failure* reason) { return impl_->Listen(reason); }

void Member::BeginShutdown() { impl_->BeginShutdown(); }

void Member::OnSettingsChanged(const platform::PlatformSettings& settings) {
  impl_->OnSettingsChanged(settings);
}

}  // namespace dotterelbarrow::member
