// Handles reads, claims and renewals of the ownership record.
#include "dotterelbarrow/core/leadership/leadership.h"

#include <json/json.h>

#include <algorithm>
#include <utility>

#include "dotterelbarrow/core/codec.h"

namespace dotterelbarrow::core::leadership {
namespace {

constexpr const char* kEarlierOwnersUntil = "earlier_owners_until_ms";

// An earlier version of this program holds one token per term, the successor of
// the recorded one, so the record must name the highest token of the term.
FencingToken HighestTokenAfter(const std::optional<OwnershipRecord>& previous,
                               FencingToken last) {
  const FencingToken highest =
      previous ? std::max(previous->token, last) : last;
  return FencingToken(highest.value() + scheduler::kTokensPerTerm);
}

}  // namespace

std::string EncodeOwnershipRecord(const OwnershipRecord& head) {
  Json::Value value(Json::objectValue);
  value["token"] = static_cast<Json::UInt64>(head.token.value());
  value["holder"] = head.holder.value();
  value["incarnation"] = static_cast<Json::UInt64>(head.incarnation.value());
  value["address"] = head.address;
  value["sequence"] = static_cast<Json::UInt64>(head.sequence);
  value["resigned"] = head.is_resigned;
  if (head.earlier_owners_until_ms != 0) {
    value[kEarlierOwnersUntil] =
        static_cast<Json::Int64>(head.earlier_owners_until_ms);
  }
  return WriteJson(value);
}

std::optional<OwnershipRecord> DecodeOwnershipRecord(const std::string& text,
                                                     base::Failure* reason) {
  const auto value = ReadJson(text, reason);
  if (!value) {
    return std::nullopt;
  }
  const Json::Value& fields = *value;
  if (!fields.isObject() || !fields["token"].isUInt64() ||
      !fields["holder"].isString() || !fields["incarnation"].isUInt64() ||
      !fields["address"].isString() || !fields["sequence"].isUInt64() ||
      !fields["resigned"].isBool()) {
    *reason = {base::FailureCode::kMalformed,
               "ownership record: a field is missing or has the wrong type"};
    return std::nullopt;
  }
  OwnershipRecord head;
  head.token = FencingToken(fields["token"].asUInt64());
  head.holder = base::EntryId(fields["holder"].asString());
  head.incarnation = base::Incarnation(fields["incarnation"].asUInt64());
  head.address = fields["address"].asString();
  head.sequence = fields["sequence"].asUInt64();
  head.is_resigned = fields["resigned"].asBool();
  if (const Json::Value& until = fields[kEarlierOwnersUntil]; !until.isNull()) {
    if (!until.isInt64()) {
      *reason = {base::FailureCode::kMalformed,
                 "ownership record: a field has the wrong type"};
      return std::nullopt;
    }
    head.earlier_owners_until_ms = until.asInt64();
  }
  return head;
}

const OwnershipRecord* Leadership::owner() const {
  if (role_ == Role::kOwner) {
    return &own_record_;
  }
  if (relayed_ && (!seen_ || relayed_->token > seen_->token)) {
    return &*relayed_;
  }
  return seen_ && !seen_->is_resigned ? &*seen_ : nullptr;
}

void Leadership::OnPeerRecord(const OwnershipRecord& head) {
  if (!head.is_resigned && (!relayed_ || head.token > relayed_->token)) {
    relayed_ = head;
  }
}

void Leadership::OnRead(const std::optional<OwnershipRecord>& head,
                        base::RowVersion version, base::Duration latency,
                        base::TimePoint now) {
  if (role_ == Role::kOwner) {
    if (head && head->token > own_record_.token) {
      StepDown();
    } else {
      return;
    }
  }
  const bool has_gap = now - last_read_ > settings_.max_read_gap;
  if (!was_read_ || version != seen_version_ || has_gap) {
    unchanged_since_ = now;
  }
  if (version != seen_version_) {
    is_owner_replaceable_ = false;
    is_owner_unresponsive_ = false;
    free_since_.reset();
  }
  was_read_ = true;
  last_read_ = now;
  read_latency_ = latency;
  seen_ = head;
  seen_version_ = version;
}

void Leadership::OnOwnerReplaceable() { is_owner_replaceable_ = true; }

void Leadership::OnOwnerStopped(FencingToken token) {
  stopped_owner_ = std::max(stopped_owner_.value_or(token), token);
}

void Leadership::OnFollower(const base::EntryId& host,
                            std::optional<FencingToken> owner) {
  if (previous_owner_ && previous_owner_->holder == host &&
      owner == own_record_.token) {
    OnOwnerStopped(previous_owner_->token);
  }
}

bool Leadership::has_previous_owner_stopped() const {
  return !previous_owner_ || previous_owner_->holder == settings_.self ||
         previous_owner_->token == stopped_owner_;
}

void Leadership::OnStoreClock(std::int64_t store_ms, base::TimePoint sent_at) {
  store_clock_offset_ =
      std::chrono::milliseconds(store_ms) - sent_at.time_since_epoch();
}

std::int64_t Leadership::EarlierOwnersUntil(base::TimePoint now) const {
  if (!previous_owner_ || !store_clock_offset_) {
    return 0;
  }
  // The previous owner has written nothing since this host read the record.
  const base::Duration until =
      now.time_since_epoch() + *store_clock_offset_ +
      (has_previous_owner_stopped() ? base::Duration(0)
                                    : settings_.ownership_lease);
  const std::int64_t until_ms =
      std::chrono::ceil<std::chrono::milliseconds>(until).count();
  return std::max(until_ms, previous_owner_->earlier_owners_until_ms);
}

std::optional<OwnershipWrite> Leadership::BeginClaim(base::TimePoint now) {
  if (role_ == Role::kOwner || write_ || !was_read_ ||
      now - last_read_ > settings_.max_read_gap) {
    return std::nullopt;
  }
  // If this host holds the record from an earlier run, that process has ended.
  const bool is_free = !seen_ || seen_->is_resigned || is_owner_replaceable_ ||
                       seen_->holder == settings_.self ||
                       seen_->token == stopped_owner_;
  const base::Duration timeout =
      (is_owner_unresponsive_ ? settings_.unresponsive_owner_timeout
                              : settings_.owner_timeout) +
      read_latency_ * settings_.latency_factor;
  if (!is_free && now - unchanged_since_ < timeout) {
    free_since_.reset();
    return std::nullopt;
  }
  if (!free_since_) {
    free_since_ = now;
  }
  if (now - *free_since_ < claim_delay_) {
    return std::nullopt;
  }
  previous_owner_ = seen_;
  own_record_ =
      OwnershipRecord{.token = HighestTokenAfter(seen_, settings_.last_token),
                      .holder = settings_.self,
                      .incarnation = settings_.incarnation,
                      .address = settings_.address,
                      .earlier_owners_until_ms = EarlierOwnersUntil(now)};
  are_earlier_owners_settled_ = false;
  role_ = Role::kClaiming;
  write_ = OwnershipWrite{seen_version_, own_record_};
  write_sent_at_ = now;
  return write_;
}

OwnershipWrite Leadership::BeginWrite(base::TimePoint now) {
  OwnershipRecord next = own_record_;
  ++next.sequence;
  if (are_earlier_owners_settled_) {
    next.earlier_owners_until_ms = 0;
  }
  write_ = OwnershipWrite{own_version_, next};
  write_sent_at_ = now;
  return *write_;
}

OwnershipWrite Leadership::BeginResignation(base::TimePoint now) {
  BeginWrite(now);
  write_->record.is_resigned = true;
  return *write_;
}

void Leadership::OnWritten(base::RowVersion version, base::TimePoint /*now*/) {
  if (!write_) {
    return;
  }
  own_record_ = write_->record;
  BecomeOwner(version);
  if (own_record_.is_resigned) {
    StepDown();
  }
}

ConflictOutcome Leadership::OnConflict(
    const std::optional<OwnershipRecord>& head, base::RowVersion version,
    base::TimePoint now) {
  if (write_ && head == write_->record) {
    OnWritten(version, now);
    return ConflictOutcome::kTookEffect;
  }
  StepDown();
  OnRead(head, version, base::Duration(0), now);
  return ConflictOutcome::kReplaced;
}

void Leadership::StepDown() {
  role_ = Role::kFollower;
  write_.reset();
  if (relayed_ && relayed_->token <= own_record_.token) {
    relayed_.reset();
  }
  was_read_ = false;
  seen_.reset();
  is_owner_replaceable_ = false;
}

void Leadership::BecomeOwner(base::RowVersion version) {
  role_ = Role::kOwner;
  own_version_ = version;
  confirmed_at_ = write_sent_at_;
  write_.reset();
}

}  // namespace dotterelbarrow::core::leadership
