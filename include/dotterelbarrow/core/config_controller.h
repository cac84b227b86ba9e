// Holds the configuration in force on this entry host, and accepts tickets,
// which are the operators' configuration changes.
//
// Accepted tickets form one numbered sequence in the table service. Each entry
// follows that sequence by reading its head row once a period; between reads,
// it pulls changes from a peer that reports a higher version. Versions are
// applied in order and never skipped, so the configuration on an entry never
// reverts.
#ifndef DOTTERELBARROW_CORE_CONFIG_CONTROLLER_H_
#define DOTTERELBARROW_CORE_CONFIG_CONTROLLER_H_

#include <sigc++/sigc++.h>

#include <deque>
#include <memory>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/config/catalogue.h"
#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/core/membership.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/core/outbox.h"
#include "dotterelbarrow/core/settings.h"

namespace dotterelbarrow::core {

class ConfigController {
 public:
  // All pointers must outlive the controller.
  ConfigController(const NodeSettings* settings, Outbox* outbox,
                   Counters* counters, const Membership* membership,
                   base::TimePoint now);
  ~ConfigController();
  ConfigController(const ConfigController&) = delete;
  ConfigController& operator=(const ConfigController&) = delete;

  void Tick(base::TimePoint now);
  // Starts accepting a ticket; the outcome is sent as a TicketAnswer.
  void OnTicket(const OperatorTicket& ticket, base::TimePoint now);
  // Each returns whether the result answers a call of this controller.
  bool OnTableResult(const TableResult& result, base::TimePoint now);
  bool OnTableRows(const TableRows& rows, base::TimePoint now);
  void OnPull(const base::EntryId& from, const ConfigPull& pull,
              base::TimePoint now);
  void OnPush(const base::EntryId& from, const ConfigPush& push,
              base::TimePoint now);
  // Called when a peer's heartbeat or acknowledgement reports `version`.
  void OnPeerVersion(const base::EntryId& from, base::ConfigVersion version,
                     base::TimePoint now);

  const config::Catalogue& catalogue() const;

  // The most recent changes in force, oldest first, for the history that
  // operators see.
  const std::deque<ConfigChange>& recent_changes() const;

  // Whether every ticket has been answered.
  bool is_idle() const;

  // Whether this entry may rely on its access keys, which a newer version could
  // have revoked. It may if it read the head of the sequence within the trust
  // period, or if it holds its membership lease, that is, a majority of the
  // entries acknowledged it within the lease and none of them reported a higher
  // version. Only entries that hold the lease accept tickets, so within one
  // heartbeat round at least one member of every such majority knows of any
  // accepted ticket.
  bool IsConfirmed(base::TimePoint now) const;

  // Whether a version is known to exist that this entry has not applied yet. An
  // object that is missing from the catalogue may have been added by it.
  bool is_behind() const;

  // Emitted after a new version has been applied.
  sigc::signal<void(base::TimePoint)>& changed();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_CONFIG_CONTROLLER_H_
