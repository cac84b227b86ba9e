// Applies an accepted change ticket to a catalogue.
#ifndef DOTTERELBARROW_CONFIG_APPLY_TICKET_H_
#define DOTTERELBARROW_CONFIG_APPLY_TICKET_H_

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/config/catalogue.h"
#include "dotterelbarrow/config/ticket.h"

namespace dotterelbarrow::config {

// Applies the changes of `ticket` to `catalogue` and sets its version to
// `version`. The caller must apply all versions in order, each exactly once.
void ApplyTicket(const Ticket& ticket, base::ConfigVersion version,
                 Catalogue* catalogue);

}  // namespace dotterelbarrow::config

#endif  // DOTTERELBARROW_CONFIG_APPLY_TICKET_H_
