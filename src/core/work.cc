// Names of kinds of work, outcomes and reasons.
#include "dotterelbarrow/core/work.h"

#include <array>
#include <utility>

namespace dotterelbarrow::core {
namespace {

template <typename Enum, std::size_t N>
using NameTable = std::array<std::pair<Enum, const char*>, N>;

constexpr NameTable<WorkKind, 4> kWorkKindNames = {{
    {WorkKind::kInteractive, "interactive"},
    {WorkKind::kBatch, "batch"},
    {WorkKind::kAllAtOnce, "all_at_once"},
    {WorkKind::kService, "service"},
}};

constexpr NameTable<Outcome, 7> kOutcomeNames = {{
    {Outcome::kDone, "done"},
    {Outcome::kFailed, "failed"},
    {Outcome::kNotRun, "not_run"},
    {Outcome::kUnknown, "unknown"},
    {Outcome::kAccepted, "accepted"},
    {Outcome::kRunning, "running"},
    {Outcome::kCancelled, "cancelled"},
}};

constexpr NameTable<Reason, 28> kReasonNames = {{
    {Reason::kNone, "none"},
    {Reason::kMalformed, "malformed"},
    {Reason::kTooLarge, "too_large"},
    {Reason::kInvalidSize, "invalid_size"},
    {Reason::kUnknownKind, "unknown_kind"},
    {Reason::kUnknownService, "unknown_service"},
    {Reason::kMissingKey, "missing_key"},
    {Reason::kUnknownKey, "unknown_key"},
    {Reason::kWrongTeam, "wrong_team"},
    {Reason::kDuplicateId, "duplicate_id"},
    {Reason::kDuplicateInProgress, "duplicate_in_progress"},
    {Reason::kConfigUnconfirmed, "config_unconfirmed"},
    {Reason::kNoBackend, "no_backend"},
    {Reason::kQueueFull, "queue_full"},
    {Reason::kDeadlineUnreachable, "deadline_unreachable"},
    {Reason::kDeadlinePassed, "deadline_passed"},
    {Reason::kOverLimit, "over_limit"},
    {Reason::kNeverFits, "never_fits"},
    {Reason::kStoreUnavailable, "store_unavailable"},
    {Reason::kManagerUnavailable, "manager_unavailable"},
    {Reason::kShuttingDown, "shutting_down"},
    {Reason::kBackendRefused, "backend_refused"},
    {Reason::kConnectionLost, "connection_lost"},
    {Reason::kTaskFailed, "task_failed"},
    {Reason::kRetriesExhausted, "retries_exhausted"},
    {Reason::kFailedOnManyBackends, "failed_on_many_backends"},
    {Reason::kCancelled, "cancelled"},
    {Reason::kNotFound, "not_found"},
}};

template <typename Enum, std::size_t N>
const char* NameOf(const NameTable<Enum, N>& table, Enum value) {
  for (const auto& [candidate, name] : table) {
    if (candidate == value) {
      return name;
    }
  }
  return "invalid";
}

template <typename Enum, std::size_t N>
std::optional<Enum> ValueOf(const NameTable<Enum, N>& table,
                            const std::string& name) {
  for (const auto& [value, candidate] : table) {
    if (name == candidate) {
      return value;
    }
  }
  return std::nullopt;
}

}  // namespace

std::uint32_t TasksAtOnce(const WorkRequest& request) {
  return request.kind == WorkKind::kAllAtOnce ? request.task_count : 1;
}

base::Resources NeededAtOnce(const WorkRequest& request) {
  base::Resources needed;
  for (std::uint32_t i = 0; i < TasksAtOnce(request); ++i) {
    needed += request.demand;
  }
  return needed;
}

const char* ToString(WorkKind kind) { return NameOf(kWorkKindNames, kind); }
const char* ToString(Outcome outcome) { return NameOf(kOutcomeNames, outcome); }
const char* ToString(Reason reason) { return NameOf(kReasonNames, reason); }

std::optional<WorkKind> ParseWorkKind(const std::string& name) {
  return ValueOf(kWorkKindNames, name);
}

std::optional<Outcome> ParseOutcome(const std::string& name) {
  return ValueOf(kOutcomeNames, name);
}

std::optional<Reason> ParseReason(const std::string& name) {
  return ValueOf(kReasonNames, name);
}

}  // namespace dotterelbarrow::core
