// Collects inventory replies from all live entries.
#include "dotterelbarrow/core/reconciliation_round.h"

namespace dotterelbarrow::core {
namespace {

constexpr base::Duration kRequestRetryPeriod = std::chrono::milliseconds(250);

// A command in transit when the round began reaches a live entry, or is refused
// for its age, within this time.
constexpr base::Duration kCommandTransitTime = std::chrono::milliseconds(1500);

}  // namespace

ReconciliationRound::ReconciliationRound(const NodeSettings* settings,
                                         Outbox* outbox,
                                         const Membership* membership,
                                         const HostIndex* hosts,
                                         base::PartitionId partition)
    : settings_(settings),
      outbox_(outbox),
      membership_(membership),
      hosts_(hosts),
      partition_(partition) {}

void ReconciliationRound::Begin(const base::Epoch& epoch, base::TimePoint now) {
  running_ = true;
  epoch_ = epoch;
  ++sequence_;
  started_at_ = now;
  next_request_ = now;
  replies_.clear();
  voted_out_.clear();
  for (const EntryRecord& entry : settings_->entries) {
    if (membership_->IsVotedOut(entry.entry, now)) {
      voted_out_.insert(entry.entry);
    }
  }
  Tick(now);
}

void ReconciliationRound::Tick(base::TimePoint now) {
  if (!running_ || now < next_request_) {
    return;
  }
  next_request_ = now + kRequestRetryPeriod;
  for (const base::EntryId& entry : membership_->live()) {
    outbox_->SendToPeer(entry, InventoryRequest{partition_, epoch_, sequence_});
  }
}

bool ReconciliationRound::OnReply(const base::EntryId& from,
                                  const InventoryReply& reply,
                                  base::TimePoint /*now*/) {
  if (!running_ || reply.sequence != sequence_ ||
      reply.manager_epoch != epoch_) {
    return false;
  }
  replies_[from] = reply.shards;
  return true;
}

bool ReconciliationRound::CoversAllShards() const {
  std::set<base::ShardId> covered;
  for (const auto& [entry, shards] : replies_) {
    covered.insert(shards.begin(), shards.end());
  }
  for (const base::ShardId& shard : hosts_->shards()) {
    if (!covered.contains(shard)) {
      return false;
    }
  }
  return true;
}

ReconciliationRound::Silence ReconciliationRound::WorstMissingReply(
    base::TimePoint now) const {
  Silence worst = Silence::kNone;
  for (const EntryRecord& entry : settings_->entries) {
    if (replies_.contains(entry.entry)) {
      continue;
    }
    if (membership_->IsLive(entry.entry)) {
      return Silence::kMayHoldLease;
    }
    if (voted_out_.contains(entry.entry)) {
      continue;
    }
    if (!membership_->IsVotedOut(entry.entry, now)) {
      return Silence::kMayHoldLease;
    }
    worst = Silence::kVotedOutSince;
  }
  return worst;
}

bool ReconciliationRound::EndIfComplete(base::TimePoint now) {
  if (!running_ || !hosts_->is_known() || !membership_->holds_lease() ||
      now - started_at_ < kCommandTransitTime) {
    return false;
  }
  const Silence silence = WorstMissingReply(now);
  if (silence == Silence::kVotedOutSince) {
    running_ = false;
  }
  if (silence != Silence::kNone) {
    return false;
  }
  // A backend server that disappeared from the list may continue under its
  // lease, unknown to a new owner of its shard.
  const base::Duration vanished_bound =
      WithDrift(*settings_, settings_->backend_lease + settings_->member_lease);
  const auto& vanished = hosts_->last_vanished();
  if (vanished && now - *vanished < vanished_bound) {
    return false;
  }
  if (!CoversAllShards()) {
    return false;
  }
  running_ = false;
  return true;
}

}  // namespace dotterelbarrow::core
