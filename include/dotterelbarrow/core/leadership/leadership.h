// Which entry host owns the cell, decided by one row of the store.
//
// The row (the head) names the owner and its token. Each write of the owner is
// a transaction that expects the head's version and puts it anew, so that
// - a former owner can write nothing once another has put the head,
// - a write without an answer is sent again as it was and takes effect once,
// - the head's version shows that the owner lives.
// Nothing here depends on clocks but when a silent owner is replaced.
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

// What the head says.
struct Head {
  FencingToken token{};
  base::EntryId holder{};
  base::Incarnation incarnation{};
  // Where the holder takes calls of other entry hosts: "ip:port".
  std::string address{};
  // Counts the writes under this token.
  std::uint64_t sequence = 0;
  // The holder gave the cell up.
  bool is_resigned = false;

  friend bool operator==(const Head&, const Head&) = default;
};

std::string EncodeHead(const Head& head);
std::optional<Head> DecodeHead(const std::string& text, base::Failure* reason);

struct LeadershipSettings {
  base::EntryId self;
  base::Incarnation incarnation;
  std::string address;
  // An owner that has nothing to write puts the head this often.
  base::Duration renewal_period = std::chrono::milliseconds(200);
  // An owner whose head didn't change for this long is replaced: its writes
  // and their copies went without an effect. Where reads take long, writes do
  // as well: `latency_factor` times the last read is added.
  base::Duration silence = std::chrono::milliseconds(1100);
  // The same for an owner that has answered no calls for as long before: two
  // renewals.
  base::Duration silence_of_mute = std::chrono::milliseconds(400);
  int latency_factor = 4;
  // Two looks at an unchanged head further apart than this prove nothing:
  // neither side may have reached the store in between.
  base::Duration most_blind = std::chrono::milliseconds(1000);
  // How long an owner goes on without a confirmed write.
  base::Duration authority = scheduler::kOwnerAuthority;
};

enum class Role {
  kFollower,
  kClaiming,  // Its write of the head is under way.
  kOwner,
};

// A put of the head under the condition that its version is `expected`; 0 for
// a head that isn't there.
struct HeadWrite {
  base::RowVersion expected;
  Head head;
};

enum class ConflictMeaning {
  kTookEffect,  // An earlier copy of this write was carried out.
  kReplaced,    // Another entry host owns the cell.
};

class Leadership {
 public:
  explicit Leadership(LeadershipSettings settings)
      : settings_(std::move(settings)) {}

  Role role() const { return role_; }
  // The token of the own term; only as the owner.
  FencingToken token() const { return own_.token; }
  // Whether the last term of this host ended because it gave the cell up.
  bool has_resigned() const { return own_.is_resigned; }
  // Whether the owner before this one surely commanded nothing any more when
  // this host claimed the cell.
  bool was_former_owner_gone() const { return was_former_owner_gone_; }
  // The owner before this one; null if there was none.
  const Head* former_owner() const { return former_ ? &*former_ : nullptr; }
  // Whose cell it is as far as is known, this host included; null if it is
  // nobody's.
  const Head* owner() const;
  // Another host says who owns the cell. It counts only where this host has
  // read nothing newer, and is never a ground for a claim.
  void OnRelayed(const Head& head);

  // Takes what a read of the head showed, which took `latency`.
  void OnRead(const std::optional<Head>& head, base::RowVersion version,
              base::Duration latency, base::TimePoint now);
  // The owner's address refused a connection: its process is gone.
  void OnOwnerGone(base::TimePoint now);
  // Whether the owner has been leaving this host's calls without an answer.
  void set_owner_mute(bool is_mute) { owner_mute_ = is_mute; }

  // Lets this host wait this long while the cell is free, so that hosts that
  // can carry more claim it first.
  void set_claim_delay(base::Duration delay) { claim_delay_ = delay; }
  // Returns the write that makes this host the owner, if the cell is free.
  std::optional<HeadWrite> BeginClaim(base::TimePoint now);
  // Returns the head for the owner's next write. Precondition: the owner, and
  // no write under way.
  HeadWrite BeginWrite(base::TimePoint now);
  // The write that gives the cell up.
  HeadWrite BeginResignation(base::TimePoint now);
  // The write under way took effect with this version.
  void OnWritten(base::RowVersion version, base::TimePoint now);
  // The condition of the write under way didn't hold.
  ConflictMeaning OnConflict(const std::optional<Head>& head,
                             base::RowVersion version, base::TimePoint now);
  // The owner learnt elsewhere that it was replaced.
  void Abandon();

  bool IsRenewalDue(base::TimePoint now) const {
    return role_ == Role::kOwner && !write_ &&
           now - confirmed_at_ >= settings_.renewal_period;
  }
  // Whether the owner may command workers.
  bool HasAuthority(base::TimePoint now) const {
    return role_ == Role::kOwner && now - confirmed_at_ < settings_.authority;
  }

 private:
  void BecomeOwner(base::RowVersion version);

  LeadershipSettings settings_;
  Role role_ = Role::kFollower;
  // The head as last seen, and since when it has been looked at without gaps
  // and didn't change.
  std::optional<Head> seen_;
  base::RowVersion seen_version_;
  bool was_read_ = false;
  base::TimePoint unchanged_since_;
  base::TimePoint last_read_;
  base::Duration read_latency_{0};
  bool owner_gone_ = false;
  bool owner_mute_ = false;
  std::optional<Head> relayed_;
  base::Duration claim_delay_{0};
  std::optional<base::TimePoint> free_since_;
  std::optional<Head> former_;
  bool was_former_owner_gone_ = false;
  Head own_;
  base::RowVersion own_version_;
  // Invariant: set while a write is under way.
  std::optional<HeadWrite> write_;
  base::TimePoint write_begun_;
  base::TimePoint confirmed_at_;
};

}  // namespace dotterelbarrow::core::leadership

#endif  // DOTTERELBARROW_CORE_LEADERSHIP_LEADERSHIP_H_
