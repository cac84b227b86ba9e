// The clocks of a member process.
#ifndef DOTTERELBARROW_SRC_MEMBER_CLOCK_H_
#define DOTTERELBARROW_SRC_MEMBER_CLOCK_H_

#include <cstdint>

#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::member {

// Returns the time of CLOCK_BOOTTIME, which also advances while this host is
// suspended: leases and keys that others hold expire meanwhile.
base::TimePoint Now();

// Returns the wall clock in milliseconds since 1970. Only for events that are
// due at a time of day, for incarnations and for log lines.
std::int64_t UnixMillis();

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_CLOCK_H_
