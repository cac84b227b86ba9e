// Names of fault modes, and which requests a fault affects.
#include "src/standins/platform/platform_fault.h"

#include <array>
#include <utility>

namespace dotterelbarrow::standins {
namespace {

constexpr std::array<std::pair<PlatformFaultMode, const char*>, 5> kModeNames =
    {{
        {PlatformFaultMode::kNone, "none"},
        {PlatformFaultMode::kDown, "down"},
        {PlatformFaultMode::kSilent, "silent"},
        {PlatformFaultMode::kSlow, "slow"},
        {PlatformFaultMode::kAnswerLost, "answer_lost"},
    }};

}  // namespace

const char* ToString(PlatformFaultMode mode) {
  for (const auto& [value, name] : kModeNames) {
    if (value == mode) {
      return name;
    }
  }
  return "invalid";
}

std::optional<PlatformFaultMode> ParsePlatformFaultMode(
    const std::string& name) {
  for (const auto& [value, known] : kModeNames) {
    if (name == known) {
      return value;
    }
  }
  return std::nullopt;
}

PlatformFaultMode PlatformFault::ModeFor(std::uint16_t port,
                                         base::TimePoint now) const {
  const bool has_ended = until && now >= *until;
  const bool is_other_port = !only_from.empty() && !only_from.contains(port);
  return has_ended || is_other_port ? PlatformFaultMode::kNone : mode;
}

}  // namespace dotterelbarrow::standins
