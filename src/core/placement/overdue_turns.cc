// Chooses whose turn it is, and how long until the next turn.
#include "dotterelbarrow/core/placement/overdue_turns.h"

#include <algorithm>
#include <utility>

namespace dotterelbarrow::core::placement {

void OverdueTurns::Remove(const jobs::StepRef& step) {
  waits_.erase(step);
  if (current_ == step) {
    current_.reset();
  }
}

void OverdueTurns::OnPlaced(const jobs::StepRef& step, double share,
                            base::Duration run_time, base::TimePoint now) {
  if (current_ == step) {
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
    next_turn_ = now + kRest;
  }
  if (current_ || now < next_turn_) {
    return;
  }
  const Wait* first = nullptr;
  for (const auto& [step, wait] : waits_) {
    if (!IsDue(wait, now)) {
      continue;
    }
    if (first == nullptr ||
        std::pair(wait.pairs_of_turns(), wait.since) <
            std::pair(first->pairs_of_turns(), first->since)) {
      first = &wait;
      current_ = step;
    }
  }
  if (first != nullptr) {
    turn_ends_ = now + std::min(kFirstTurn * (first->vain_turns + 1), kMaxTurn);
  }
}

}  // namespace dotterelbarrow::core::placement
