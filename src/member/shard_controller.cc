// Follows the owner of a shard, claims the shard, and runs its term.
#include "src/member/shard_controller.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

#include "src/member/clock.h"
#include "src/member/store_layout.h"

namespace dotterelbarrow::member {
namespace {

// How often followers poll the ownership record while they know of no owner.
constexpr base::Duration kOwnerPollPeriod = std::chrono::milliseconds(300);
// While the owner answers heartbeats, polling the ownership record only shows
// whether a store that refuses some hosts serves this one. Hosts that send no
// heartbeats to an owner poll its record as often.
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
// Additional delay before a host claims a shard, for each processor that it has
// less than the best host. A host with half the best host's share waits for
// longer than the time between two polls of the ownership record.
constexpr base::Duration kClaimDelayPerProcessor =
    std::chrono::milliseconds(1200);
// The same in a cell of several shards. A host that owns another shard, and so
// has half of its share left, leaves hosts time that own none.
constexpr base::Duration kClaimDelayPerProcessorOfShards =
    std::chrono::milliseconds(2400);
// Additional delay of a host whose home is another shard: most of a poll
// period.
constexpr base::Duration kForeignClaimDelay = std::chrono::milliseconds(250);

// The live jobs of a shard may take this part of its owner's memory.
constexpr std::size_t kJobMemoryDivisor = 4;

constexpr base::Duration kAdviseTimeout = std::chrono::milliseconds(3000);

core::scheduler::SchedulerSettings SchedulerOf(
    const platform::PlatformSettings& settings,
    const core::shards::ShardPlan& plan) {
  core::scheduler::SchedulerSettings result;
  result.refuses_wide_gangs = plan.count() > 1;
  if (settings.memory > base::Bytes(0)) {
    result.max_job_bytes =
        static_cast<std::size_t>(settings.memory.value()) / kJobMemoryDivisor;
  }
  result.fleet.lease_duration =
      std::min(result.fleet.lease_duration, settings.max_lease);
  result.fleet.max_lease_duration = settings.max_lease;
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

ShardController::ShardController(
    const ShardHost* host, core::shards::ShardNumber shard,
    std::shared_ptr<const core::shards::ShardPlan> plan)
    : host_(host),
      shard_(shard),
      plan_(std::move(plan)),
      leadership_(LeadershipOf()),
      writer_(*host->loop, host->store, shard, &leadership_, host->telemetry),
      calls_(
          *host->loop, host->rpc, host->telemetry,
          [this] { return FindOwner(); },
          [this](const OwnerCall& call, const OwnerReply& reply) {
            term_->Handle(call, reply);
          },
          host->is_isolated,
          [this](const std::string& record) { OnOwnerHint(record); },
          [this](Json::Value* params) { AddShard(params); }),
      best_cpu_share_(kInitialBestCpuShare),
      owner_poll_timer_(*host->loop, [this] { PollOwner(); }),
      heartbeat_timer_(*host->loop, [this] { SendHeartbeat(); }),
      end_term_timer_(*host->loop, [this] {
        term_.reset();
        host_->on_terms_changed();
      }) {}

core::leadership::LeadershipSettings ShardController::LeadershipOf() const {
  core::leadership::LeadershipSettings result;
  result.self = host_->settings->host;
  result.incarnation = host_->incarnation;
  result.address = host_->settings->peers_address;
  result.last_token = plan_->last_token();
  return result;
}

void ShardController::Start() {
  PollOwner();
  SendHeartbeat();
}

void ShardController::SetPlan(
    std::shared_ptr<const core::shards::ShardPlan> plan) {
  plan_ = std::move(plan);
}

void ShardController::BeginShutdown() {
  is_stopping_ = true;
  if (term_ != nullptr) {
    term_->Resign();
  }
}

bool ShardController::is_home() const {
  return plan_->HomeShardOf(host_->settings->host) == shard_;
}

bool ShardController::owns_or_claims() const {
  return term_ != nullptr ||
         leadership_.role() != core::leadership::Role::kFollower;
}

void ShardController::PollOwner() {
  if (leadership_.role() == core::leadership::Role::kOwner) {
    owner_poll_timer_.StartOnce(kOwnerPollPeriod);
    return;
  }
  if (is_polling_owner_) {
    return;
  }
  is_polling_owner_ = true;
  const bool may_have_plan = plan_->count() == 1;
  host_->store->Read(
      may_have_plan ? OwnershipAndPlanRows()
                    : platform::SingleRowRange(OwnershipRow(shard_)),
      kOwnerPollTimeout,
      [this, sent_at = Now()](const platform::ReadResult& result) {
        is_polling_owner_ = false;
        OnOwnershipRecord(result, sent_at);
      });
}

base::Duration ShardController::OwnerPollPeriod() const {
  if (IsOwnerUnresponsive()) {
    return kUnresponsiveOwnerPollPeriod;
  }
  const bool is_followed_by_polls =
      !SendsHeartbeats() && leadership_.owner() != nullptr;
  return IsOwnerResponsive() || is_followed_by_polls
             ? kResponsiveOwnerPollPeriod
             : kOwnerPollPeriod;
}

bool ShardController::ReadPlan(const std::vector<platform::Row>& rows) {
  const auto row = std::find_if(
      rows.begin(), rows.end(),
      [](const platform::Row& read) { return read.key.key == kPlanKey; });
  if (row == rows.end()) {
    return true;
  }
  base::Failure reason;
  const auto plan = core::shards::DecodeShardPlan(row->value, &reason);
  if (!plan) {
    host_->telemetry.log->Write("plan_unreadable", {{"detail", reason.detail}});
    return false;
  }
  host_->on_plan(*plan);
  return true;
}

void ShardController::OnOwnershipRecord(const platform::ReadResult& result,
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
  // A host that doesn't know the plan would take shard 0 for the whole cell.
  if (!ReadPlan(result.rows)) {
    return;
  }
  std::optional<core::leadership::OwnershipRecord> record;
  base::RowVersion version;
  for (const platform::Row& row : result.rows) {
    if (row.key.key != kOwnershipKey) {
      continue;
    }
    base::Failure reason;
    record = core::leadership::DecodeOwnershipRecord(row.value, &reason);
    version = row.version;
    if (!record) {
      host_->telemetry.log->Write("head_unreadable",
                                  {{"detail", reason.detail}});
    }
  }
  if (result.now_ms > 0) {
    leadership_.OnStoreClock(result.now_ms, sent_at);
  }
  leadership_.OnRead(record, version, Now() - sent_at, Now());
  leadership_.set_owner_unresponsive(IsOwnerUnresponsive());
  ClaimIfFree();
  const core::leadership::OwnershipRecord* owner = leadership_.owner();
  if (owner != nullptr && owner->token != last_heartbeat_token_) {
    SendHeartbeat();
  }
}

double ShardController::AvailableCpuShare() const {
  return host_->settings->cpu_share /
         (1.0 + static_cast<double>(host_->owned_shards(shard_)));
}

base::Duration ShardController::ClaimDelay() const {
  const bool is_divided = plan_->count() > 1;
  const double deficit = std::max(0.0, best_cpu_share_ - AvailableCpuShare());
  const auto per_processor = static_cast<double>(
      (is_divided ? kClaimDelayPerProcessorOfShards : kClaimDelayPerProcessor)
          .count());
  return base::Duration(std::llround(deficit * per_processor)) +
         (is_home() ? base::Duration(0) : kForeignClaimDelay);
}

void ShardController::ClaimIfFree() {
  // An owner needs the desired state for its first decision.
  if (is_stopping_ || writer_.is_busy() || term_ != nullptr ||
      host_->desired->current() == nullptr) {
    return;
  }
  leadership_.set_claim_delay(ClaimDelay());
  const auto claim = leadership_.BeginClaim(Now());
  if (!claim) {
    return;
  }
  host_->telemetry.log->Write(
      "claiming",
      {{"token", static_cast<std::int64_t>(claim->record.token.value())},
       {"shard", static_cast<std::int64_t>(shard_.value())}});
  writer_.Write(*claim, {},
                [this](OwnershipWriteOutcome end, std::int64_t now_ms) {
                  OnClaimed(end, now_ms);
                });
}

void ShardController::OnClaimed(OwnershipWriteOutcome end,
                                std::int64_t store_now_ms) {
  core::Counters* counters = host_->telemetry.counters;
  if (end == OwnershipWriteOutcome::kReplaced) {
    counters->Increment("claims", "lost");
    return;
  }
  counters->Increment("claims", "won");
  term_ = std::make_unique<OwnerTerm>(
      OwnerTerm::Parts{
          .loop = host_->loop,
          .store = host_->store,
          .workers = host_->workers,
          .writer = &writer_,
          .leadership = &leadership_,
          .telemetry = host_->telemetry,
          .shard = shard_,
          .plan = plan_,
          .planner = host_->planner,
          .can_divide_cell = [this] { return CanDivideCell(); },
          .listings_period =
              host_->settings->worker_drain_limit / kPollsPerDeadline,
          .advise =
              [this](const core::scheduler::RequestAdvice& request,
                     const platform::WorkerClient::AdviceDone& done) {
                Advise(request, done);
              },
          .read_evacuations =
              [this](
                  const std::function<void(const DesiredWatch::Zones&)>& done) {
                host_->desired->ReadEvacuations(done);
              },
          .ended = [this] { EndTerm(); },
          .on_store_failing = [this] { OfferShardOnStoreFailure(); }},
      SchedulerOf(*host_->settings, *plan_), store_now_ms);
  term_->SetDesired(host_->desired->current());
  host_->on_terms_changed();
  UpdateAdviceClients();
  AnnounceOwnership();
}

void ShardController::EndTerm() {
  if (leadership_.role() == core::leadership::Role::kOwner) {
    leadership_.StepDown();
  } else if (leadership_.has_resigned()) {
    // The resignation was answered, so no term of this token goes on.
    OfferShard(leadership_.token(), true);
  }
  writer_.Cancel();
  // Not destroyed here, because the term is calling this function.
  end_term_timer_.RunSoon();
  owner_poll_timer_.StartOnce(kOwnerPollRetryDelay);
}

std::optional<OwnerRoute> ShardController::FindOwner() const {
  if (term_ != nullptr) {
    const bool is_current = term_->plan().count() == plan_->count();
    return OwnerRoute{leadership_.token(), "", term_->is_ready() && is_current};
  }
  const core::leadership::OwnershipRecord* owner = leadership_.owner();
  if (owner == nullptr || owner->holder == host_->settings->host) {
    return std::nullopt;
  }
  return OwnerRoute{owner->token, owner->address, true};
}

void ShardController::HandleOwnerCall(const OwnerCall& call,
                                      const Json::Value& params,
                                      const RpcServer::Reply& reply) {
  const auto send_answer = [this, reply](const OwnerAnswer& answer) {
    Json::Value result = ToJson(answer);
    if (std::holds_alternative<NoOwner>(answer)) {
      AddOwnerHint(&result);
    }
    reply(std::move(result));
  };
  // A caller that doesn't know the plan yet may mean another owner's job.
  const Json::Value& shards = params[kShardCountField];
  if (term_ == nullptr ||
      term_->plan().count() != (shards.isUInt64() ? shards.asUInt64() : 1) ||
      !IsOwnCall(call, params)) {
    send_answer(NoOwner{});
  } else {
    term_->Handle(call, send_answer);
  }
}

bool ShardController::IsOwnCall(const OwnerCall& call,
                                const Json::Value& params) const {
  const auto* submit = std::get_if<SubmitCall>(&call);
  if (submit != nullptr && !IsForOwner(params, leadership_.token())) {
    host_->telemetry.counters->Increment("owner_calls", "other_term");
    host_->telemetry.log->Write(
        "submission_for_other_term",
        {{"job", core::jobs::ToString(submit->submission.key)},
         {"shard", static_cast<std::int64_t>(shard_.value())},
         {"named", params[kOwnerTokenField].asInt64()},
         {"token", static_cast<std::int64_t>(leadership_.token().value())}});
    return false;
  }
  if (submit == nullptr ||
      term_->plan().ShardOf(submit->submission.organisation,
                            submit->submission.key) == shard_) {
    return true;
  }
  host_->telemetry.counters->Increment("owner_calls", "other_shard");
  return false;
}

void ShardController::Advise(const core::scheduler::RequestAdvice& request,
                             const platform::WorkerClient::AdviceDone& done) {
  if (request.client == host_->settings->host) {
    host_->workers->Advise(host_->settings->advisor_address, request.step,
                           request.workers, done);
    return;
  }
  const LivePeers::Peer* peer = peers_.Find(request.client);
  if (peer == nullptr) {
    done(core::scheduler::AdviceResult{});
    return;
  }
  host_->peer_client->Call(
      platform::AdviceCall(peer->address, request.step, request.workers,
                           kAdviseTimeout),
      [done](const wire::HttpResult& answer) {
        done(platform::DecodeAdvice(answer));
      });
}

void ShardController::AddShard(Json::Value* params) const {
  if (plan_->count() > 1) {
    (*params)[kShardField] = static_cast<Json::UInt64>(shard_.value());
    (*params)[kShardCountField] = plan_->count();
  }
}

}  // namespace dotterelbarrow::member
