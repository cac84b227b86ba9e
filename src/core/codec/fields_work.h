// Field descriptions of identifiers, resources, work and backend messages.
//
// Schema<T>::Visit lists each member of T once and serves both directions: with
// a const message and an encoder, or with a mutable message and a decoder. A
// `Required` member must be present. An `Optional` member may be omitted when
// it has its default value, and an absent one is read as that default. The
// default is that of the member's type unless the description states another.
// Members added in later versions must be optional, so that processes of
// different versions can communicate.
#ifndef DOTTERELBARROW_SRC_CORE_CODEC_FIELDS_WORK_H_
#define DOTTERELBARROW_SRC_CORE_CODEC_FIELDS_WORK_H_

#include <utility>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/codec.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/work.h"

namespace dotterelbarrow::core {

template <typename T>
struct Schema;

template <>
struct Schema<base::Resources> {
  static void Visit(auto& m, auto& visit) {
    visit.Optional("cpu_millicores", m.cpu);
    visit.Optional("memory_mib", m.memory);
    visit.Optional("accelerators", m.accelerators);
    visit.Optional("slots", m.slots);
  }
};

template <>
struct Schema<base::Epoch> {
  static void Visit(auto& m, auto& visit) {
    visit.Required("counter", m.counter);
    visit.Required("holder", m.holder);
  }
};

template <>
struct Schema<base::JobId> {
  static void Visit(auto& m, auto& visit) {
    visit.Required("team", m.team);
    visit.Required("request", m.request);
  }
};

template <>
struct Schema<base::TaskId> {
  static void Visit(auto& m, auto& visit) {
    Schema<base::JobId>::Visit(m.job, visit);
    visit.Required("index", m.index);
    visit.Required("attempt", m.attempt);
  }
};

template <>
struct Schema<std::pair<base::TeamId, base::Slots>> {
  static void Visit(auto& m, auto& visit) {
    visit.Required("team", m.first);
    visit.Required("slots", m.second);
  }
};

template <>
struct Schema<CallerWork> {
  static void Visit(auto& m, auto& visit) { VisitRequest(m.request, visit); }
  static void VisitRequest(auto& m, auto& visit) {
    visit.Required("id", m.id);
    visit.Required("service", m.service);
    visit.Optional("kind", m.kind);
    visit.Optional("task_count", m.task_count, 1U);
    visit.Optional("demand", m.demand);
    visit.Optional("expected_run_us", m.expected_run);
    visit.Optional("deadline_us", m.deadline);
    visit.Optional("idempotent", m.idempotent, true);
    visit.Optional("idempotency_key", m.idempotency_key);
    visit.Optional("urgent", m.urgent);
    visit.Optional("payload", m.payload);
  }
};

template <>
struct Schema<core::WorkRequest> {
  static void Visit(auto& m, auto& visit) {
    visit.Optional("key", m.key);
    visit.Optional("team", m.team);
    Schema<CallerWork>::VisitRequest(m, visit);
  }
};

template <>
struct Schema<core::Answer> {
  static void Visit(auto& m, auto& visit) {
    visit.Required("id", m.id);
    visit.Required("outcome", m.outcome);
    visit.Optional("reason", m.reason);
    visit.Optional("detail", m.detail);
    visit.Optional("backend", m.backend);
    visit.Optional("waited_us", m.waited);
    visit.Optional("retry_after_us", m.retry_after);
    visit.Optional("result", m.result);
    visit.Optional("tasks_running", m.tasks_running);
    visit.Optional("tasks_done", m.tasks_done);
    visit.Optional("tasks_total", m.tasks_total);
  }
};

template <>
struct Schema<core::TaskSpec> {
  static void Visit(auto& m, auto& visit) {
    visit.Required("id", m.id);
    visit.Required("partition", m.partition);
    visit.Required("manager_epoch", m.manager_epoch);
    visit.Required("kind", m.kind);
    visit.Required("demand", m.demand);
    visit.Optional("expected_run_us", m.expected_run);
    visit.Optional("idempotent", m.idempotent, true);
    visit.Optional("urgent", m.urgent);
    visit.Optional("payload", m.payload);
  }
};

template <>
struct Schema<core::TaskReport> {
  static void Visit(auto& m, auto& visit) {
    visit.Required("id", m.id);
    visit.Optional("spec", m.spec);
    visit.Optional("state", m.state);
    visit.Optional("result", m.result);
  }
};

template <>
struct Schema<core::HostRecord> {
  static void Visit(auto& m, auto& visit) {
    visit.Required("backend", m.backend);
    visit.Required("kind", m.kind);
    visit.Required("address", m.address);
    visit.Required("shard", m.shard);
    visit.Optional("availability_zone", m.availability_zone);
    visit.Required("capacity", m.capacity);
    visit.Optional("service", m.service);
    visit.Optional("leaving", m.leaving);
  }
};

template <>
struct Schema<core::BackendSync> {
  static void Visit(auto& m, auto& visit) {
    visit.Required("backend", m.backend);
    visit.Required("epoch", m.epoch);
    visit.Required("lease_token", m.lease_token);
    visit.Required("lease_duration_us", m.lease_duration);
    visit.Required("report_to", m.report_to);
    visit.Optional("start", m.start);
    visit.Optional("stop", m.stop);
    visit.Optional("acknowledged", m.acknowledged);
  }
};

template <>
struct Schema<core::BackendReport> {
  static void Visit(auto& m, auto& visit) {
    visit.Required("backend", m.backend);
    visit.Required("incarnation", m.incarnation);
    visit.Required("epoch", m.epoch);
    visit.Required("sequence", m.sequence);
    visit.Required("lease_token", m.lease_token);
    visit.Required("lease_valid", m.lease_valid);
    visit.Required("capacity", m.capacity);
    visit.Optional("usage", m.usage);
    visit.Required("tasks", m.tasks);
  }
};

template <>
struct Schema<core::RunCommand> {
  static void Visit(auto& m, auto& visit) {
    visit.Required("backend", m.backend);
    visit.Required("epoch", m.epoch);
    visit.Required("call", m.call);
    visit.Required("task", m.task);
    visit.Required("time_left_us", m.time_left);
  }
};

template <>
struct Schema<core::RunResult> {
  static void Visit(auto& m, auto& visit) {
    visit.Required("backend", m.backend);
    visit.Required("call", m.call);
    visit.Required("status", m.status);
    visit.Optional("result", m.result);
  }
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_SRC_CORE_CODEC_FIELDS_WORK_H_
