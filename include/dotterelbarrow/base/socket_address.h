// Network addresses of processes: IP address and port.
#ifndef DOTTERELBARROW_BASE_SOCKET_ADDRESS_H_
#define DOTTERELBARROW_BASE_SOCKET_ADDRESS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "dotterelbarrow/base/failure.h"

namespace dotterelbarrow::base {

// An IP address and a port; written "ip:port" in settings and in the host
// list.
struct SocketAddress {
  std::string ip;
  std::uint16_t port = 0;
};

// Parses "ip:port" or "[ip]:port". Returns nullopt and sets `*reason` if `text`
// is neither. Host names are rejected, since resolving one would block the
// event loop.
std::optional<SocketAddress> ParseSocketAddress(const std::string& text,
                                                Failure* reason);

}  // namespace dotterelbarrow::base

#endif  // DOTTERELBARROW_BASE_SOCKET_ADDRESS_H_
