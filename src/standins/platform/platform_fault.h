// Faults of the stand-in platform. A test sets one fault at a time, optionally
// with an end time and limited to some listening ports.
#ifndef DOTTERELBARROW_STANDINS_PLATFORM_PLATFORM_FAULT_H_
#define DOTTERELBARROW_STANDINS_PLATFORM_PLATFORM_FAULT_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::standins {

enum class PlatformFaultMode {
  kNone,
  kDown,        // Requests have no effect and get status 503.
  kSilent,      // Requests have no effect and get no answer.
  kSlow,        // Requests take effect; the answer comes after `delay`.
  kAnswerLost,  // Requests take effect and get no answer.
};

// Returns the mode's name in the control protocol, in snake_case.
const char* ToString(PlatformFaultMode mode);
std::optional<PlatformFaultMode> ParsePlatformFaultMode(
    const std::string& name);

struct PlatformFault {
  PlatformFaultMode mode = PlatformFaultMode::kNone;
  // How late answers are under kSlow.
  base::Duration delay{0};
  // When the fault ends; absent if it lasts until the next fault is set.
  std::optional<base::TimePoint> until;
  // Listening ports that the fault affects; empty means all. A test that gives
  // each entry host its own port can cut off a single entry host.
  std::set<std::uint16_t> only_from;

  // Returns the mode for a request that arrives on `port` at `now`: kNone if
  // the fault has ended or doesn't affect that port.
  PlatformFaultMode ModeFor(std::uint16_t port, base::TimePoint now) const;
};

}  // namespace dotterelbarrow::standins

#endif  // DOTTERELBARROW_STANDINS_PLATFORM_PLATFORM_FAULT_H_
