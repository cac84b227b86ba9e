// Tracks how long each other entry has been live or voted out.
#include "dotterelbarrow/core/conflicting_owner_detector.h"

namespace dotterelbarrow::core {

ConflictingOwnerDetector::ConflictingOwnerDetector(const NodeSettings* settings,
                                                   const Membership* membership,
                                                   base::TimePoint now)
    : settings_(settings), membership_(membership) {
  for (const EntryRecord& entry : settings->entries) {
    if (entry.entry != settings->self) {
      rivals_.emplace(entry.entry, Missing{});
    }
  }
  Update(now);
}

void ConflictingOwnerDetector::Update(base::TimePoint now) {
  for (auto& [entry, rival] : rivals_) {
    rival = Advance(entry, rival, now);
  }
}

ConflictingOwnerDetector::Rival ConflictingOwnerDetector::Advance(
    const base::EntryId& entry, const Rival& rival, base::TimePoint now) const {
  if (membership_->IsLive(entry)) {
    const bool was_live = std::holds_alternative<LiveSince>(rival);
    return was_live ? rival : LiveSince{now};
  }
  if (std::holds_alternative<VotedOutSince>(rival)) {
    return rival;
  }
  if (membership_->IsVotedOut(entry, now)) {
    return VotedOutSince{now};
  }
  return Missing{};
}

bool ConflictingOwnerDetector::IsClear(base::TimePoint now) const {
  const base::Duration backend =
      WithDrift(*settings_, settings_->backend_lease);
  const base::Duration member = WithDrift(*settings_, settings_->member_lease);
  struct Visitor {
    base::TimePoint now;
    base::Duration backend;
    base::Duration member;
    bool operator()(const LiveSince& live) const {
      return now - live.when >= member + backend;
    }
    bool operator()(const Missing&) const { return false; }
    bool operator()(const VotedOutSince& out) const {
      return now - out.when >= backend;
    }
  };
  for (const auto& [entry, rival] : rivals_) {
    if (!std::visit(Visitor{now, backend, member}, rival)) {
      return false;
    }
  }
  return true;
}

}  // namespace dotterelbarrow::core
