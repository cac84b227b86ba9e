// An exponentially decaying mean of each organisation's urgent demand.
#include "dotterelbarrow/core/placement/cap_headroom.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

namespace dotterelbarrow::core::placement {
namespace {

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Returns by which factor a mean has decayed after `age`.
double DecayAfter(base::Duration age) {
  return std::exp(-Seconds(std::max(age, base::Duration(0))) /
                  Seconds(CapHeadroom::kTimeConstant));
}

std::int64_t Headroom(double demand, std::int64_t cap) {
  return std::llround(
      std::min(demand * CapHeadroom::kPeakFactor,
               static_cast<double>(cap) * CapHeadroom::kMaxFraction));
}

}  // namespace

void CapHeadroom::RecordUrgent(const base::OrganisationId& organisation,
                               const base::Resources& needs,
                               base::Duration duration, base::TimePoint now) {
  Demand& demand = demands_[organisation];
  const double decay = DecayAfter(now - demand.at);
  const double weight = Seconds(duration) / Seconds(kTimeConstant);
  const auto add = [&](double* mean, std::int64_t need) {
    *mean = *mean * decay + weight * static_cast<double>(need);
  };
  add(&demand.cpu, needs.cpu.value());
  add(&demand.memory, needs.memory.value());
  add(&demand.accelerators, needs.accelerators.value());
  demand.at = now;
}

base::Resources CapHeadroom::HeadroomOf(
    const base::OrganisationId& organisation, const base::Resources& cap,
    base::TimePoint now) const {
  const auto it = demands_.find(organisation);
  if (it == demands_.end()) {
    return {};
  }
  const Demand& demand = it->second;
  const double decay = DecayAfter(now - demand.at);
  base::Resources headroom;
  headroom.cpu =
      base::Millicores(Headroom(demand.cpu * decay, cap.cpu.value()));
  headroom.memory =
      base::Mebibytes(Headroom(demand.memory * decay, cap.memory.value()));
  headroom.accelerators = base::Accelerators(
      Headroom(demand.accelerators * decay, cap.accelerators.value()));
  return headroom;
}

}  // namespace dotterelbarrow::core::placement
