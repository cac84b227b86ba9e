// Counts what is left in evacuated zones, and logs the changes.
#include "dotterelbarrow/core/scheduler/evacuation_monitor.h"

#include <cstdint>

namespace dotterelbarrow::core::scheduler {

void EvacuationMonitor::Update(const Fleet& fleet, base::TimePoint now) {
  const bool has_any =
      !evacuations_.empty() || !fleet.evacuated_zones().empty();
  if (has_any && now - updated_at_ >= kInterval) {
    UpdateNow(fleet, now);
  }
}

void EvacuationMonitor::UpdateNow(const Fleet& fleet, base::TimePoint now) {
  // Before that it is not known which zones have workers.
  if (!fleet.has_list()) {
    return;
  }
  updated_at_ = now;
  for (const base::AvailabilityZone& zone : fleet.evacuated_zones()) {
    Evacuation& evacuation =
        evacuations_.try_emplace(zone, Evacuation{.begun_at = now})
            .first->second;
    evacuation.workers = 0;
    evacuation.runs = 0;
  }
  for (const auto& [id, worker] : fleet.workers()) {
    const auto it = evacuations_.find(worker.listing().zone);
    if (worker.is_evacuated() && it != evacuations_.end()) {
      it->second.workers += worker.is_listed() ? 1 : 0;
      it->second.runs += worker.runs().size();
    }
  }
  const auto milliseconds = [](base::Duration duration) {
    return static_cast<std::int64_t>(duration / std::chrono::milliseconds(1));
  };
  for (auto it = evacuations_.begin(); it != evacuations_.end();) {
    const auto& zone = it->first;
    Evacuation& evacuation = it->second;
    const auto runs = static_cast<std::int64_t>(evacuation.runs);
    if (!fleet.evacuated_zones().contains(zone)) {
      if (evacuation.has_begun) {
        log_->Write("evacuation_ended",
                    {{"zone", zone.value()},
                     {"runs", runs},
                     {"after_ms", milliseconds(now - evacuation.begun_at)}});
      }
      it = evacuations_.erase(it);
      continue;
    }
    if (!evacuation.has_begun && evacuation.workers > 0) {
      evacuation.has_begun = true;
      evacuation.begun_at = now;
      log_->Write("evacuation_begun",
                  {{"zone", zone.value()},
                   {"workers", static_cast<std::int64_t>(evacuation.workers)},
                   {"runs", runs}});
    } else if (!evacuation.has_begun && !evacuation.is_unknown_logged) {
      evacuation.is_unknown_logged = true;
      log_->Write("evacuation_without_workers", {{"zone", zone.value()}});
    }
    // Workers of a previous owner may have runs there that aren't known yet.
    const bool is_empty = evacuation.has_begun && evacuation.runs == 0 &&
                          fleet.unreconciled().empty();
    if (is_empty && !evacuation.is_empty) {
      log_->Write("evacuation_complete",
                  {{"zone", zone.value()},
                   {"after_ms", milliseconds(now - evacuation.begun_at)}});
    }
    evacuation.is_empty = evacuation.is_empty || is_empty;
    ++it;
  }
}

std::size_t EvacuationMonitor::zones() const {
  std::size_t zones = 0;
  for (const auto& [zone, evacuation] : evacuations_) {
    zones += evacuation.has_begun ? 1 : 0;
  }
  return zones;
}

std::size_t EvacuationMonitor::runs() const {
  std::size_t runs = 0;
  for (const auto& [zone, evacuation] : evacuations_) {
    runs += evacuation.runs;
  }
  return runs;
}

}  // namespace dotterelbarrow::core::scheduler
