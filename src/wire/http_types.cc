// Implements percent-encoding with evhttp.
#include "dotterelbarrow/wire/http_types.h"

#include <event2/http.h>

#include <cstdlib>

namespace dotterelbarrow::wire {

std::string EncodeUriComponent(const std::string& text) {
  char* encoded =
      evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0);
  std::string result(encoded);
  std::free(encoded);
  return result;
}

}  // namespace dotterelbarrow::wire
