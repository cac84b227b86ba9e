// Liveness and readiness pages of a node, for load balancers.
#ifndef DOTTERELBARROW_WIRE_HEALTH_PAGES_H_
#define DOTTERELBARROW_WIRE_HEALTH_PAGES_H_

#include "dotterelbarrow/core/node.h"
#include "dotterelbarrow/wire/http_server.h"

namespace dotterelbarrow::wire {

// Adds two pages to `server`: /healthz always answers 200; /readyz answers 200
// while the node is ready to serve callers, else 503. `server` and `node` must
// stay valid for as long as the server handles requests.
void AddHealthPages(HttpServer* server, const core::Node* node);

}  // namespace dotterelbarrow::wire

#endif  // DOTTERELBARROW_WIRE_HEALTH_PAGES_H_
