// Implements the building and sending of syncs.
#include "dotterelbarrow/core/backend_sync.h"

#include <algorithm>
#include <string>
#include <utility>

#include "dotterelbarrow/core/conflicting_owner_detector.h"
#include "dotterelbarrow/core/task_controller.h"

namespace dotterelbarrow::core {
namespace {

std::string OwnAddress(const NodeSettings& settings) {
  for (const EntryRecord& entry : settings.entries) {
    if (entry.entry == settings.self) {
      return entry.address;
    }
  }
  return std::string();
}

bool IsDue(const std::optional<base::TimePoint>& sent, base::TimePoint now) {
  return !sent || now - *sent >= kCommandRetry;
}

// Adds the commands that are due for one task. Returns whether any command for
// the task is unconfirmed.
bool AddCommands(OwnerContext* context, TaskRecord* record, BackendSync* sync,
                 base::TimePoint now) {
  auto* active = record->As<ActivePhase>();
  if (active == nullptr) {
    return false;
  }
  if (!active->listed && IsDue(active->start_sent, now)) {
    if (active->start_sent) {
      context->counters->Increment("retries", "task_start");
    }
    active->start_sent = now;
    sync->start.push_back(record->spec);
  }
  if (std::exchange(active->reply_due, false)) {
    SendPlaceReply(context, record->requester, record->spec,
                   PlaceStatus::kPlaced, record->backend_id);
  }
  if (active->stop_reason && IsDue(active->stop_sent, now)) {
    if (active->stop_sent) {
      context->counters->Increment("retries", "task_stop");
    }
    active->stop_sent = now;
    sync->stop.push_back(record->spec.id);
  }
  return !active->listed || active->stop_reason.has_value();
}

void RenewLease(const NodeSettings& settings, Backend* backend) {
  // The lease is counted from the time of the token, which is before its report
  // was received.
  const base::TimePoint expires = backend->lease.token_received +
                                  WithDrift(settings, settings.backend_lease);
  backend->lease.expires_by =
      std::max(backend->lease.expires_by.value_or(expires), expires);
}

}  // namespace

bool SendSync(OwnerContext* context, Backend* backend, base::TimePoint now) {
  const NodeSettings& settings = *context->settings;
  BackendSync sync;
  sync.backend = backend->host.backend;
  sync.epoch = backend->claim.epoch();
  sync.lease_duration = settings.backend_lease;
  sync.report_to = OwnAddress(settings);
  bool outstanding = false;
  if (backend->claim.is_claimed()) {
    sync.lease_token = backend->lease.token;
    RenewLease(settings, backend);
    sync.stop = std::exchange(backend->stop, {});
    sync.acknowledged = std::exchange(backend->acknowledge, {});
    for (TaskRecord* record : backend->tasks) {
      outstanding |= AddCommands(context, record, &sync, now);
    }
  }
  context->outbox->Send(ToBackend{backend->host.address, std::move(sync)});
  return outstanding;
}

}  // namespace dotterelbarrow::core
