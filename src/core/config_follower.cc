// Reads the head and the log, exchanges configuration changes with peers, and
// applies them.
#include "src/core/config_follower.h"

#include <algorithm>
#include <string>
#include <utility>

#include "dotterelbarrow/config/apply_ticket.h"
#include "dotterelbarrow/config/ticket.h"
#include "src/core/config_rows.h"

namespace dotterelbarrow::core {
namespace {

constexpr std::uint32_t kLogRowsPerRead = 256;

// How long the follower waits for the table before it pulls from a peer, and
// the delay between two pulls.
constexpr base::Duration kPullDelay = std::chrono::milliseconds(500);

}  // namespace

ConfigFollower::ConfigFollower(const NodeSettings* settings, Outbox* outbox,
                               Counters* counters, base::TimePoint now)
    : settings_(settings),
      outbox_(outbox),
      counters_(counters),
      next_head_read_(now),
      next_log_read_(now),
      next_pull_(now) {}

void ConfigFollower::Tick(base::TimePoint now) {
  ExpireReads(now);
  if (now >= next_head_read_) {
    ReadHead(now);
  }
  if (!is_behind()) {
    return;
  }
  if (now >= next_log_read_) {
    ReadLog(now);
  }
  if (peer_ahead_ && now >= next_pull_) {
    Pull(now);
  }
}

void ConfigFollower::ExpireReads(base::TimePoint now) {
  // The driver answers every call; this only handles an answer that was lost.
  const base::Duration bound = 2 * settings_->call_timeout;
  for (std::optional<Read>* read : {&head_read_, &log_read_}) {
    if (*read && now - (*read)->sent > bound) {
      read->reset();
      counters_->Increment("config_reads", "timeout");
    }
  }
}

void ConfigFollower::ReadHead(base::TimePoint now) {
  next_head_read_ = now + settings_->config_read_period;
  if (head_read_) {
    return;
  }
  head_read_ = Read{outbox_->NextCall(), now, catalogue_.version()};
  outbox_->Send(TableRead{head_read_->call, kConfigHeadKey, "", 1});
}

void ConfigFollower::ReadLog(base::TimePoint now) {
  next_log_read_ = now + settings_->config_read_period;
  if (log_read_) {
    return;
  }
  log_read_ = Read{outbox_->NextCall(), now, catalogue_.version()};
  outbox_->Send(TableRead{log_read_->call, kConfigLogPrefix,
                          ConfigLogKey(catalogue_.version()), kLogRowsPerRead});
}

bool ConfigFollower::OnTableRows(const TableRows& rows, base::TimePoint now) {
  if (head_read_ && rows.call == head_read_->call) {
    const Read read = *head_read_;
    head_read_.reset();
    OnHead(rows, read, now);
    return true;
  }
  if (log_read_ && rows.call == log_read_->call) {
    log_read_.reset();
    OnLog(rows, now);
    return true;
  }
  return false;
}

void ConfigFollower::OnHead(const TableRows& rows, const Read& read,
                            base::TimePoint now) {
  if (rows.status != TableStatus::kCommitted) {
    counters_->Increment("config_reads", "unavailable");
    return;
  }
  std::uint64_t number = 0;
  if (!rows.rows.empty()) {
    const std::optional<std::uint64_t> decoded =
        DecodeNumber(rows.rows.front().value);
    if (!decoded || rows.rows.front().key != kConfigHeadKey) {
      counters_->Increment("config_reads", "malformed");
      return;
    }
    number = *decoded;
  }
  const base::ConfigVersion version(number);
  if (version < read.version) {
    // The table never goes back, so this answer came from a server that lags
    // behind, and doesn't confirm that the keys are still valid.
    counters_->Increment("config_reads", "stale");
    return;
  }
  if (version <= catalogue_.version()) {
    Confirm(read.sent);
    return;
  }
  unreached_head_ = Head{version, read.sent};
  highest_known_ = std::max(highest_known_, version);
  ReadLog(now);
}

void ConfigFollower::OnLog(const TableRows& rows, base::TimePoint now) {
  if (rows.status != TableStatus::kCommitted) {
    counters_->Increment("config_reads", "unavailable");
    return;
  }
  std::vector<ConfigChange> changes;
  changes.reserve(rows.rows.size());
  for (const Row& row : rows.rows) {
    const std::string digits =
        row.key.substr(std::min(row.key.size(), sizeof(kConfigLogPrefix) - 1));
    const std::optional<std::uint64_t> version = DecodeNumber(digits);
    if (!version) {
      counters_->Increment("config_reads", "malformed");
      break;
    }
    changes.push_back({base::ConfigVersion(*version), row.value});
  }
  const std::size_t applied = ApplyInOrder(changes, now);
  if (applied > 0 && (rows.more || is_behind())) {
    ReadLog(now);
  }
}

std::size_t ConfigFollower::ApplyInOrder(
    const std::vector<ConfigChange>& changes, base::TimePoint now) {
  std::size_t applied = 0;
  for (const ConfigChange& change : changes) {
    if (change.version <= catalogue_.version()) {
      continue;
    }
    if (change.version != catalogue_.version().next() || !Apply(change)) {
      break;
    }
    ++applied;
  }
  if (unreached_head_ && unreached_head_->version <= catalogue_.version()) {
    Confirm(unreached_head_->sent);
    unreached_head_.reset();
  }
  if (applied > 0) {
    changed_.emit(now);
  }
  return applied;
}

bool ConfigFollower::Apply(const ConfigChange& change) {
  std::vector<base::Failure> faults;
  const std::optional<config::Ticket> ticket =
      config::ParseTicket(change.ticket, &faults);
  if (!ticket) {
    // A newer release may have written it. Skipping it could leave a revoked
    // key in use, so this entry remains at its version and unconfirmed.
    counters_->Increment("config_reads", "unreadable_ticket");
    return false;
  }
  config::ApplyTicket(*ticket, change.version, &catalogue_);
  log_.Add(change);
  highest_known_ = std::max(highest_known_, change.version);
  return true;
}

void ConfigFollower::Confirm(base::TimePoint sent) {
  is_loaded_ = true;
  if (!confirmed_at_ || *confirmed_at_ < sent) {
    confirmed_at_ = sent;
  }
}

void ConfigFollower::OnPeerVersion(const base::EntryId& from,
                                   base::ConfigVersion version,
                                   base::TimePoint now) {
  if (version <= catalogue_.version()) {
    return;
  }
  const bool is_news = version > highest_known_;
  if (is_news || !peer_ahead_) {
    next_pull_ = now + kPullDelay;
  }
  peer_ahead_ = from;
  if (is_news) {
    OnKnownVersion(version, now);
  }
}

void ConfigFollower::OnKnownVersion(base::ConfigVersion version,
                                    base::TimePoint now) {
  highest_known_ = std::max(highest_known_, version);
  if (is_behind()) {
    ReadLog(now);
  }
}

void ConfigFollower::OnAccepted(const ConfigChange& change,
                                base::TimePoint now) {
  ApplyInOrder({change}, now);
  OnKnownVersion(change.version, now);
}

void ConfigFollower::Pull(base::TimePoint now) {
  next_pull_ = now + kPullDelay;
  counters_->Increment("config_pulls", "sent");
  outbox_->SendToPeer(*peer_ahead_, ConfigPull{catalogue_.version()});
}

void ConfigFollower::OnPull(const base::EntryId& from, const ConfigPull& pull) {
  std::vector<ConfigChange> changes = log_.After(pull.after);
  if (changes.empty()) {
    counters_->Increment("config_pulls", "not_kept");
    return;
  }
  counters_->Increment("config_pulls", "answered");
  outbox_->SendToPeer(from, ConfigPush{std::move(changes)});
}

void ConfigFollower::OnPush(const base::EntryId& from, const ConfigPush& push,
                            base::TimePoint now) {
  const std::size_t applied = ApplyInOrder(push.changes, now);
  if (applied == 0) {
    return;
  }
  if (is_behind()) {
    peer_ahead_ = from;
    Pull(now);
  } else {
    // Every version that a peer has reported is in force.
    is_loaded_ = true;
  }
}

}  // namespace dotterelbarrow::core
