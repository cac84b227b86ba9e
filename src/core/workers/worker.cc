// Accounts for the resources, runs and leases of one worker.
#include "dotterelbarrow/core/workers/worker.h"

#include <algorithm>
#include <utility>

#include "dotterelbarrow/base/hash.h"

namespace dotterelbarrow::core::workers {
namespace {

// A worker's clock may be slow by this much (the platform states 2%).
constexpr std::int64_t kMaxDriftPercent = 2;
constexpr std::int64_t kMinClockRatePercent = 100 - kMaxDriftPercent;
// Covers the rounding of clocks to whole milliseconds and delays of the
// worker's own timer.
constexpr std::int64_t kLeaseExpiryMarginMs = 100;
// A worker that left this many commands in a row unanswered gets no new work.
constexpr int kMaxUnansweredCommands = 2;
// For so long after a loss, a worker is likely to be lost again.
constexpr base::Duration kUnreliableAfterLoss = std::chrono::seconds(10);

std::int64_t Milliseconds(base::Duration duration) {
  return duration / std::chrono::milliseconds(1);
}

}  // namespace

jobs::WorkerIncarnation IncarnationOf(const Listing& listing) {
  return {static_cast<std::uint32_t>(base::StableHash(listing.id.value())),
          static_cast<std::uint32_t>(base::StableHash(listing.address)),
          listing.born_ms};
}

const char* ToString(RunState state) {
  switch (state) {
    case RunState::kReserved:
      return "earmarked";
    case RunState::kStarting:
      return "starting";
    case RunState::kRunning:
      return "running";
    case RunState::kUncertain:
      return "uncertain";
    case RunState::kStopping:
      return "stopping";
  }
  return "unknown";
}

Run MakeReservedRun(const jobs::Job& job, const jobs::TaskRef& task,
                    jobs::Attempt attempt, base::TimePoint now) {
  const jobs::StepSpec& spec = job.SpecOf(task.step);
  return {.task = task,
          .attempt = attempt,
          .state = RunState::kReserved,
          .is_serving = spec.is_serving(),
          .fills_idle_cpu = spec.fills_idle_cpu,
          .is_gang_member = spec.gang,
          .is_long_running = spec.long_running,
          .needs = spec.needs,
          .reserved = spec.Reservation(),
          .organisation = job.organisation,
          .since = now,
          .estimate = spec.estimate};
}

void WorkerClock::RecordReading(std::int64_t clock_ms,
                                base::TimePoint answered_at) {
  if (!read_ || clock_ms >= read_->clock_ms) {
    read_ = Reading{clock_ms, answered_at};
  }
}

std::int64_t WorkerClock::LowerBound(base::TimePoint now) const {
  if (!read_) {
    return 0;
  }
  const std::int64_t passed = Milliseconds(now - read_->answered_at);
  return read_->clock_ms + passed * (100 - kMaxDriftPercent) / 100;
}

std::int64_t WorkerClock::Estimate(base::TimePoint now) const {
  return read_ ? read_->clock_ms + Milliseconds(now - read_->answered_at) : 0;
}

base::TimePoint WorkerClock::WhenLowerBoundExceeds(
    std::int64_t clock_ms) const {
  const std::int64_t ahead =
      std::max<std::int64_t>(0, clock_ms + 1 - read_->clock_ms);
  return read_->answered_at +
         std::chrono::milliseconds((ahead * 100 + kMinClockRatePercent - 1) /
                                   kMinClockRatePercent);
}

void Worker::Update(const Listing& listing) {
  listing_ = listing;
  largest_capacity_ = base::GreaterOf(largest_capacity_, listing.capacity);
}

Run* Worker::FindRun(const jobs::TaskRef& task, jobs::Attempt attempt) {
  const auto it = runs_.find({task, attempt});
  return it == runs_.end() ? nullptr : &it->second;
}

Run* Worker::AddRun(Run run) {
  const std::pair key(run.task, run.attempt);
  const auto [it, added] = runs_.emplace(key, std::move(run));
  if (added) {
    AddToTotals(it->second, 1);
  }
  return &it->second;
}

void Worker::RemoveRun(const jobs::TaskRef& task, jobs::Attempt attempt) {
  const auto it = runs_.find({task, attempt});
  if (it != runs_.end()) {
    AddToTotals(it->second, -1);
    runs_.erase(it);
  }
}

void Worker::AddToTotals(const Run& run, int sign) {
  if (sign > 0) {
    total_reserved_ += run.reserved;
    total_needs_ += run.needs;
  } else {
    total_reserved_ -= run.reserved;
    total_needs_ -= run.needs;
  }
  if (run.is_long_running) {
    long_running_reserved_ += run.reserved * sign;
  }
  orphan_count_ += run.is_orphan ? sign : 0;
  serving_count_ += run.is_serving ? sign : 0;
  idle_filler_count_ += run.fills_idle_cpu ? sign : 0;
  suspect_count_ += run.is_suspect ? sign : 0;
}

void Worker::ClearSuspicion(Run* run) {
  suspect_count_ -= run->is_suspect ? 1 : 0;
  run->is_suspect = false;
}

bool Worker::IsLeaseGuaranteedExpired(base::TimePoint now) const {
  if (!clock.is_known()) {
    return now >= inherited_leases_end;
  }
  return now >= inherited_leases_end &&
         clock.LowerBound(now) > granted_until_ms + kLeaseExpiryMarginMs;
}

base::TimePoint Worker::AllLeasesExpireBy() const {
  return std::max(
      inherited_leases_end,
      clock.WhenLowerBoundExceeds(granted_until_ms + kLeaseExpiryMarginMs));
}

base::Resources Worker::BeingFreed() const {
  base::Resources freed;
  for (const auto& [key, run] : runs_) {
    if (run.state == RunState::kStopping) {
      freed += run.reserved;
    }
  }
  return freed;
}

bool Worker::WasLostJustNow(base::TimePoint now) const {
  return returned_at && now - *returned_at < kUnreliableAfterLoss;
}

bool Worker::AcceptsWorkIfIsolated() const {
  return is_claimed && !leases_suspended && listed_ && !evacuated_ &&
         !listing_.draining && orphan_count_ == 0 && failed_polls == 0 &&
         unanswered_commands < kMaxUnansweredCommands;
}

}  // namespace dotterelbarrow::core::workers
