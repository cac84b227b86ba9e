// Keys and values of the configuration rows in the table service:
//
//   config/head              the newest version
//   config/log/VERSION       the canonical text of the ticket that produced it
//   config/ticket/NUMBER     the version and the text hash of that ticket
//   config/object/KIND/NAME  the number of the latest ticket that changed it
//
// One transaction writes all rows of a ticket.
#ifndef DOTTERELBARROW_SRC_CORE_CONFIG_ROWS_H_
#define DOTTERELBARROW_SRC_CORE_CONFIG_ROWS_H_

#include <optional>
#include <string>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/config/objects.h"

namespace dotterelbarrow::core {

inline constexpr char kConfigHeadKey[] = "config/head";
inline constexpr char kConfigLogPrefix[] = "config/log/";

// Keys have the same length for all versions, so that key order is version
// order.
std::string ConfigLogKey(base::ConfigVersion version);
std::string ConfigTicketKey(base::TicketNumber number);
std::string ConfigObjectKey(const config::ObjectId& id);

// The value of a row `config/ticket/NUMBER`.
struct AcceptedTicket {
  base::ConfigVersion version;
  std::string hash;
};
std::string EncodeAcceptedTicket(const AcceptedTicket& ticket);
std::optional<AcceptedTicket> DecodeAcceptedTicket(const std::string& value);

// Parses `text` as a decimal number; returns nothing if it is not one.
std::optional<std::uint64_t> DecodeNumber(const std::string& text);

// Returns the hash that identifies the canonical text of a ticket.
std::string TicketHash(const std::string& canonical_text);

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_SRC_CORE_CONFIG_ROWS_H_
