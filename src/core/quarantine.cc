// Implements the states of a backend server's quarantine.
#include "dotterelbarrow/core/quarantine.h"

namespace dotterelbarrow::core {

Quarantine::Quarantine() : state_(Healthy{}) {}

bool Quarantine::Admits() const {
  if (const auto* probing = std::get_if<Probing>(&state_)) {
    return !probing->started;
  }
  return std::holds_alternative<Healthy>(state_);
}

void Quarantine::OnStart() {
  if (auto* probing = std::get_if<Probing>(&state_)) {
    probing->started = true;
  }
}

void Quarantine::OnSuccess() {
  // The success of a task that was started before the quarantine doesn't end
  // it.
  if (!std::holds_alternative<Isolated>(state_)) {
    state_ = Healthy{};
  }
}

bool Quarantine::OnFailure(std::size_t job, const NodeSettings& settings,
                           base::TimePoint now) {
  if (auto* healthy = std::get_if<Healthy>(&state_)) {
    if (healthy->failures++ == 0) {
      healthy->first_job = job;
    }
    healthy->several_jobs |= job != healthy->first_job;
    if (healthy->failures < settings.quarantine_failures ||
        !healthy->several_jobs) {
      return false;
    }
  } else if (std::holds_alternative<Isolated>(state_)) {
    return false;
  }
  state_ = Isolated{now + settings.quarantine_period};
  return true;
}

void Quarantine::OnInconclusiveEnd() {
  if (auto* probing = std::get_if<Probing>(&state_)) {
    probing->started = false;
  }
}

bool Quarantine::Update(base::TimePoint now) {
  const auto* isolated = std::get_if<Isolated>(&state_);
  if (isolated == nullptr || now < isolated->until) {
    return false;
  }
  state_ = Probing{};
  return true;
}

}  // namespace dotterelbarrow::core
