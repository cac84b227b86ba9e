// Reads the host file, a JSON array of HostRecords. The platform stand-in
// serves it as the host list; the backends stand-in simulates the backend
// servers in it.
#ifndef DOTTERELBARROW_STANDINS_HOST_FILE_H_
#define DOTTERELBARROW_STANDINS_HOST_FILE_H_

#include <fstream>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "dotterelbarrow/base/failure.h"
#include "dotterelbarrow/core/codec.h"
#include "dotterelbarrow/core/messages.h"

namespace dotterelbarrow::standins {

// Returns the records of the file at `path`. If it can't be read or parsed,
// returns nothing and sets `reason`.
inline std::optional<std::vector<core::HostRecord>> ReadHostFile(
    const std::string& path, base::Failure* reason) {
  std::ifstream file(path);
  if (!file) {
    *reason = {base::FailureCode::kUnavailable, "can't open " + path};
    return std::nullopt;
  }
  std::ostringstream text;
  text << "{\"hosts\":" << file.rdbuf() << "}";
  auto records = core::Decode<core::HostRecords>(
      text.str(), core::Members::kRejected, reason);
  if (!records) {
    return std::nullopt;
  }
  return std::move(records->hosts);
}

}  // namespace dotterelbarrow::standins

#endif  // DOTTERELBARROW_STANDINS_HOST_FILE_H_
