// Summarises accepted tickets without revealing API keys.
#include "dotterelbarrow/wire/ticket_history.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "dotterelbarrow/config/ticket.h"

namespace dotterelbarrow::wire {
namespace {

constexpr std::size_t kMaxShownChanges = 100;

// The number of leading characters of an API key that are shown. Of a key
// shorter than twice this number none are shown.
constexpr std::size_t kShownKeyLength = 4;

std::string DisplayName(const config::ObjectId& id) {
  if (id.kind != config::ObjectKind::kKey) {
    return id.name;
  }
  const bool is_long = id.name.size() >= 2 * kShownKeyLength;
  return (is_long ? id.name.substr(0, kShownKeyLength) : "") + "...";
}

Json::Value ChangeJson(const core::ConfigChange& change) {
  Json::Value json(Json::objectValue);
  json["version"] = Json::UInt64{change.version.value()};
  std::vector<base::Failure> faults;
  const auto ticket = config::ParseTicket(change.ticket, &faults);
  if (!ticket) {
    return json;
  }
  json["ticket"] = Json::UInt64{ticket->number.value()};
  json["objects"] = Json::Value(Json::arrayValue);
  for (const config::TicketObject& object : ticket->objects) {
    json["objects"].append(std::string(object.state ? "" : "removed ") +
                           config::ToString(object.id.kind) + " " +
                           DisplayName(object.id));
  }
  return json;
}

}  // namespace

Json::Value TicketHistoryJson(base::ConfigVersion version,
                              const std::deque<core::ConfigChange>& changes) {
  Json::Value page(Json::objectValue);
  page["version"] = Json::UInt64{version.value()};
  page["changes"] = Json::Value(Json::arrayValue);
  for (auto it = changes.rbegin();
       it != changes.rend() && page["changes"].size() < kMaxShownChanges;
       ++it) {
    page["changes"].append(ChangeJson(*it));
  }
  return page;
}

}  // namespace dotterelbarrow::wire
