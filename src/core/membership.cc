// Heartbeats, the membership lease and the votes that a member has lost its
// lease.
#include "dotterelbarrow/core/membership.h"

#include <algorithm>
#include <set>
#include <utility>

#include "dotterelbarrow/base/hash.h"

namespace dotterelbarrow::core {
namespace {

// Records of other members that one heartbeat carries.
constexpr std::size_t kRecordsPerHeartbeat = 8;

// Each peer is sent a heartbeat at least once within this share of the member
// timeout. Relayed records alone are not enough: once there are more entries
// than a heartbeat carries, now and then no news of some member arrives for
// that long.
constexpr base::Duration::rep kRoundPermille = 800;

// Limit of heartbeats per peer whose acknowledgements are awaited.
constexpr std::size_t kUnacknowledgedPerPeer = 64;

bool IsNewer(const MemberRecord& a, const MemberRecord& b) {
  return std::pair(a.incarnation, a.counter) >
         std::pair(b.incarnation, b.counter);
}

}  // namespace

Membership::Membership(const NodeSettings* settings, Outbox* outbox,
                       base::TimePoint now)
    : settings_(settings),
      outbox_(outbox),
      started_(now),
      next_heartbeat_(now) {
  for (const EntryRecord& entry : settings->entries) {
    peers_[entry.entry].record.entry = entry.entry;
    if (entry.entry != settings->self) {
      rotation_.push_back(entry.entry);
    }
  }
  Peer& self = peers_[settings->self];
  self.record.entry = settings->self;
  self.record.incarnation = settings->incarnation;
  // Entries start their rotations at different peers, so that they do not all
  // send to the same peers at the same time.
  if (!rotation_.empty()) {
    next_peer_ = base::StableHash(settings->self.value()) % rotation_.size();
  }
  RecomputeLive(now);
  CheckLease(now);
}

const MemberRecord& Membership::self_record() const {
  return peers_.at(settings_->self).record;
}

MemberRecord& Membership::self_record() {
  return peers_.at(settings_->self).record;
}

void Membership::set_capacity_summary(const CapacitySummary& room) {
  self_record().room = room;
}

void Membership::set_config_version(base::ConfigVersion version) {
  self_record().config_version = version;
}

bool Membership::leaving() const { return self_record().leaving; }

void Membership::BeginLeaving() {
  self_record().leaving = true;
  ++self_record().counter;
  RebuildCandidates();
}

void Membership::CheckLease(base::TimePoint now) {
  std::size_t supporters = 1;
  for (const auto& [entry, peer] : peers_) {
    if (entry != settings_->self && peer.acked_us &&
        now - *peer.acked_us < settings_->member_lease) {
      ++supporters;
    }
  }
  const bool holds = supporters >= majority();
  if (holds == holds_lease_) {
    return;
  }
  holds_lease_ = holds;
  if (holds) {
    // Acknowledgements arrive before records of all members do. Until then,
    // members not heard of yet count as live; otherwise a process that has just
    // started or resumed would take over everything.
    all_live_until_ = now + settings_->member_timeout;
    RecomputeLive(now);
  } else {
    ++lease_term_;
    self_record().lease_term = lease_term_;
  }
  changed_.emit(now);
}

void Membership::Tick(base::TimePoint now) {
  if (now >= next_heartbeat_) {
    next_heartbeat_ = now + settings_->heartbeat_period;
    ++self_record().counter;
    SendHeartbeats(now);
  }
  if (RecomputeLive(now)) {
    changed_.emit(now);
  }
}

std::size_t Membership::PeersPerPeriod() const {
  const base::Duration round =
      settings_->member_timeout * kRoundPermille / 1000;
  const auto periods = std::max<std::size_t>(
      static_cast<std::size_t>(round / settings_->heartbeat_period), 1);
  const std::size_t needed = (rotation_.size() + periods - 1) / periods;
  const std::size_t wanted =
      std::max<std::size_t>(settings_->heartbeat_fanout, needed);
  return std::min(wanted, rotation_.size());
}

void Membership::SendHeartbeats(base::TimePoint now) {
  const std::size_t count = PeersPerPeriod();
  for (std::size_t i = 0; i < count; ++i) {
    const base::EntryId& to = rotation_[next_peer_];
    next_peer_ = (next_peer_ + 1) % rotation_.size();
    Peer& peer = peers_.at(to);
    peer.unacknowledged[++sequence_] = now;
    if (peer.unacknowledged.size() > kUnacknowledgedPerPeer) {
      peer.unacknowledged.erase(peer.unacknowledged.begin());
    }
    const bool brief = i >= settings_->heartbeat_fanout;
    Heartbeat heartbeat{sequence_, brief, {self_record()}};
    if (brief) {
      heartbeat.members.front().room = CapacitySummary();
    } else {
      AddRelayedRecords(&heartbeat.members);
    }
    outbox_->SendToPeer(to, std::move(heartbeat));
  }
}

void Membership::AddRelayedRecords(std::vector<MemberRecord>* records) {
  std::vector<Peer*> heard;
  for (auto& [entry, peer] : peers_) {
    if (entry != settings_->self && peer.heard) {
      heard.push_back(&peer);
    }
  }
  const std::size_t count = std::min(heard.size(), kRecordsPerHeartbeat);
  std::partial_sort(
      heard.begin(), heard.begin() + static_cast<std::ptrdiff_t>(count),
      heard.end(), [](const Peer* a, const Peer* b) {
        return std::pair(a->relays, b->heard) < std::pair(b->relays, a->heard);
      });
  heard.resize(count);
  for (Peer* peer : heard) {
    ++peer->relays;
    records->push_back(peer->record);
    records->back().room = CapacitySummary();
  }
}

void Membership::OnHeartbeat(const base::EntryId& from,
                             base::Incarnation incarnation,
                             const Heartbeat& heartbeat, base::TimePoint now) {
  const auto it = peers_.find(from);
  if (it == peers_.end() || from == settings_->self ||
      incarnation < it->second.record.incarnation) {
    return;  // Unknown entry, or an earlier incarnation.
  }
  for (const MemberRecord& record : heartbeat.members) {
    Merge(record, record.entry == from && !heartbeat.brief, now);
  }
  it->second.acknowledged = now;
  outbox_->SendToPeer(
      from, HeartbeatAck{heartbeat.sequence, incarnation,
                         self_record().config_version, LeaseExpiredVotes(now)});
  if (RecomputeLive(now)) {
    changed_.emit(now);
  }
}

void Membership::Merge(const MemberRecord& record, bool has_room,
                       base::TimePoint now) {
  const auto it = peers_.find(record.entry);
  if (it == peers_.end() || record.entry == settings_->self) {
    return;
  }
  Peer& peer = it->second;
  if (!peer.heard || IsNewer(record, peer.record)) {
    const CapacitySummary room = has_room ? record.room : peer.record.room;
    peer.record = record;
    peer.record.room = room;
    peer.heard = now;
    peer.relays = 0;
  }
}

void Membership::OnHeartbeatAck(const base::EntryId& from,
                                const HeartbeatAck& ack, base::TimePoint now) {
  const auto it = peers_.find(from);
  if (it == peers_.end() || ack.incarnation != settings_->incarnation) {
    return;
  }
  Peer& peer = it->second;
  const auto sent = peer.unacknowledged.find(ack.sequence);
  if (sent == peer.unacknowledged.end()) {
    return;
  }
  const base::TimePoint sent_at = sent->second;
  peer.acked_us = std::max(peer.acked_us.value_or(sent_at), sent_at);
  if (!peer.voted || sent_at >= *peer.voted) {
    peer.voted = sent_at;
    peer.votes_dead = ack.votes_dead;
  }
  peer.unacknowledged.erase(peer.unacknowledged.begin(), std::next(sent));
  CheckLease(now);
}

bool Membership::RecomputeLive(base::TimePoint now) {
  std::vector<base::EntryId> live;
  for (const auto& [entry, peer] : peers_) {
    const bool is_self = entry == settings_->self;
    if (is_self || now < all_live_until_ ||
        (peer.heard && now - *peer.heard < settings_->member_timeout)) {
      live.push_back(entry);
    }
  }
  std::vector<LiveState> states;
  states.reserve(live.size());
  for (const base::EntryId& entry : live) {
    const MemberRecord& record = peers_.at(entry).record;
    states.emplace_back(record.leaving, record.incarnation, record.lease_term);
  }
  const bool differs = live != live_ || states != live_states_;
  live_ = std::move(live);
  live_states_ = std::move(states);
  if (differs) {
    RebuildCandidates();
  }
  return differs;
}

void Membership::RebuildCandidates() {
  ++owners_version_;
  candidates_.clear();
  for (const EntryRecord& entry : settings_->entries) {
    if (IsLive(entry.entry)) {
      candidates_.push_back({entry.entry, entry.availability_zone,
                             peers_.at(entry.entry).record.leaving});
    }
  }
}

bool Membership::IsLive(const base::EntryId& entry) const {
  return std::binary_search(live_.begin(), live_.end(), entry);
}

const MemberRecord* Membership::FindMember(const base::EntryId& entry) const {
  const auto it = peers_.find(entry);
  if (it == peers_.end() || (entry != settings_->self && !it->second.heard)) {
    return nullptr;
  }
  return &it->second.record;
}

base::EntryId Membership::OwnerOf(
    std::string_view subject, const base::AvailabilityZone& preferred) const {
  // Members that stay rank above those that leave, then candidates in the
  // preferred availability zone above others. The rendezvous weight decides
  // among equals.
  using Rank = std::tuple<bool, bool, std::uint64_t>;
  const base::RendezvousSubject hasher(subject);
  Rank best;
  const Candidate* winner = nullptr;
  for (const Candidate& candidate : candidates_) {
    const Rank rank(!candidate.leaving,
                    candidate.availability_zone == preferred,
                    hasher.Weight(candidate.entry.value()));
    if (winner == nullptr || rank > best) {
      best = rank;
      winner = &candidate;
    }
  }
  return winner == nullptr ? base::EntryId() : winner->entry;
}

bool Membership::VotesLeaseExpired(const base::EntryId& entry, const Peer& peer,
                                   base::TimePoint now) const {
  if (entry == settings_->self) {
    return false;
  }
  // An earlier incarnation of this process may have acknowledged heartbeats up
  // to its end.
  const base::TimePoint last = peer.acknowledged.value_or(started_);
  const base::Duration lease = WithDrift(*settings_, settings_->member_lease);
  return now - last >= lease + kVoteWindow;
}

std::vector<base::EntryId> Membership::LeaseExpiredVotes(
    base::TimePoint now) const {
  std::vector<base::EntryId> votes;
  for (const auto& [entry, peer] : peers_) {
    if (VotesLeaseExpired(entry, peer, now)) {
      votes.push_back(entry);
    }
  }
  return votes;
}

bool Membership::IsVotedOut(const base::EntryId& entry,
                            base::TimePoint now) const {
  const auto subject = peers_.find(entry);
  if (subject == peers_.end()) {
    return true;  // Not configured: no majority can acknowledge it.
  }
  std::size_t votes = VotesLeaseExpired(entry, subject->second, now) ? 1 : 0;
  for (const auto& [voter, peer] : peers_) {
    const bool counts = voter != settings_->self && peer.voted &&
                        now - *peer.voted < kVoteWindow;
    if (counts && std::find(peer.votes_dead.begin(), peer.votes_dead.end(),
                            entry) != peer.votes_dead.end()) {
      ++votes;
    }
  }
  return votes >= majority();
}

}  // namespace dotterelbarrow::core
