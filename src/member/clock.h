// The clocks of a member process.
#ifndef DOTTERELBARROW_SRC_MEMBER_CLOCK_H_
#define DOTTERELBARROW_SRC_MEMBER_CLOCK_H_

#include <cstdint>

#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::member {

// Returns CLOCK_BOOTTIME, which counts the time that the host was suspended:
// leases and keys of others don't wait for this process.
base::TimePoint Now();

// Returns milliseconds since 1970, only for what is due at a time of day and
// for log lines.
std::int64_t UnixMillis();

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_CLOCK_H_
