// The configuration objects that change tickets create, replace and remove.
//
// An object is identified by its kind and name. A ticket contains the object's
// complete new state, or no state to remove the object. To add a kind, define
// its state here, add it to `ObjectKind` and `ObjectState` in the same
// position, read and write it in config/object_json.cc and apply it in
// config/apply_ticket.cc.
#ifndef DOTTERELBARROW_CONFIG_OBJECTS_H_
#define DOTTERELBARROW_CONFIG_OBJECTS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::config {

// The amount that means "no limit" in one dimension of a limit. It is larger
// than any fleet, and small enough that the sum of a few such amounts doesn't
// overflow.
inline constexpr std::int64_t kUnlimitedAmount = std::int64_t{1} << 53;

// The largest values that a ticket may contain.
inline constexpr std::int64_t kMaxAmount = 1'000'000'000'000;
inline constexpr std::uint32_t kMaxTasksPerJob = 1'000'000;
inline constexpr double kMaxShareWeight = 1e6;
inline constexpr base::Duration kMaxJobTime = std::chrono::hours(24 * 366);
inline constexpr std::size_t kMaxNameBytes = 256;

struct TeamState {
  base::OrganisationId organisation;

  friend bool operator==(const TeamState&, const TeamState&) = default;
};

// The object's name is the key itself.
struct KeyState {
  base::TeamId team;

  friend bool operator==(const KeyState&, const KeyState&) = default;
};

// The object's name is the team. A team without a share object has weight 1.
struct ShareState {
  // Greater than zero.
  double weight = 1.0;

  friend bool operator==(const ShareState&, const ShareState&) = default;
};

// The object's name is the team. An unlimited dimension is set to
// `kUnlimitedAmount`.
struct LimitState {
  base::Resources most;

  friend bool operator==(const LimitState&, const LimitState&) = default;
};

struct ServiceState {
  bool open = false;
  // The team that work is accounted to if `open` is true; empty otherwise.
  base::TeamId open_team;
  // Teams that may use the service; empty means every team with a valid key.
  std::set<base::TeamId> teams;

  friend bool operator==(const ServiceState&, const ServiceState&) = default;
};

enum class JobKind { kBatch, kAllAtOnce, kService };

// A job that is requested by a ticket. The object's name is "TEAM/REQUEST".
struct JobSpec {
  base::ServiceId service;
  JobKind kind = JobKind::kBatch;
  std::uint32_t task_count = 1;
  base::Resources demand;
  base::Duration expected_run{0};
  base::Duration deadline{0};
  bool idempotent = true;
  bool urgent = false;
  std::string payload;

  friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

// In the order of the alternatives of `ObjectState`.
enum class ObjectKind { kTeam, kKey, kShare, kLimit, kService, kJob };

using ObjectState = std::variant<TeamState, KeyState, ShareState, LimitState,
                                 ServiceState, JobSpec>;

struct ObjectId {
  ObjectKind kind = ObjectKind::kTeam;
  std::string name;

  friend bool operator==(const ObjectId&, const ObjectId&) = default;
  friend auto operator<=>(const ObjectId&, const ObjectId&) = default;
};

// Stable snake_case names, used in tickets and in keys of the table service.
const char* ToString(ObjectKind kind);
const char* ToString(JobKind kind);
std::optional<ObjectKind> ParseObjectKind(const std::string& name);
std::optional<JobKind> ParseJobKind(const std::string& name);

// Parses the name of an object of kind job. Returns nullopt if `name` does not
// have the form "TEAM/REQUEST".
std::optional<base::JobId> ParseJobName(const std::string& name);

}  // namespace dotterelbarrow::config

#endif  // DOTTERELBARROW_CONFIG_OBJECTS_H_
