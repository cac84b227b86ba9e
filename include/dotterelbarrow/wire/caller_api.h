// The HTTP interface for callers (requests and jobs) and operators (tickets).
//
// A process may listen on a separate address for callers only, in addition to
// the address that also serves operators' tickets and calls from peers. It then
// has one CallerApi per address and passes each answer to the CallerApi that
// owns the answer's token.
#ifndef DOTTERELBARROW_WIRE_CALLER_API_H_
#define DOTTERELBARROW_WIRE_CALLER_API_H_

#include <cstddef>
#include <functional>

#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/core/messages.h"
#include "dotterelbarrow/wire/http_server.h"

namespace dotterelbarrow::wire {

// Returns the HTTP status code for `answer` or for a ticket's status.
int HttpStatusOf(const core::Answer& answer);
int HttpStatusOf(core::TicketStatus status);

// The kinds of clients that an address serves.
enum class Audience {
  kCallersAndOperators,  // Callers, and operators who send tickets.
  kCallersOnly,          // Tickets are answered with 404.
};

class CallerApi {
 public:
  using Deliver = std::function<void(core::Input)>;

  // Adds its routes to `server` and calls `deliver` for each well-formed
  // request; a malformed one, or one whose body exceeds `max_body_bytes`, is
  // refused immediately. A process may have at most one CallerApi per audience,
  // because two with the same audience would issue the same tokens. All
  // pointers must outlive this object.
  CallerApi(HttpServer* server, Audience audience, std::size_t max_body_bytes,
            Deliver deliver, core::Counters* counters);
  CallerApi(const CallerApi&) = delete;
  CallerApi& operator=(const CallerApi&) = delete;

  // Returns whether `token` was issued by this CallerApi.
  bool Owns(core::CallerToken token) const;
  // Replies to the HTTP request identified by the answer's token. This object
  // must own the token.
  void Send(const core::CallerAnswer& answer);
  void Send(const core::TicketAnswer& answer);

 private:
  core::CallerToken TokenOf(ExchangeId exchange) const;
  void OnRequest(const HttpRequest& post);
  void OnJobCommand(const HttpRequest& request,
                    core::CallerJobCommand::Verb verb);
  void OnTicket(const HttpRequest& post);
  void Refuse(const HttpRequest& request, core::Reason reason,
              const std::string& detail);

  HttpServer* server_;
  Audience audience_;
  std::size_t max_body_bytes_;
  Deliver deliver_;
  core::Counters* counters_;
};

}  // namespace dotterelbarrow::wire

#endif  // DOTTERELBARROW_WIRE_CALLER_API_H_
