// Leader election: which entry host owns a shard of the cell is decided by one
// row of the store.
//
// The row, the ownership record, names the owner and its fencing token. Each
// write of the owner is a transaction that expects the record's current version
// and writes the record again. Therefore
// - a previous owner can't write any more once another host has written the
//   record,
// - a write without an answer can be resent unchanged and takes effect once,
// - a change of the record's version shows that the owner is alive.
// Clocks matter only for how soon an unresponsive owner is replaced.
#ifndef DOTTERELBARROW_CORE_LEADERSHIP_LEADERSHIP_H_
#define DOTTERELBARROW_CORE_LEADERSHIP_LEADERSHIP_H_

#include <cstdint>
#include <optional>
#include <string>

#include "dotterelbarrow/base/failure.h"
#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/scheduler/actions.h"

namespace dotterelbarrow::core::leadership {

using scheduler::FencingToken;

// The contents of the ownership record.
struct OwnershipRecord {
  // The highest of the owner's tokens (see scheduler::kTokensPerTerm).
  FencingToken token{};
  base::EntryId holder{};
  base::Incarnation incarnation{};
  // The holder's address for calls from other entry hosts: "ip:port".
  std::string address{};
  // Counts the writes under this token.
  std::uint64_t sequence = 0;
  // Whether the holder has resigned, so that the cell is free.
  bool is_resigned = false;
  // Until when, on the store's clock, owners before the holder may have granted
  // leases to workers, while some of these workers may still be theirs; 0 if no
  // worker may. Earlier versions of this program don't write it.
  std::int64_t earlier_owners_until_ms = 0;

  friend bool operator==(const OwnershipRecord&,
                         const OwnershipRecord&) = default;
};

std::string EncodeOwnershipRecord(const OwnershipRecord& head);
// Returns nullopt and sets `reason` if `text` is malformed.
std::optional<OwnershipRecord> DecodeOwnershipRecord(const std::string& text,
                                                     base::Failure* reason);

struct LeadershipSettings {
  base::EntryId self;
  base::Incarnation incarnation;
  std::string address;
  // Owners hold higher tokens than this one, also the first.
  FencingToken last_token{};
  // An owner that has nothing else to write renews the record this often.
  base::Duration renewal_period = std::chrono::milliseconds(200);
  // An owner whose record didn't change for this long is replaced: neither its
  // writes nor their retries took effect. If reads are slow, writes are slow
  // too, so `latency_factor` times the latency of the last read is added.
  base::Duration owner_timeout = std::chrono::milliseconds(1100);
  // The same for an owner that has also left calls unanswered for as long: two
  // renewal periods.
  base::Duration unresponsive_owner_timeout = std::chrono::milliseconds(400);
  int latency_factor = 4;
  // Two reads of an unchanged record further apart than this don't show that
  // the owner stopped writing: the store may have been unavailable to both
  // hosts in between.
  base::Duration max_read_gap = std::chrono::milliseconds(1000);
  // How long an owner continues to command workers after its last confirmed
  // write.
  base::Duration ownership_lease = scheduler::kOwnershipLease;
};

enum class Role {
  kFollower,
  kClaiming,  // Its write of the ownership record is in flight.
  kOwner,
};

// A write of the ownership record under the condition that the record's version
// is `expected`; version 0 means that the record doesn't exist.
struct OwnershipWrite {
  base::RowVersion expected;
  OwnershipRecord record;
};

enum class ConflictOutcome {
  kTookEffect,  // An earlier attempt of this write had taken effect.
  kReplaced,    // Another entry host owns the cell.
};

// The leadership state of one entry host. It sends nothing itself: the caller
// reads and writes the record and reports the outcomes here.
class Leadership {
 public:
  explicit Leadership(LeadershipSettings settings)
      : settings_(std::move(settings)) {}

  Role role() const { return role_; }
  // The highest of this host's fencing tokens. Meaningful only while it is the
  // owner.
  FencingToken token() const { return own_record_.token; }
  // Whether this host's last term ended by its resignation.
  bool has_resigned() const { return own_record_.is_resigned; }
  // Whether it is proven that the previous owner commands no worker any more:
  // there was none, it was an earlier term of this host, or OnOwnerStopped was
  // called for it. A free cell alone proves nothing: the owner may be cut off
  // from this host, offer the cell while it commands, or not know yet that its
  // resignation is stored.
  bool has_previous_owner_stopped() const;
  // The previous owner; null if there was none.
  const OwnershipRecord* previous_owner() const {
    return previous_owner_ ? &*previous_owner_ : nullptr;
  }
  // Returns the record of the current owner as far as this host knows, which
  // may be this host itself; null if the cell is free.
  const OwnershipRecord* owner() const;
  // Records what another host reported as the ownership record. It is used only
  // while this host has read no newer record itself, and never leads to a
  // claim.
  void OnPeerRecord(const OwnershipRecord& head);

  // Records the result of a read of the ownership record that took `latency`;
  // `head` is nullopt if the record doesn't exist.
  void OnRead(const std::optional<OwnershipRecord>& head,
              base::RowVersion version, base::Duration latency,
              base::TimePoint now);
  // Records that the owner need not be waited for, because its address refuses
  // connections or because it offers the cell: the cell may be claimed sooner.
  // A network can refuse connections as well, so the owner may still command
  // workers.
  void OnOwnerReplaceable();
  // Records that the owner with this token commands no worker any more and
  // never will. If it is still in the record, the cell may be claimed sooner.
  void OnOwnerStopped(FencingToken token);
  // Records that `host` sent a heartbeat as a follower of the owner with this
  // token; nullopt if it didn't say which, as earlier versions don't. If it was
  // the previous owner and follows this term, it has stopped. A heartbeat to an
  // earlier term proves nothing: it may have been delayed, and the host may
  // have become the owner since.
  void OnFollower(const base::EntryId& host, std::optional<FencingToken> owner);
  // Records that the store's clock showed `store_ms` at some time after
  // `sent_at`.
  void OnStoreClock(std::int64_t store_ms, base::TimePoint sent_at);
  // Records that no worker can be an earlier owner's any more: this owner has
  // claimed each of them, or its leases have expired. The next write says so.
  void OnEarlierOwnersSettled() { are_earlier_owners_settled_ = true; }
  // Sets whether the owner has been leaving this host's calls unanswered.
  void set_owner_unresponsive(bool is_unresponsive) {
    is_owner_unresponsive_ = is_unresponsive;
  }

  // Sets how long the cell must have been free before this host claims it, so
  // that hosts with more capacity can claim it first.
  void set_claim_delay(base::Duration delay) { claim_delay_ = delay; }
  // Returns the write that makes this host the owner, or nullopt if the cell is
  // not free or the host's knowledge of the record is outdated.
  std::optional<OwnershipWrite> BeginClaim(base::TimePoint now);
  // Returns the record for the owner's next write. Precondition: this host is
  // the owner and no write is in flight.
  OwnershipWrite BeginWrite(base::TimePoint now);
  // Returns the write by which the owner resigns. Precondition: as for
  // `BeginWrite`.
  OwnershipWrite BeginResignation(base::TimePoint now);
  // Records that the write in flight took effect and gave the record this
  // version.
  void OnWritten(base::RowVersion version, base::TimePoint now);
  // Records that the write in flight failed its version condition; `head` and
  // `version` are the record found instead. Returns whether an earlier attempt
  // of the same write had taken effect.
  ConflictOutcome OnConflict(const std::optional<OwnershipRecord>& head,
                             base::RowVersion version, base::TimePoint now);
  // Makes this host a follower, for example when it learns by other means that
  // it was replaced.
  void StepDown();

  bool IsRenewalDue(base::TimePoint now) const {
    return role_ == Role::kOwner && !write_ &&
           now - confirmed_at_ >= settings_.renewal_period;
  }
  // Returns when the write began that was confirmed last: this host was still
  // the owner then. Meaningful only while it is the owner.
  base::TimePoint confirmed_at() const { return confirmed_at_; }
  // Returns whether this host is the owner and may still command workers.
  bool HoldsOwnershipLease(base::TimePoint now) const {
    return role_ == Role::kOwner &&
           now - confirmed_at_ < settings_.ownership_lease;
  }

 private:
  void BecomeOwner(base::RowVersion version);
  // Returns until when owners before this host may grant leases, if this host
  // claims the cell now. They include the previous owner of a cell that changes
  // its owner twice within an ownership lease.
  std::int64_t EarlierOwnersUntil(base::TimePoint now) const;

  LeadershipSettings settings_;
  Role role_ = Role::kFollower;
  // The record as last read, and the start of the period in which it was read
  // without gaps (see `max_read_gap`) and stayed unchanged.
  std::optional<OwnershipRecord> seen_;
  base::RowVersion seen_version_;
  bool was_read_ = false;
  base::TimePoint unchanged_since_;
  base::TimePoint last_read_;
  base::Duration read_latency_{0};
  bool is_owner_replaceable_ = false;
  // The last owner that is known to have stopped.
  std::optional<FencingToken> stopped_owner_;
  bool is_owner_unresponsive_ = false;
  std::optional<OwnershipRecord> relayed_;
  base::Duration claim_delay_{0};
  std::optional<base::TimePoint> free_since_;
  std::optional<OwnershipRecord> previous_owner_;
  // What the store's clock shows at most, minus the clock of this host.
  std::optional<base::Duration> store_clock_offset_;
  bool are_earlier_owners_settled_ = false;
  OwnershipRecord own_record_;
  base::RowVersion own_version_;
  // Invariant: set while a write is in flight.
  std::optional<OwnershipWrite> write_;
  base::TimePoint write_sent_at_;
  base::TimePoint confirmed_at_;
};

}  // namespace dotterelbarrow::core::leadership

#endif  // DOTTERELBARROW_CORE_LEADERSHIP_LEADERSHIP_H_
