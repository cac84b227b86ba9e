// Tracks which entries are alive and whether this one may grant leases.
//
// Each member sends heartbeats to a few peers per period, in round-robin order,
// and acknowledges those that it receives. Heartbeats carry what the sender
// knows of all members (gossip), so that no member needs to hear from every
// other one directly.
//
// Two separate mechanisms are offered. `live()` is a fast estimate that
// determines the owners of shards and partitions. `holds_lease()` and
// `IsVotedOut()` are slower and safe: a member grants leases only while a
// majority of the configured entries has acknowledged it within the membership
// lease. Work that may still be running under its leases may be started
// elsewhere only after a majority has voted that it has not acknowledged the
// member for slightly longer than that. Any two majorities share a member, so
// both conditions never hold at once. Votes count only while all of the
// majority are younger than `kVoteWindow`, and each voter adds that window to
// the lease before it votes. So there was one instant at which none of the
// voters had acknowledged the member for a whole lease.
#ifndef DOTTERELBARROW_CORE_MEMBERSHIP_H_
#define DOTTERELBARROW_CORE_MEMBERSHIP_H_

#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <tuple>
#include <vector>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/outbox.h"
#include "dotterelbarrow/core/settings.h"

namespace dotterelbarrow::core {

class Membership {
 public:
  // Votes older than this are ignored.
  static constexpr base::Duration kVoteWindow = std::chrono::seconds(2);

  // `settings` and `outbox` must outlive this object.
  Membership(const NodeSettings* settings, Outbox* outbox, base::TimePoint now);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Updates holds_lease(). Must be called first on every input and tick, before
  // anything else is handled, so that a lease that expired while the process
  // was paused is noticed.
  void CheckLease(base::TimePoint now);
  // Sends heartbeats when due and removes members that timed out from live().
  void Tick(base::TimePoint now);
  void OnHeartbeat(const base::EntryId& from, base::Incarnation incarnation,
                   const Heartbeat& heartbeat, base::TimePoint now);
  void OnHeartbeatAck(const base::EntryId& from, const HeartbeatAck& ack,
                      base::TimePoint now);

  // Set what the following heartbeats report about this member.
  void set_capacity_summary(const CapacitySummary& room);
  void set_config_version(base::ConfigVersion version);
  void BeginLeaving();
  bool leaving() const;

  const base::EntryId& self() const { return settings_->self; }
  // The members believed to be alive, including this one; sorted.
  const std::vector<base::EntryId>& live() const { return live_; }
  bool IsLive(const base::EntryId& entry) const;
  // Whether a majority of the configured members is live. A member that is cut
  // off from the others loses this well before its membership lease.
  bool sees_majority() const { return live_.size() >= majority(); }
  // Returns the latest record of `entry`, or null if none was ever received.
  const MemberRecord* FindMember(const base::EntryId& entry) const;
  // Returns the live member that owns `subject` by rendezvous hashing. Members
  // that are leaving own nothing while others stay. If any live member is in
  // the availability zone `preferred`, only those in it are considered.
  base::EntryId OwnerOf(
      std::string_view subject,
      const base::AvailabilityZone& preferred = base::AvailabilityZone()) const;

  // Incremented whenever the results of OwnerOf() may have changed.
  std::uint64_t owners_version() const { return owners_version_; }

  // Whether a majority has acknowledged this member within its membership
  // lease.
  bool holds_lease() const { return holds_lease_; }
  // Incremented each time the membership lease was lost. Everything owned in an
  // earlier term is void and must be claimed again under a new epoch.
  std::uint64_t lease_term() const { return lease_term_; }
  // Whether a majority, counting this member, currently votes that it has not
  // acknowledged `entry` for the whole membership lease.
  bool IsVotedOut(const base::EntryId& entry, base::TimePoint now) const;

  // Emitted when live() changed, when a live member began to leave, restarted
  // or lost its lease in the meantime, or when this member lost or regained its
  // own lease.
  sigc::signal<void(base::TimePoint)>& changed() { return changed_; }

 private:
  // What this member knows about another member.
  struct Peer {
    MemberRecord record;
    // When a newer record was last received; absent if none ever was.
    std::optional<base::TimePoint> heard;
    // How many heartbeats have relayed the record since then.
    std::uint32_t relays = 0;
    // When this member last acknowledged a heartbeat of the peer.
    std::optional<base::TimePoint> acknowledged;
    // Send time of the latest own heartbeat that the peer acknowledged.
    std::optional<base::TimePoint> acked_us;
    // Send times of unacknowledged heartbeats to the peer, by sequence number.
    std::map<std::uint64_t, base::TimePoint> unacknowledged;
    // The peer's latest votes, and the send time of the heartbeat whose
    // acknowledgement carried them.
    std::vector<base::EntryId> votes_dead;
    std::optional<base::TimePoint> voted;
  };

  // A live member, as OwnerOf() ranks it.
  struct Candidate {
    base::EntryId entry;
    base::AvailabilityZone availability_zone;
    bool leaving = false;
  };

  const MemberRecord& self_record() const;
  MemberRecord& self_record();
  std::size_t majority() const { return settings_->entries.size() / 2 + 1; }
  void SendHeartbeats(base::TimePoint now);
  void Merge(const MemberRecord& record, bool has_room, base::TimePoint now);
  bool RecomputeLive(base::TimePoint now);
  void RebuildCandidates();
  // Whether this member votes that the lease of the peer has expired.
  bool VotesLeaseExpired(const base::EntryId& entry, const Peer& peer,
                         base::TimePoint now) const;
  // How many peers receive a heartbeat each period.
  std::size_t PeersPerPeriod() const;
  // Adds the records that were relayed the fewest times, and among those the
  // most recently received.
  void AddRelayedRecords(std::vector<MemberRecord>* records);
  std::vector<base::EntryId> LeaseExpiredVotes(base::TimePoint now) const;

  const NodeSettings* settings_;
  Outbox* outbox_;
  base::TimePoint started_;
  base::TimePoint next_heartbeat_;
  std::uint64_t sequence_ = 0;
  // Invariant: holds one Peer for each configured entry, including this one.
  std::map<base::EntryId, Peer> peers_;
  // Peers in the order in which heartbeats are sent to them.
  std::vector<base::EntryId> rotation_;
  std::size_t next_peer_ = 0;
  // Sorted.
  std::vector<base::EntryId> live_;
  // For each of live_: whether it is leaving, its incarnation and its lease
  // term. An entry that restarts within the member timeout never leaves live_,
  // but changes here.
  using LiveState = std::tuple<bool, base::Incarnation, std::uint64_t>;
  std::vector<LiveState> live_states_;
  // Invariant: the live members, in the order of the settings.
  std::vector<Candidate> candidates_;
  std::uint64_t owners_version_ = 0;
  bool holds_lease_ = false;
  // Until then, every configured entry counts as live.
  base::TimePoint all_live_until_;
  std::uint64_t lease_term_ = 0;
  sigc::signal<void(base::TimePoint)> changed_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_MEMBERSHIP_H_
