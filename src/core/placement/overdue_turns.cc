// Chooses whose turn it is, and how long until the next turn.
#include "dotterelbarrow/core/placement/overdue_turns.h"

#include <algorithm>
#include <tuple>

namespace dotterelbarrow::core::placement {

void OverdueTurns::Remove(const jobs::StepRef& step) {
  waits_.erase(step);
  if (current_ == step) {
    current_.reset();
  }
}

void OverdueTurns::OnPlaced(const jobs::StepRef& step,
                            const base::Resources& needs,
                            base::Duration run_time,
                            const base::Resources& fleet_capacity,
                            base::TimePoint now) {
  if (current_ == step) {
    const double share = base::DominantFraction(needs, fleet_capacity);
    next_within_share_ = now + std::chrono::duration_cast<base::Duration>(
                                   run_time * (share / kMaxShare));
  }
  Remove(step);
}

bool OverdueTurns::IsDue(const Wait& wait, base::TimePoint now) const {
  return wait.is_light
             ? now - wait.since >= kPatienceIfLight
             : now - wait.since >= kPatience && now >= next_within_share_;
}

void OverdueTurns::Update(base::TimePoint now) {
  if (current_ && now >= turn_ends_) {
    ++waits_.at(*current_).vain_turns;
    current_.reset();
    next_turn_ = now + kMaxTurn;
  }
  if (current_ || now < next_turn_) {
    return;
  }
  const Wait* first = nullptr;
  for (const auto& [step, wait] : waits_) {
    if (!IsDue(wait, now)) {
      continue;
    }
    if (first == nullptr || std::tie(wait.vain_turns, wait.since) <
                                std::tie(first->vain_turns, first->since)) {
      first = &wait;
      current_ = step;
    }
  }
  turn_ends_ = now + kMaxTurn;
}

}  // namespace dotterelbarrow::core::placement
