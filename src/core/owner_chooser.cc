// Chooses the less utilised of two random owners with free capacity.
#include "dotterelbarrow/core/owner_chooser.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace dotterelbarrow::core {
namespace {

// Returns how many pieces of `need` fit into `total`, if `total` consists of
// blocks of `largest` and one smaller remainder. Leftovers of different blocks
// are not combined.
std::int64_t PiecesThatFit(std::int64_t need, std::int64_t total,
                           std::int64_t largest) {
  if (total <= 0 || largest <= 0) {
    return 0;
  }
  const std::int64_t blocks = total / largest;
  const std::int64_t remainder = total % largest;
  return blocks * (largest / need) + remainder / need;
}

}  // namespace

OwnerChooser::OwnerChooser(const Membership* membership, std::uint64_t seed)
    : membership_(membership), random_(seed) {}

base::Resources OwnerChooser::Free(const MemberRecord& record) const {
  const auto it = charged_.find(record.entry);
  if (it == charged_.end() || it->second.incarnation != record.incarnation ||
      it->second.counter != record.counter) {
    return record.room.free_total;
  }
  return record.room.free_total - it->second.demand;
}

bool OwnerChooser::HasRoom(const MemberRecord& record,
                           const base::Resources& demand) const {
  return demand.FitsIn(record.room.free_largest) && demand.FitsIn(Free(record));
}

std::optional<base::EntryId> OwnerChooser::Choose(
    const base::Resources& demand) {
  std::vector<const MemberRecord*> with_capacity;
  std::vector<const MemberRecord*> large_enough;
  for (const base::EntryId& entry : membership_->live()) {
    const MemberRecord* record = membership_->FindMember(entry);
    if (record == nullptr || !demand.FitsIn(record->room.capacity_largest)) {
      continue;
    }
    large_enough.push_back(record);
    if (HasRoom(*record, demand)) {
      with_capacity.push_back(record);
    }
  }
  const std::vector<const MemberRecord*>& from =
      with_capacity.empty() ? large_enough : with_capacity;
  if (from.empty()) {
    return std::nullopt;
  }
  const MemberRecord* first = from[random_() % from.size()];
  const MemberRecord* second = from[random_() % from.size()];
  const auto utilisation = [this](const MemberRecord* record) {
    return base::DominantFraction(record->room.capacity - Free(*record),
                                  record->room.capacity);
  };
  return utilisation(first) <= utilisation(second) ? first->entry
                                                   : second->entry;
}

std::uint64_t OwnerChooser::TasksThatFit(const base::EntryId& owner,
                                         const base::Resources& demand) const {
  const MemberRecord* record = membership_->FindMember(owner);
  if (record == nullptr || !demand.FitsIn(record->room.free_largest)) {
    return 0;
  }
  const base::Resources free = Free(*record);
  const base::Resources& largest = record->room.free_largest;
  std::int64_t fit = std::numeric_limits<std::int32_t>::max();
  const auto limit_by = [&](auto member) {
    const std::int64_t need = (demand.*member).value();
    if (need > 0) {
      fit = std::min(fit, PiecesThatFit(need, (free.*member).value(),
                                        (largest.*member).value()));
    }
  };
  limit_by(&base::Resources::cpu);
  limit_by(&base::Resources::memory);
  limit_by(&base::Resources::accelerators);
  limit_by(&base::Resources::slots);
  return static_cast<std::uint64_t>(fit);
}

void OwnerChooser::Charge(const base::EntryId& owner,
                          const base::Resources& demand) {
  const MemberRecord* record = membership_->FindMember(owner);
  if (record == nullptr) {
    return;
  }
  Charged& charged = charged_[owner];
  if (charged.incarnation != record->incarnation ||
      charged.counter != record->counter) {
    charged = {record->incarnation, record->counter, {}};
  }
  charged.demand += demand;
}

}  // namespace dotterelbarrow::core
