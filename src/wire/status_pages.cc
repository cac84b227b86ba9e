// Renders the JSON and text pages about one node.
#include "dotterelbarrow/wire/status_pages.h"

#include <utility>

#include "dotterelbarrow/wire/codec.h"
#include "dotterelbarrow/wire/health_pages.h"
#include "dotterelbarrow/wire/ticket_history.h"

namespace dotterelbarrow::wire {
namespace {

constexpr const char* kMetricsContentType = "text/plain; version=0.0.4";

// Returns `limit` as JSON, without the resources that are unlimited.
Json::Value LimitJson(const base::Resources& limit) {
  Json::Value json = ToJson(limit);
  for (const std::string& name : json.getMemberNames()) {
    if (json[name].asInt64() >= config::kUnlimitedAmount) {
      json.removeMember(name);
    }
  }
  return json;
}

Json::Value TeamJson(const config::Team& team) {
  Json::Value json(Json::objectValue);
  json["team"] = team.id.value();
  json["organisation"] = team.organisation.value();
  json["share"] = team.share;
  if (team.limit) {
    json["limit"] = LimitJson(*team.limit);
  }
  return json;
}

Json::Value ServiceJson(const config::Service& service) {
  Json::Value json(Json::objectValue);
  json["service"] = service.id.value();
  json["open"] = service.open;
  json["open_team"] = service.open_team.value();
  json["teams"] = Json::Value(Json::arrayValue);
  for (const base::TeamId& team : service.teams) {
    json["teams"].append(team.value());
  }
  return json;
}

void AddCounters(const core::Counters& from, core::Counters* to) {
  for (const auto& [key, value] : from.values()) {
    to->Increment(key.first.c_str(), key.second.c_str(), value);
  }
}

}  // namespace

StatusPages::StatusPages(HttpServer* server, const core::NodeSettings* settings,
                         const core::Node* node,
                         const core::Counters* wire_counters)
    : server_(server),
      settings_(settings),
      node_(node),
      wire_counters_(wire_counters) {
  AddHealthPages(server, node);
  server->Route(HttpMethod::kGet, "/metrics", [this](const HttpRequest& get) {
    server_->Reply(get.exchange, {.status = 200,
                                  .body = MetricsText(),
                                  .content_type = kMetricsContentType});
  });
  AddPage("/v1/members", &StatusPages::MembersJson);
  AddPage("/v1/room", &StatusPages::FreeCapacityJson);
  AddPage("/v1/teams", &StatusPages::TeamsJson);
  AddPage("/v1/services", &StatusPages::ServicesJson);
  AddPage("/v1/tickets", &StatusPages::TicketsJson);
}

void StatusPages::AddPage(const std::string& path,
                          Json::Value (StatusPages::*make)()) {
  server_->Route(HttpMethod::kGet, path, [this, make](const HttpRequest& get) {
    server_->Reply(get.exchange,
                   {.status = 200, .body = WriteJson((this->*make)())});
  });
}

std::string StatusPages::MetricsText() {
  core::Counters counters = node_->counters();
  AddCounters(*wire_counters_, &counters);
  metrics_.Set(counters);
  const core::CapacitySummary room = node_->room();
  const auto set = [this](const char* name, auto value) {
    metrics_.Set(name, static_cast<double>(value));
  };
  set("config_version", node_->catalogue().version().value());
  set("members_live", node_->membership().live().size());
  set("ready", node_->IsReady(MonotonicNow()) ? 1 : 0);
  set("queued_requests", room.queued_requests);
  set("free_slots", room.free_slots.value());
  set("total_slots", room.total_slots.value());
  set("free_cpu_millicores", room.free_total.cpu.value());
  set("open_exchanges", server_->open_exchanges());
  metrics_.SetProcessMetrics();
  return metrics_.Render();
}

Json::Value StatusPages::MembersJson() {
  const core::Membership& membership = node_->membership();
  Json::Value members(Json::arrayValue);
  for (const core::EntryRecord& entry : settings_->entries) {
    Json::Value json(Json::objectValue);
    json["entry"] = entry.entry.value();
    json["address"] = entry.address;
    json["availability_zone"] = entry.availability_zone.value();
    json["live"] = membership.IsLive(entry.entry);
    const core::MemberRecord* record = membership.FindMember(entry.entry);
    if (record != nullptr) {
      json["record"] = ToJson(*record);
    }
    members.append(std::move(json));
  }
  Json::Value page(Json::objectValue);
  page["self"] = settings_->self.value();
  page["holds_lease"] = membership.holds_lease();
  page["members"] = std::move(members);
  return page;
}

Json::Value StatusPages::FreeCapacityJson() { return ToJson(node_->room()); }

Json::Value StatusPages::TeamsJson() {
  Json::Value page(Json::objectValue);
  page["version"] = Json::UInt64{node_->catalogue().version().value()};
  page["teams"] = Json::Value(Json::arrayValue);
  for (const auto& [id, team] : node_->catalogue().teams()) {
    page["teams"].append(TeamJson(team));
  }
  return page;
}

Json::Value StatusPages::ServicesJson() {
  Json::Value page(Json::objectValue);
  page["version"] = Json::UInt64{node_->catalogue().version().value()};
  page["services"] = Json::Value(Json::arrayValue);
  for (const auto& [id, service] : node_->catalogue().services()) {
    page["services"].append(ServiceJson(service));
  }
  return page;
}

Json::Value StatusPages::TicketsJson() {
  return TicketHistoryJson(node_->catalogue().version(),
                           node_->recent_changes());
}

}  // namespace dotterelbarrow::wire
