// Records of workers, and which workers may be given leases by them.
#include "dotterelbarrow/core/scheduler/worker_records.h"

#include <utility>

namespace dotterelbarrow::core::scheduler {
namespace {

// Covers the rounding of both clocks to whole milliseconds, and what one gains
// on the other in the seconds that leases last.
constexpr std::int64_t kClockMarginMs = 100;

std::int64_t CeilMilliseconds(base::Duration duration) {
  return duration / std::chrono::milliseconds(1) + 1;
}

}  // namespace

WorkerRecords::WorkerRecords(JobBook* jobs, Fleet* fleet)
    : jobs_(jobs), fleet_(fleet) {
  fleet_->silent.connect(sigc::mem_fun(*this, &WorkerRecords::OnSilent));
  fleet_->answers_again.connect(
      sigc::mem_fun(*this, &WorkerRecords::OnAnswersAgain));
}

void WorkerRecords::Inherit(const workers::WorkerRecord& record,
                            std::int64_t store_now_ms, base::TimePoint now) {
  states_[record.listing.id] = {.names_end = record.leases_end_ms.has_value()};
  std::optional<base::TimePoint> leases_end;
  if (record.leases_end_ms) {
    leases_end =
        now + std::chrono::milliseconds(*record.leases_end_ms - store_now_ms);
  }
  fleet_->Inherit(record.listing, now, leases_end);
}

void WorkerRecords::Update(const std::vector<workers::Listing>& listings) {
  for (const workers::Listing& listing : listings) {
    const auto it = states_.find(listing.id);
    if (it != states_.end() &&
        (it->second.names_end || it->second.is_dropped)) {
      // The fleet may have forgotten it meanwhile, and not know what the store
      // says of it.
      fleet_->Close(listing.id);
    }
    if (it == states_.end() || it->second.is_dropped) {
      Note(listing.id, workers::WorkerRecord{listing, std::nullopt});
    }
  }
  for (auto& [id, state] : states_) {
    if (!state.is_dropped && !fleet_->workers().contains(id)) {
      Note(id, std::nullopt);
    }
  }
}

void WorkerRecords::Note(const base::BackendId& worker,
                         std::optional<workers::WorkerRecord> record) {
  State& state = states_[worker];
  state.names_end = record && record->leases_end_ms.has_value();
  state.is_dropped = !record.has_value();
  ++state.unstored;
  jobs_->NoteWorker(worker,
                    record ? std::optional(workers::EncodeWorkerRecord(*record))
                           : std::nullopt);
}

void WorkerRecords::OnSilent(const workers::Worker& worker,
                             base::TimePoint leases_end) {
  if (!store_clock_) {
    return;
  }
  const std::int64_t leases_end_ms =
      store_clock_->at_most_ms +
      CeilMilliseconds(leases_end - store_clock_->read_at) + kClockMarginMs;
  fleet_->Close(worker.id());
  Note(worker.id(), workers::WorkerRecord{worker.listing(), leases_end_ms});
}

void WorkerRecords::OnAnswersAgain(const workers::Worker& worker,
                                   base::TimePoint now) {
  State& state = states_[worker.id()];
  if (!state.names_end) {
    return;  // The record without an end is on its way.
  }
  if (jobs_->WithdrawWorker(worker.id())) {
    // A store that is away must not keep a worker closed that was silent for a
    // moment.
    state.names_end = false;
    if (--state.unstored == 0) {
      fleet_->Open(worker.id(), now);
    }
    return;
  }
  Note(worker.id(), workers::WorkerRecord{worker.listing(), std::nullopt});
}

void WorkerRecords::OnStored(const StoredBatch& batch, base::TimePoint now) {
  for (const base::BackendId& id : batch.workers) {
    const auto it = states_.find(id);
    if (it == states_.end() || --it->second.unstored > 0) {
      continue;
    }
    if (it->second.is_dropped) {
      states_.erase(it);
    } else if (!it->second.names_end) {
      fleet_->Open(id, now);
    }
  }
}

}  // namespace dotterelbarrow::core::scheduler
