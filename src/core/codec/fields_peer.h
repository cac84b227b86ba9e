// Field descriptions of the messages between entry hosts.
#ifndef DOTTERELBARROW_SRC_CORE_CODEC_FIELDS_PEER_H_
#define DOTTERELBARROW_SRC_CORE_CODEC_FIELDS_PEER_H_

#include "src/core/codec/fields_work.h"

namespace dotterelbarrow::core {

template <>
struct Schema<core::CapacitySummary> {
  static void Visit(auto& m, auto& visit) {
    visit.Optional("free_total", m.free_total);
    visit.Optional("free_largest", m.free_largest);
    visit.Optional("free_slots", m.free_slots);
    visit.Optional("total_slots", m.total_slots);
    visit.Optional("queued_requests", m.queued_requests);
    visit.Optional("capacity", m.capacity);
    visit.Optional("capacity_largest", m.capacity_largest);
  }
};

template <>
struct Schema<core::MemberRecord> {
  static void Visit(auto& m, auto& visit) {
    visit.Required("entry", m.entry);
    visit.Required("incarnation", m.incarnation);
    visit.Required("counter", m.counter);
    visit.Optional("lease_term", m.lease_term);
    visit.Optional("leaving", m.leaving);
    visit.Required("config_version", m.config_version);
    visit.Optional("room", m.room);
  }
};

template <>
struct Schema<core::Heartbeat> {
  static constexpr const char* kMethod = "heartbeat";
  static void Visit(auto& m, auto& visit) {
    visit.Required("sequence", m.sequence);
    visit.Required("brief", m.brief);
    visit.Required("members", m.members);
  }
};

template <>
struct Schema<core::HeartbeatAck> {
  static constexpr const char* kMethod = "heartbeat_ack";
  static void Visit(auto& m, auto& visit) {
    visit.Required("sequence", m.sequence);
    visit.Required("incarnation", m.incarnation);
    visit.Required("config_version", m.config_version);
    visit.Required("votes_dead", m.votes_dead);
  }
};

template <>
struct Schema<core::ForwardRequest> {
  static constexpr const char* kMethod = "forward_request";
  static void Visit(auto& m, auto& visit) {
    visit.Required("call", m.call);
    visit.Required("owner_incarnation", m.owner_incarnation);
    visit.Required("request", m.request);
    visit.Required("time_left_us", m.time_left);
  }
};

template <>
struct Schema<core::ForwardReply> {
  static constexpr const char* kMethod = "forward_reply";
  static void Visit(auto& m, auto& visit) {
    visit.Required("call", m.call);
    visit.Required("answer", m.answer);
  }
};

template <>
struct Schema<core::SubmitJob> {
  static constexpr const char* kMethod = "submit_job";
  static void Visit(auto& m, auto& visit) {
    visit.Required("call", m.call);
    visit.Required("request", m.request);
  }
};

template <>
struct Schema<core::QueryJob> {
  static constexpr const char* kMethod = "query_job";
  static void Visit(auto& m, auto& visit) {
    visit.Required("call", m.call);
    visit.Required("job", m.job);
  }
};

template <>
struct Schema<core::CancelJob> {
  static constexpr const char* kMethod = "cancel_job";
  static void Visit(auto& m, auto& visit) {
    visit.Required("call", m.call);
    visit.Required("job", m.job);
  }
};

template <>
struct Schema<core::JobReply> {
  static constexpr const char* kMethod = "job_reply";
  static void Visit(auto& m, auto& visit) {
    visit.Required("call", m.call);
    visit.Required("answer", m.answer);
  }
};

template <>
struct Schema<core::ClaimKey> {
  static constexpr const char* kMethod = "claim_key";
  static void Visit(auto& m, auto& visit) {
    visit.Required("call", m.call);
    visit.Required("team", m.team);
    visit.Required("key", m.key);
    visit.Required("request", m.request);
  }
};

template <>
struct Schema<core::ClaimReply> {
  static constexpr const char* kMethod = "claim_reply";
  static void Visit(auto& m, auto& visit) {
    visit.Required("call", m.call);
    visit.Required("status", m.status);
    visit.Required("answer", m.answer);
  }
};

template <>
struct Schema<core::ResolveKey> {
  static constexpr const char* kMethod = "resolve_key";
  static void Visit(auto& m, auto& visit) {
    visit.Required("call", m.call);
    visit.Required("team", m.team);
    visit.Required("key", m.key);
    visit.Required("answer", m.answer);
  }
};

template <>
struct Schema<core::PlaceTask> {
  static constexpr const char* kMethod = "place_task";
  static void Visit(auto& m, auto& visit) {
    visit.Required("task", m.task);
    visit.Required("owner_incarnation", m.owner_incarnation);
    visit.Required("owner_term", m.owner_term);
    visit.Required("share_position", m.share_position);
    visit.Required("patience_us", m.patience);
    visit.Required("hold", m.hold);
  }
};

template <>
struct Schema<core::PlaceReply> {
  static constexpr const char* kMethod = "place_reply";
  static void Visit(auto& m, auto& visit) {
    visit.Required("task", m.task);
    visit.Required("partition", m.partition);
    visit.Required("status", m.status);
    visit.Required("backend", m.backend);
  }
};

template <>
struct Schema<core::CommitHold> {
  static constexpr const char* kMethod = "commit_hold";
  static void Visit(auto& m, auto& visit) {
    visit.Required("task", m.task);
    visit.Required("partition", m.partition);
    visit.Required("manager_epoch", m.manager_epoch);
  }
};

template <>
struct Schema<core::RemoveTask> {
  static constexpr const char* kMethod = "remove_task";
  static void Visit(auto& m, auto& visit) {
    visit.Required("task", m.task);
    visit.Required("partition", m.partition);
    visit.Required("manager_epoch", m.manager_epoch);
  }
};

template <>
struct Schema<core::TaskUpdate> {
  static constexpr const char* kMethod = "task_update";
  static void Visit(auto& m, auto& visit) {
    visit.Required("task", m.task);
    visit.Required("partition", m.partition);
    visit.Required("end", m.end);
    visit.Required("backend", m.backend);
    visit.Required("result", m.result);
    visit.Required("crashed", m.crashed);
  }
};

template <>
struct Schema<core::TaskUpdateAck> {
  static constexpr const char* kMethod = "task_update_ack";
  static void Visit(auto& m, auto& visit) { visit.Required("task", m.task); }
};

template <>
struct Schema<core::InventoryRequest> {
  static constexpr const char* kMethod = "inventory_request";
  static void Visit(auto& m, auto& visit) {
    visit.Required("partition", m.partition);
    visit.Required("manager_epoch", m.manager_epoch);
    visit.Required("sequence", m.sequence);
  }
};

template <>
struct Schema<core::InventoryTask> {
  static void Visit(auto& m, auto& visit) {
    visit.Required("spec", m.spec);
    visit.Required("backend", m.backend);
  }
};

template <>
struct Schema<core::InventoryReply> {
  static constexpr const char* kMethod = "inventory_reply";
  static void Visit(auto& m, auto& visit) {
    visit.Required("partition", m.partition);
    visit.Required("manager_epoch", m.manager_epoch);
    visit.Required("sequence", m.sequence);
    visit.Required("shards", m.shards);
    visit.Required("tasks", m.tasks);
    visit.Required("slices", m.slices);
  }
};

template <>
struct Schema<core::SliceRequest> {
  static constexpr const char* kMethod = "slice_request";
  static void Visit(auto& m, auto& visit) {
    visit.Required("team", m.team);
    visit.Required("sequence", m.sequence);
    visit.Required("holding", m.holding);
    visit.Required("granted", m.granted);
    visit.Required("wanted", m.wanted);
  }
};

template <>
struct Schema<core::SliceGrant> {
  static constexpr const char* kMethod = "slice_grant";
  static void Visit(auto& m, auto& visit) {
    visit.Required("team", m.team);
    visit.Required("partition", m.partition);
    visit.Required("manager_epoch", m.manager_epoch);
    visit.Required("sequence", m.sequence);
    visit.Required("granted", m.granted);
  }
};

template <>
struct Schema<core::ConfigChange> {
  static void Visit(auto& m, auto& visit) {
    visit.Required("version", m.version);
    visit.Required("ticket", m.ticket);
  }
};

template <>
struct Schema<core::ConfigPull> {
  static constexpr const char* kMethod = "config_pull";
  static void Visit(auto& m, auto& visit) { visit.Required("after", m.after); }
};

template <>
struct Schema<core::ConfigPush> {
  static constexpr const char* kMethod = "config_push";
  static void Visit(auto& m, auto& visit) {
    visit.Required("changes", m.changes);
  }
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_SRC_CORE_CODEC_FIELDS_PEER_H_
