// Converts object kinds, job kinds and job names from and to text.
#include "dotterelbarrow/config/objects.h"

#include <array>

namespace dotterelbarrow::config {
namespace {

constexpr std::array<const char*, 6> kObjectKindNames = {
    "team", "key", "share", "limit", "service", "job"};
constexpr std::array<const char*, 3> kJobKindNames = {"batch", "all_at_once",
                                                      "service"};
static_assert(kObjectKindNames.size() == std::variant_size_v<ObjectState>);

template <typename Enum, std::size_t N>
std::optional<Enum> ParseEnum(const std::array<const char*, N>& names,
                              const std::string& name) {
  for (std::size_t i = 0; i < N; ++i) {
    if (name == names[i]) {
      return static_cast<Enum>(i);
    }
  }
  return std::nullopt;
}

}  // namespace

const char* ToString(ObjectKind kind) {
  return kObjectKindNames[static_cast<std::size_t>(kind)];
}

const char* ToString(JobKind kind) {
  return kJobKindNames[static_cast<std::size_t>(kind)];
}

std::optional<ObjectKind> ParseObjectKind(const std::string& name) {
  return ParseEnum<ObjectKind>(kObjectKindNames, name);
}

std::optional<JobKind> ParseJobKind(const std::string& name) {
  return ParseEnum<JobKind>(kJobKindNames, name);
}

std::optional<base::JobId> ParseJobName(const std::string& name) {
  const std::size_t slash = name.find('/');
  if (slash == std::string::npos || slash == 0 || slash + 1 == name.size() ||
      name.find('/', slash + 1) != std::string::npos) {
    return std::nullopt;
  }
  return base::JobId{base::TeamId(name.substr(0, slash)),
                     base::RequestId(name.substr(slash + 1))};
}

}  // namespace dotterelbarrow::config
