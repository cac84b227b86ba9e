// Keeps track of which workers and services are evacuated.
#include <utility>

#include "dotterelbarrow/core/scheduler/fleet.h"

namespace dotterelbarrow::core::scheduler {

void Fleet::SetEvacuatedZones(std::set<base::AvailabilityZone> zones) {
  // An empty zone means that a worker's zone is unknown.
  zones.erase(base::AvailabilityZone());
  evacuated_zones_ = std::move(zones);
  UpdateEvacuation();
}

void Fleet::UpdateEvacuation() {
  if (evacuated_zones_.empty() && evacuated_workers_ == 0) {
    evacuated_services_.clear();
    return;
  }
  evacuated_workers_ = 0;
  evacuated_services_.clear();
  std::set<base::ServiceId> open_services;
  for (auto& [id, worker] : workers_) {
    worker.set_evacuated(IsInEvacuatedZone(worker));
    evacuated_workers_ += worker.is_evacuated() ? 1 : 0;
    if (!worker.is_listed()) {
      continue;
    }
    if (worker.is_evacuated()) {
      evacuated_services_.insert(worker.listing().service);
    } else if (!worker.listing().draining) {
      open_services.insert(worker.listing().service);
    }
  }
  for (const base::ServiceId& service : open_services) {
    evacuated_services_.erase(service);
  }
}

}  // namespace dotterelbarrow::core::scheduler
