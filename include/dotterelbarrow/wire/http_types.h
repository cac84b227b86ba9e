// Types and functions shared by the HTTP server and client.
#ifndef DOTTERELBARROW_WIRE_HTTP_TYPES_H_
#define DOTTERELBARROW_WIRE_HTTP_TYPES_H_

#include <string>

#include "dotterelbarrow/base/socket_address.h"

namespace dotterelbarrow::wire {

enum class HttpMethod { kGet, kPost, kPut, kDelete };

using base::ParseSocketAddress;
using base::SocketAddress;

// Percent-encodes all characters of `text` except the unreserved ones.
std::string EncodeUriComponent(const std::string& text);

}  // namespace dotterelbarrow::wire

#endif  // DOTTERELBARROW_WIRE_HTTP_TYPES_H_
