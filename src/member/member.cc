// The head, the owner, and the other entry hosts.
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

// Followers look at the head this often; less than a third of the silence
// after which an owner is replaced.
constexpr base::Duration kHeadPeriod = std::chrono::milliseconds(300);
constexpr base::Duration kHeadTimeout = std::chrono::milliseconds(800);
constexpr base::Duration kHeadRetry = std::chrono::milliseconds(100);
// Greetings keep a host on the list of those that may ask the advisor.
constexpr base::Duration kGreetPeriod = std::chrono::milliseconds(400);
constexpr base::Duration kGreetTimeout = std::chrono::milliseconds(900);
// A refused greeting is repeated soon: two refusals mean a dead process.
constexpr base::Duration kGreetRetry = std::chrono::milliseconds(100);
constexpr int kRefusalsOfDead = 2;
// Three greetings were missed.
constexpr base::Duration kPeerSilence = std::chrono::milliseconds(2000);

// How much longer a host waits to claim the cell for each whole processor that
// it has less than the best one: more than the time between two looks at the
// head for a host of half the best one's.
constexpr base::Duration kClaimDelayOfAShare = std::chrono::milliseconds(1200);
// What a host knows nothing of before its first greeting: a usual strong host.
constexpr double kUsualShare = 0.5;
// An owner with less than this part of the best host's processor hands over,
// which stops starts for half a second, once that has been so for a while.
constexpr double kMuchWeaker = 0.7;
constexpr base::Duration kWeakerFor = std::chrono::seconds(3);
// If the better host doesn't take the cell, it isn't offered again soon.
constexpr base::Duration kResignationGap = std::chrono::seconds(30);

// Workers have 64 connections each for all entry hosts.
constexpr std::size_t kMaxConnections = 16;
// New connections have a price; workers keep theirs open for longer.
constexpr base::Duration kIdleTimeout = std::chrono::seconds(30);
constexpr base::Duration kSilenceTimeout = std::chrono::seconds(2);
constexpr std::size_t kMaxCallBytes = std::size_t{320} * 1024;

// After a planned stop was ordered: new connections go elsewhere by now, as
// the platform looks at readiness each second and needs two misses.
constexpr base::Duration kLastConnections = std::chrono::milliseconds(2600);
// From then on calls get a quick answer, whatever it is.
constexpr base::Duration kLastPatience = std::chrono::milliseconds(500);
// Before the platform kills the process, all that was taken is answered, and
// the answers get time to leave.
constexpr base::Duration kLastAnswers = std::chrono::milliseconds(1300);
constexpr base::Duration kLastMoment = std::chrono::milliseconds(800);
constexpr base::Duration kStopCheckPeriod = std::chrono::milliseconds(100);

base::Incarnation NewIncarnation() {
  return base::Incarnation(static_cast<std::uint64_t>(UnixMillis()));
}

wire::HttpClientOptions ClientOptions() {
  return {.max_connections = kMaxConnections,
          .connect_timeout = std::chrono::milliseconds(600),
          .idle_timeout = kIdleTimeout,
          .silence_timeout = kSilenceTimeout};
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
  result.fleet.lease = std::min(result.fleet.lease, settings.max_lease);
  // One minute more than callers may ask for it.
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
      client_(*loop, ClientOptions()),
      peer_client_(*loop, ClientOptions()),
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
      desired_(*loop, &store_, telemetry_,
               [this](const auto& desired) {
                 if (term_ != nullptr) {
                   term_->SetDesired(desired);
                 }
               }),
      owner_calls_(
          *loop, &rpc_, telemetry_, [this] { return FindOwner(); },
          [this](const OwnerCall& call, const OwnerReply& reply) {
            term_->Handle(call, reply);
          }),
      job_api_(&callers_, &desired_, &store_,
               core::admission::Gate(settings.key_withdrawal), telemetry_,
               [this](const OwnerCall& call, OwnerReply reply) {
                 owner_calls_.Call(call, std::move(reply));
               }),
      head_timer_(*loop, [this] { ReadHead(); }),
      greet_timer_(*loop, [this] { Greet(); }),
      end_term_timer_(*loop, [this] { term_.reset(); }),
      stop_timer_(*loop, [this] { EndIfIdle(); }) {
  SetClaimDelay(kUsualShare);
  BindRpc();
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
  ReadHead();
  Greet();
  return true;
}

void Member::Impl::ReadHead() {
  if (leadership_.role() == core::leadership::Role::kOwner) {
    head_timer_.StartOnce(kHeadPeriod);
    return;
  }
  const platform::RowKey row = HeadRow();
  store_.Read({.table = row.table,
               .part = row.part,
               .from = row.key,
               .end = row.key + "!"},
              kHeadTimeout,
              [this, sent_at = Now()](const platform::ReadResult& result) {
                OnHead(result, Now() - sent_at);
              });
}

void Member::Impl::OnHead(const platform::ReadResult& result,
                          base::Duration latency) {
  if (result.outcome != platform::StoreOutcome::kDone) {
    head_timer_.StartOnce(kHeadRetry);
    return;
  }
  head_timer_.StartOnce(kHeadPeriod);
  if (leadership_.role() == core::leadership::Role::kOwner) {
    return;
  }
  std::optional<core::leadership::Head> head;
  base::RowVersion version;
  if (!result.rows.empty()) {
    base::Failure reason;
    head = core::leadership::DecodeHead(result.rows.front().value, &reason);
    version = result.rows.front().version;
    if (!head) {
      telemetry_.log->Write("head_unreadable", {{"detail", reason.detail}});
    }
  }
  leadership_.OnRead(head, version, latency, Now());
  if (leadership_.role() == core::leadership::Role::kOwner) {
    OnClaimed(HeadWriteEnd::kStored, result.now_ms);
    return;
  }
  ClaimIfFree();
}

void Member::Impl::ClaimIfFree() {
  if (is_stopping_ || writer_.is_busy() || term_ != nullptr) {
    return;
  }
  const auto claim = leadership_.BeginClaim(Now());
  if (!claim) {
    return;
  }
  telemetry_.log->Write(
      "claiming",
      {{"token", static_cast<std::int64_t>(claim->head.token.value())}});
  writer_.Write(*claim, {}, [this](HeadWriteEnd end, std::int64_t now_ms) {
    OnClaimed(end, now_ms);
  });
}

void Member::Impl::OnClaimed(HeadWriteEnd end, std::int64_t store_now_ms) {
  if (end == HeadWriteEnd::kReplaced) {
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
          .advise =
              [this](const core::scheduler::AskAdvice& ask,
                     const platform::WorkerClient::AdviceDone& done) {
                Advise(ask, done);
              },
          .ended = [this] { EndTerm(); }},
      SchedulerOf(settings_), store_now_ms);
  if (desired_.current() != nullptr) {
    term_->SetDesired(desired_.current());
  }
  UpdateAskers();
}

void Member::Impl::EndTerm() {
  if (leadership_.role() == core::leadership::Role::kOwner) {
    leadership_.Abandon();
  }
  writer_.Cancel();
  // The term itself is calling.
  end_term_timer_.RunSoon();
  head_timer_.StartOnce(kHeadRetry);
}

void Member::Impl::Greet() {
  const core::leadership::Head* owner = leadership_.owner();
  greet_timer_.StartOnce(kGreetPeriod);
  if (leadership_.role() == core::leadership::Role::kOwner) {
    UpdateAskers();
    OfferHandOver();
    ResignIfMuchWeaker();
    return;
  }
  if (owner == nullptr) {
    return;
  }
  Json::Value params(Json::objectValue);
  params["host"] = settings_.host.value();
  params["address"] = settings_.peers_address;
  params["share"] = settings_.cpu_share;
  rpc_.Call(owner->address, "greet", std::move(params), kGreetTimeout,
            [this, asked = *owner](const RpcResult& result) {
              OnGreeted(asked, result);
            });
}

void Member::Impl::OnGreeted(const core::leadership::Head& owner,
                             const RpcResult& result) {
  const core::leadership::Head* current = leadership_.owner();
  if (current == nullptr || current->token != owner.token) {
    return;
  }
  bool is_gone = false;
  if (result.outcome == RpcOutcome::kAnswered) {
    refused_greetings_ = 0;
    const Json::Value& best_share = result.result["best_share"];
    if (best_share.isNumeric()) {
      SetClaimDelay(best_share.asDouble());
    }
    const Json::Value& incarnation = result.result["incarnation"];
    // Another run of the host answers: the owner's process has ended.
    is_gone = incarnation.isUInt64() &&
              incarnation.asUInt64() != owner.incarnation.value();
  } else if (result.outcome == RpcOutcome::kRefused) {
    is_gone = ++refused_greetings_ >= kRefusalsOfDead;
    greet_timer_.StartOnce(kGreetRetry);
  }
  if (is_gone) {
    refused_greetings_ = 0;
    telemetry_.log->Write("owner_gone", {{"owner", owner.holder.value()}});
    leadership_.OnOwnerGone(Now());
    ReadHead();
  }
}

void Member::Impl::OfferHandOver() {
  if (!writer_.IsFailing(Now())) {
    return;
  }
  telemetry_.log->Write("hand_over_offered", {});
  for (const auto& [host, peer] : peers_) {
    Json::Value params(Json::objectValue);
    params["token"] = static_cast<Json::UInt64>(leadership_.token().value());
    rpc_.Call(peer.address, "take_over", std::move(params), kGreetTimeout,
              [](const RpcResult&) {});
  }
}

void Member::Impl::OnTakeOver(const Json::Value& params,
                              const RpcServer::Reply& reply) {
  const core::leadership::Head* owner = leadership_.owner();
  const Json::Value& token = params["token"];
  if (owner != nullptr && token.isUInt64() &&
      token.asUInt64() == owner->token.value() && term_ == nullptr) {
    // The claim follows only if this host reaches the store.
    leadership_.OnOwnerGone(Now());
    ReadHead();
  }
  reply(Json::Value(Json::objectValue));
}

void Member::Impl::OnGreeting(const Json::Value& params,
                              const RpcServer::Reply& reply) {
  const Json::Value& host = params["host"];
  const Json::Value& address = params["address"];
  if (host.isString() && address.isString()) {
    const base::EntryId entry(host.asString());
    const Json::Value& share = params["share"];
    peers_[entry] = {address.asString(), Now(),
                     share.isNumeric() ? share.asDouble() : 0};
    const core::leadership::Head* former = leadership_.former_owner();
    // Who greets the owner follows it.
    if (term_ != nullptr && former != nullptr && former->holder == entry) {
      term_->NoteFormerOwnerGone();
    }
  }
  Json::Value result(Json::objectValue);
  result["incarnation"] = static_cast<Json::UInt64>(incarnation_.value());
  result["best_share"] = BestShare();
  reply(std::move(result));
}

double Member::Impl::BestShare() const {
  double best = settings_.cpu_share;
  for (const auto& [host, peer] : peers_) {
    if (Now() - peer.greeted_at < kPeerSilence) {
      best = std::max(best, peer.cpu_share);
    }
  }
  return best;
}

void Member::Impl::SetClaimDelay(double best_share) {
  const double behind = std::max(0.0, best_share - settings_.cpu_share);
  leadership_.set_claim_delay(
      base::Duration(std::llround(behind * kClaimDelayOfAShare.count())));
}

void Member::Impl::ResignIfMuchWeaker() {
  const bool is_weaker = term_ != nullptr && term_->is_ready() &&
                         settings_.cpu_share < kMuchWeaker * BestShare();
  if (!is_weaker) {
    weaker_since_.reset();
    return;
  }
  if (!weaker_since_) {
    weaker_since_ = Now();
  }
  if (Now() - *weaker_since_ >= kWeakerFor && Now() >= next_resignation_) {
    weaker_since_.reset();
    next_resignation_ = Now() + kResignationGap;
    SetClaimDelay(BestShare());
    telemetry_.log->Write("resigning_as_weaker", {});
    term_->Resign();
  }
}

void Member::Impl::UpdateAskers() {
  if (term_ == nullptr) {
    return;
  }
  std::vector<base::EntryId> askers = {settings_.host};
  for (const auto& [host, peer] : peers_) {
    if (Now() - peer.greeted_at < kPeerSilence && host != settings_.host) {
      askers.push_back(host);
    }
  }
  term_->SetAskers(askers);
}

std::optional<OwnerRoute> Member::Impl::FindOwner() const {
  if (term_ != nullptr) {
    return OwnerRoute{leadership_.token(), "", term_->is_ready()};
  }
  const core::leadership::Head* owner = leadership_.owner();
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

void Member::Impl::EndIfIdle() {
  const base::Duration since = Now() - stop_begun_;
  stop_timer_.StartOnce(kStopCheckPeriod);
  if (since < kLastConnections) {
    return;
  }
  callers_.StopAccepting();
  owner_calls_.set_patience(kLastPatience);
  const base::Duration left = settings_.shutdown_grace - since;
  if (left <= kLastAnswers) {
    owner_calls_.EndAll();
  }
  const bool is_idle = callers_.open_exchanges() == 0 &&
                       callers_.unsent_replies() == 0 && term_ == nullptr;
  const bool is_late = left <= kLastMoment;
  // Clients go on to use open connections; they learn with each answer that
  // theirs closes.
  const bool had_time = since >= kLastConnections + std::chrono::seconds(1);
  if (is_late || (is_idle && had_time)) {
    telemetry_.log->Write(
        "stopped",
        {{"open_calls", static_cast<std::int64_t>(callers_.open_exchanges())}});
    log_.Flush();
    loop_->Stop();
  }
}

void Member::Impl::OnSettingsChanged(
    const platform::PlatformSettings& settings) {
  const bool moved = settings.callers_address != settings_.callers_address ||
                     settings.peers_address != settings_.peers_address ||
                     settings.store_address != settings_.store_address;
  settings_.shutdown_grace = settings.shutdown_grace;
  settings_.advisor_address = settings.advisor_address;
  telemetry_.log->Write("settings_reloaded",
                        {{"needs_restart", moved ? "yes" : "no"}});
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
