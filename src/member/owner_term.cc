// Runs the scheduler during one term.
#include "src/member/owner_term.h"

#include <algorithm>
#include <utility>

#include "dotterelbarrow/base/overloaded.h"
#include "dotterelbarrow/core/leadership/lease_gate.h"
#include "src/member/clock.h"
#include "src/member/store_layout.h"

namespace dotterelbarrow::member {
namespace {

// How often lease renewals, stops and expiries are checked.
constexpr base::Duration kTickPeriod = std::chrono::milliseconds(20);
// A usual lag of passes this long means that work waits for the processor. It
// is a tenth of the slack of work that is due within a second.
constexpr base::Duration kSaturatedLag = std::chrono::milliseconds(40);
// The usual lag is a moving average in which the last one has a weight of one
// in this many.
constexpr int kLagWindow = 16;
// Minimum time between the starts of two writes. Changes are batched because
// each transaction has a cost.
constexpr base::Duration kMinWriteInterval = std::chrono::milliseconds(20);
// Upper bound of the time between two readings of the list of workers. Two of
// them must fit into the time after which the fleet assumes that a reading
// failed.
constexpr base::Duration kMaxListingsPeriod = std::chrono::milliseconds(400);
}  // namespace

OwnerTerm::OwnerTerm(Parts parts,
                     const core::scheduler::SchedulerSettings& settings,
                     std::int64_t store_now_ms)
    : parts_(std::move(parts)),
      scheduler_(settings, parts_.telemetry),
      token_(parts_.leadership->token()),
      store_clock_offset_ms_(store_now_ms),
      listings_(
          *parts_.loop, parts_.store, parts_.telemetry.counters,
          std::min(parts_.listings_period, kMaxListingsPeriod),
          [this](std::vector<core::workers::Listing> listings,
                 std::vector<base::BackendId> unreadable,
                 base::TimePoint requested_at) {
            if (!is_over_) {
              scheduler_.UpdateListings(std::move(listings), requested_at,
                                        Now(), std::move(unreadable));
              SchedulePass();
            }
          },
          [this](core::scheduler::ListingChanges changes,
                 base::TimePoint requested_at) {
            if (!is_over_) {
              const base::TimePoint begun = Now();
              scheduler_.ApplyListingChanges(std::move(changes), requested_at,
                                             begun);
              times_.RecordInput(OwnerInput::kListings, Now() - begun);
              SchedulePass();
            }
          }),
      pass_timer_(*parts_.loop, [this] { Pass(); }),
      times_(parts_.telemetry.log, parts_.shard),
      tick_timer_(*parts_.loop, kTickPeriod, [this] { Tick(); }) {
  store_clock_offset_ms_ -=
      Now().time_since_epoch() / std::chrono::milliseconds(1);
  scheduler_.BeginTerm(token_, Now());
  if (parts_.plan->count() > 1) {
    scheduler_.SetWorkerFilter([plan = parts_.plan, shard = parts_.shard](
                                   const core::workers::Listing& listing) {
      return plan->ShardOf(listing) == shard;
    });
  }
  last_tick_ = Now();
  parts_.telemetry.log->Write(
      "term_begun",
      {{"token", static_cast<std::int64_t>(token_.value())},
       {"shard", static_cast<std::int64_t>(parts_.shard.value())},
       {"shards", static_cast<std::int64_t>(parts_.plan->count())}});
  LoadAll();
}

OwnerTerm::~OwnerTerm() {
  alive_.reset();
  for (const auto& [id, reply] : std::exchange(waiters_, {})) {
    reply(OutcomeUnknown{});
  }
}

void OwnerTerm::SetDesired(
    std::shared_ptr<const core::desired::DesiredState> desired) {
  const auto has_all_services_of =
      [](const core::desired::DesiredState& one,
         const core::desired::DesiredState& other) {
        return std::all_of(other.services().begin(), other.services().end(),
                           [&one](const core::desired::Service& service) {
                             return one.FindService(service.id) != nullptr;
                           });
      };
  const core::desired::DesiredState& current = scheduler_.desired();
  const bool has_same_services = has_all_services_of(current, *desired) &&
                                 has_all_services_of(*desired, current);
  scheduler_.SetDesired(std::move(desired));
  if (is_loaded_ && !has_same_services) {
    // The scheduler ignored the entries of services that it didn't know.
    listings_.Read();
  }
  SchedulePass();
}

void OwnerTerm::SetAdviceClients(const std::vector<base::EntryId>& entries,
                                 std::size_t entry_host_count) {
  scheduler_.SetAdviceClients(entries, entry_host_count);
}

std::int64_t OwnerTerm::StoreNowMillis() const {
  return store_clock_offset_ms_ +
         Now().time_since_epoch() / std::chrono::milliseconds(1);
}

bool OwnerTerm::IsStoreUnavailable() const {
  const auto signs = parts_.writer->Signs(Now());
  return signs &&
         core::leadership::StoreTimeoutPolicy::ShouldRefuseNewWork(*signs);
}

void OwnerTerm::OnPreviousOwnerStopped() {
  if (is_previous_owner_stopped_) {
    return;
  }
  is_previous_owner_stopped_ = true;
  parts_.telemetry.log->Write("former_owner_gone", {});
  scheduler_.OnPreviousOwnerStopped(Now());
}

void OwnerTerm::Resign() {
  is_resigning_ = true;
  LogIfDue();
}

void OwnerTerm::Tick() {
  if (is_over_) {
    return;
  }
  const base::TimePoint begun = Now();
  saturation_gate_.Update(
      begun - last_tick_ - kTickPeriod,
      {scheduler_.TakeJobsBegun(), scheduler_.jobs_in_preparation()}, begun);
  last_tick_ = begun;
  scheduler_.set_poll_stretch(saturation_gate_.stretch());
  if (is_loaded_ && parts_.leadership->HoldsOwnershipLease(Now())) {
    scheduler_.Tick(Now(), parts_.leadership->confirmed_at(), UnixMillis());
    Execute();
    if (scheduler_.IsPassDue(Now())) {
      SchedulePass();
    }
    times_.RecordInput(OwnerInput::kTick, Now() - begun);
    DivideCellIfIdle(begun);
    if (times_.IsDue(begun)) {
      times_.Log(saturation_gate_, scheduler_.TakePassEffort(), begun);
    }
  }
  if (is_loaded_ && IsStoreUnavailable()) {
    RefuseUnwrittenJobs();
  }
  const auto signs = parts_.writer->Signs(Now());
  if (signs &&
      core::leadership::StoreTimeoutPolicy::ShouldOfferHandOver(*signs)) {
    parts_.on_store_failing();
  }
  LogIfDue();
}

void OwnerTerm::SchedulePassIn(base::Duration delay) {
  if (const auto wait = pass_pacer_.Request(Now(), delay)) {
    pass_timer_.StartOnce(*wait);
  }
}

void OwnerTerm::UpdateUsualLag(base::Duration lag) {
  usual_lag_ += (lag - usual_lag_) / kLagWindow;
  scheduler_.set_saturated(usual_lag_ >= kSaturatedLag);
}

void OwnerTerm::Pass() {
  pass_pacer_.OnBegun();
  if (is_over_ || !is_loaded_) {
    return;
  }
  const base::TimePoint begun = Now();
  const base::Duration lag = begun - pass_pacer_.due_at();
  const base::Duration paused = pass_pacer_.paused();
  UpdateUsualLag(lag);
  base::TimePoint placed = begun;
  if (!is_resigning_ && parts_.leadership->HoldsOwnershipLease(begun)) {
    scheduler_.RunPass(begun);
    placed = Now();
    pass_pacer_.OnEnded(begun, placed);
  }
  Execute();
  LogIfDue();
  times_.RecordPass({.paused = paused,
                     .lag = lag,
                     .placing = placed - begun,
                     .sending = Now() - placed});
}

void OwnerTerm::Execute() {
  for (core::scheduler::Action& action : scheduler_.TakeActions()) {
    if (core::leadership::AdmitAction(
            parts_.leadership->HoldsOwnershipLease(Now()), &action,
            parts_.telemetry.counters)) {
      Execute(action);
    } else if (const auto* start =
                   std::get_if<core::scheduler::StartTask>(&action)) {
      scheduler_.OnStarted(*start, core::scheduler::CommandOutcome::kNotSent, 0,
                           Now());
    }
  }
  if (scheduler_.is_fenced()) {
    EndTerm("fenced_by_worker");
  }
}

void OwnerTerm::Execute(const core::scheduler::Action& action) {
  using platform::CommandResponse;
  std::visit(
      base::Overloaded{
          [this](const core::scheduler::StartTask& command) {
            parts_.workers->Start(
                command, TokenFor(command.worker, token_),
                Guarded(OwnerInput::kStarted, [this, command](
                                                  const CommandResponse& a) {
                  scheduler_.OnStarted(command, a.outcome, a.clock_ms, Now());
                  SchedulePass();
                }));
          },
          [this](const core::scheduler::StopTask& command) {
            parts_.workers->Stop(
                command, TokenFor(command.worker, token_),
                Guarded(OwnerInput::kStopped, [this, command](
                                                  const CommandResponse& a) {
                  scheduler_.OnStopped(command, a.outcome, a.clock_ms, Now());
                  SchedulePass();
                }));
          },
          [this](const core::scheduler::PollWorker& poll) {
            parts_.workers->Poll(
                poll, TokenFor(poll.worker, token_),
                Guarded(OwnerInput::kPolled,
                        [this, poll](const core::scheduler::PollResult& r) {
                          scheduler_.OnPolled(poll, r, Now());
                          SchedulePass();
                        }));
          },
          [this](const core::scheduler::RequestAdvice& request) {
            parts_.advise(request,
                          Guarded(OwnerInput::kAdvice,
                                  [this, request](
                                      const core::scheduler::AdviceResult& r) {
                                    scheduler_.OnAdvice(request, r, Now());
                                    SchedulePass();
                                  }));
          }},
      action);
}

void OwnerTerm::LogIfDue() {
  if (is_over_ || parts_.writer->is_busy()) {
    return;
  }
  const base::TimePoint now = Now();
  const bool has_changes = is_loaded_ && scheduler_.has_changes();
  const bool has_reason = has_changes || !state_waiters_.empty();
  const bool is_due = is_resigning_ || (has_reason && now - last_write_begun_ >=
                                                          kMinWriteInterval);
  if (!is_due && !parts_.leadership->IsRenewalDue(now)) {
    if (has_reason) {
      SchedulePassIn(last_write_begun_ + kMinWriteInterval - now);
    }
    return;
  }
  last_write_begun_ = now;
  // Shared because callbacks are copied and a batch may be large.
  const auto batch = std::make_shared<core::scheduler::RecordBatch>(
      has_changes ? scheduler_.TakeBatch(now) : core::scheduler::RecordBatch());
  if (is_resigning_ && next_plan_) {
    batch->changes.push_back({core::scheduler::RecordTable::kShardPlan,
                              kPlanKey,
                              core::shards::EncodeShardPlan(*next_plan_)});
  }
  if (is_loaded_ && !scheduler_.has_unreconciled_workers()) {
    parts_.leadership->OnEarlierOwnersSettled();
  }
  // The resignation is written together with the changes that exist now. Under
  // load there are always further changes, and the next owner learns of those
  // from the workers and from callers.
  parts_.writer->Write(
      is_resigning_ ? parts_.leadership->BeginResignation(now)
                    : parts_.leadership->BeginWrite(now),
      batch->changes,
      Guarded(OwnerInput::kStored,
              [this, batch, asked = std::exchange(state_waiters_, {})](
                  OwnershipWriteOutcome end, std::int64_t store_now_ms) {
                OnWritten(end, store_now_ms, *batch);
                if (end == OwnershipWriteOutcome::kStored) {
                  for (const StateWaiter& waiter : asked) {
                    ReplyTo({waiter.id}, StateAnswerFor(waiter.key));
                  }
                }
              }));
}

void OwnerTerm::OnWritten(OwnershipWriteOutcome end, std::int64_t store_now_ms,
                          const core::scheduler::RecordBatch& batch) {
  if (end == OwnershipWriteOutcome::kReplaced) {
    EndTerm("replaced");
    return;
  }
  if (store_now_ms > 0) {
    const base::TimePoint now = Now();
    store_clock_offset_ms_ =
        store_now_ms - now.time_since_epoch() / std::chrono::milliseconds(1);
    // The store read its clock after the write began.
    scheduler_.UpdateStoreClock(
        store_now_ms + (now - last_write_begun_) / std::chrono::milliseconds(1),
        now);
  }
  times_.RecordWrite(Now() - last_write_begun_);
  const core::scheduler::LateWaiters late = scheduler_.OnStored(batch, Now());
  ReplyTo(batch.accept_waiters, Accepted{});
  ReplyTo(late.accept_waiters, Accepted{});
  ReplyTo(batch.change_waiters, Cancelled{});
  ReplyTo(late.change_waiters, Cancelled{});
  if (parts_.leadership->has_resigned()) {
    EndTerm("resigned");
    return;
  }
  SchedulePass();
}

void OwnerTerm::ReplyTo(const std::vector<core::scheduler::WaiterId>& waiters,
                        const OwnerAnswer& answer) {
  for (const core::scheduler::WaiterId id : waiters) {
    const auto it = waiters_.find(id);
    if (it != waiters_.end()) {
      const OwnerReply reply = std::move(it->second);
      waiters_.erase(it);
      reply(answer);
    }
  }
}

void OwnerTerm::EndTerm(const char* why) {
  if (is_over_) {
    return;
  }
  is_over_ = true;
  parts_.telemetry.log->Write(
      "term_ended",
      {{"why", why},
       {"token", static_cast<std::int64_t>(token_.value())},
       {"shard", static_cast<std::int64_t>(parts_.shard.value())}});
  parts_.ended();
}

}  // namespace dotterelbarrow::member
