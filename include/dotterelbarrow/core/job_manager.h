// Creates and destroys the managers of the partitions that this entry owns, and
// routes each message and table result to the manager concerned.
#ifndef DOTTERELBARROW_CORE_JOB_MANAGER_H_
#define DOTTERELBARROW_CORE_JOB_MANAGER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/partition_manager.h"

namespace dotterelbarrow::core {

class JobManager {
 public:
  JobManager(const ManagerContext& context, std::uint64_t seed);
  JobManager(const JobManager&) = delete;
  JobManager& operator=(const JobManager&) = delete;

  void Tick(base::TimePoint now);
  void OnMembershipChanged(base::TimePoint now);
  void OnConfigChanged(base::TimePoint now);
  // Return whether the result belonged to a call of one of the managers.
  bool OnTableResult(const TableResult& result, base::TimePoint now);
  bool OnTableRows(const TableRows& rows, base::TimePoint now);
  bool OnObjectResult(const ObjectResult& result, base::TimePoint now);

  // Messages to the manager of a partition. If this entry doesn't manage that
  // partition, a message about a job is refused with manager_unavailable, a
  // claim with ClaimStatus::kUnavailable, and any other message is dropped.
  void OnSubmit(const base::EntryId& from, const SubmitJob& submit,
                base::TimePoint now);
  void OnQuery(const base::EntryId& from, const QueryJob& query,
               base::TimePoint now);
  void OnCancel(const base::EntryId& from, const CancelJob& cancel,
                base::TimePoint now);
  void OnClaim(const base::EntryId& from, const ClaimKey& claim,
               base::TimePoint now);
  void OnResolve(const base::EntryId& from, const ResolveKey& resolve,
                 base::TimePoint now);
  void OnPlaceReply(const base::EntryId& from, const PlaceReply& reply,
                    base::TimePoint now);
  void OnTaskUpdate(const base::EntryId& from, const TaskUpdate& update,
                    base::TimePoint now);
  void OnInventory(const base::EntryId& from, const InventoryReply& reply,
                   base::TimePoint now);
  void OnSliceRequest(const base::EntryId& from, const SliceRequest& request,
                      base::TimePoint now);

  // Whether no manager waits for the table.
  bool is_idle() const;
  // The partitions that this entry manages, including those still being taken
  // over; sorted.
  std::vector<base::PartitionId> partitions() const;

 private:
  // Calls `handle` on the managers until it returns true for one; returns
  // whether it did.
  bool AnyHandles(const std::function<bool(PartitionManager*)>& handle);
  // Returns the manager of the team's partition, or null.
  PartitionManager* Find(const base::TeamId& team);
  void Refuse(const base::EntryId& to, base::CallId call,
              const base::RequestId& id);
  // Destroys the managers of partitions that have passed to other entries, and
  // creates managers of partitions that have passed to this one.
  void Rebalance();

  const ManagerContext context_;
  const std::uint64_t seed_;
  // The term of this entry's membership lease in which `managers_` were
  // created.
  std::uint64_t term_ = 0;
  // The Membership::owners_version() from which `managers_` was computed.
  std::optional<std::uint64_t> owners_version_;
  std::map<base::PartitionId, std::unique_ptr<PartitionManager>> managers_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_JOB_MANAGER_H_
