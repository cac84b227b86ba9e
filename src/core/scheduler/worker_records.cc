// Writes the records of workers, and suspends or resumes leases to match what
// is stored.
#include "dotterelbarrow/core/scheduler/worker_records.h"

#include <utility>

namespace dotterelbarrow::core::scheduler {
namespace {

// Covers the rounding of both clocks to whole milliseconds, and the drift
// between them over the few seconds of a lease.
constexpr std::int64_t kClockMarginMs = 100;

// Ignores slots, which a record doesn't name.
bool Exceeds(const base::Resources& capacity, const base::Resources& recorded) {
  return capacity.cpu > recorded.cpu || capacity.memory > recorded.memory ||
         capacity.accelerators > recorded.accelerators;
}

std::int64_t CeilMilliseconds(base::Duration duration) {
  return duration / std::chrono::milliseconds(1) + 1;
}

}  // namespace

WorkerRecords::WorkerRecords(JobRegistry* jobs, Fleet* fleet)
    : jobs_(jobs), fleet_(fleet) {
  fleet_->worker_unresponsive.connect(
      sigc::mem_fun(*this, &WorkerRecords::OnUnresponsive));
  fleet_->worker_responsive_again.connect(
      sigc::mem_fun(*this, &WorkerRecords::OnResponsiveAgain));
  fleet_->worker_claimed.connect(
      sigc::mem_fun(*this, &WorkerRecords::OnClaimed));
}

void WorkerRecords::Inherit(const workers::WorkerRecord& record,
                            std::int64_t store_now_ms, base::TimePoint now) {
  worker_states_[record.listing.id] = {
      .names_leases_end = record.leases_end_ms.has_value(),
      .recorded_born_ms = record.recorded_born_ms,
      .names_carried_leases =
          record.carried_until_ms != workers::kUnknownCarriedUntil,
      .recorded_capacity = record.listing.capacity};
  const auto local_time = [&](std::int64_t store_ms) {
    return now + std::chrono::milliseconds(store_ms - store_now_ms);
  };
  std::optional<base::TimePoint> leases_end;
  if (record.leases_end_ms) {
    leases_end = local_time(*record.leases_end_ms);
  }
  std::optional<base::TimePoint> carried_leases_end;
  if (!record.carried_until_ms) {
    carried_leases_end = base::TimePoint();
  } else if (*record.carried_until_ms != workers::kUnknownCarriedUntil) {
    carried_leases_end = local_time(*record.carried_until_ms);
  }
  fleet_->AddInheritedWorker(record.listing, now, leases_end,
                             record.recorded_born_ms, carried_leases_end);
}

void WorkerRecords::Update(const std::vector<workers::Listing>& listings) {
  for (const workers::Listing& listing : listings) {
    const auto it = worker_states_.find(listing.id);
    const bool is_new = it == worker_states_.end() || it->second.is_removal;
    if (is_new || it->second.names_leases_end) {
      // The next owner waits only for recorded workers before it starts what
      // may run already. The fleet may also have removed and added the worker
      // meanwhile, so that it does not know that the stored record suspends the
      // leases.
      fleet_->SuspendLeases(listing.id);
    }
    // The next owner would take an incarnation that isn't recorded for a crash
    // that nobody has noticed.
    const bool is_restarted = !is_new && !it->second.names_leases_end &&
                              listing.born_ms > it->second.recorded_born_ms;
    const workers::Worker* worker = fleet_->Find(listing.id);
    const bool has_grown =
        !is_new && !it->second.names_leases_end && worker != nullptr &&
        Exceeds(worker->largest_capacity(), it->second.recorded_capacity);
    if (is_new || is_restarted || has_grown) {
      EnqueueRecord(listing.id, workers::WorkerRecord{listing, std::nullopt});
    }
  }
  RecordCarriedLeases();
  for (auto& [id, state] : worker_states_) {
    if (!state.is_removal && !fleet_->workers().contains(id)) {
      EnqueueRecord(id, std::nullopt);
    }
  }
}

void WorkerRecords::OnClaimed(const workers::Worker& worker) {
  const WorkerState& state = worker_states_[worker.id()];
  if (!state.names_carried_leases ||
      state.recorded_born_ms != worker.listing().born_ms) {
    without_carried_leases_.insert(worker.id());
  }
}

void WorkerRecords::RecordCarriedLeases() {
  std::erase_if(without_carried_leases_, [this](const base::BackendId& id) {
    const workers::Worker* worker = fleet_->Find(id);
    const WorkerState& state = worker_states_[id];
    if (worker == nullptr || state.is_removal) {
      return true;
    }
    if (state.names_leases_end || state.unstored_records > 0 ||
        CarriedUntilMs(*worker) == workers::kUnknownCarriedUntil) {
      return false;
    }
    if (!state.names_carried_leases ||
        state.recorded_born_ms != worker->listing().born_ms) {
      EnqueueRecord(id, workers::WorkerRecord{worker->listing()});
    }
    return true;
  });
}

std::optional<std::int64_t> WorkerRecords::CarriedUntilMs(
    const workers::Worker& worker) const {
  const auto& carried = worker.carried_leases;
  if (!carried || carried->born_ms != worker.listing().born_ms) {
    return workers::kUnknownCarriedUntil;
  }
  if (carried->end == base::TimePoint()) {
    return std::nullopt;
  }
  return store_clock_ ? StoreMillisAt(*store_clock_, carried->end)
                      : workers::kUnknownCarriedUntil;
}

std::int64_t WorkerRecords::StoreMillisAt(const StoreClock& clock,
                                          base::TimePoint at) {
  return clock.at_most_ms + CeilMilliseconds(at - clock.read_at) +
         kClockMarginMs;
}

void WorkerRecords::EnqueueRecord(const base::BackendId& worker,
                                  std::optional<workers::WorkerRecord> record) {
  WorkerState& state = worker_states_[worker];
  if (record) {
    if (const workers::Worker* found = fleet_->Find(worker)) {
      // The next owner takes it for the most that may run on the worker.
      record->listing.capacity = found->largest_capacity();
      record->carried_until_ms =
          found->listing().born_ms == record->listing.born_ms
              ? CarriedUntilMs(*found)
              : workers::kUnknownCarriedUntil;
    }
    if (!record->leases_end_ms) {
      state.recorded_capacity = record->listing.capacity;
    }
  }
  state.names_leases_end = record && record->leases_end_ms.has_value();
  state.is_removal = !record.has_value();
  state.names_carried_leases =
      record && record->carried_until_ms != workers::kUnknownCarriedUntil;
  state.recorded_born_ms = record ? record->listing.born_ms : 0;
  ++state.unstored_records;
  jobs_->EnqueueWorkerRecord(
      worker, record ? std::optional(workers::EncodeWorkerRecord(*record))
                     : std::nullopt);
}

void WorkerRecords::OnUnresponsive(const workers::Worker& worker,
                                   base::TimePoint leases_end) {
  if (!store_clock_) {
    return;
  }
  const std::int64_t leases_end_ms = StoreMillisAt(*store_clock_, leases_end);
  fleet_->SuspendLeases(worker.id());
  EnqueueRecord(worker.id(),
                workers::WorkerRecord{worker.listing(), leases_end_ms});
}

void WorkerRecords::OnResponsiveAgain(const workers::Worker& worker,
                                      base::TimePoint now) {
  WorkerState& state = worker_states_[worker.id()];
  if (!state.names_leases_end) {
    return;  // A record without an end is already on its way to the store.
  }
  if (jobs_->WithdrawWorkerRecord(worker.id())) {
    // The record was withdrawn before it was written, so that an unavailable
    // store does not keep the leases of a worker suspended that was
    // unresponsive only for a moment.
    state.names_leases_end = false;
    if (--state.unstored_records == 0) {
      fleet_->ResumeLeases(worker.id(), now);
    }
    return;
  }
  EnqueueRecord(worker.id(),
                workers::WorkerRecord{worker.listing(), std::nullopt});
}

void WorkerRecords::OnStored(const RecordBatch& batch, base::TimePoint now) {
  for (const base::BackendId& id : batch.recorded_workers) {
    const auto it = worker_states_.find(id);
    if (it == worker_states_.end() || --it->second.unstored_records > 0) {
      continue;
    }
    if (it->second.is_removal) {
      worker_states_.erase(it);
    } else if (!it->second.names_leases_end) {
      fleet_->ResumeLeases(id, now);
    }
  }
}

}  // namespace dotterelbarrow::core::scheduler
