// The liveness and readiness pages for load balancers.
#include "dotterelbarrow/wire/health_pages.h"

#include "dotterelbarrow/wire/event_loop.h"

namespace dotterelbarrow::wire {

void AddHealthPages(HttpServer* server, const core::Node* node) {
  server->Route(HttpMethod::kGet, "/healthz", [server](const HttpRequest& get) {
    server->Reply(get.exchange, {.status = 200, .body = "{}"});
  });
  server->Route(
      HttpMethod::kGet, "/readyz", [server, node](const HttpRequest& get) {
        const bool ready = node->IsReady(MonotonicNow());
        server->Reply(get.exchange, {.status = ready ? 200 : 503,
                                     .body = ready ? R"({"ready":true})"
                                                   : R"({"ready":false})"});
      });
}

}  // namespace dotterelbarrow::wire
