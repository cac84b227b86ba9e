// Decides which partitions this entry manages, and routes messages to their
// managers.
#include "dotterelbarrow/core/job_manager.h"

#include <algorithm>

#include "dotterelbarrow/core/partitions.h"
#include "src/core/refusal.h"

namespace dotterelbarrow::core {
namespace {

constexpr base::Duration kRetryAfter = std::chrono::seconds(1);
// Gives each partition a different sequence of random numbers.
constexpr std::uint64_t kSeedStride = 7919;

}  // namespace

JobManager::JobManager(const ManagerContext& context, std::uint64_t seed)
    : context_(context), seed_(seed) {}

void JobManager::Tick(base::TimePoint now) {
  Rebalance();
  for (auto& [partition, manager] : managers_) {
    manager->Tick(now);
  }
}

void JobManager::Rebalance() {
  const Membership& membership = *context_.membership;
  if (membership.lease_term() != term_) {
    // Partitions managed in an earlier term may have passed to other entries.
    term_ = membership.lease_term();
    managers_.clear();
    owners_version_.reset();
  }
  if (!membership.holds_lease()) {
    return;
  }
  const std::size_t lost = std::erase_if(
      managers_, [](const auto& each) { return each.second->is_lost(); });
  if (lost == 0 && owners_version_ == membership.owners_version()) {
    return;
  }
  owners_version_ = membership.owners_version();
  for (std::uint32_t i = 0; i < context_.settings->partition_count; ++i) {
    const base::PartitionId partition(i);
    const bool is_managed_here =
        ManagerOf(membership, partition) == membership.self();
    if (!is_managed_here) {
      managers_.erase(partition);
    } else if (!managers_.contains(partition)) {
      managers_[partition] = std::make_unique<PartitionManager>(
          context_, partition, seed_ + i * kSeedStride + term_);
    }
  }
}

void JobManager::OnMembershipChanged(base::TimePoint now) {
  Rebalance();
  for (auto& [partition, manager] : managers_) {
    manager->OnMembershipChanged(now);
  }
}

void JobManager::OnConfigChanged(base::TimePoint now) {
  for (auto& [partition, manager] : managers_) {
    manager->OnConfigChanged(now);
  }
}

bool JobManager::AnyHandles(
    const std::function<bool(PartitionManager*)>& handle) {
  return std::any_of(
      managers_.begin(), managers_.end(),
      [&handle](const auto& each) { return handle(each.second.get()); });
}

bool JobManager::OnTableResult(const TableResult& result, base::TimePoint now) {
  return AnyHandles([&](PartitionManager* manager) {
    return manager->OnTableResult(result, now);
  });
}

bool JobManager::OnTableRows(const TableRows& rows, base::TimePoint now) {
  return AnyHandles([&](PartitionManager* manager) {
    return manager->OnTableRows(rows, now);
  });
}

bool JobManager::OnObjectResult(const ObjectResult& result,
                                base::TimePoint now) {
  return AnyHandles([&](PartitionManager* manager) {
    return manager->OnObjectResult(result, now);
  });
}

PartitionManager* JobManager::Find(const base::TeamId& team) {
  const auto it =
      managers_.find(PartitionOf(team, context_.settings->partition_count));
  return it == managers_.end() ? nullptr : it->second.get();
}

void JobManager::Refuse(const base::EntryId& to, base::CallId call,
                        const base::RequestId& id) {
  const Answer answer =
      MakeRefusal(id, Reason::kManagerUnavailable,
                  "this entry doesn't manage the team at present", kRetryAfter);
  context_.counters->Increment("refusals", ToString(answer.reason));
  context_.outbox->SendToPeer(to, JobReply{call, answer});
}

void JobManager::OnSubmit(const base::EntryId& from, const SubmitJob& submit,
                          base::TimePoint now) {
  if (PartitionManager* manager = Find(submit.request.team)) {
    manager->OnSubmit(from, submit, now);
  } else {
    Refuse(from, submit.call, submit.request.id);
  }
}

void JobManager::OnQuery(const base::EntryId& from, const QueryJob& query,
                         base::TimePoint now) {
  if (PartitionManager* manager = Find(query.job.team)) {
    manager->OnQuery(from, query, now);
  } else {
    Refuse(from, query.call, query.job.request);
  }
}

void JobManager::OnCancel(const base::EntryId& from, const CancelJob& cancel,
                          base::TimePoint now) {
  if (PartitionManager* manager = Find(cancel.job.team)) {
    manager->OnCancel(from, cancel, now);
  } else {
    Refuse(from, cancel.call, cancel.job.request);
  }
}

void JobManager::OnClaim(const base::EntryId& from, const ClaimKey& claim,
                         base::TimePoint now) {
  if (PartitionManager* manager = Find(claim.team)) {
    manager->OnClaim(from, claim, now);
  } else {
    context_.outbox->SendToPeer(
        from, ClaimReply{claim.call, ClaimStatus::kUnavailable, {}});
  }
}

void JobManager::OnResolve(const base::EntryId& from, const ResolveKey& resolve,
                           base::TimePoint now) {
  if (PartitionManager* manager = Find(resolve.team)) {
    manager->OnResolve(from, resolve, now);
  }
}

void JobManager::OnPlaceReply(const base::EntryId& /*from*/,
                              const PlaceReply& reply, base::TimePoint now) {
  if (PartitionManager* manager = Find(reply.task.job.team)) {
    manager->OnPlaceReply(reply, now);
  }
}

void JobManager::OnTaskUpdate(const base::EntryId& from,
                              const TaskUpdate& update, base::TimePoint now) {
  if (PartitionManager* manager = Find(update.task.job.team)) {
    manager->OnTaskUpdate(from, update, now);
  }
}

void JobManager::OnInventory(const base::EntryId& from,
                             const InventoryReply& reply, base::TimePoint now) {
  const auto it = managers_.find(reply.partition);
  if (it != managers_.end()) {
    it->second->OnInventory(from, reply, now);
  }
}

void JobManager::OnSliceRequest(const base::EntryId& from,
                                const SliceRequest& request,
                                base::TimePoint now) {
  if (PartitionManager* manager = Find(request.team)) {
    manager->OnSliceRequest(from, request, now);
  }
}

std::vector<base::PartitionId> JobManager::partitions() const {
  std::vector<base::PartitionId> managed;
  managed.reserve(managers_.size());
  for (const auto& [partition, manager] : managers_) {
    managed.push_back(partition);
  }
  return managed;
}

bool JobManager::is_idle() const {
  for (const auto& [partition, manager] : managers_) {
    if (!manager->is_idle()) {
      return false;
    }
  }
  return true;
}

}  // namespace dotterelbarrow::core
