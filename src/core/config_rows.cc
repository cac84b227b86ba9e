// Encodes and decodes the configuration rows.
#include "src/core/config_rows.h"

#include <charconv>
#include <cinttypes>
#include <cstdio>

#include "dotterelbarrow/base/hash.h"

namespace dotterelbarrow::core {
namespace {

// Two 64-bit hashes with different seeds form a hash of 128 bits.
constexpr std::uint64_t kHashSeeds[] = {0, 1};

}  // namespace

std::string ConfigLogKey(base::ConfigVersion version) {
  char digits[21];
  std::snprintf(digits, sizeof(digits), "%020" PRIu64, version.value());
  return std::string(kConfigLogPrefix) + digits;
}

std::string ConfigTicketKey(base::TicketNumber number) {
  return "config/ticket/" + std::to_string(number.value());
}

std::string ConfigObjectKey(const config::ObjectId& id) {
  return std::string("config/object/") + config::ToString(id.kind) + "/" +
         id.name;
}

std::string EncodeAcceptedTicket(const AcceptedTicket& ticket) {
  return std::to_string(ticket.version.value()) + ":" + ticket.hash;
}

std::optional<AcceptedTicket> DecodeAcceptedTicket(const std::string& value) {
  const std::size_t colon = value.find(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  const std::optional<std::uint64_t> version =
      DecodeNumber(value.substr(0, colon));
  if (!version) {
    return std::nullopt;
  }
  return AcceptedTicket{base::ConfigVersion(*version), value.substr(colon + 1)};
}

std::optional<std::uint64_t> DecodeNumber(const std::string& text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return number;
}

std::string TicketHash(const std::string& canonical_text) {
  std::string hash;
  for (const std::uint64_t seed : kHashSeeds) {
    char digits[17];
    std::snprintf(digits, sizeof(digits), "%016" PRIx64,
                  base::StableHash(canonical_text, seed));
    hash += digits;
  }
  return hash;
}

}  // namespace dotterelbarrow::core
