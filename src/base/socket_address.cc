// Parses socket addresses.
#include "dotterelbarrow/base/socket_address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace dotterelbarrow::base {
namespace {

bool IsIpAddress(const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> parsed{};
  return inet_pton(AF_INET, text.c_str(), parsed.data()) == 1 ||
         inet_pton(AF_INET6, text.c_str(), parsed.data()) == 1;
}

}  // namespace

std::optional<SocketAddress> ParseSocketAddress(const std::string& text,
                                                Failure* reason) {
  const std::size_t colon = text.rfind(':');
  SocketAddress address;
  if (colon != std::string::npos) {
    const char* end = text.data() + text.size();
    const auto [parsed, error] =
        std::from_chars(text.data() + colon + 1, end, address.port);
    address.ip = text.substr(0, colon);
    if (address.ip.starts_with('[') && address.ip.ends_with(']')) {
      address.ip = address.ip.substr(1, address.ip.size() - 2);
    }
    if (error == std::errc() && parsed == end && IsIpAddress(address.ip)) {
      return address;
    }
  }
  *reason = {FailureCode::kMalformed,
             "\"" + text + "\" is not of the form ip:port"};
  return std::nullopt;
}

}  // namespace dotterelbarrow::base
