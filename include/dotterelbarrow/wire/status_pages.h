// Read-only pages about one node: health, metrics, members, free capacity,
// teams, services and the latest tickets. No page shows a whole API key.
#ifndef DOTTERELBARROW_WIRE_STATUS_PAGES_H_
#define DOTTERELBARROW_WIRE_STATUS_PAGES_H_

#include <json/value.h>

#include <string>

#include "dotterelbarrow/config/catalogue.h"
#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/core/membership.h"
#include "dotterelbarrow/core/node.h"
#include "dotterelbarrow/core/settings.h"
#include "dotterelbarrow/wire/http_server.h"
#include "dotterelbarrow/wire/metrics.h"

namespace dotterelbarrow::wire {

class StatusPages {
 public:
  // Adds its routes to `server`. `wire_counters` holds the counters of the
  // classes in the namespace wire. All pointers must outlive this object.
  StatusPages(HttpServer* server, const core::NodeSettings* settings,
              const core::Node* node, const core::Counters* wire_counters);
  StatusPages(const StatusPages&) = delete;
  StatusPages& operator=(const StatusPages&) = delete;

 private:
  // Adds a page that calls `make` for each request and replies with its result.
  void AddPage(const std::string& path, Json::Value (StatusPages::*make)());
  std::string MetricsText();
  Json::Value MembersJson();
  Json::Value FreeCapacityJson();
  Json::Value TeamsJson();
  Json::Value ServicesJson();
  Json::Value TicketsJson();

  HttpServer* server_;
  const core::NodeSettings* settings_;
  const core::Node* node_;
  const core::Counters* wire_counters_;
  Metrics metrics_;
};

}  // namespace dotterelbarrow::wire

#endif  // DOTTERELBARROW_WIRE_STATUS_PAGES_H_
