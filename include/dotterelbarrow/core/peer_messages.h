// Messages between entry hosts: membership, forwarded requests, jobs,
// placement, task inventories, quota slices and configuration.
//
// Any of these messages may be lost, delayed, duplicated or reordered.
#ifndef DOTTERELBARROW_CORE_PEER_MESSAGES_H_
#define DOTTERELBARROW_CORE_PEER_MESSAGES_H_

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/backend_messages.h"
#include "dotterelbarrow/core/work.h"

namespace dotterelbarrow::core {

// The free resources and the capacity of a member, used for routing. The values
// are always somewhat out of date.
struct CapacitySummary {
  // Sum over its workers.
  base::Resources free_total;
  // The most that is free on any single worker, separately for each dimension.
  base::Resources free_largest;
  base::Slots free_slots;
  base::Slots total_slots;
  std::uint32_t queued_requests = 0;
  // Sum of the capacities of its backend servers.
  base::Resources capacity;
  // The largest capacity of any single worker, separately for each dimension.
  base::Resources capacity_largest;

  friend bool operator==(const CapacitySummary&,
                         const CapacitySummary&) = default;
};

// The state of one member as sent in heartbeats. Of two records of the same
// member, the one with the higher (incarnation, counter) replaces the other.
struct MemberRecord {
  base::EntryId entry;
  base::Incarnation incarnation;
  // The member increments it with each heartbeat.
  std::uint64_t counter = 0;
  // The member increments it each time it loses its membership lease.
  std::uint64_t lease_term = 0;
  bool leaving = false;
  base::ConfigVersion config_version;
  // Set only in the sender's own record, and not in brief heartbeats, because
  // it is the largest part of a heartbeat and soon out of date.
  CapacitySummary room;

  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

// Sent to a few peers each heartbeat period.
struct Heartbeat {
  std::uint64_t sequence = 0;
  // Whether the sender's own record lacks its capacity summary, as relayed
  // records always do.
  bool brief = false;
  std::vector<MemberRecord> members;

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

struct HeartbeatAck {
  std::uint64_t sequence = 0;
  // The incarnation of the member whose heartbeat is acknowledged.
  base::Incarnation incarnation;
  base::ConfigVersion config_version;
  // Entries that the sender has not acknowledged for long enough to vote that
  // their leases have expired, that is, that everything they owned in their
  // current lease term is void. The votes are part of the acknowledgement, so
  // that the receiver knows that they are no older than its own heartbeat.
  std::vector<base::EntryId> votes_dead;

  friend bool operator==(const HeartbeatAck&, const HeartbeatAck&) = default;
};

// Forwards an interactive request to an owner that has free capacity. A request
// is forwarded at most once.
struct ForwardRequest {
  base::CallId call;
  // The incarnation of the owner that the request is addressed to. Any other
  // incarnation drops the request, because it can't tell whether the previous
  // one has already served the call.
  base::Incarnation owner_incarnation;
  WorkRequest request;
  base::Duration time_left{0};

  friend bool operator==(const ForwardRequest&,
                         const ForwardRequest&) = default;
};

struct ForwardReply {
  base::CallId call;
  Answer answer;

  friend bool operator==(const ForwardReply&, const ForwardReply&) = default;
};

// Submits a job to the manager of its team's partition. A repeated submission
// of the same job id has no further effect.
struct SubmitJob {
  base::CallId call;
  WorkRequest request;

  friend bool operator==(const SubmitJob&, const SubmitJob&) = default;
};

struct QueryJob {
  base::CallId call;
  base::JobId job;

  friend bool operator==(const QueryJob&, const QueryJob&) = default;
};

struct CancelJob {
  base::CallId call;
  base::JobId job;

  friend bool operator==(const CancelJob&, const CancelJob&) = default;
};

// Answers SubmitJob, QueryJob and CancelJob.
struct JobReply {
  base::CallId call;
  Answer answer;

  friend bool operator==(const JobReply&, const JobReply&) = default;
};

// Records an idempotency key before a non-idempotent request is sent.
struct ClaimKey {
  base::CallId call;
  base::TeamId team;
  base::IdempotencyKey key;
  base::RequestId request;

  friend bool operator==(const ClaimKey&, const ClaimKey&) = default;
};

enum class ClaimStatus {
  kClaimed,      // Recorded now; the request may be sent once.
  kDuplicate,    // Claimed before; `answer` is what is known of that request.
  kUnavailable,  // Could not be recorded; nothing may be sent.
};

struct ClaimReply {
  base::CallId call;
  ClaimStatus status = ClaimStatus::kUnavailable;
  Answer answer;

  friend bool operator==(const ClaimReply&, const ClaimReply&) = default;
};

// Records the outcome of a request whose key was claimed. Ignored unless the
// key is currently claimed by `call`, so that a delayed duplicate can't resolve
// the claim of another request.
struct ResolveKey {
  // The `call` of the ClaimKey message.
  base::CallId call;
  base::TeamId team;
  base::IdempotencyKey key;
  Answer answer;

  friend bool operator==(const ResolveKey&, const ResolveKey&) = default;
};

// Asks an owner to place one task. The owner answers with a PlaceReply: at once
// or, if no worker has free resources now, within `patience`.
struct PlaceTask {
  TaskSpec task;
  // The incarnation and the lease term of the owner that the task is addressed
  // to. An owner with any other rejects the task with kStale: a message that
  // was delayed while the owner was paused must not start a task that its
  // manager has placed elsewhere in the meantime.
  base::Incarnation owner_incarnation;
  std::uint64_t owner_term = 0;
  // The team's fleet-wide usage divided by its weighted share. Tasks with the
  // lowest value are placed first.
  double share_position = 0;
  base::Duration patience{0};
  // Only reserve the resources; the task starts on CommitHold. Used for jobs
  // whose tasks must all start at once.
  bool hold = false;

  friend bool operator==(const PlaceTask&, const PlaceTask&) = default;
};

enum class PlaceStatus {
  kPlaced,     // Started, or reserved if `hold` was set.
  kNoRoom,     // Not started, and removed from the queue.
  kNeverFits,  // None of this owner's backend servers could ever hold it.
  kStale,      // The manager's epoch or the owner's term is too old.
};

struct PlaceReply {
  base::TaskId task;
  base::PartitionId partition;
  PlaceStatus status = PlaceStatus::kNoRoom;
  base::BackendId backend;

  friend bool operator==(const PlaceReply&, const PlaceReply&) = default;
};

// Starts a task that was reserved with `hold`. An owner that doesn't know the
// task answers kNotKnown.
struct CommitHold {
  base::TaskId task;
  base::PartitionId partition;
  base::Epoch manager_epoch;

  friend bool operator==(const CommitHold&, const CommitHold&) = default;
};

// Removes a task, whether queued, reserved or running. The owner confirms with
// a TaskUpdate once the task is certain to have ended. An owner that doesn't
// know the task answers kNotKnown and rejects the task from then on; the task
// may still run in a shard that was handed over in the meantime.
struct RemoveTask {
  base::TaskId task;
  base::PartitionId partition;
  base::Epoch manager_epoch;

  friend bool operator==(const RemoveTask&, const RemoveTask&) = default;
};

enum class TaskEnd {
  kSucceeded,
  kFailed,
  kLost,        // The backend server is gone and its lease is certain to have
                // expired.
  kPreempted,   // Stopped to free resources for urgent work.
  kRemoved,     // It ran, and was stopped by RemoveTask.
  kNotStarted,  // Certain never to have started: removed from the queue, or its
                // reservation expired or was released.
  kNotKnown,  // The owner doesn't have the task and won't start it later. Sent
              // in answer to RemoveTask and CommitHold. The task may run in a
              // shard that was handed over.
};

// Reports to the manager that a task is certain to have ended. Sent again until
// acknowledged.
struct TaskUpdate {
  base::TaskId task;
  base::PartitionId partition;
  TaskEnd end = TaskEnd::kFailed;
  base::BackendId backend;
  std::string result;
  // With kLost only: whether the process of the backend server has ended under
  // the task, which a report of a later incarnation has shown. If that is shown
  // after the task was reported lost, the owner sends a second update, once.
  bool crashed = false;

  friend bool operator==(const TaskUpdate&, const TaskUpdate&) = default;
};

struct TaskUpdateAck {
  base::TaskId task;

  friend bool operator==(const TaskUpdateAck&, const TaskUpdateAck&) = default;
};

// Asks an owner for the tasks of a partition that it has. From then on, the
// owner rejects commands for this partition with an older manager epoch.
struct InventoryRequest {
  base::PartitionId partition;
  base::Epoch manager_epoch;
  // Repeated in the reply, to tell it from a reply to an earlier request.
  std::uint64_t sequence = 0;

  friend bool operator==(const InventoryRequest&,
                         const InventoryRequest&) = default;
};

struct InventoryTask {
  TaskSpec spec;
  base::BackendId backend;

  friend bool operator==(const InventoryTask&, const InventoryTask&) = default;
};

// The partition's tasks at one owner. `shards` are those for which the list is
// complete: each of their backend servers has reported its tasks, or its lease
// is certain to have expired.
struct InventoryReply {
  base::PartitionId partition;
  base::Epoch manager_epoch;
  std::uint64_t sequence = 0;
  std::vector<base::ShardId> shards;
  // Doesn't include the interactive requests of the partition's teams.
  std::vector<InventoryTask> tasks;
  // Quota slices: the slots of each team's limit that this owner holds.
  std::vector<std::pair<base::TeamId, base::Slots>> slices;

  friend bool operator==(const InventoryReply&,
                         const InventoryReply&) = default;
};

// Asks a team's manager for a quota slice, a part of the team's limit on
// interactive requests. `wanted` is the total that the owner wants to hold, not
// the difference to what it holds now.
struct SliceRequest {
  base::TeamId team;
  // Increases with each request to one manager; only the latest request counts.
  std::uint64_t sequence = 0;
  // The slots that the owner uses, also for requests taken over from previous
  // owners, or may still start to use.
  base::Slots holding;
  // The slots that the owner may use: the grants so far, less the slots that it
  // has returned.
  base::Slots granted;
  base::Slots wanted;

  friend bool operator==(const SliceRequest&, const SliceRequest&) = default;
};

// Allows the owner to use up to `granted` slots for the team. If the owner
// holds more than that, it confirms with a SliceRequest once it has reduced its
// use.
struct SliceGrant {
  base::TeamId team;
  base::PartitionId partition;
  base::Epoch manager_epoch;
  std::uint64_t sequence = 0;
  base::Slots granted;

  friend bool operator==(const SliceGrant&, const SliceGrant&) = default;
};

// The ticket that produced one configuration version.
struct ConfigChange {
  base::ConfigVersion version;
  // The ticket's canonical text, as stored in the table; see config/ticket.h.
  std::string ticket;

  friend bool operator==(const ConfigChange&, const ConfigChange&) = default;
};

// Asks a peer for the configuration changes after a version.
struct ConfigPull {
  base::ConfigVersion after;

  friend bool operator==(const ConfigPull&, const ConfigPull&) = default;
};

struct ConfigPush {
  std::vector<ConfigChange> changes;

  friend bool operator==(const ConfigPush&, const ConfigPush&) = default;
};

using PeerMessage =
    std::variant<Heartbeat, HeartbeatAck, ForwardRequest, ForwardReply,
                 SubmitJob, QueryJob, CancelJob, JobReply, ClaimKey, ClaimReply,
                 ResolveKey, PlaceTask, PlaceReply, CommitHold, RemoveTask,
                 TaskUpdate, TaskUpdateAck, InventoryRequest, InventoryReply,
                 SliceRequest, SliceGrant, ConfigPull, ConfigPush>;

const char* ToString(ClaimStatus status);
const char* ToString(PlaceStatus status);
const char* ToString(TaskEnd end);

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_PEER_MESSAGES_H_
