// The page that shows operators the most recently accepted tickets.
#ifndef DOTTERELBARROW_WIRE_TICKET_HISTORY_H_
#define DOTTERELBARROW_WIRE_TICKET_HISTORY_H_

#include <json/value.h>

#include <deque>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/core/messages.h"

namespace dotterelbarrow::wire {

// Returns the current configuration version and the latest of `changes`, newest
// first, each with its ticket's number and the objects that the ticket changed.
// Only the first few characters of an API key are shown.
Json::Value TicketHistoryJson(base::ConfigVersion version,
                              const std::deque<core::ConfigChange>& changes);

}  // namespace dotterelbarrow::wire

#endif  // DOTTERELBARROW_WIRE_TICKET_HISTORY_H_
