// Dispatches each event to the configuration follower and the ticket acceptor.
#include "dotterelbarrow/core/config_controller.h"

#include "src/core/config_follower.h"
#include "src/core/ticket_acceptor.h"

namespace dotterelbarrow::core {

class ConfigController::Impl {
 public:
  Impl(const NodeSettings* settings, Outbox* outbox, Counters* counters,
       const Membership* membership, base::TimePoint now)
      : settings(settings),
        membership(membership),
        follower(settings, outbox, counters, now),
        acceptor(settings, outbox, counters, membership, &follower) {}

  const NodeSettings* settings;
  const Membership* membership;
  ConfigFollower follower;
  TicketAcceptor acceptor;
};

ConfigController::ConfigController(const NodeSettings* settings, Outbox* outbox,
                                   Counters* counters,
                                   const Membership* membership,
                                   base::TimePoint now)
    : impl_(std::make_unique<Impl>(settings, outbox, counters, membership,
                                   now)) {}

ConfigController::~ConfigController() = default;

void ConfigController::Tick(base::TimePoint now) {
  impl_->follower.Tick(now);
  impl_->acceptor.Tick(now);
}

void ConfigController::OnTicket(const OperatorTicket& ticket,
                                base::TimePoint now) {
  impl_->acceptor.OnTicket(ticket, now);
}

bool ConfigController::OnTableResult(const TableResult& result,
                                     base::TimePoint now) {
  return impl_->acceptor.OnTableResult(result, now);
}

bool ConfigController::OnTableRows(const TableRows& rows, base::TimePoint now) {
  return impl_->follower.OnTableRows(rows, now) ||
         impl_->acceptor.OnTableRows(rows, now);
}

void ConfigController::OnPull(const base::EntryId& from, const ConfigPull& pull,
                              base::TimePoint /*now*/) {
  impl_->follower.OnPull(from, pull);
}

void ConfigController::OnPush(const base::EntryId& from, const ConfigPush& push,
                              base::TimePoint now) {
  impl_->follower.OnPush(from, push, now);
}

void ConfigController::OnPeerVersion(const base::EntryId& from,
                                     base::ConfigVersion version,
                                     base::TimePoint now) {
  impl_->follower.OnPeerVersion(from, version, now);
}

const config::Catalogue& ConfigController::catalogue() const {
  return impl_->follower.catalogue();
}

const std::deque<ConfigChange>& ConfigController::recent_changes() const {
  return impl_->follower.log().changes();
}

bool ConfigController::IsConfirmed(base::TimePoint now) const {
  const ConfigFollower& follower = impl_->follower;
  if (!follower.is_loaded()) {
    return false;
  }
  const std::optional<base::TimePoint> at = follower.confirmed_at();
  if (at && now - *at < impl_->settings->config_trust) {
    return true;
  }
  return impl_->membership->holds_lease() && !follower.is_behind();
}

bool ConfigController::is_behind() const { return impl_->follower.is_behind(); }

bool ConfigController::is_idle() const { return impl_->acceptor.is_idle(); }

sigc::signal<void(base::TimePoint)>& ConfigController::changed() {
  return impl_->follower.changed();
}

}  // namespace dotterelbarrow::core
