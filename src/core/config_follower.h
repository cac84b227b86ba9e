// Follows the sequence of accepted tickets by reading the table, or by pulling
// from peers while the table does not answer.
//
// The follower reads the head of the sequence once a period, reads missing
// versions from the log and applies them in order. When a peer reports a higher
// version, the follower reads the log at once; if that does not bring the
// version in time, it pulls the changes from the peer.
#ifndef DOTTERELBARROW_SRC_CORE_CONFIG_FOLLOWER_H_
#define DOTTERELBARROW_SRC_CORE_CONFIG_FOLLOWER_H_

#include <sigc++/sigc++.h>

#include <optional>
#include <vector>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/config/catalogue.h"
#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/outbox.h"
#include "dotterelbarrow/core/settings.h"
#include "src/core/config_log.h"

namespace dotterelbarrow::core {

class ConfigFollower {
 public:
  // All pointers must outlive the follower.
  ConfigFollower(const NodeSettings* settings, Outbox* outbox,
                 Counters* counters, base::TimePoint now);

  void Tick(base::TimePoint now);
  // Returns whether `rows` answers a read of this follower.
  bool OnTableRows(const TableRows& rows, base::TimePoint now);
  void OnPull(const base::EntryId& from, const ConfigPull& pull);
  void OnPush(const base::EntryId& from, const ConfigPush& push,
              base::TimePoint now);
  void OnPeerVersion(const base::EntryId& from, base::ConfigVersion version,
                     base::TimePoint now);
  // Called after this entry has accepted a ticket.
  void OnAccepted(const ConfigChange& change, base::TimePoint now);
  // Called when the table is known to contain `version`.
  void OnKnownVersion(base::ConfigVersion version, base::TimePoint now);

  const config::Catalogue& catalogue() const { return catalogue_; }
  const ConfigLog& log() const { return log_; }

  // Whether the configuration was complete at some time since the start: the
  // entry had applied every version that the table or its peers reported.
  bool is_loaded() const { return is_loaded_; }
  // Whether a version is known to exist that has not been applied yet.
  bool is_behind() const { return catalogue_.version() < highest_known_; }
  // The send time of the latest read of the head that showed no version beyond
  // those applied by now.
  std::optional<base::TimePoint> confirmed_at() const { return confirmed_at_; }

  // Emitted after new versions have been applied, once for all versions applied
  // together.
  sigc::signal<void(base::TimePoint)>& changed() { return changed_; }

 private:
  // A pending read of the table.
  struct Read {
    base::CallId call;
    base::TimePoint sent;
    // The version in force on this entry when the read was sent.
    base::ConfigVersion version;
  };
  // A head that was read, and whose version has not been applied yet.
  struct Head {
    base::ConfigVersion version;
    base::TimePoint sent;
  };

  void ReadHead(base::TimePoint now);
  void ReadLog(base::TimePoint now);
  void ExpireReads(base::TimePoint now);
  void OnHead(const TableRows& rows, const Read& read, base::TimePoint now);
  void OnLog(const TableRows& rows, base::TimePoint now);
  // Applies those of `changes` that directly continue the version in force.
  // Returns how many were applied.
  std::size_t ApplyInOrder(const std::vector<ConfigChange>& changes,
                           base::TimePoint now);
  bool Apply(const ConfigChange& change);
  void Pull(base::TimePoint now);
  void Confirm(base::TimePoint sent);

  const NodeSettings* settings_;
  Outbox* outbox_;
  Counters* counters_;
  config::Catalogue catalogue_;
  ConfigLog log_;
  // Invariant: at least the catalogue's version.
  base::ConfigVersion highest_known_;
  bool is_loaded_ = false;
  std::optional<base::TimePoint> confirmed_at_;
  std::optional<Head> unreached_head_;
  std::optional<Read> head_read_;
  std::optional<Read> log_read_;
  base::TimePoint next_head_read_;
  base::TimePoint next_log_read_;
  // The peer that last reported a version beyond this entry's.
  std::optional<base::EntryId> peer_ahead_;
  base::TimePoint next_pull_;
  sigc::signal<void(base::TimePoint)> changed_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_SRC_CORE_CONFIG_FOLLOWER_H_
