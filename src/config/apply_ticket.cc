// Applies the new state of each object in a ticket to the catalogue.
#include "dotterelbarrow/config/apply_ticket.h"

#include <optional>
#include <string>
#include <utility>

namespace dotterelbarrow::config {
namespace {

// A visitor that adds or replaces the object `name` in `catalogue`.
class StateApplier {
 public:
  StateApplier(const std::string& name, Catalogue* catalogue)
      : name_(name), catalogue_(catalogue) {}

  void operator()(const TeamState& state) const {
    Team team;
    team.id = base::TeamId(name_);
    team.organisation = state.organisation;
    catalogue_->PutTeam(std::move(team));
  }
  void operator()(const KeyState& state) const {
    catalogue_->PutKey(base::ApiKey(name_), state.team);
  }
  void operator()(const ShareState& state) const {
    catalogue_->PutShare(base::TeamId(name_), state.weight);
  }
  void operator()(const LimitState& state) const {
    catalogue_->PutLimit(base::TeamId(name_), state.most);
  }
  void operator()(const ServiceState& state) const {
    catalogue_->PutService(Service{base::ServiceId(name_), state.open,
                                   state.open_team, state.teams});
  }
  void operator()(const JobSpec& spec) const {
    const std::optional<base::JobId> job = ParseJobName(name_);
    if (job) {
      catalogue_->PutJob(*job, spec);
    }
  }

 private:
  const std::string& name_;
  Catalogue* catalogue_;
};

void RemoveJob(const std::string& name, Catalogue* catalogue) {
  const std::optional<base::JobId> job = ParseJobName(name);
  if (job) {
    catalogue->RemoveJob(*job);
  }
}

void Remove(const ObjectId& id, Catalogue* catalogue) {
  switch (id.kind) {
    case ObjectKind::kTeam:
      return catalogue->RemoveTeam(base::TeamId(id.name));
    case ObjectKind::kKey:
      return catalogue->RemoveKey(base::ApiKey(id.name));
    case ObjectKind::kShare:
      return catalogue->RemoveShare(base::TeamId(id.name));
    case ObjectKind::kLimit:
      return catalogue->RemoveLimit(base::TeamId(id.name));
    case ObjectKind::kService:
      return catalogue->RemoveService(base::ServiceId(id.name));
    case ObjectKind::kJob:
      return RemoveJob(id.name, catalogue);
  }
}

}  // namespace

void ApplyTicket(const Ticket& ticket, base::ConfigVersion version,
                 Catalogue* catalogue) {
  for (const TicketObject& object : ticket.objects) {
    if (object.state) {
      std::visit(StateApplier(object.id.name, catalogue), *object.state);
    } else {
      Remove(object.id, catalogue);
    }
  }
  catalogue->set_version(version);
}

}  // namespace dotterelbarrow::config
