// Change tickets: parsing and validating the JSON text that an operator
// submits, and the canonical text in which a ticket is stored and compared.
// docs/WIRE.md describes the format.
#ifndef DOTTERELBARROW_CONFIG_TICKET_H_
#define DOTTERELBARROW_CONFIG_TICKET_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelbarrow/base/failure.h"
#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/config/objects.h"

namespace dotterelbarrow::config {

inline constexpr std::size_t kMaxTicketBytes = std::size_t{1} << 20;
inline constexpr std::size_t kMaxTicketObjects = 1000;
// The maximum number of errors that are reported for one ticket.
inline constexpr std::size_t kMaxListedErrors = 100;

// The complete new state of one object; without a state the object is removed.
// Invariant: `state` holds the alternative that corresponds to `id.kind`.
struct TicketObject {
  ObjectId id;
  std::optional<ObjectState> state;

  friend bool operator==(const TicketObject&, const TicketObject&) = default;
};

// Invariants: `number` is at least 1; `objects` is not empty, is sorted by id
// and contains no id twice.
struct Ticket {
  base::TicketNumber number;
  std::vector<TicketObject> objects;

  friend bool operator==(const Ticket&, const Ticket&) = default;
};

// Parses `text`. If it is not a valid ticket, returns nullopt and sets
// `*errors` to all errors found (at most `kMaxListedErrors`, and one that
// counts the rest), each with its path in the text. Unknown members are
// errors.
std::optional<Ticket> ParseTicket(std::string_view text,
                                  std::vector<base::Failure>* errors);

// Returns the canonical JSON text of `ticket`: equal tickets have the same
// text, however their members were ordered, spaced and escaped when submitted.
// ParseTicket accepts the result.
std::string CanonicalText(const Ticket& ticket);

// Returns `errors` as one line of text.
std::string Describe(const std::vector<base::Failure>& errors);

}  // namespace dotterelbarrow::config

#endif  // DOTTERELBARROW_CONFIG_TICKET_H_
